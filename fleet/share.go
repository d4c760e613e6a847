package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/rendezvous"
)

const (
	// mostLoaders, mostHolders and mostKeepers bound the replicas that are told of a target which
	// none serves: those that load it, that hold the model but not the adapter, and that keep the
	// weights. From them a daemon reads how long its requests have to wait, and why.
	mostLoaders = 4
	mostHolders = 2
	mostKeepers = 2
	// crowdedFrom is the share of a replica's places from which others are told of first.
	crowdedFrom = 0.5
)

// Share returns the replicas that a daemon in a zone is told of for a target, and how many of them
// serve it, at most so many. All daemons of a zone are told of the same ones for a model, so that
// prompts with a part in common meet. Of a service without models each daemon is told of others, so
// that all replicas get their part.
func (d *Directory) Subset(service string, target Target, daemon, zone string, most int, now time.Time) (ids []string, serving int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	index := d.index(service)
	share := shareOf{zone: zone, key: zone, fleet: d, now: now}
	if target.Model == "" {
		share.key = daemon
	}
	holders := index.holding(target.Model)
	serves := func(one *Replica) bool { return one.holds(target, now) }
	ids = share.best(holders, serves, most)
	if serving = len(ids); serving >= most {
		return ids, serving
	}
	isComing := func(one *Replica) bool { return one.loads(target) }
	ids = append(ids, share.best(index.loaders[target.Model], isComing, mostLoaders)...)
	if serving > 0 || target.Model == "" {
		return ids, serving
	}
	others := share.best(holders, func(one *Replica) bool { return one.holds(Target{Model: target.Model}, now) }, mostHolders)
	if len(others) == 0 {
		others = share.best(index.keepers[target.Model], func(*Replica) bool { return true }, mostKeepers)
	}
	if len(others) == 0 {
		others = index.anyTaker()
	}
	for _, id := range others {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids, serving
}

// anyTaker returns a replica of the service that takes requests, if there is one: a daemon that is
// told of none would think that the service has none.
func (s *serviceIndex) anyTaker() []string {
	for id, one := range s.members {
		if !one.Draining {
			return []string{id}
		}
	}
	return nil
}

// loads tells whether a target, or the model of it, is being loaded on the replica.
func (r *Replica) loads(target Target) bool {
	if r.confirmed == nil {
		return false
	}
	_, whole := r.confirmed.Loading[target]
	_, model := r.confirmed.Loading[Target{Model: target.Model}]
	return whole || model
}

// Serves tells whether a replica serves a target.
func (d *Directory) Serves(id string, target Target, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.members[id]
	return known != nil && !known.Draining && known.holds(target, now)
}

// shareOf picks replicas for the daemons of a zone.
type shareOf struct {
	zone  string
	key   string // by which replicas that are alike are ordered
	fleet *Directory
	now   time.Time
}

type ranked struct {
	id      string
	penalty int
	score   uint64
}

// What a replica loses against others, so that a crowded one comes after all that have free places,
// and one of another zone after those of the zone that are as crowded. Only the order counts.
const (
	penaltyCrowded = 2
	penaltyFar     = 1
)

// best returns the ids of the best replicas that fit, at most so many: those with free places
// first, then those of the zone.
func (s shareOf) best(from map[string]*Replica, fits func(*Replica) bool, most int) []string {
	found := make([]ranked, 0, min(len(from), 2*most))
	for id, one := range from {
		if one.Draining || !fits(one) {
			continue
		}
		found = append(found, ranked{id: id, penalty: s.penalty(one), score: rendezvous.Score(s.key, id)})
	}
	slices.SortFunc(found, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), cmp.Compare(b.score, a.score))
	})
	ids := make([]string, 0, most)
	for _, one := range found[:min(most, len(found))] {
		ids = append(ids, one.id)
	}
	return ids
}

func (s shareOf) penalty(one *Replica) int {
	penalty := 0
	if s.isCrowded(one) {
		penalty += penaltyCrowded
	}
	if one.Zone != s.zone {
		penalty += penaltyFar
	}
	return penalty
}

func (s shareOf) isCrowded(one *Replica) bool {
	return float64(s.fleet.load(one, s.now)) > crowdedFrom*float64(one.Slots)
}
