package loading

import (
	"maps"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// loadMissingCopies orders loads for models with fewer copies than desired.
func (p *planner) loadMissingCopies() {
	for _, need := range p.models {
		if need.copies == 0 && need.waiting == 0 && !need.cached {
			continue // prefetchModels loads it
		}
		if need.copies >= need.desired || need.replicasMakingRoom() > 0 {
			continue
		}
		if p.byWork && need.copies > 0 && !p.mayOrderFurtherCopy() {
			continue
		}
		for p.loadModel(need) && need.isUnderReplicated() {
			continue // place the next copy too
		}
	}
}

// isUnderReplicated reports whether so many copies are missing that the next one is placed at once. Copies
// that this decision has prepared count as present.
func (n *modelNeed) isUnderReplicated() bool {
	return float64(n.copies+n.preparedCopies) < underReplicatedShare*float64(n.desired)
}

// placement is a possible load of a model on a candidate, with its cost.
type placement struct {
	candidate *candidate
	source
	victims  []victim // models to unload first
	cost     float64  // seconds
	mustWait bool     // the replica must finish other orders first
}

// Costs of placements, in seconds.
const (
	// costEviction is the time for unloading one model before the load.
	costEviction = 0.3
	// costSameZone is the cost of a second copy in a zone, since the replicas of a zone often fail together.
	// It is too small to outweigh a load from disk instead of from the store.
	costSameZone = 0.5
	// costSharedModel is the cost of each other model in use on the replica, with which a copy shares its
	// batch.
	costSharedModel = 0.15
	// costFullReplica is the cost of a replica whose slots are all in use; lower utilization costs
	// proportionally.
	costFullReplica = 4.0
	// costDrainRequests is how long an unload waits for running requests of the model.
	costDrainRequests = 1.5
	// costBlockedAdapters is the cost of blocking adapter loads on the only copy of a model in use. Several
	// copies of the model share it.
	costBlockedAdapters = 3.0
)

// loadModel loads one copy of a model, frees memory for it, or waits for a busy replica. It returns false if
// no replica is suitable.
func (p *planner) loadModel(need *modelNeed) bool {
	urgent := need.copies == 0 && need.waiting > 0
	best, found := p.bestPlacement(need, p.worthOfNewCopy(need, urgent), p.mayLoadFromStore(need))
	if !found {
		return false
	}
	need.chosen = append(need.chosen, best.candidate)
	if best.mustWait {
		// Waiting for the busy replica is better than using any other one.
		best.candidate.addQueuedTime(best.loadTime)
		need.preparedCopies++
		return true
	}
	reason := p.reasonForCopy(need)
	if urgent {
		reason = "requests wait"
	}
	p.placeModel(best, need, reason)
	return true
}

// placeModel orders the load for a placement, or the unload that must come first.
func (p *planner) placeModel(best placement, need *modelNeed, reason string) {
	replica := best.candidate.replica
	if len(best.victims) > 0 {
		need.preparedCopies++
		if p.byWork && best.origin == FromStore {
			p.storeLoadsPending++ // no more room than for the loads that may start
		}
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

// unloadTime is the expected duration of unloading a model without running requests.
const unloadTime = 100 * time.Millisecond

// replicasMakingRoom counts the replicas that are freeing memory for the model.
func (n *modelNeed) replicasMakingRoom() int {
	count := 0
	for _, c := range n.reservedOn {
		if c.replica.busy() && c.freeIn > 0 {
			count++
		}
	}
	return count
}

// bestPlacement returns the placement with the least cost, which may be on a busy replica. Models worth up to
// maxEvictionWorth may be evicted; fromStore allows loads from the weight store. Replicas with a request
// limit are used only if no other is suitable, since orders and probes count towards the limit.
func (p *planner) bestPlacement(need *modelNeed, maxEvictionWorth float64, fromStore bool) (placement, bool) {
	best, found := p.search(placementSearch{need: need, maxEvictionWorth: maxEvictionWorth}, fromStore)
	if !found && p.anyLimited {
		best, found = p.search(placementSearch{need: need, maxEvictionWorth: maxEvictionWorth, allowLimited: true}, fromStore)
	}
	return best, found
}

// search compares the candidates for a model.
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
	// All lists are in the order of the candidates, so one pass merges them.
	loadedOn, cachedSources := need.loadedOn, need.cachedSources
	for _, c := range p.candidates {
		from := need.fromStore()
		if len(cachedSources) > 0 && cachedSources[0].candidate == c {
			from, cachedSources = cachedSources[0].source, cachedSources[1:]
		}
		if len(loadedOn) > 0 && loadedOn[0] == c {
			loadedOn = loadedOn[1:]
			continue
		}
		search.consider(c, from)
	}
	return search.best, search.found
}

// placementSearch finds the best placement among the candidates that it considers.
type placementSearch struct {
	need             *modelNeed
	maxEvictionWorth float64 // bound on the worth of the evicted models
	best             placement
	found            bool
	foundReserved    bool // best is on a candidate reserved for the model
	allowLimited     bool // consider replicas with a request limit too
}

// consider compares a candidate with the best placement so far. The first candidate that is reserved for the
// model and has enough free memory is final.
func (s *placementSearch) consider(c *candidate, from source) {
	if slices.Contains(s.need.chosen, c) || c.replica.PerSecond > 0 && !s.allowLimited || !s.need.allowsVersion(c.replica.Version) {
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

// loadCost returns the cost of a load in seconds, before reservations for other models and evictions.
func (c *candidate) loadCost(need *modelNeed, from source) float64 {
	return c.busyFor().Seconds() + from.loadTime.Seconds() + c.sharingCost*need.relativeToStoreLoad(from.loadTime) + c.workCostFor(need)
}

// minCost returns a lower bound of the cost of a load, in seconds.
func (c *candidate) minCost(need *modelNeed, from source) float64 {
	cost := c.loadCost(need, from)
	if need.model.MemoryMB > c.memoryLeft && len(c.victims) > 0 {
		cost += costEviction + c.victims[0].worth
	}
	return cost
}

// placementOn returns the placement of a model on a candidate, and whether it is possible within
// maxEvictionWorth.
func placementOn(c *candidate, need *modelNeed, maxEvictionWorth float64, from source) (placement, bool) {
	result := placement{candidate: c, source: from}
	missingMB := need.model.MemoryMB - c.memoryLeft
	if c.byWork && need.copies > 0 && !c.relieves(need) {
		return placement{}, false
	}
	if need.copies > 0 && from.origin == FromStore && c.cachesLastWeights {
		return placement{}, false // the load may push them out of the cache
	}
	result.mustWait = c.busyFor() > 0
	result.cost = c.loadCost(need, from)
	if need.zones[c.replica.Zone] {
		result.cost += costSameZone
	}
	if other := c.reservation; other != nil && other.model != need.model {
		loadTime := other.sourceOn(c).loadTime
		result.mustWait = result.mustWait || loadTime > 0
		result.cost += loadTime.Seconds()
		missingMB += other.model.MemoryMB
	}
	if missingMB <= 0 {
		return result, true
	}
	victims, enough := c.chooseVictims(missingMB, need.copies > 0)
	if !enough {
		return placement{}, false
	}
	result.victims = victims
	cost, lostWorth := evictionCost(victims)
	result.cost += cost + lostWorth
	return result, lostWorth < maxEvictionWorth
}

// evictionCost returns the time that the evictions take, in seconds, and the worth of the evicted models.
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

// memoryLeft returns the free memory in MB. Pending loads count as loaded, and overdue unloads as unloaded.
func (p *planner) memoryLeft(replica *Replica) float64 {
	free := p.engine.MemoryMB
	for model, adapters := range replica.Holdings {
		if order := replica.pending(fleet.Target{Model: model}); order != nil && order.isOverdueUnload(p.Now) {
			continue
		}
		if spec := p.engine.Models[model]; spec != nil {
			free -= spec.MemoryMB + float64(len(adapters))*spec.AdapterMemoryMB
		}
	}
	for _, order := range replica.Pending {
		spec := p.engine.Models[order.Target.Model]
		if order.Verb != Load || spec == nil || replica.Holdings.Has(order.Target) {
			continue
		}
		if order.ForModel() {
			free -= spec.MemoryMB
		} else {
			free -= spec.AdapterMemoryMB
		}
	}
	return free
}

// Worths of copies, in seconds of load time.
const (
	// worthUnused is the base worth of a copy that is not surplus.
	worthUnused = 0.4
	// worthInUse is the additional worth of a copy with running or waiting requests.
	worthInUse = 6.0
	// worthAdapters is the additional worth of a copy of a model with adapters, which also serves their
	// requests.
	worthAdapters = 2.0
	// worthSpareCopy is the worth of the second copy of a busy model if it comes from the weight store. It
	// keeps the model available if a replica is lost.
	worthSpareCopy = 4.0
	// worthFirstCopy is the worth of the first copy of a model that requests wait for, and worthPerWaiting
	// the additional worth for each waiting request.
	worthFirstCopy  = 3.0
	worthPerWaiting = 1.5
	// worthSurplus is the base worth of a copy beyond the desired number.
	worthSurplus = 0.1
)

// worthOf returns the worth of keeping a copy of a model, in seconds of load time.
func (p *planner) worthOf(need *modelNeed, reload time.Duration) float64 {
	if need.loaded > max(1, need.kept) && (!p.byWork || need.unsaturated > max(1, need.kept)) {
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

// relativeToStoreLoad returns a load time relative to the model's load time from the weight store.
func (n *modelNeed) relativeToStoreLoad(loadTime time.Duration) float64 {
	if n.model.StoreLoadTime <= 0 {
		return 1
	}
	return loadTime.Seconds() / n.model.StoreLoadTime.Seconds()
}

// relativeLoadTime returns the model's load time relative to a load from the weight store.
func (n *modelNeed) relativeLoadTime() float64 {
	if n.cached && n.model.DiskLoadTime > 0 {
		return n.relativeToStoreLoad(n.model.DiskLoadTime)
	}
	return 1
}

// worthOfNewCopy returns the worth of one more copy of a model; urgent means that requests wait for the first
// copy.
func (p *planner) worthOfNewCopy(need *modelNeed, urgent bool) float64 {
	if urgent {
		return worthFirstCopy + worthPerWaiting*float64(need.waiting) + need.perSecond*need.model.StoreLoadTime.Seconds()
	}
	if need.copies == 0 && p.byWork {
		return 0 // it is loaded once a request waits
	}
	if need.copies == 0 {
		return need.perSecond * need.model.DiskLoadTime.Seconds()
	}
	if p.byWork && need.isOverloaded(p.capacity) {
		return need.worthByWork()
	}
	if need.perSecond >= busyRate && need.copies < spareCopies {
		return (worthSpareCopy + need.perSecond) * need.relativeLoadTime()
	}
	return need.perSecond / float64(need.copies)
}

func sortedKeys[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }
