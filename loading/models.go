package loading

import (
	"maps"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// loadModels gives orders for the copies that are missing.
func (p *planner) loadModels() {
	for _, need := range p.models {
		if need.copies == 0 && need.waiting == 0 && !need.cached {
			continue // it is fetched ahead
		}
		if need.copies >= need.desired || need.roomsComing() > 0 {
			continue
		}
		for p.loadModel(need) && need.short() {
			continue // the next copy, too
		}
	}
}

// short tells whether so many copies are missing that the next is looked for at once. Copies
// whose room is made, or that wait for their replica, are on their way.
func (n *modelNeed) short() bool {
	return float64(n.copies+n.onWay) < shortShare*float64(n.desired)
}

// spot is a replica that a model could be loaded on.
type spot struct {
	place *place
	source
	victims []victim // models to be unloaded first
	cost    float64  // seconds
	waits   bool     // the replica has other orders to carry out first
}

const (
	// costEviction is the time that an unload before the load takes.
	costEviction = 0.3
	// costSameZone is the cost of a copy in a zone that has one already: replicas of a zone
	// leave or fail together. On scale-2 of Andina large four of five copies of the most
	// popular model were in the zone whose replicas were withdrawn. It decides among
	// sources alike, and not between the disk and the store.
	costSameZone = 0.5
	// costShared is the cost of each model in use on the same replica, which share
	// its batch.
	costShared = 0.15
	// costUsage is the cost of a replica all of whose places are taken.
	costUsage = 4.0
	// costRunsEnd is how long an unload waits for what runs on the model.
	costRunsEnd = 1.5
	// costAdapters is the cost of a load where the only copy of a model with adapters
	// is in use: no adapter can be loaded there meanwhile. Several copies share it.
	costAdapters = 3.0
)

// loadModel loads one copy of a model, or makes room for it, or waits for a replica that has
// other orders first. It returns false where no replica comes into question.
func (p *planner) loadModel(need *modelNeed) bool {
	urgent := need.copies == 0 && need.waiting > 0
	best, found := p.bestSpot(need, p.valueOfCopy(need, urgent), p.storeRoom(need))
	if !found {
		return false
	}
	need.taken = append(need.taken, best.place)
	if best.waits {
		// Waiting for the replica is better than any other.
		best.place.queue(best.takes)
		need.onWay++
		return true
	}
	reason := "more copies"
	if urgent {
		reason = "requests wait"
	}
	p.use(best, need, reason)
	return true
}

// use gives the order for a load on a spot, or for what must be unloaded first.
func (p *planner) use(best spot, need *modelNeed, reason string) {
	replica := best.place.replica
	if len(best.victims) > 0 {
		need.onWay++
		p.give(replica, Order{Verb: Unload, Target: fleet.Target{Model: best.victims[0].name}, ExpectedDuration: unloadTime,
			Reason: "room for " + need.model.Name, RoomFor: need.model.Name})
		return
	}
	if best.origin == FromStore {
		p.StoreLoadsAllowed--
		p.fetching++
	}
	p.give(replica, Order{Verb: Load, Target: fleet.Target{Model: need.model.Name}, Origin: best.origin, ExpectedDuration: best.takes, Reason: reason})
	need.addCopy(replica.Zone)
	need.cached = true
}

// unloadTime is how long an unload takes when nothing runs.
const unloadTime = 100 * time.Millisecond

// roomsComing counts the replicas that are being emptied for the model.
func (n *modelNeed) roomsComing() int {
	count := 0
	for _, one := range n.promisers {
		if one.replica.busy() && one.freeIn > 0 {
			count++
		}
	}
	return count
}

// bestSpot returns the replica where the model is loaded soonest at the least cost
// to others, which may have other orders to carry out first. value bounds what may be
// unloaded for it; fromStore allows loads from the weight store.
//
// A replica with a limit comes into question where no other does: each order and question takes a turn of
// a request.
func (p *planner) bestSpot(need *modelNeed, value float64, fromStore bool) (spot, bool) {
	best, found := p.search(spotSearch{need: need, value: value}, fromStore)
	if !found && p.anyLimited {
		best, found = p.search(spotSearch{need: need, value: value, limited: true}, fromStore)
	}
	return best, found
}

// search looks through the places for a model.
func (p *planner) search(search spotSearch, fromStore bool) (spot, bool) {
	need := search.need
	if !fromStore {
		for _, kept := range need.keepers {
			if _, held := kept.place.replica.Holdings[need.model.Name]; !held {
				search.consider(kept.place, kept.source)
			}
		}
		return search.best, search.found
	}
	// All lists follow the order of places, so that one walk joins them.
	holders, keepers := need.holders, need.keepers
	for _, candidate := range p.places {
		from := need.fromStore()
		if len(keepers) > 0 && keepers[0].place == candidate {
			from, keepers = keepers[0].source, keepers[1:]
		}
		if len(holders) > 0 && holders[0] == candidate {
			holders = holders[1:]
			continue
		}
		search.consider(candidate, from)
	}
	return search.best, search.found
}

// spotSearch finds the best spot for a model among places that are considered in turn.
type spotSearch struct {
	need     *modelNeed
	value    float64 // of what may be unloaded
	best     spot
	found    bool
	reserved bool // best is a place whose room is kept for the model
	limited  bool // replicas with a limit come into question
}

// consider compares a place with the best so far. The first whose room is kept for the
// model, and needs no more of it, is taken.
func (s *spotSearch) consider(candidate *place, from source) {
	if slices.Contains(s.need.taken, candidate) || candidate.replica.PerSecond > 0 && !s.limited {
		return
	}
	promised := candidate.promised == s.need.model.Name
	if s.reserved || s.found && !promised && candidate.leastCost(s.need, from) >= s.best.cost {
		return
	}
	made, possible := spotOn(candidate, s.need, s.value, from)
	switch {
	case !possible:
	case promised && len(made.victims) == 0:
		made.waits = candidate.freeIn > 0
		s.best, s.found, s.reserved = made, true, true
	case !s.found || made.cost < s.best.cost:
		s.best, s.found = made, true
	}
}

// loadCost returns what a load on the place costs, in seconds, where no other model has a
// claim on it and nothing has to be unloaded.
func (p *place) loadCost(need *modelNeed, from source) float64 {
	return p.busyFor().Seconds() + from.takes.Seconds() + p.shared*need.shareOfStoreLoad(from.takes)
}

// leastCost is a lower bound of what a load on the place costs, in seconds.
func (p *place) leastCost(need *modelNeed, from source) float64 {
	cost := p.loadCost(need, from)
	if need.model.MemoryMB > p.memoryLeft && len(p.victims) > 0 {
		cost += costEviction + p.victims[0].worth
	}
	return cost
}

// spotOn returns what a load on a place costs, if it is possible and worth it.
func spotOn(candidate *place, need *modelNeed, value float64, from source) (spot, bool) {
	made := spot{place: candidate, source: from}
	missing := need.model.MemoryMB - candidate.memoryLeft
	made.waits = candidate.busyFor() > 0
	made.cost = candidate.loadCost(need, from)
	if need.zones[candidate.replica.Zone] {
		made.cost += costSameZone
	}
	if other := candidate.claim; other != nil && other != need {
		takes := other.sourceOn(candidate).takes
		made.waits = made.waits || takes > 0
		made.cost += takes.Seconds()
		missing += other.model.MemoryMB
	}
	if missing <= 0 {
		return made, true
	}
	victims, enough := candidate.evict(missing)
	if !enough {
		return spot{}, false
	}
	made.victims = victims
	cost, lost := costOfEviction(victims)
	made.cost += cost + lost
	return made, lost < value
}

// costOfEviction returns the seconds that unloading models takes, and what they are worth.
func costOfEviction(victims []victim) (cost, lost float64) {
	for _, one := range victims {
		lost += one.worth
		cost += costEviction
		if one.running > 0 {
			cost += costRunsEnd
		}
	}
	return cost, lost
}

// memoryLeft returns the memory in MB that nothing holds or may hold. What should have
// been unloaded counts as free.
func (p *planner) memoryLeft(replica *Replica) float64 {
	left := p.engine.MemoryMB
	for model, adapters := range replica.Holdings {
		if order := replica.underWay(fleet.Target{Model: model}); order != nil && order.unloaded(p.Now) {
			continue
		}
		if known := p.engine.Models[model]; known != nil {
			left -= known.MemoryMB + float64(len(adapters))*known.AdapterMemoryMB
		}
	}
	for _, order := range replica.Pending {
		known := p.engine.Models[order.Target.Model]
		if order.Verb != Load || known == nil || replica.Holdings.Has(order.Target) {
			continue
		}
		if order.ForModel() {
			left -= known.MemoryMB
		} else {
			left -= known.AdapterMemoryMB
		}
	}
	return left
}

const (
	// worthUnknown is the worth of the last copy of a model that nobody asked for
	// yet.
	worthUnknown = 0.4
	// worthInUse is the worth of a copy that requests wait for or run on.
	worthInUse = 6.0
	// worthAdapters is the worth of the last copy of a model that has adapters,
	// since models that are adapted are asked for in many ways.
	worthAdapters = 2.0
	// worthSpare is the worth of the second copy of a busy model, were it loaded from the
	// weight store: the loss of one replica must not take the model away.
	worthSpare = 4.0
	// worthFirst and worthRequest are the worth of a copy that requests wait for: in
	// itself, and for each of them.
	worthFirst   = 3.0
	worthRequest = 1.5
	// surplusWorth is the worth of a copy beyond the number wanted.
	surplusWorth = 0.1
)

// worthOf returns what a copy of a model is worth, in seconds that may be spent on
// keeping it.
func (p *planner) worthOf(need *modelNeed, reload time.Duration) float64 {
	if need.loaded > max(1, need.desired) {
		return surplusWorth + need.perSecond/float64(need.loaded)
	}
	worth := worthUnknown + need.perSecond*reload.Seconds()
	if need.running+need.waiting > 0 {
		worth += worthInUse
	}
	if len(need.model.Adapters) > 0 {
		worth += worthAdapters
	}
	return worth
}

// shareOfStoreLoad returns a time as a share of that of a load from the weight store.
func (n *modelNeed) shareOfStoreLoad(takes time.Duration) float64 {
	if n.model.StoreLoadTime <= 0 {
		return 1
	}
	return takes.Seconds() / n.model.StoreLoadTime.Seconds()
}

// loadShare returns how long a load of the model takes, as a share of one from the store.
func (n *modelNeed) loadShare() float64 {
	if n.cached && n.model.DiskLoadTime > 0 {
		return n.shareOfStoreLoad(n.model.DiskLoadTime)
	}
	return 1
}

// valueOfCopy returns what one more copy of a model is worth; urgent tells whether
// requests wait for the first.
func (p *planner) valueOfCopy(need *modelNeed, urgent bool) float64 {
	if urgent {
		return worthFirst + worthRequest*float64(need.waiting) + need.perSecond*need.model.StoreLoadTime.Seconds()
	}
	if need.copies == 0 {
		return need.perSecond * need.model.DiskLoadTime.Seconds()
	}
	if need.perSecond >= busyRate && need.copies < spareCopies {
		return (worthSpare + need.perSecond) * need.loadShare()
	}
	return need.perSecond / float64(need.copies)
}

func sortedKeys[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }
