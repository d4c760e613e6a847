package loading

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
)

// place is a replica to which an order may be given, with what the choice among
// places needs to know of it, worked out once a decision.
type candidate struct {
	replica     *Replica
	freeIn      time.Duration // until it can take an order for a model; zero: it can now
	queuedFor   time.Duration // what models that wait for the place will keep it for
	reserved    string        // the model that its room is kept for
	memoryLeft  float64
	sharingCost float64  // cost of what is in use there already, in seconds
	victims     []victim // what may be unloaded, worth least first
	// claim is the model that the room is kept for and that is not there yet; nil: none.
	reservation *modelNeed
}

// keeper is a place that keeps the weights of a model where a load is faster than from
// the weight store.
type cachedSource struct {
	candidate *candidate
	source
}

// source is where the weights of a load come from, and how long that takes.
type source struct {
	origin   Origin
	loadTime time.Duration
}

// victim is a model that may be unloaded.
type victim struct {
	name    string
	memory  float64 // MB; infinite if the model is not declared any more
	worth   float64
	running int
}

// listCandidates lists the replicas of the service that take orders, now or after those
// under way, and notes with each model where it is loaded, kept or expected.
func (p *planner) listCandidates() {
	p.candidates, p.candidateFor = nil, map[*Replica]*candidate{}
	for _, replica := range p.Replicas {
		if replica.Service == p.service && !replica.Draining {
			c := p.newCandidate(replica)
			p.candidates = append(p.candidates, c)
			p.candidateFor[replica] = c
			p.indexCandidate(c)
		}
	}
}

func (p *planner) newCandidate(replica *Replica) *candidate {
	c := &candidate{
		replica: replica, freeIn: replica.freeIn(p.Now), reserved: p.reservedFor(replica), memoryLeft: p.memoryLeft(replica),
		sharingCost: p.sharingCostOf(replica),
	}
	if _, held := replica.Holdings[c.reserved]; !held {
		c.reservation = p.byName[c.reserved]
	}
	c.victims = p.victimsOf(c)
	return c
}

// indexCandidate notes a place with the models that it holds, keeps, loads or has room for, so
// that the choice for a model looks at few places. The lists follow the order of places.
func (p *planner) indexCandidate(c *candidate) {
	for name := range c.replica.Holdings {
		if need := p.byName[name]; need != nil {
			need.holders, need.cached = append(need.holders, c), true
		}
	}
	for _, name := range c.replica.InMemory {
		p.indexCachedWeights(c, name, FromMemory)
	}
	for _, name := range c.replica.OnDisk {
		p.indexCachedWeights(c, name, FromDisk)
	}
	for _, order := range c.replica.Pending {
		if need := p.byName[order.Target.Model]; need != nil && order.Verb == Load {
			need.cached = true
		}
	}
	if need := p.byName[c.reserved]; need != nil {
		need.reservedOn = append(need.reservedOn, c)
	}
}

// indexCachedWeights notes that a place keeps a model's weights. What is noted first is the
// faster source.
func (p *planner) indexCachedWeights(c *candidate, name string, origin Origin) {
	need := p.byName[name]
	if need == nil {
		return
	}
	need.cached = true
	loadTime := need.model.DiskLoad
	if origin == FromMemory {
		loadTime = need.model.MemoryLoad
	}
	known := len(need.cachedSources) > 0 && need.cachedSources[len(need.cachedSources)-1].candidate == c
	if loadTime > 0 && !known {
		need.cachedSources = append(need.cachedSources, cachedSource{c, source{origin, loadTime}})
	}
}

// sourceOn returns where a model would be loaded from on a place.
func (n *modelNeed) sourceOn(c *candidate) source {
	for _, cached := range n.cachedSources {
		if cached.candidate == c {
			return cached.source
		}
	}
	return n.fromStore()
}

// fromStore is the source of weights that a place does not keep.
func (n *modelNeed) fromStore() source { return source{FromStore, n.model.StoreLoad} }

// order takes in that an order was given.
func (c *candidate) order(takes time.Duration) { c.freeIn += max(minBusyTime, takes) }

// queue takes in that a model waits for the place.
func (c *candidate) addQueuedTime(takes time.Duration) { c.queuedFor += max(minBusyTime, takes) }

// busyFor returns when a model that has no claim on the place could be loaded there.
func (c *candidate) busyFor() time.Duration { return c.freeIn + c.queuedFor }

// sharingCostOf returns what it costs that a replica has other models in use.
func (p *planner) sharingCostOf(replica *Replica) float64 {
	cost := costFullReplica * replica.utilization()
	for model := range replica.Holdings {
		other := p.byName[model]
		if other == nil {
			continue
		}
		cost += costSharedModel * min(1, other.perSecond)
		if len(other.model.Adapters) > 0 && other.perSecond > 0 {
			cost += costBlockedAdapters / float64(max(1, other.loaded))
		}
	}
	return cost
}

// victimsOn lists the models on a place that may be unloaded, worth least first. One that
// was just loaded stays as long as loading it again would take, so that no replica is busy
// with loads alone.
func (p *planner) victimsOf(c *candidate) []victim {
	replica := c.replica
	victims := make([]victim, 0, len(replica.Holdings))
	for _, name := range slices.Sorted(maps.Keys(replica.Holdings)) {
		need := p.byName[name]
		if isUnloading(replica, name) {
			continue
		}
		if need == nil {
			victims = append(victims, victim{name: name, memory: math.Inf(1)}) // not declared any more: it goes first
			continue
		}
		reload := c.reloadTime(need)
		if p.Now.Sub(replica.LoadedAt[name]) < reload {
			continue
		}
		victims = append(victims, victim{
			name: name, memory: need.model.MemoryMB + float64(len(replica.Holdings[name]))*need.model.AdapterMemoryMB,
			worth: p.worthOf(need, reload), running: need.running,
		})
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.worth, b.worth) })
	return victims
}

// reloadTime returns how long it takes to load a model again that is on the place now.
func (c *candidate) reloadTime(need *modelNeed) time.Duration {
	if need.model.DiskLoad > 0 && slices.Contains(c.replica.OnDisk, need.model.Name) {
		return need.model.DiskLoad
	}
	return need.model.StoreLoad
}

// evict picks the models that are worth least and whose unloading frees enough
// memory; enough is false if none do.
func (c *candidate) chooseVictims(missing float64) (victims []victim, enough bool) {
	for index, v := range c.victims {
		// One that alone frees enough is better than several.
		if v.memory >= missing {
			return c.victims[index : index+1], true
		}
	}
	freed := 0.0
	for index, v := range c.victims {
		if freed += v.memory; freed >= missing {
			return c.victims[:index+1], true
		}
	}
	return nil, false
}

// countAdapters counts the copies of each adapter of the service, loaded or being
// loaded where requests may go.
func (p *planner) countAdapters() map[fleet.Target]int {
	copies := map[fleet.Target]int{}
	for _, replica := range p.Replicas {
		if replica.Service != p.service || replica.Draining {
			continue
		}
		for model, adapters := range replica.Holdings {
			if !p.isServing(replica, model) {
				continue
			}
			for _, adapter := range adapters {
				if target := (fleet.Target{Model: model, Adapter: adapter}); replica.pending(target) == nil {
					copies[target]++
				}
			}
		}
		for _, order := range replica.Pending {
			if order.Verb == Load && !order.ForModel() {
				copies[order.Target]++
			}
		}
	}
	return copies
}

// demandFor returns the demand for a target of the service.
func (p *planner) demandFor(target fleet.Target) Demand {
	return p.Demand[demand.Key{Service: p.service, Target: target}]
}
