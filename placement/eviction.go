package placement

import (
	"sort"
	"time"

	"github.com/finchspoke/finchspoke/settings"
)

// evictFor evicts idle replicas to make room for a model with waiting requests, unless
// pending unloads free enough memory.
func (p *planner) evictFor(need need) {
	if need.waiting == 0 {
		return
	}
	if target, found := p.bestCandidate(need.model, true); found {
		p.reserve(target, need.model)
		return
	}
	minIdle := time.Duration(0)
	if p.readyReplicas(need.model, false) > 0 {
		minIdle = evictionIdleTime
	}
	victims := p.idleReplicas(minIdle)
	for _, id := range sortedKeys(p.Engines) {
		eng := p.Engines[id]
		if eng.usable(p.fence.Epoch) && eng.Service == need.model.Service {
			if chosen, enough := p.victimsOn(eng, need.model, victims); enough {
				for _, victim := range chosen {
					p.removeReplica(victim.assignment.ReplicaID)
				}
				if target, found := p.bestCandidate(need.model, true); found {
					p.reserve(target, need.model)
				}
				return
			}
		}
	}
}

// reserve records that memory which pending unloads free is assigned to a model.
func (p *planner) reserve(target candidate, model *settings.Model) {
	if p.reserved[target.engineID] == nil {
		p.reserved[target.engineID] = make([]int64, len(p.Engines[target.engineID].Inventory.Accelerators))
	}
	for _, index := range target.accelerators {
		p.reserved[target.engineID][index] += model.MemoryBytes
	}
}

// evictionIdleTime is how long a replica must be unused before it is evicted for a model
// that has a ready replica already. A model without one may evict any idle replica.
const evictionIdleTime = 15 * time.Second

// idleReplicas lists the ready replicas, beyond the minimum of their model, of models
// that are not in use and were not used within minIdle, least recently used first.
func (p *planner) idleReplicas(minIdle time.Duration) []placedReplica {
	type idle struct {
		placedReplica
		lastUsed time.Time
	}
	var candidates []idle
	for _, need := range p.needs() {
		replicas := p.active(need.model)
		inUse := need.waiting > 0 || p.runningOf(need.model) > 0 || p.Now.Sub(need.lastUsed) < minIdle
		if inUse || len(replicas) <= need.model.MinReplicas {
			continue
		}
		for _, active := range replicas[need.model.MinReplicas:] {
			if active.ready {
				candidates = append(candidates, idle{active, need.lastUsed})
			}
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].lastUsed.Before(candidates[j].lastUsed) })
	replicas := make([]placedReplica, 0, len(candidates))
	for _, entry := range candidates {
		replicas = append(replicas, entry.placedReplica)
	}
	return replicas
}

func (p *planner) runningOf(model *settings.Model) int {
	running := p.Demand[model.Name].Running
	for _, adapter := range model.Adapters {
		running += p.Demand[adapter].Running
	}
	return running
}

// victimsOn selects idle replicas on an engine, least recently used first, until the
// model would fit; enough reports whether it fits.
func (p *planner) victimsOn(eng Engine, model *settings.Model, idle []placedReplica) (chosen []placedReplica, enough bool) {
	free := p.free(eng, true)
	for _, victim := range idle {
		if fittingAccelerators(free, model) != nil {
			break
		}
		if victim.engineID != eng.ID {
			continue
		}
		charge(free, victim.assignment.Accelerators, -victim.assignment.MemoryBytes)
		chosen = append(chosen, victim)
	}
	return chosen, fittingAccelerators(free, model) != nil
}
