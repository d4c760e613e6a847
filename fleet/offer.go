package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxOffered bounds the candidates of an offer, and with them the size of a question to the leader.
	maxOffered = 8
	// penaltyPerCost is the delay of the first byte that outweighs one unit of cost.
	penaltyPerCost = 5 * time.Millisecond
)

// Candidate is a replica that could take a request.
type Candidate struct {
	Incarnation
	Slots int // concurrent requests; zero means unknown
	// Penalty is what this daemon knows against the replica, apart from its work, as a delay of the
	// first byte.
	Penalty time.Duration
}

// Offer lists the replicas among which the leader may choose for a request, at most maxOffered and the
// cheapest first, or the reason why there is none. It is empty if this daemon is to choose by itself:
// because each replica is rate-limited, so that the request needs a permit, or was not reached lately.
func (d *Directory) Offer(requirements Query, now time.Time) ([]Candidate, Miss) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	discovered := d.interest == nil || d.interest.Register(requirements.Service, requirements.Target)
	usable, miss := d.candidates(requirements, now)
	switch {
	case len(usable) == 0 && !discovered:
		return nil, Undiscovered
	case len(usable) == 0:
		return nil, miss
	}
	owner := prefixOwner(requirements.Prefix, usable)
	usable = slices.DeleteFunc(reachableCandidates(usable, now), func(replica *Replica) bool {
		return d.permitRate(replica, now) > 0 || replica.health.isUnreachable(now)
	})
	return d.offer(usable, requirements, owner, now), Found
}

// offer lists the cheapest replicas; the caller holds the mutex.
func (d *Directory) offer(usable []*Replica, requirements Query, owner *Replica, now time.Time) []Candidate {
	type priced struct {
		replica *Replica
		cost    float64
	}
	all := make([]priced, len(usable))
	for index, replica := range usable {
		all[index] = priced{replica, d.cost(replica, requirements, owner, now)}
	}
	slices.SortFunc(all, func(a, b priced) int { return cmp.Compare(a.cost, b.cost) })
	all = all[:min(len(all), maxOffered)]
	offered := make([]Candidate, len(all))
	for index, candidate := range all {
		penalty := time.Duration(d.penalty(candidate.replica, owner, now) * float64(penaltyPerCost))
		offered[index] = Candidate{candidate.replica.Incarnation(), candidate.replica.Slots, penalty}
	}
	return offered
}

// penalty returns the part of a candidate's cost that does not depend on its work; the caller holds the
// mutex.
func (d *Directory) penalty(candidate, owner *Replica, now time.Time) float64 {
	penalty := costFailureShare * candidate.health.failureShareAt(now)
	if candidate.Zone != d.zone {
		penalty += costOtherZone
	}
	if d.connected != nil && !d.connected(candidate.Address) {
		penalty += costNewConnection
	}
	if owner != nil && candidate != owner {
		penalty += costNotPrefixOwner
	}
	return penalty
}

// Take returns a pick of the replica that was chosen from an offer. It returns nil if the replica can
// no longer take the request, or takes it only with a permit.
func (d *Directory) Take(chosen Incarnation, requirements Query, now time.Time) *Pick {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica := d.replicas[chosen.ID]
	if replica == nil || replica.Incarnation() != chosen || replica.Service != requirements.Service || d.permitRate(replica, now) > 0 ||
		replica.health.isUnreachable(now) || d.missOf(replica, requirements, now) != Found {
		return nil
	}
	return d.pick(replica, requirements, now)
}
