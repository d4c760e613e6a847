package loading

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
)

// loadModels gives orders for the copies that are missing.
func (p *planner) loadModels() {
	for _, need := range p.models {
		if need.copies >= need.desired {
			continue
		}
		p.loadModel(need)
	}
}

// spot is a replica that a model could be loaded on.
type spot struct {
	replica *Replica
	origin  Origin
	takes   time.Duration
	victims []string // models to be unloaded first
	cost    float64  // seconds
}

const (
	// costEviction is the time that an unload before the load takes.
	costEviction = 0.3
	// costShared is the cost of each model in use on the same replica, which share
	// its batch.
	costShared = 0.15
	// costRunsEnd is how long an unload waits for what runs on the model.
	costRunsEnd = 1.5
	// costAdapters is the cost of a load where the only copy of a model with adapters
	// is in use: no adapter can be loaded there meanwhile. Several copies share it.
	costAdapters = 3.0
	// freshFor is how long a model that was just loaded is not evicted.
	freshFor = 4 * time.Second
	// costNoStore keeps loads from the store back while the store allows none.
	costNoStore = 1e6
)

// loadModel loads one copy of a model, or makes room for it.
func (p *planner) loadModel(need *modelNeed) {
	urgent := need.copies == 0 && need.waiting > 0
	if p.roomIsComing(need) {
		return
	}
	best, found := p.bestSpot(need, urgent)
	if !found {
		return
	}
	if len(best.victims) > 0 {
		p.give(best.replica, Order{Verb: Unload, Target: fleet.Target{Model: best.victims[0]}, Takes: unloadTime,
			Reason: "room for " + need.model.Name, RoomFor: need.model.Name})
		return
	}
	if best.origin == FromStore {
		p.StoreLoads--
	}
	reason := "more copies"
	if urgent {
		reason = "requests wait"
	}
	p.give(best.replica, Order{Verb: Load, Target: fleet.Target{Model: need.model.Name}, Origin: best.origin, Takes: best.takes, Reason: reason})
	need.copies++
}

// unloadTime is how long an unload takes when nothing runs.
const unloadTime = 100 * time.Millisecond

// roomIsComing tells whether a replica is being emptied for the model.
func (p *planner) roomIsComing(need *modelNeed) bool {
	for _, replica := range p.Replicas {
		if replica.Service == p.service && !replica.Draining && replica.busy() && p.promisedTo(replica) == need.model.Name {
			return true
		}
	}
	return false
}

// bestSpot returns the replica where the model is loaded soonest at the least cost
// to others.
func (p *planner) bestSpot(need *modelNeed, urgent bool) (spot, bool) {
	var best spot
	found := false
	for _, replica := range p.candidates() {
		promised := p.promisedTo(replica)
		if replica.busy() || promised != "" && promised != need.model.Name {
			continue
		}
		if _, held := replica.Holdings[need.model.Name]; held {
			continue
		}
		candidate, possible := p.spotOn(replica, need, urgent)
		if possible && (!found || candidate.cost < best.cost) {
			best, found = candidate, true
		}
	}
	return best, found && best.cost < costNoStore
}

func (p *planner) spotOn(replica *Replica, need *modelNeed, urgent bool) (spot, bool) {
	made := spot{replica: replica}
	made.origin, made.takes = originOn(replica, need)
	made.cost = made.takes.Seconds()
	for model := range replica.Holdings {
		if other := p.byName[model]; other != nil {
			made.cost += costShared * min(1, other.perSecond)
			if len(other.model.Adapters) > 0 && other.perSecond > 0 {
				made.cost += costAdapters / float64(max(1, other.loaded))
			}
		}
	}
	if made.origin == FromStore && p.StoreLoads <= 0 {
		made.cost += costNoStore
	}
	missing := need.model.MemoryMB - p.memoryLeft(replica, false)
	if missing <= 0 {
		return made, true
	}
	victims, value, enough := p.victimsOn(replica, missing)
	if !enough || value >= p.valueOfCopy(need, urgent) {
		return spot{}, false
	}
	made.victims = victims
	made.cost += costEviction*float64(len(victims)) + value
	for _, victim := range victims {
		if other := p.byName[victim]; other != nil && other.running > 0 {
			made.cost += costRunsEnd
		}
	}
	return made, true
}

func originOn(replica *Replica, need *modelNeed) (Origin, time.Duration) {
	switch {
	case slices.Contains(replica.InMemory, need.model.Name) && need.model.MemoryLoad > 0:
		return FromMemory, need.model.MemoryLoad
	case slices.Contains(replica.OnDisk, need.model.Name) && need.model.DiskLoad > 0:
		return FromDisk, need.model.DiskLoad
	}
	return FromStore, need.model.StoreLoad
}

// memoryLeft returns the memory in MB that nothing holds or may hold; with future
// set, what is being unloaded counts as free.
func (p *planner) memoryLeft(replica *Replica, future bool) float64 {
	left := p.engine.MemoryMB
	for model, adapters := range replica.Holdings {
		if future && unloading(replica, model) {
			continue
		}
		if known := p.engine.Models[model]; known != nil {
			left -= known.MemoryMB + float64(len(adapters))*known.AdapterMemoryMB
		}
	}
	for _, order := range replica.UnderWay {
		known := p.engine.Models[order.Target.Model]
		if order.Verb != Load || known == nil || replica.Holdings.Has(order.Target) {
			continue
		}
		if order.Target.Adapter == "" {
			left -= known.MemoryMB
		} else {
			left -= known.AdapterMemoryMB
		}
	}
	return left
}

// victimsOn picks the models on a replica that are worth least and whose unloading
// frees enough memory; value is what they are worth together.
func (p *planner) victimsOn(replica *Replica, missing float64) (victims []string, value float64, enough bool) {
	type victim struct {
		name   string
		memory float64
		worth  float64
	}
	var all []victim
	for _, name := range slices.Sorted(maps.Keys(replica.Holdings)) {
		need := p.byName[name]
		if unloading(replica, name) || p.Now.Sub(replica.LoadedAt[name]) < freshFor {
			continue
		}
		one := victim{name: name, memory: math.Inf(1)} // a model that is not declared goes first
		if need != nil {
			one.memory = need.model.MemoryMB + float64(len(replica.Holdings[name]))*need.model.AdapterMemoryMB
			one.worth = p.worthOf(need)
		}
		all = append(all, one)
	}
	slices.SortStableFunc(all, func(a, b victim) int { return cmp.Compare(a.worth, b.worth) })
	for _, one := range all {
		// One that alone frees enough is better than several.
		if one.memory >= missing {
			return []string{one.name}, one.worth, true
		}
	}
	freed := 0.0
	for _, one := range all {
		victims = append(victims, one.name)
		value += one.worth
		freed += one.memory
		if freed >= missing {
			return victims, value, true
		}
	}
	return nil, 0, false
}

const (
	// worthUnknown is the worth of the last copy of a model that nobody asked for
	// yet.
	worthUnknown = 0.4
	// worthWaiting is the worth of a copy that requests wait for or run on.
	worthInUse = 6.0
	// worthAdapters is the worth of the last copy of a model that has adapters,
	// since models that are adapted are asked for in many ways.
	worthAdapters = 2.0
	// worthRank is the worth of the last copy of the first model of a catalogue,
	// which names the models that matter most first; rankScale is over how many
	// places it falls.
	worthRank = 3.0
	rankScale = 4.0
	// worthSuccessor is the worth of a copy of a model to which demand is expected to
	// move.
	worthSuccessor = 8.0
	// worthFirst and worthRequest are the worth of a copy that requests wait for: in
	// itself, and for each of them.
	worthFirst   = 3.0
	worthRequest = 1.5
	// surplusWorth is the worth of a copy beyond the number wanted.
	surplusWorth = 0.1
)

// worthOf returns what a copy of a model is worth, in seconds that may be spent on
// keeping it.
func (p *planner) worthOf(need *modelNeed) float64 {
	if need.loaded > max(1, need.desired) {
		return surplusWorth + need.perSecond/float64(need.loaded)
	}
	worth := worthUnknown + need.perSecond*need.model.StoreLoad.Seconds()
	if need.running+need.waiting > 0 {
		worth += worthInUse
	}
	if len(need.model.Adapters) > 0 {
		worth += worthAdapters
	}
	if need.successor {
		worth += worthSuccessor
	}
	return worth + worthRank*math.Exp(-float64(need.model.Rank)/rankScale)
}

// valueOfCopy returns what one more copy of a model is worth; urgent tells whether
// requests wait for the first.
func (p *planner) valueOfCopy(need *modelNeed, urgent bool) float64 {
	if urgent {
		return worthFirst + worthRequest*float64(need.waiting) + need.perSecond*need.model.StoreLoad.Seconds()
	}
	if need.copies == 0 {
		return worthUnknown + need.perSecond*need.model.StoreLoad.Seconds()
	}
	if (need.successor || need.perSecond >= busyRate) && need.copies < spareCopies {
		return worthSuccessor/2 + need.perSecond
	}
	return need.perSecond / float64(need.copies)
}

func sortedKeys[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }
