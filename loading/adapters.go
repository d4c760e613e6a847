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
	// adapterLoadTime is how long the load of an adapter takes from the weight store.
	adapterLoadTime = 200 * time.Millisecond
	// adapterArrivalRatePerCopy is the arrivals a second that one copy of an adapter is
	// meant for.
	adapterArrivalRatePerCopy = 3.0
	// maxPendingAdapters is how many adapters may be on their way to a replica.
	maxPendingAdapters = 4
)

// loadAdapters gives orders for adapters that requests wait for.
func (p *planner) loadAdapters() {
	for _, key := range p.adaptersInDemand() {
		demanded := p.Demand[key]
		copies := p.adapterCopies[key.Target]
		if copies == 0 && demanded.Waiting > 0 || float64(copies)*adapterArrivalRatePerCopy < demanded.PerSecond {
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
			if p.adapterCopies[target] > 0 {
				continue
			}
			if best := p.bestAdapterReplica(target); best != nil && p.fitsAdapter(best, target) {
				p.addOrder(best, Order{Verb: Load, Target: target, ExpectedDuration: adapterLoadTime, Reason: "ahead of demand"})
			}
		}
	}
}

// adaptersInDemand lists the service's adapters with demand, those that most wait
// for first.
func (p *planner) adaptersInDemand() []demand.Key {
	var keys []demand.Key
	for key, demanded := range p.Demand {
		if key.Service == p.service && key.Target.Adapter != "" && (demanded.Waiting > 0 || demanded.PerSecond > adapterArrivalRatePerCopy) {
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
	best := p.bestAdapterReplica(target)
	if best == nil {
		return
	}
	if p.fitsAdapter(best, target) {
		p.addOrder(best, Order{Verb: Load, Target: target, ExpectedDuration: adapterLoadTime, Reason: "requests wait"})
		return
	}
	if victim, found := p.leastUsedAdapter(best); found {
		p.addOrder(best, Order{Verb: Unload, Target: victim, ExpectedDuration: unloadTime, Reason: "a place for " + target.Model + "/" + target.Adapter})
	}
}

// bestAdapterReplica returns the replica that suits an adapter best, or nil.
func (p *planner) bestAdapterReplica(target fleet.Target) *Replica {
	need := p.byName[target.Model]
	if need == nil {
		return nil // not declared any more
	}
	if best := p.bestAdapterReplicaAmong(need, target, false); best != nil || !p.anyLimited {
		return best
	}
	return p.bestAdapterReplicaAmong(need, target, true) // each order takes a turn of a request
}

// bestAdapterReplicaAmong is bestAdapterReplica among the holders with, or without, a limit.
func (p *planner) bestAdapterReplicaAmong(need *modelNeed, target fleet.Target, limited bool) *Replica {
	var best *Replica
	bestUsed, bestScore := 0, uint64(0)
	for _, candidate := range need.holders {
		replica := candidate.replica
		if candidate.freeIn > 0 || replica.PerSecond > 0 != limited {
			continue
		}
		if isUnloading(replica, target.Model) || pendingAdapterLoads(replica) >= maxPendingAdapters {
			continue
		}
		if replica.Holdings.Has(target) || replica.pending(target) != nil {
			continue // further copies belong on other replicas
		}
		// Full replicas are equal; among the others the emptiest is best, so that
		// adapters spread. Hashing keeps an adapter where it was before.
		used := min(usedAdapterSlots(replica), p.engine.AdapterSlots)
		score := rendezvous.Score(target.Adapter, replica.ID)
		if best == nil || used < bestUsed || (used == bestUsed && score > bestScore) {
			best, bestUsed, bestScore = replica, used, score
		}
	}
	return best
}

// fitsAdapter tells whether a replica has a place and memory for an adapter.
func (p *planner) fitsAdapter(replica *Replica, target fleet.Target) bool {
	memory := p.engine.Models[target.Model].AdapterMemoryMB
	return usedAdapterSlots(replica) < p.engine.AdapterSlots && p.memoryLeft(replica) >= memory
}

// usedAdapterSlots counts the adapter places that are taken or may be.
func usedAdapterSlots(replica *Replica) int {
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

func pendingAdapterLoads(replica *Replica) int {
	count := 0
	for _, order := range replica.Pending {
		if order.Verb == Load && !order.ForModel() {
			count++
		}
	}
	return count
}

// leastUsedAdapter returns the adapter on a replica that is used least: those that
// nobody runs or waits for first, then those used longest ago.
func (p *planner) leastUsedAdapter(replica *Replica) (fleet.Target, bool) {
	var victim fleet.Target
	var least Demand
	found := false
	for _, model := range sortedKeys(replica.Holdings) {
		for _, adapter := range replica.Holdings[model] {
			target := fleet.Target{Model: model, Adapter: adapter}
			demanded := p.demandFor(target)
			if replica.pending(target) != nil || demanded.Waiting > 0 {
				continue
			}
			if !found || lessUsed(demanded, least) {
				victim, least, found = target, demanded, true
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
