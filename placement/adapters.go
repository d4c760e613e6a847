package placement

import (
	"cmp"
	"slices"

	"github.com/finchspoke/finchspoke/settings"
)

// placeAdapters puts adapters with demand on replicas of their base model. An
// adapter stays until its slot is needed, since it costs nothing more.
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
	places := p.kept(model)
	wanted := min((demand.Waiting+demand.Running+model.Concurrency-1)/model.Concurrency, len(places))
	have := 0
	var without []place
	for _, kept := range places {
		if slices.Contains(kept.assignment.Adapters, adapter) {
			have++
		} else {
			without = append(without, kept)
		}
	}
	slices.SortStableFunc(without, func(a, b place) int {
		return cmp.Compare(len(a.assignment.Adapters), len(b.assignment.Adapters))
	})
	for _, kept := range without {
		if have >= wanted {
			return
		}
		if p.addAdapter(model, kept, adapter) {
			have++
		}
	}
}

// addAdapter takes a free slot, or that of the adapter used longest ago among
// those without demand; it tells whether there was one.
func (p *planner) addAdapter(model *settings.Model, kept place, adapter string) bool {
	adapters := slices.Clone(kept.assignment.Adapters)
	if len(adapters) >= model.AdapterSlots {
		oldest := p.oldestIdle(adapters)
		if oldest < 0 {
			return false
		}
		adapters = slices.Delete(adapters, oldest, oldest+1)
	}
	assignments := slices.Clone(p.plan.Engines[kept.engineID].Assignments)
	assignments[kept.index].Adapters = append(adapters, adapter)
	p.update(kept.engineID, assignments)
	return true
}

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
