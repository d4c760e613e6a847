package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/settings"
)

// Explain says in plain lines why a target's model is, or is not, loaded, and where.
// It decides nothing.
func Explain(snapshot Snapshot, target string) []string {
	named, found := snapshot.Tree.Targets[target]
	if !found {
		return []string{fmt.Sprintf("%s is not declared in the settings in force", target)}
	}
	model := snapshot.Tree.Models[named.Model]
	if !slices.Contains(model.ServiceRegions, snapshot.Region) {
		return []string{fmt.Sprintf("service %s of %s has no engines in region %s", model.Service, model.Name, snapshot.Region)}
	}
	explainer := &planner{Snapshot: snapshot, plan: snapshot.Plan, state: snapshot.State, fence: snapshot.Plan.Fence,
		promised: map[string][]int64{}}
	lines := explainer.explainNeed(model)
	lines = append(lines, explainer.explainReplicas(model)...)
	if len(explainer.kept(model)) < explainer.needOf(model).replicas {
		lines = append(lines, explainer.explainMissing(model)...)
	}
	return lines
}

func (p *planner) explainNeed(model *settings.Model) []string {
	need := p.needOf(model)
	lines := []string{fmt.Sprintf("%s (service %s, version %s) should have %d replica(s): %d waiting (%d interactive), %d running, at least %d and at most %d, %d requests at once on each",
		model.Name, model.Service, model.Version, need.replicas, need.waiting, need.urgent, p.runningOf(model), model.MinReplicas, model.MaxReplicas, model.Concurrency)}
	switch idle := p.Now.Sub(need.lastUsed); {
	case need.lastUsed.IsZero():
		lines = append(lines, "this placer has heard of no use of it")
	case need.waiting+p.runningOf(model) == 0:
		lines = append(lines, fmt.Sprintf("last used %s ago; unloaded after %s without use", idle.Round(time.Second), model.IdleAfter))
	}
	return lines
}

func (p *planner) explainReplicas(model *settings.Model) []string {
	var lines []string
	for _, id := range sortedKeys(p.plan.Engines) {
		known := p.Engines[id]
		for _, assignment := range p.plan.Engines[id].Assignments {
			if assignment.Model != model.Name {
				continue
			}
			state := "not reported by the engine yet"
			if known.Inventory != nil {
				for _, held := range known.Inventory.Replicas {
					if held.ID == assignment.ReplicaID {
						state = string(held.State)
					}
				}
			}
			if !known.Reachable {
				state = "engine not reachable; its memory stays charged"
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

// explainMissing says what stands in the way of another replica.
func (p *planner) explainMissing(model *settings.Model) []string {
	if best, found := p.bestSpot(model, false); found {
		if best.remote && p.state.LoadTokens < 1 {
			return []string{fmt.Sprintf("%s has room; the weight store's budget of %v loads a second and %d at once is used up",
				best.engineID, p.Tree.Regions[p.Region].LoadsPerSecond, p.Tree.Regions[p.Region].ConcurrentLoads)}
		}
		return []string{fmt.Sprintf("%s has room; a load is about to be ordered", best.engineID)}
	}
	if coming, found := p.bestSpot(model, true); found {
		return []string{fmt.Sprintf("memory on %s is being freed for it", coming.engineID)}
	}
	lines := []string{fmt.Sprintf("no engine of %s has %d accelerator(s) with %s free, and no replica there is idle enough to make room:",
		model.Service, model.Accelerators, settings.FormatSize(model.MemoryBytes))}
	for _, id := range sortedKeys(p.Engines) {
		known := p.Engines[id]
		if known.Service != model.Service {
			continue
		}
		lines = append(lines, "  "+p.explainEngine(known))
	}
	return lines
}

func (p *planner) explainEngine(known Engine) string {
	switch {
	case known.Leaving:
		return known.ID + " is leaving"
	case !known.Listed:
		return known.ID + " is not in the machine list"
	case !known.Reachable || known.Inventory == nil:
		return known.ID + " does not answer"
	case known.Inventory.Fence.Less(engine.Fence{Epoch: p.fence.Epoch}):
		return known.ID + " has not seen this placer's epoch yet"
	}
	text := known.ID + " has free"
	for _, bytes := range p.free(known, false) {
		text += " " + settings.FormatSize(max(0, bytes))
	}
	return text
}
