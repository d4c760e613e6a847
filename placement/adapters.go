package placement

import (
	"cmp"
	"slices"

	"github.com/finchspoke/finchspoke/settings"
)

// placeAdapters assigns adapters with demand to replicas of their base model. An
// adapter stays until another adapter needs its slot.
func (p *planner) placeAdapters() {
	for _, name := range sortedKeys(p.Tree.Models) {
		model := p.Tree.Models[name]
		for _, adapter := range model.Adapters {
			if p.Demand[adapter].active() {
				p.placeAdapter(model, adapter)
			}
		}
	}
}

func (p *planner) placeAdapter(model *settings.Model, adapter string) {
	demand := p.Demand[adapter]
	replicas := p.active(model)
	desired := min((demand.Waiting+demand.Running+model.Concurrency-1)/model.Concurrency, len(replicas))
	count := 0
	var without []placedReplica
	for _, active := range replicas {
		if slices.Contains(active.assignment.Adapters, adapter) {
			count++
		} else {
			without = append(without, active)
		}
	}
	slices.SortStableFunc(without, func(a, b placedReplica) int {
		return cmp.Compare(len(a.assignment.Adapters), len(b.assignment.Adapters))
	})
	for _, active := range without {
		if count >= desired {
			return
		}
		if p.addAdapter(model, active, adapter) {
			count++
		}
	}
}

// addAdapter assigns an adapter to a free slot of a replica, or to the slot of the
// least recently used adapter without demand. It reports whether there was a slot.
func (p *planner) addAdapter(model *settings.Model, replica placedReplica, adapter string) bool {
	adapters := slices.Clone(replica.assignment.Adapters)
	if len(adapters) >= model.AdapterSlots {
		oldest := p.oldestIdle(adapters)
		if oldest < 0 {
			return false
		}
		adapters = slices.Delete(adapters, oldest, oldest+1)
	}
	assignments := slices.Clone(p.plan.Engines[replica.engineID].Assignments)
	assignments[replica.index].Adapters = append(adapters, adapter)
	p.update(replica.engineID, assignments)
	return true
}

// oldestIdle returns the index of the least recently used adapter without demand, or -1.
func (p *planner) oldestIdle(adapters []string) int {
	oldest := -1
	for index, adapter := range adapters {
		if p.Demand[adapter].active() {
			continue
		}
		if oldest < 0 || p.Demand[adapter].LastUsed.Before(p.Demand[adapters[oldest]].LastUsed) {
			oldest = index
		}
	}
	return oldest
}
