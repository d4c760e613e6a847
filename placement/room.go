package placement

import (
	"sort"
	"time"

	"github.com/finchspoke/finchspoke/settings"
)

// makeRoom evicts idle replicas for a model that has demand, unless memory that
// is being freed already will do.
func (p *planner) makeRoom(need need) {
	if need.waiting == 0 {
		return
	}
	if coming, found := p.bestSpot(need.model, true); found {
		p.promise(coming, need.model)
		return
	}
	least := time.Duration(0)
	if p.readyReplicas(need.model, false) > 0 {
		least = evictionIdle
	}
	victims := p.idlePlaces(least)
	for _, id := range sortedKeys(p.Engines) {
		candidate := p.Engines[id]
		if candidate.usable(p.fence.Epoch) && candidate.Service == need.model.Service {
			if chosen, enough := p.victimsOn(candidate, need.model, victims); enough {
				for _, victim := range chosen {
					p.removeReplica(victim.assignment.ReplicaID)
				}
				if coming, found := p.bestSpot(need.model, true); found {
					p.promise(coming, need.model)
				}
				return
			}
		}
	}
}

func (p *planner) promise(coming spot, model *settings.Model) {
	if p.promised[coming.engineID] == nil {
		p.promised[coming.engineID] = make([]int64, len(p.Engines[coming.engineID].Inventory.Accelerators))
	}
	for _, index := range coming.accelerators {
		p.promised[coming.engineID][index] += model.MemoryBytes
	}
}

// evictionIdle is how long a replica must be unused to make room for a further
// replica of another model. A model without any may take what is idle just now.
const evictionIdle = 15 * time.Second

// idlePlaces lists replicas that nobody waits for or has used for a while and that
// exceed their model's least number, those used longest ago first.
func (p *planner) idlePlaces(least time.Duration) []place {
	type idle struct {
		place
		lastUsed time.Time
	}
	var all []idle
	for _, need := range p.needs() {
		places := p.kept(need.model)
		inUse := need.waiting > 0 || p.runningOf(need.model) > 0 || p.Now.Sub(need.lastUsed) < least
		if inUse || len(places) <= need.model.MinReplicas {
			continue
		}
		for _, kept := range places[need.model.MinReplicas:] {
			if kept.ready {
				all = append(all, idle{kept, need.lastUsed})
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].lastUsed.Before(all[j].lastUsed) })
	places := make([]place, 0, len(all))
	for _, one := range all {
		places = append(places, one.place)
	}
	return places
}

func (p *planner) runningOf(model *settings.Model) int {
	running := p.Demand[model.Name].Running
	for _, adapter := range model.Adapters {
		running += p.Demand[adapter].Running
	}
	return running
}

// victimsOn picks idle replicas on an engine, longest idle first, until the model
// would fit.
func (p *planner) victimsOn(candidate Engine, model *settings.Model, idle []place) (chosen []place, enough bool) {
	free := p.free(candidate, true)
	for _, victim := range idle {
		if fitting(free, model) != nil {
			break
		}
		if victim.engineID != candidate.ID {
			continue
		}
		charge(free, victim.assignment.Accelerators, -victim.assignment.MemoryBytes)
		chosen = append(chosen, victim)
	}
	return chosen, fitting(free, model) != nil
}
