package loading

import (
	"maps"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// loadMissingCopies gives orders for the copies that are missing.
func (p *planner) loadMissingCopies() {
	for _, need := range p.models {
		if need.copies == 0 && need.waiting == 0 && !need.cached {
			continue // it is fetched ahead
		}
		if need.copies >= need.desired || need.replicasMakingRoom() > 0 {
			continue
		}
		for p.loadModel(need) && need.isUnderReplicated() {
			continue // the next copy, too
		}
	}
}

// short tells whether so many copies are missing that the next is looked for at once. Copies
// whose room is made, or that wait for their replica, are on their way.
func (n *modelNeed) isUnderReplicated() bool {
	return float64(n.copies+n.comingCopies) < underReplicatedShare*float64(n.desired)
}

// spot is a replica that a model could be loaded on.
type placement struct {
	candidate *candidate
	source
	victims  []victim // models to be unloaded first
	cost     float64  // seconds
	mustWait bool     // the replica has other orders to carry out first
}

const (
	// costEviction is the time that an unload before the load takes.
	costEviction = 0.3
	// costSameZone is the cost of a copy in a zone that has one already: replicas of a zone
	// leave or fail together. On scale-2 of Andina large four of five copies of the most
	// popular model were in the zone whose replicas were withdrawn. It decides among
	// sources alike, and not between the disk and the store.
	costSameZone = 0.5
	// costSharedModel is the cost of each model in use on the same replica, which share
	// its batch.
	costSharedModel = 0.15
	// costFullReplica is the cost of a replica all of whose places are taken.
	costFullReplica = 4.0
	// costDrainRequests is how long an unload waits for what runs on the model.
	costDrainRequests = 1.5
	// costBlockedAdapters is the cost of a load where the only copy of a model with adapters
	// is in use: no adapter can be loaded there meanwhile. Several copies share it.
	costBlockedAdapters = 3.0
)

// loadModel loads one copy of a model, or makes room for it, or waits for a replica that has
// other orders first. It returns false where no replica comes into question.
func (p *planner) loadModel(need *modelNeed) bool {
	urgent := need.copies == 0 && need.waiting > 0
	best, found := p.bestPlacement(need, p.valueOfCopy(need, urgent), p.mayLoadFromStore(need))
	if !found {
		return false
	}
	need.chosen = append(need.chosen, best.candidate)
	if best.mustWait {
		// Waiting for the replica is better than any other.
		best.candidate.addQueuedTime(best.loadTime)
		need.comingCopies++
		return true
	}
	reason := "more copies"
	if urgent {
		reason = "requests wait"
	}
	p.placeModel(best, need, reason)
	return true
}

// use gives the order for a load on a spot, or for what must be unloaded first.
func (p *planner) placeModel(best placement, need *modelNeed, reason string) {
	replica := best.candidate.replica
	if len(best.victims) > 0 {
		need.comingCopies++
		p.addOrder(replica, Order{Verb: Unload, Target: fleet.Target{Model: best.victims[0].name}, ExpectedDuration: unloadTime,
			Reason: "room for " + need.model.Name, RoomFor: need.model.Name})
		return
	}
	if best.origin == FromStore {
		p.StoreLoadsAllowed--
		p.storeLoadsPending++
	}
	p.addOrder(replica, Order{Verb: Load, Target: fleet.Target{Model: need.model.Name}, Origin: best.origin, ExpectedDuration: best.loadTime, Reason: reason})
	need.addCopy(replica.Zone)
	need.cached = true
}

// unloadTime is how long an unload takes when nothing runs.
const unloadTime = 100 * time.Millisecond

// replicasMakingRoom counts the replicas that are being emptied for the model.
func (n *modelNeed) replicasMakingRoom() int {
	count := 0
	for _, one := range n.reservedOn {
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
func (p *planner) bestPlacement(need *modelNeed, maxEvictionWorth float64, fromStore bool) (placement, bool) {
	best, found := p.search(placementSearch{need: need, maxEvictionWorth: maxEvictionWorth}, fromStore)
	if !found && p.anyLimited {
		best, found = p.search(placementSearch{need: need, maxEvictionWorth: maxEvictionWorth, allowLimited: true}, fromStore)
	}
	return best, found
}

// search looks through the places for a model.
func (p *planner) search(search placementSearch, fromStore bool) (placement, bool) {
	need := search.need
	if !fromStore {
		for _, cached := range need.cachedSources {
			if _, held := cached.candidate.replica.Holdings[need.model.Name]; !held {
				search.consider(cached.candidate, cached.source)
			}
		}
		return search.best, search.found
	}
	// All lists follow the order of places, so that one walk joins them.
	holders, cachedSources := need.holders, need.cachedSources
	for _, c := range p.candidates {
		from := need.fromStore()
		if len(cachedSources) > 0 && cachedSources[0].candidate == c {
			from, cachedSources = cachedSources[0].source, cachedSources[1:]
		}
		if len(holders) > 0 && holders[0] == c {
			holders = holders[1:]
			continue
		}
		search.consider(c, from)
	}
	return search.best, search.found
}

// placementSearch finds the best spot for a model among places that are considered in turn.
type placementSearch struct {
	need             *modelNeed
	maxEvictionWorth float64 // of what may be unloaded
	best             placement
	found            bool
	foundReserved    bool // best is a place whose room is kept for the model
	allowLimited     bool // replicas with a limit come into question
}

// consider compares a place with the best so far. The first whose room is kept for the
// model, and needs no more of it, is taken.
func (s *placementSearch) consider(c *candidate, from source) {
	if slices.Contains(s.need.chosen, c) || c.replica.PerSecond > 0 && !s.allowLimited {
		return
	}
	reserved := c.reserved == s.need.model.Name
	if s.foundReserved || s.found && !reserved && c.minCost(s.need, from) >= s.best.cost {
		return
	}
	option, possible := placementOn(c, s.need, s.maxEvictionWorth, from)
	switch {
	case !possible:
	case reserved && len(option.victims) == 0:
		option.mustWait = c.freeIn > 0
		s.best, s.found, s.foundReserved = option, true, true
	case !s.found || option.cost < s.best.cost:
		s.best, s.found = option, true
	}
}

// loadCost returns what a load on the place costs, in seconds, where no other model has a
// claim on it and nothing has to be unloaded.
func (c *candidate) loadCost(need *modelNeed, from source) float64 {
	return c.busyFor().Seconds() + from.loadTime.Seconds() + c.sharingCost*need.relativeToStoreLoad(from.loadTime)
}

// minCost is a lower bound of what a load on the place costs, in seconds.
func (c *candidate) minCost(need *modelNeed, from source) float64 {
	cost := c.loadCost(need, from)
	if need.model.MemoryMB > c.memoryLeft && len(c.victims) > 0 {
		cost += costEviction + c.victims[0].worth
	}
	return cost
}

// placementOn returns what a load on a place costs, if it is possible and worth it.
func placementOn(c *candidate, need *modelNeed, maxEvictionWorth float64, from source) (placement, bool) {
	result := placement{candidate: c, source: from}
	missing := need.model.MemoryMB - c.memoryLeft
	result.mustWait = c.busyFor() > 0
	result.cost = c.loadCost(need, from)
	if need.zones[c.replica.Zone] {
		result.cost += costSameZone
	}
	if other := c.reservation; other != nil && other != need {
		loadTime := other.sourceOn(c).loadTime
		result.mustWait = result.mustWait || loadTime > 0
		result.cost += loadTime.Seconds()
		missing += other.model.MemoryMB
	}
	if missing <= 0 {
		return result, true
	}
	victims, enough := c.chooseVictims(missing)
	if !enough {
		return placement{}, false
	}
	result.victims = victims
	cost, lostWorth := evictionCost(victims)
	result.cost += cost + lostWorth
	return result, lostWorth < maxEvictionWorth
}

// evictionCost returns the seconds that unloading models takes, and what they are worth.
func evictionCost(victims []victim) (cost, lostWorth float64) {
	for _, v := range victims {
		lostWorth += v.worth
		cost += costEviction
		if v.running > 0 {
			cost += costDrainRequests
		}
	}
	return cost, lostWorth
}

// memoryLeft returns the memory in MB that nothing holds or may hold. What should have
// been unloaded counts as free.
func (p *planner) memoryLeft(replica *Replica) float64 {
	left := p.engine.MemoryMB
	for model, adapters := range replica.Holdings {
		if order := replica.pending(fleet.Target{Model: model}); order != nil && order.isOverdueUnload(p.Now) {
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
	// worthUnused is the worth of the last copy of a model that nobody asked for
	// yet.
	worthUnused = 0.4
	// worthInUse is the worth of a copy that requests wait for or run on.
	worthInUse = 6.0
	// worthAdapters is the worth of the last copy of a model that has adapters,
	// since models that are adapted are asked for in many ways.
	worthAdapters = 2.0
	// worthSpareCopy is the worth of the second copy of a busy model, were it loaded from the
	// weight store: the loss of one replica must not take the model away.
	worthSpareCopy = 4.0
	// worthFirstCopy and worthPerWaiting are the worth of a copy that requests wait for: in
	// itself, and for each of them.
	worthFirstCopy  = 3.0
	worthPerWaiting = 1.5
	// worthSurplus is the worth of a copy beyond the number wanted.
	worthSurplus = 0.1
)

// worthOf returns what a copy of a model is worth, in seconds that may be spent on
// keeping it.
func (p *planner) worthOf(need *modelNeed, reload time.Duration) float64 {
	if need.loaded > max(1, need.desired) {
		return worthSurplus + need.perSecond/float64(need.loaded)
	}
	worth := worthUnused + need.perSecond*reload.Seconds()
	if need.running+need.waiting > 0 {
		worth += worthInUse
	}
	if len(need.model.Adapters) > 0 {
		worth += worthAdapters
	}
	return worth
}

// relativeToStoreLoad returns a time as a share of that of a load from the weight store.
func (n *modelNeed) relativeToStoreLoad(loadTime time.Duration) float64 {
	if n.model.StoreLoad <= 0 {
		return 1
	}
	return loadTime.Seconds() / n.model.StoreLoad.Seconds()
}

// relativeLoadTime returns how long a load of the model takes, as a share of one from the store.
func (n *modelNeed) relativeLoadTime() float64 {
	if n.cached && n.model.DiskLoad > 0 {
		return n.relativeToStoreLoad(n.model.DiskLoad)
	}
	return 1
}

// valueOfCopy returns what one more copy of a model is worth; urgent tells whether
// requests wait for the first.
func (p *planner) valueOfCopy(need *modelNeed, urgent bool) float64 {
	if urgent {
		return worthFirstCopy + worthPerWaiting*float64(need.waiting) + need.perSecond*need.model.StoreLoad.Seconds()
	}
	if need.copies == 0 {
		return need.perSecond * need.model.DiskLoad.Seconds()
	}
	if need.perSecond >= busyRate && need.copies < spareCopies {
		return (worthSpareCopy + need.perSecond) * need.relativeLoadTime()
	}
	return need.perSecond / float64(need.copies)
}

func sortedKeys[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }
