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

// candidate is a replica that can be given orders, with values that a decision computes once for it.
type candidate struct {
	replica     *Replica
	freeIn      time.Duration // time until it can take an order for a model; zero: now
	queuedFor   time.Duration // time needed by loads that wait for this replica
	reserved    string        // model for which its memory is reserved
	memoryLeft  float64
	sharingCost float64  // cost of the models already in use there, in seconds
	byWork      bool     // whether copies follow the work at the replicas
	workCost    float64  // cost of the work there for a further copy, in seconds; zero unless copies follow the work
	victims     []victim // models that may be evicted, those of the least worth first
	// cachesLastWeights is whether the replica alone has cached the weights of a model; false unless copies follow
	// the work.
	cachesLastWeights bool
	// reservation is the model for which memory is reserved and that is not loaded yet, or nil.
	reservation *modelNeed
}

// cachedSource is a candidate that has cached a model's weights and loads them from there.
type cachedSource struct {
	candidate *candidate
	source
}

// source is where the weights of a load come from, and the time that a load takes from there.
type source struct {
	origin   Origin
	loadTime time.Duration
}

// victim is a model that may be evicted.
type victim struct {
	name        string
	memory      float64 // MB; infinite if the model is no longer declared
	worth       float64
	running     int
	lastWeights bool // no other replica has the weights, and an unload would drop them
}

// listCandidates lists the replicas of the service that are not draining, and indexes them by model.
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
		sharingCost: p.sharingCostOf(replica), byWork: p.byWork,
	}
	if _, held := replica.Holdings[c.reserved]; !held {
		c.reservation = p.byName[c.reserved]
	}
	if p.byWork {
		c.workCost = p.workCostOf(replica)
		c.freeIn = max(c.freeIn, replica.overdueFor(p.Now))
	}
	c.victims = p.victimsOf(c)
	return c
}

// indexCandidate adds a candidate to the lists of the models that it holds, has cached or is reserved for.
// The lists are in the order of the candidates.
func (p *planner) indexCandidate(c *candidate) {
	for name := range c.replica.Holdings {
		if need := p.byName[name]; need != nil {
			need.loadedOn, need.cached = append(need.loadedOn, c), true
			need.addWeights(c, false)
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

// indexCachedWeights records that a candidate has cached a model's weights. It must be called for the faster
// source first.
func (p *planner) indexCachedWeights(c *candidate, name string, origin Origin) {
	need := p.byName[name]
	if need == nil {
		return
	}
	need.cached = true
	need.addWeights(c, true)
	loadTime := need.model.DiskLoadTime
	if origin == FromMemory {
		loadTime = need.model.MemoryLoadTime
	}
	hasFaster := len(need.cachedSources) > 0 && need.cachedSources[len(need.cachedSources)-1].candidate == c
	if loadTime > 0 && !hasFaster {
		need.cachedSources = append(need.cachedSources, cachedSource{c, source{origin, loadTime}})
	}
}

// sourceOn returns the source of a load of the model on a candidate.
func (n *modelNeed) sourceOn(c *candidate) source {
	for _, cached := range n.cachedSources {
		if cached.candidate == c {
			return cached.source
		}
	}
	return n.fromStore()
}

// fromStore returns the source of weights that are not cached.
func (n *modelNeed) fromStore() source { return source{FromStore, n.model.StoreLoadTime} }

// order accounts for an order given to the candidate.
func (c *candidate) order(duration time.Duration) { c.freeIn += max(minBusyTime, duration) }

// addQueuedTime accounts for a load that waits for the candidate.
func (c *candidate) addQueuedTime(duration time.Duration) { c.queuedFor += max(minBusyTime, duration) }

// busyFor returns the time until a model without a reservation could be loaded on the candidate.
func (c *candidate) busyFor() time.Duration { return c.freeIn + c.queuedFor }

// sharingCostOf returns the cost, in seconds, of sharing a replica with the models in use there.
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

// victimsOf lists the models that may be evicted, those of the least worth first. A model stays for at least
// its own load time, so that a replica is not always loading.
func (p *planner) victimsOf(c *candidate) []victim {
	replica := c.replica
	victims := make([]victim, 0, len(replica.Holdings))
	for _, name := range slices.Sorted(maps.Keys(replica.Holdings)) {
		need := p.byName[name]
		if isUnloading(replica, name) || p.modelWaitsAtVersion(name, replica.Version) {
			continue
		}
		if need == nil {
			victims = append(victims, victim{name: name, memory: math.Inf(1)}) // no longer declared: evict it first
			continue
		}
		reload := c.reloadTime(need)
		if p.Now.Sub(replica.LoadedAt[name]) < p.leastStay(need, reload) {
			continue
		}
		victims = append(victims, victim{
			name: name, memory: need.model.MemoryMB + float64(len(replica.Holdings[name]))*need.model.AdapterMemoryMB,
			worth: p.worthOn(c, need, reload), running: need.running,
		})
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.worth, b.worth) })
	return victims
}

// reloadTime returns how long it would take to load an evicted model again.
func (c *candidate) reloadTime(need *modelNeed) time.Duration {
	if need.model.DiskLoadTime > 0 && slices.Contains(c.replica.OnDisk, need.model.Name) {
		return need.model.DiskLoadTime
	}
	return need.model.StoreLoadTime
}

// chooseVictims returns the models of the least worth whose eviction frees enough memory, and whether there
// are such models. keepLast excludes models whose last weights the eviction would drop.
func (c *candidate) chooseVictims(missingMB float64, keepLast bool) (victims []victim, enough bool) {
	victims = c.victims
	if keepLast {
		victims = withoutLastWeights(victims)
	}
	for index, v := range victims {
		// Prefer one model that suffices alone over several.
		if v.memory >= missingMB {
			return victims[index : index+1], true
		}
	}
	freed := 0.0
	for index, v := range victims {
		if freed += v.memory; freed >= missingMB {
			return victims[:index+1], true
		}
	}
	return nil, false
}

// countAdapters counts the copies of the service's adapters, loaded or being loaded, on serving replicas.
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
