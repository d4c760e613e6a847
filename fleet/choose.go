package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/finchspoke/finchspoke/rendezvous"
)

// Query describes what a request needs from a replica.
type Query struct {
	Service string
	Target  Target
	// Prefix identifies the shared prefix of the prompt. Requests with the same prefix prefer the same
	// replica, whose cache may still hold it. Empty means no shared prefix.
	Prefix string
	// Version is the only software version whose replicas can take the request; nil: any can.
	Version *string
	// Tried lists the ids of replicas on which this request failed; Choose skips them.
	Tried []string
	// NotBefore maps rate-limited replicas to the earliest time at which they may accept the request.
	// Replicas without a rate limit ignore it.
	NotBefore map[string]time.Time
	// MaxQueueTime bounds the time the request may queue at a replica; zero means no bound.
	MaxQueueTime time.Duration
	// PromptTokens is the length of the prompt; zero means unknown.
	PromptTokens int
}

// allowsVersion reports whether replicas of a software version can take the request.
func (q Query) allowsVersion(version string) bool { return q.Version == nil || *q.Version == version }

// Miss is the reason why no replica can take a request now.
type Miss uint8

// Reasons for a miss.
const (
	Found             Miss = iota
	NoReplica              // no replica of the service accepts requests
	AllTried               // all suitable replicas were tried
	NotLoaded              // no replica has the model loaded
	AdapterNotLoaded       // replicas have the model loaded, but none has the adapter
	Saturated              // the queue is too long on every replica that has the target loaded
	Undiscovered           // this daemon has not yet received the records of replicas that serve the target
	BackingOff             // replicas with the target asked this daemon to back off
	RateLimited            // rate-limited or brittle replicas with the target have no reservation for the request
	VersionNotServing      // no replica of the required software version accepts requests
	VersionNotLoaded       // no replica of the required software version has the target loaded, others serve the service
)

// String returns the reason as used in log fields.
func (m Miss) String() string {
	return [...]string{"found", "no_replica", "all_tried", "model_not_loaded", "adapter_not_loaded", "crowded", "untold", "asked_for_rest", "at_limit", "version_not_serving", "version_not_loaded"}[m]
}

// Pick is a replica chosen for one dispatch. The caller must call Release or Cancel.
type Pick struct {
	Incarnation
	Address  string
	Version  string // of the replica's software when it was chosen
	Inflight int    // requests of this daemon on the replica, without this one
	// PerSecond is the rate of reservations at the replica over all daemons, in messages per second, of which the
	// dispatch needs one: the replica is rate-limited, or brittle and may have no room. Zero means that none is needed.
	PerSecond       float64
	LimitObservedAt time.Time // when the replica last stated the limit
	startedAt       time.Time
	unreadTokens    int // prompt tokens, until the replica has processed the prompt
	replica         *Replica
	directory       *Directory
}

// MarkPromptRead records that the replica has processed the prompt, which is known once the response
// has begun.
func (p *Pick) MarkPromptRead() {
	p.directory.mutex.Lock()
	defer p.directory.mutex.Unlock()
	p.markPromptRead()
}

// markPromptRead implements MarkPromptRead; the caller holds the directory's mutex.
func (p *Pick) markPromptRead() {
	p.replica.unreadTokens -= p.unreadTokens
	p.unreadTokens = 0
}

// Components of a candidate's cost, in units of one running request.
const (
	costOtherZone      = 0.7
	costNotPrefixOwner = 0.5 // the prompt's prefix is assigned to another replica
	costFailureShare   = 12.0
	costTieBreak       = 0.5
	// costNewConnection applies to replicas to which this daemon has no open connection, so that
	// infrequent requests reuse connections.
	costNewConnection = 0.4
	// costPerPromptToken applies to each prompt token not yet processed: prompt processing delays all
	// other requests on the replica.
	costPerPromptToken = 1.0 / 50
)

// Choose returns the best replica for a request, or the reason why there is none.
func (d *Directory) Choose(requirements Query, now time.Time) (*Pick, Miss) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	discovered := d.interest == nil || d.interest.Register(requirements.Service, requirements.Target)
	candidates, miss := d.candidates(requirements, now)
	if len(candidates) == 0 && !discovered {
		return nil, Undiscovered
	}
	if len(candidates) == 0 {
		return nil, miss
	}
	owner := prefixOwner(requirements.Prefix, candidates)
	candidates = d.preferUnlimited(candidates, now)
	costs := make([]float64, len(candidates))
	for index, candidate := range candidates {
		costs[index] = d.cost(candidate, requirements, owner, now)
	}
	best := candidates[drawByCost(costs, d.expectedArrivals(candidates, now), d.random())]
	return d.pick(best, requirements, now), Found
}

// pick counts a request as sent to a replica; the caller holds the mutex.
func (d *Directory) pick(replica *Replica, requirements Query, now time.Time) *Pick {
	pick := &Pick{Incarnation: replica.Incarnation(), Address: replica.Address, Version: replica.Version, Inflight: replica.inflight, PerSecond: d.permitRate(replica, now), LimitObservedAt: replica.limitObservedAt, startedAt: now, unreadTokens: requirements.PromptTokens, replica: replica, directory: d}
	replica.lastChosenAt = now
	replica.inflight++
	replica.unreadTokens += requirements.PromptTokens
	return pick
}

// candidates lists the replicas that can take a request, or the reason why there is none; the caller
// holds the mutex.
func (d *Directory) candidates(requirements Query, now time.Time) ([]*Replica, Miss) {
	var usable []*Replica
	service := d.index(requirements.Service)
	if requirements.Version != nil && service.acceptingByVersion[*requirements.Version] == 0 && service.accepting > 0 {
		return nil, VersionNotServing
	}
	miss := service.initialMiss(requirements.Target)
	for _, replica := range service.withModel(requirements.Target.Model) {
		switch reason := d.missOf(replica, requirements, now); reason {
		case Found:
			usable = append(usable, replica)
		case NoReplica:
		default:
			miss = closerMiss(miss, reason)
		}
	}
	if (miss == NotLoaded || miss == AdapterNotLoaded) && service.lacksTargetAtVersion(requirements) {
		miss = VersionNotLoaded
	}
	return usable, miss
}

// lacksTargetAtVersion reports whether replicas of other software versions accept requests, and none of the required
// version has the target loaded by the records. A replica that has just rejected a request counts: it may accept the next.
func (s *serviceIndex) lacksTargetAtVersion(requirements Query) bool {
	if requirements.Version == nil || s.acceptingByVersion[*requirements.Version] == s.accepting {
		return false
	}
	for _, replica := range s.withModel(requirements.Target.Model) {
		if !replica.Draining && !replica.removalPending && requirements.allowsVersion(replica.Version) && replica.isRecordedAsLoaded(requirements.Target) {
			return false
		}
	}
	return true
}

// missOf returns why a replica cannot take a request, or Found if it can; the caller holds the mutex.
func (d *Directory) missOf(replica *Replica, requirements Query, now time.Time) Miss {
	switch {
	case replica.Draining || replica.removalPending || !requirements.allowsVersion(replica.Version):
		return NoReplica
	case !replica.hasLoaded(Target{Model: requirements.Target.Model}, now):
		return NotLoaded
	case !replica.hasLoaded(requirements.Target, now):
		return AdapterNotLoaded
	case d.requestedBackoffEnd(replica.ID).After(now):
		return BackingOff
	case now.Before(requirements.NotBefore[replica.ID]) && d.permitRate(replica, now) > 0:
		return RateLimited
	case slices.Contains(requirements.Tried, replica.ID):
		return AllTried
	case requirements.MaxQueueTime > 0 && d.queueTime(replica, now) > requirements.MaxQueueTime:
		return Saturated
	}
	return Found
}

// queueTime estimates how long a new request waits for a free slot of a replica; the caller holds the
// mutex.
func (d *Directory) queueTime(replica *Replica, now time.Time) time.Duration {
	queued := d.load(replica, now) - replica.Slots + 1
	if replica.Slots <= 0 || queued <= 0 {
		return 0
	}
	return time.Duration(float64(queued) / float64(replica.Slots) * float64(d.meanRunTime[replica.Service]))
}

// runTimeWeight is the weight of the latest run time in the moving average.
const runTimeWeight = 0.05

// recordRunTime updates the service's mean run time; the caller holds the mutex.
func (d *Directory) recordRunTime(service string, duration time.Duration) {
	mean, exists := d.meanRunTime[service]
	if !exists {
		mean = duration
	}
	d.meanRunTime[service] = mean + time.Duration(runTimeWeight*float64(duration-mean))
}

// limitedRetryInterval is how long this daemon avoids a rate-limited replica while others serve the
// target. After that it sends one request, because only a response shows that the limit has ended.
const limitedRetryInterval = 2 * time.Second

// preferUnlimited drops candidates that this daemon recently failed to reach, then rate-limited ones
// chosen within limitedRetryInterval and brittle ones that may have no room, as long as any candidate remains.
// The caller holds the mutex.
func (d *Directory) preferUnlimited(candidates []*Replica, now time.Time) []*Replica {
	reachable := reachableCandidates(candidates, now)
	isAvoided := func(r *Replica) bool {
		if r.perSecond > 0 {
			return now.Sub(r.lastChosenAt) < limitedRetryInterval
		}
		return d.permitRate(r, now) > 0
	}
	if !slices.ContainsFunc(reachable, isAvoided) {
		return reachable // common case: no rate-limited candidates
	}
	if others := slices.DeleteFunc(slices.Clone(reachable), isAvoided); len(others) > 0 {
		return others
	}
	return reachable
}

// reachableCandidates drops candidates that this daemon recently failed to reach, unless that applies
// to all, and sorts the remaining ones by id.
func reachableCandidates(candidates []*Replica, now time.Time) []*Replica {
	reachable := slices.DeleteFunc(slices.Clone(candidates), func(replica *Replica) bool { return replica.health.isUnreachable(now) })
	if len(reachable) == 0 {
		reachable = candidates
	}
	slices.SortFunc(reachable, func(a, b *Replica) int { return strings.Compare(a.ID, b.ID) })
	return reachable
}

// missRank orders the reasons by how close the request came to being served.
var missRank = [...]int{Found: 0, NoReplica: 1, VersionNotServing: 1, NotLoaded: 2, VersionNotLoaded: 2, AdapterNotLoaded: 3, BackingOff: 4, Saturated: 5, RateLimited: 6, AllTried: 7, Undiscovered: 8}

func closerMiss(a, b Miss) Miss {
	if missRank[b] > missRank[a] {
		return b
	}
	return a
}

// prefixOwner returns the candidate to which rendezvous hashing assigns a prefix; nil without a
// prefix.
func prefixOwner(prefix string, candidates []*Replica) *Replica {
	if prefix == "" {
		return nil
	}
	var owner *Replica
	highest := uint64(0)
	for _, candidate := range candidates {
		score := rendezvous.Score(prefix, candidate.ID)
		if owner == nil || score > highest {
			owner, highest = candidate, score
		}
	}
	return owner
}

// cost returns the cost of a candidate; lower is better.
func (d *Directory) cost(candidate *Replica, requirements Query, owner *Replica, now time.Time) float64 {
	cost := float64(d.load(candidate, now)) + costPerPromptToken*float64(candidate.unreadTokens) + costFailureShare*candidate.health.failureShareAt(now) + costTieBreak*d.random()
	if candidate.Zone != d.zone {
		cost += costOtherZone
	}
	if d.connected != nil && !d.connected(candidate.Address) {
		cost += costNewConnection
	}
	if owner != nil && candidate != owner {
		cost += costNotPrefixOwner
	}
	return cost
}

// Result is the outcome of a dispatch as far as it concerns the replica's health.
type Result uint8

// Results of a dispatch.
const (
	Answered      Result = iota // complete response, or the caller disconnected
	Failed                      // the replica responded with an error of its own
	Refused                     // the replica reported that it did not run the request
	TargetMissing               // the replica does not have the target loaded
	Unreachable                 // no complete response arrived
	Unsent                      // this daemon decided not to send the request
)

// rejectionHold is how long a replica that rejected a request is excluded for the same target.
const rejectionHold = 150 * time.Millisecond

// Cancel ends a dispatch for which nothing was sent.
func (p *Pick) Cancel() {
	p.directory.mutex.Lock()
	defer p.directory.mutex.Unlock()
	p.end()
}

// end removes the dispatch from the replica's counters; the caller holds the mutex.
func (p *Pick) end() {
	p.replica.inflight--
	p.markPromptRead()
	if p.replica.removalPending && p.replica.inflight == 0 {
		p.directory.remove(p.ID)
	}
}

// Release ends a dispatch and updates the replica's health by its result.
func (p *Pick) Release(result Result, target Target, now time.Time) {
	p.directory.mutex.Lock()
	defer p.directory.mutex.Unlock()
	p.end()
	switch result {
	case Answered:
		p.replica.fullness.recordAccepted(max(p.Inflight, p.replica.inflight)+1, now)
		p.replica.health.recordAnswer(false, now)
		p.directory.recordRunTime(p.replica.Service, now.Sub(p.startedAt))
	case Failed:
		p.replica.health.recordAnswer(true, now)
	case Refused:
		p.replica.health.recordAnswer(true, now)
		p.replica.fullness.recordRejection(p.replica.inflight, now)
		if target.Model != "" {
			// A load order for the target may be in progress.
			p.replica.markMissing(target, now.Add(rejectionHold))
		}
	case TargetMissing:
		p.replica.markMissing(target, now.Add(missingHold))
	case Unreachable:
		p.replica.health.recordUnreachable(now)
	}
}
