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
	// adapterLoadTime is the expected duration of loading an adapter.
	adapterLoadTime = 200 * time.Millisecond
	// adapterArrivalRatePerCopy is the number of arrivals per second that one copy of an adapter should
	// serve.
	adapterArrivalRatePerCopy = 3.0
	// maxPendingAdapters bounds the adapter loads pending on one replica.
	maxPendingAdapters = 4
)

// loadAdapters orders loads of adapters that are in demand and have too few copies.
func (p *planner) loadAdapters() {
	for _, key := range p.adaptersInDemand() {
		keyDemand := p.Demand[key]
		copies := p.adapterCopies[key.Target]
		if copies == 0 && keyDemand.Waiting > 0 || float64(copies)*adapterArrivalRatePerCopy < keyDemand.PerSecond {
			p.loadAdapter(key.Target)
		}
	}
}

// loadAdaptersAhead fills free slots with adapters of busy models before they are requested. A replica cannot
// load an adapter while it loads a model, and at the time of a request there may be no leader.
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

// adaptersInDemand lists the service's adapters with demand, those with the most waiting requests first.
func (p *planner) adaptersInDemand() []demand.Key {
	var keys []demand.Key
	for key, keyDemand := range p.Demand {
		if key.Service == p.service && key.Target.Adapter != "" && (keyDemand.Waiting > 0 || keyDemand.PerSecond > adapterArrivalRatePerCopy) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b demand.Key) int {
		return cmp.Or(cmp.Compare(p.Demand[b].Waiting, p.Demand[a].Waiting),
			cmp.Compare(a.Target.Model, b.Target.Model), cmp.Compare(a.Target.Adapter, b.Target.Adapter))
	})
	return keys
}

// loadAdapter loads an adapter on the best replica, or unloads an adapter there to free a slot.
func (p *planner) loadAdapter(target fleet.Target) {
	if best := p.bestAdapterReplica(target); best != nil {
		p.loadAdapterOn(best, target, "requests wait")
	}
}

// loadAdapterOn loads an adapter on a replica, or unloads an adapter there to free a slot.
func (p *planner) loadAdapterOn(best *Replica, target fleet.Target, reason string) {
	if p.fitsAdapter(best, target) {
		p.addOrder(best, Order{Verb: Load, Target: target, ExpectedDuration: adapterLoadTime, Reason: reason})
		return
	}
	if victim, found := p.leastUsedAdapter(best); found {
		p.addOrder(best, Order{Verb: Unload, Target: victim, ExpectedDuration: unloadTime, Reason: "adapter slot for " + target.Model + "/" + target.Adapter})
	}
}

// bestAdapterReplica returns the best replica for an adapter, or nil.
func (p *planner) bestAdapterReplica(target fleet.Target) *Replica {
	need := p.byName[target.Model]
	if need == nil {
		return nil // the model is no longer declared
	}
	return p.bestAdapterReplicaAmong(need.loadedOn, target)
}

// bestAdapterReplicaAmong returns the best replica for an adapter among candidates that hold its model, or nil.
func (p *planner) bestAdapterReplicaAmong(candidates []*candidate, target fleet.Target) *Replica {
	if best := p.bestAdapterReplicaByLimit(candidates, target, false); best != nil || !p.anyLimited {
		return best
	}
	return p.bestAdapterReplicaByLimit(candidates, target, true) // loads there use up the replica's request limit
}

// bestAdapterReplicaByLimit considers only replicas with, or only replicas without, a request limit.
func (p *planner) bestAdapterReplicaByLimit(candidates []*candidate, target fleet.Target, limited bool) *Replica {
	var best *Replica
	bestUsed, bestScore := 0, uint64(0)
	for _, candidate := range candidates {
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
		// Prefer replicas with free slots, the emptiest first, so that adapters spread. Among equal replicas,
		// rendezvous hashing returns an adapter to where it was before.
		used := min(usedAdapterSlots(replica), p.engine.AdapterSlots)
		score := rendezvous.Score(target.Adapter, replica.ID)
		if best == nil || used < bestUsed || (used == bestUsed && score > bestScore) {
			best, bestUsed, bestScore = replica, used, score
		}
	}
	return best
}

// fitsAdapter reports whether a replica has a free slot and enough memory for an adapter.
func (p *planner) fitsAdapter(replica *Replica, target fleet.Target) bool {
	memory := p.engine.Models[target.Model].AdapterMemoryMB
	return usedAdapterSlots(replica) < p.engine.AdapterSlots && p.memoryLeft(replica) >= memory
}

// usedAdapterSlots counts the adapter slots in use, pending loads included.
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

// leastUsedAdapter returns the adapter to evict from a replica: one without running requests if possible,
// then the least recently used. Adapters with waiting requests are not evicted.
func (p *planner) leastUsedAdapter(replica *Replica) (fleet.Target, bool) {
	var victim fleet.Target
	var least Demand
	found := false
	for _, model := range sortedKeys(replica.Holdings) {
		for _, adapter := range replica.Holdings[model] {
			target := fleet.Target{Model: model, Adapter: adapter}
			keyDemand := p.demandFor(target)
			if replica.pending(target) != nil || keyDemand.Waiting > 0 || p.waitsAtVersion(target, replica.Version) {
				continue
			}
			if !found || lessUsed(keyDemand, least) {
				victim, least, found = target, keyDemand, true
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
