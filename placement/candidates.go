package placement

import (
	"cmp"
	"slices"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/settings"
)

// candidate is an engine with accelerators on which a new replica fits.
type candidate struct {
	engineID     string
	accelerators []int
	remote       bool
	cost         float64
}

// Costs of a candidate, in seconds: the expected load time, plus penalties that spread
// the replicas of a model over engines and zones.
const (
	costMemory    = 0.5
	costDisk      = 3
	costRemote    = 15
	costSameZone  = 2   // for each replica of the model in the zone
	costFullness  = 0.5 // times the engine's free fraction, so that fuller engines are preferred
	costColocated = 30  // for each replica of the model on the engine
)

// bestCandidate returns the candidate with the lowest cost. With countPendingUnloads,
// memory of replicas that are being removed counts as free.
func (p *planner) bestCandidate(model *settings.Model, countPendingUnloads bool) (candidate, bool) {
	var best candidate
	found := false
	zones := map[string]int{}
	engines := map[string]int{}
	for _, active := range p.active(model) {
		zones[p.Engines[active.engineID].Zone]++
		engines[active.engineID]++
	}
	for _, id := range sortedKeys(p.Engines) {
		eng := p.Engines[id]
		if !eng.usable(p.fence.Epoch) || eng.Service != model.Service {
			continue
		}
		free := p.free(eng, countPendingUnloads)
		accelerators := fittingAccelerators(free, model)
		if accelerators == nil {
			continue
		}
		tierCost, remote := loadCost(eng, model)
		cost := tierCost + costSameZone*float64(zones[eng.Zone]) +
			costColocated*float64(engines[id]) + costFullness*freeFraction(eng, free)
		if !found || cost < best.cost {
			best = candidate{engineID: id, accelerators: accelerators, remote: remote, cost: cost}
			found = true
		}
	}
	return best, found
}

// loadCost returns the cost of loading a model on an engine, and whether the load reads
// the weight store.
func loadCost(eng Engine, model *settings.Model) (cost float64, remote bool) {
	for _, cached := range eng.Inventory.Cached {
		if cached.Model == model.Name && cached.Version == model.Version {
			if cached.Tier == engine.InMemory {
				return costMemory, false
			}
			return costDisk, false
		}
	}
	return costRemote, true
}

// free returns the bytes on each accelerator that neither the plan nor the inventory
// uses. Replicas that the plan does not list are charged as well.
func (p *planner) free(eng Engine, countPendingUnloads bool) []int64 {
	free := make([]int64, len(eng.Inventory.Accelerators))
	for index, accelerator := range eng.Inventory.Accelerators {
		free[index] = accelerator.MemoryBytes
	}
	planned := map[string]bool{}
	for _, assignment := range p.plan.Engines[eng.ID].Assignments {
		planned[assignment.ReplicaID] = true
		if countPendingUnloads && assignment.DesiredState == Remove {
			continue
		}
		charge(free, assignment.Accelerators, assignment.MemoryBytes)
	}
	for _, replica := range eng.Inventory.Replicas {
		if !planned[replica.ID] {
			charge(free, replica.Accelerators, replica.MemoryBytes)
		}
	}
	for index, reserved := range p.reserved[eng.ID] {
		free[index] -= reserved
	}
	return free
}

// charge subtracts bytes from the free memory of each accelerator given.
func charge(free []int64, accelerators []int, bytes int64) {
	for _, index := range accelerators {
		if index >= 0 && index < len(free) {
			free[index] -= bytes
		}
	}
}

// fittingAccelerators returns the accelerators with the least free memory on which the
// model fits, or nil.
func fittingAccelerators(free []int64, model *settings.Model) []int {
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

func freeFraction(eng Engine, free []int64) float64 {
	total, unused := int64(0), int64(0)
	for index, accelerator := range eng.Inventory.Accelerators {
		total += accelerator.MemoryBytes
		unused += free[index]
	}
	if total == 0 {
		return 0
	}
	return float64(unused) / float64(total)
}
