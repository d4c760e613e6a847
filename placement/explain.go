package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/settings"
)

// Explain describes, one line per fact, where the model of a target is loaded and what
// keeps further replicas from being loaded. It changes no plan.
func Explain(snapshot Snapshot, target string) []string {
	declared, found := snapshot.Tree.Targets[target]
	if !found {
		return []string{fmt.Sprintf("%s is not declared in the settings in effect", target)}
	}
	model := snapshot.Tree.Models[declared.Model]
	if !slices.Contains(model.ServiceRegions, snapshot.Region) {
		return []string{fmt.Sprintf("service %s of %s has no engines in region %s", model.Service, model.Name, snapshot.Region)}
	}
	explainer := &planner{Snapshot: snapshot, plan: snapshot.Plan, state: snapshot.State, fence: snapshot.Plan.Fence,
		reserved: map[string][]int64{}}
	lines := explainer.explainNeed(model)
	lines = append(lines, explainer.explainReplicas(model)...)
	if len(explainer.active(model)) < explainer.needOf(model).replicas {
		lines = append(lines, explainer.explainMissing(model)...)
	}
	return lines
}

func (p *planner) explainNeed(model *settings.Model) []string {
	need := p.needOf(model)
	lines := []string{fmt.Sprintf("%s (service %s, version %s) should have %d replica(s): %d waiting (%d interactive), %d running, at least %d and at most %d, %d concurrent requests on each",
		model.Name, model.Service, model.Version, need.replicas, need.waiting, need.urgent, p.runningOf(model), model.MinReplicas, model.MaxReplicas, model.Concurrency)}
	switch idle := p.Now.Sub(need.lastUsed); {
	case need.lastUsed.IsZero():
		lines = append(lines, "this placer has no record of its use")
	case need.waiting+p.runningOf(model) == 0:
		lines = append(lines, fmt.Sprintf("last used %s ago; unloaded after %s without use", idle.Round(time.Second), model.IdleAfter))
	}
	return lines
}

func (p *planner) explainReplicas(model *settings.Model) []string {
	var lines []string
	for _, id := range sortedKeys(p.plan.Engines) {
		eng := p.Engines[id]
		for _, assignment := range p.plan.Engines[id].Assignments {
			if assignment.Model != model.Name {
				continue
			}
			state := "not yet reported by the engine"
			if eng.Inventory != nil {
				for _, replica := range eng.Inventory.Replicas {
					if replica.ID == assignment.ReplicaID {
						state = string(replica.State)
					}
				}
			}
			if !eng.Reachable {
				state = "engine unreachable; its memory stays reserved"
			}
			lines = append(lines, fmt.Sprintf("replica on %s, accelerators %v: %s since %s, %s; adapters %v",
				id, assignment.Accelerators, assignment.DesiredState, assignment.Since.Format(time.RFC3339), state, assignment.Adapters))
		}
	}
	if len(lines) == 0 {
		lines = append(lines, "no replica is planned")
	}
	return lines
}

// explainMissing describes what keeps another replica from being loaded.
func (p *planner) explainMissing(model *settings.Model) []string {
	if best, found := p.bestCandidate(model, false); found {
		if best.remote && p.state.LoadTokens < 1 {
			return []string{fmt.Sprintf("%s has enough free memory; the weight store's limit of %v loads per second and %d concurrent loads is reached",
				best.engineID, p.Tree.Regions[p.Region].LoadsPerSecond, p.Tree.Regions[p.Region].ConcurrentLoads)}
		}
		return []string{fmt.Sprintf("%s has enough free memory; the next plan will load it there", best.engineID)}
	}
	if pending, found := p.bestCandidate(model, true); found {
		return []string{fmt.Sprintf("pending unloads on %s are freeing memory for it", pending.engineID)}
	}
	lines := []string{fmt.Sprintf("no engine of service %s has %d accelerator(s) with %s free each, and no idle replica there can be evicted:",
		model.Service, model.Accelerators, settings.FormatSize(model.MemoryBytes))}
	for _, id := range sortedKeys(p.Engines) {
		eng := p.Engines[id]
		if eng.Service != model.Service {
			continue
		}
		lines = append(lines, "  "+p.explainEngine(eng))
	}
	return lines
}

func (p *planner) explainEngine(eng Engine) string {
	switch {
	case eng.Draining:
		return eng.ID + " is draining"
	case !eng.Listed:
		return eng.ID + " is not in the machine list"
	case !eng.Reachable || eng.Inventory == nil:
		return eng.ID + " is unreachable"
	case eng.Inventory.Fence.Less(engine.Fence{Epoch: p.fence.Epoch}):
		return eng.ID + " has not yet confirmed this placer's epoch"
	}
	text := eng.ID + " has free per accelerator:"
	for _, bytes := range p.free(eng, false) {
		text += " " + settings.FormatSize(max(0, bytes))
	}
	return text
}
