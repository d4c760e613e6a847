package loading

import (
	"cmp"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rendezvous"
)

const (
	// adapterTime is how long the load of an adapter takes from the weight store.
	adapterTime = 200 * time.Millisecond
	// adapterRatePerCopy is the arrivals a second that one copy of an adapter is
	// meant for.
	adapterRatePerCopy = 3.0
	// mostAdaptersComing is how many adapters may be on their way to a replica.
	mostAdaptersComing = 4
)

// loadAdapters gives orders for adapters that requests wait for.
func (p *planner) loadAdapters() {
	for _, key := range p.adaptersAskedFor() {
		asked := p.Demand[key]
		copies := p.adapters[key.Target]
		if copies == 0 && asked.Waiting > 0 || float64(copies)*adapterRatePerCopy < asked.PerSecond {
			p.loadAdapter(key.Target)
		}
	}
}

// loadAdaptersAhead fills free places with the adapters of busy models and of those
// to which demand is expected to move: while a replica loads a model, it takes no
// adapter, and a holder of orders may be missing when one is asked for.
func (p *planner) loadAdaptersAhead() {
	for _, need := range p.models {
		if need.perSecond < busyRate {
			continue
		}
		for _, adapter := range need.model.Adapters {
			target := fleet.Target{Model: need.model.Name, Adapter: adapter}
			if p.adapters[target] > 0 {
				continue
			}
			if best := p.adapterSpot(target); best != nil && p.hasAdapterRoom(best, target) {
				p.give(best, Order{Verb: Load, Target: target, ExpectedDuration: adapterTime, Reason: "ahead of demand"})
			}
		}
	}
}

// adaptersAskedFor lists the service's adapters with demand, those that most wait
// for first.
func (p *planner) adaptersAskedFor() []demand.Key {
	var keys []demand.Key
	for key, asked := range p.Demand {
		if key.Service == p.service && key.Target.Adapter != "" && (asked.Waiting > 0 || asked.PerSecond > adapterRatePerCopy) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b demand.Key) int {
		return cmp.Or(cmp.Compare(p.Demand[b].Waiting, p.Demand[a].Waiting),
			cmp.Compare(a.Target.Model, b.Target.Model), cmp.Compare(a.Target.Adapter, b.Target.Adapter))
	})
	return keys
}

// loadAdapter loads an adapter on the replica that suits it best, or makes a place
// for it.
func (p *planner) loadAdapter(target fleet.Target) {
	best := p.adapterSpot(target)
	if best == nil {
		return
	}
	if p.hasAdapterRoom(best, target) {
		p.give(best, Order{Verb: Load, Target: target, ExpectedDuration: adapterTime, Reason: "requests wait"})
		return
	}
	if victim, found := p.idleAdapter(best); found {
		p.give(best, Order{Verb: Unload, Target: victim, ExpectedDuration: unloadTime, Reason: "a place for " + target.Model + "/" + target.Adapter})
	}
}

// adapterSpot returns the replica that suits an adapter best, or nil.
func (p *planner) adapterSpot(target fleet.Target) *Replica {
	need := p.byName[target.Model]
	if need == nil {
		return nil // not declared any more
	}
	if best := p.adapterSpotOn(need, target, false); best != nil || !p.anyLimited {
		return best
	}
	return p.adapterSpotOn(need, target, true) // each order takes a turn of a request
}

// adapterSpotOn is adapterSpot among the holders with, or without, a limit.
func (p *planner) adapterSpotOn(need *modelNeed, target fleet.Target, limited bool) *Replica {
	var best *Replica
	bestUsed, bestScore := 0, uint64(0)
	for _, candidate := range need.holders {
		replica := candidate.replica
		if candidate.freeIn > 0 || replica.PerSecond > 0 != limited {
			continue
		}
		if unloading(replica, target.Model) || adaptersComing(replica) >= mostAdaptersComing {
			continue
		}
		if replica.Holdings.Has(target) || replica.underWay(target) != nil {
			continue // further copies belong on other replicas
		}
		// Full replicas are equal; among the others the emptiest is best, so that
		// adapters spread. Hashing keeps an adapter where it was before.
		used := min(adaptersOn(replica), p.engine.AdapterSlots)
		score := rendezvous.Score(target.Adapter, replica.ID)
		if best == nil || used < bestUsed || (used == bestUsed && score > bestScore) {
			best, bestUsed, bestScore = replica, used, score
		}
	}
	return best
}

// hasAdapterRoom tells whether a replica has a place and memory for an adapter.
func (p *planner) hasAdapterRoom(replica *Replica, target fleet.Target) bool {
	memory := p.engine.Models[target.Model].AdapterMemoryMB
	return adaptersOn(replica) < p.engine.AdapterSlots && p.memoryLeft(replica) >= memory
}

// adaptersOn counts the adapter places that are taken or may be.
func adaptersOn(replica *Replica) int {
	count := 0
	for _, adapters := range replica.Holdings {
		count += len(adapters)
	}
	for _, order := range replica.Pending {
		if order.Verb == Load && !order.ForModel() && !replica.Holdings.Has(order.Target) {
			count++
		}
	}
	return count
}

func adaptersComing(replica *Replica) int {
	count := 0
	for _, order := range replica.Pending {
		if order.Verb == Load && !order.ForModel() {
			count++
		}
	}
	return count
}

// idleAdapter returns the adapter on a replica that is used least: those that
// nobody runs or waits for first, then those used longest ago.
func (p *planner) idleAdapter(replica *Replica) (fleet.Target, bool) {
	var victim fleet.Target
	var least Demand
	found := false
	for _, model := range sortedKeys(replica.Holdings) {
		for _, adapter := range replica.Holdings[model] {
			target := fleet.Target{Model: model, Adapter: adapter}
			asked := p.askedFor(target)
			if replica.underWay(target) != nil || asked.Waiting > 0 {
				continue
			}
			if !found || lessUsed(asked, least) {
				victim, least, found = target, asked, true
			}
		}
	}
	return victim, found
}

func lessUsed(a, b Demand) bool {
	if (a.Running == 0) != (b.Running == 0) {
		return a.Running == 0
	}
	return a.LastUsed.Before(b.LastUsed)
}
