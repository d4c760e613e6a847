package placement

import (
	"cmp"
	"slices"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/settings"
)

// spot is a possible place of a new replica.
type spot struct {
	engineID     string
	accelerators []int
	remote       bool
	cost         float64
}

// Costs of a spot, in seconds: loading, then what tells equal ones apart.
const (
	costMemory    = 0.5
	costDisk      = 3
	costRemote    = 15
	costSameZone  = 2   // another replica of the model in the zone
	costFullness  = 0.5 // times the share of memory left: fill engines up
	costColocated = 30  // another replica on the same engine
)

// bestSpot returns the cheapest engine with room; with future set, room that is
// being freed counts too.
func (p *planner) bestSpot(model *settings.Model, future bool) (spot, bool) {
	var best spot
	found := false
	zones := map[string]int{}
	engines := map[string]int{}
	for _, kept := range p.kept(model) {
		zones[p.Engines[kept.engineID].Zone]++
		engines[kept.engineID]++
	}
	for _, id := range sortedKeys(p.Engines) {
		candidate := p.Engines[id]
		if !candidate.usable(p.fence.Epoch) || candidate.Service != model.Service {
			continue
		}
		free := p.free(candidate, future)
		accelerators := fitting(free, model)
		if accelerators == nil {
			continue
		}
		tierCost, remote := loadCost(candidate, model)
		cost := tierCost + costSameZone*float64(zones[candidate.Zone]) +
			costColocated*float64(engines[id]) + costFullness*freeShare(candidate, free)
		if !found || cost < best.cost {
			best = spot{engineID: id, accelerators: accelerators, remote: remote, cost: cost}
			found = true
		}
	}
	return best, found
}

func loadCost(candidate Engine, model *settings.Model) (cost float64, remote bool) {
	for _, cached := range candidate.Inventory.Cached {
		if cached.Model == model.Name && cached.Version == model.Version {
			if cached.Tier == engine.InMemory {
				return costMemory, false
			}
			return costDisk, false
		}
	}
	return costRemote, true
}

// free returns the free bytes on each accelerator: what neither the plan nor the
// inventory has taken. A replica that the plan does not know is charged as well.
func (p *planner) free(candidate Engine, future bool) []int64 {
	free := make([]int64, len(candidate.Inventory.Accelerators))
	for index, accelerator := range candidate.Inventory.Accelerators {
		free[index] = accelerator.MemoryBytes
	}
	planned := map[string]bool{}
	for _, assignment := range p.plan.Engines[candidate.ID].Assignments {
		planned[assignment.ReplicaID] = true
		if future && assignment.DesiredState == Remove {
			continue
		}
		charge(free, assignment.Accelerators, assignment.MemoryBytes)
	}
	for _, held := range candidate.Inventory.Replicas {
		if !planned[held.ID] {
			charge(free, held.Accelerators, held.MemoryBytes)
		}
	}
	for index, promised := range p.promised[candidate.ID] {
		free[index] -= promised
	}
	return free
}

func charge(free []int64, accelerators []int, bytes int64) {
	for _, index := range accelerators {
		if index >= 0 && index < len(free) {
			free[index] -= bytes
		}
	}
}

// fitting returns the fullest accelerators that still hold the model, or nil.
func fitting(free []int64, model *settings.Model) []int {
	var fits []int
	for index, bytes := range free {
		if bytes >= model.MemoryBytes {
			fits = append(fits, index)
		}
	}
	if len(fits) < model.Accelerators {
		return nil
	}
	slices.SortStableFunc(fits, func(a, b int) int { return cmp.Compare(free[a], free[b]) })
	chosen := fits[:model.Accelerators]
	slices.Sort(chosen)
	return chosen
}

func freeShare(candidate Engine, free []int64) float64 {
	total, left := int64(0), int64(0)
	for index, accelerator := range candidate.Inventory.Accelerators {
		total += accelerator.MemoryBytes
		left += free[index]
	}
	if total == 0 {
		return 0
	}
	return float64(left) / float64(total)
}
