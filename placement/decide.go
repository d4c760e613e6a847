package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/settings"
)

// Decide returns the next plan. The plan's fence is that of the snapshot with the
// next revision; a plan that did not change keeps its fence.
func Decide(snapshot Snapshot) Decision {
	next := engine.Fence{Epoch: snapshot.Plan.Fence.Epoch, Revision: snapshot.Plan.Fence.Revision + 1}
	planner := &planner{
		Snapshot: snapshot, plan: snapshot.Plan.Clone(), state: snapshot.State.Clone(), fence: next,
		changed: map[string]bool{}, promised: map[string][]int64{},
	}
	planner.refillBudget()
	if snapshot.AdoptUnknown {
		planner.adoptUnknown()
	}
	planner.dropConfirmed()
	planner.retire()
	planner.removeSurplus()
	planner.loadAll()
	planner.placeAdapters()
	decision := Decision{Plan: planner.plan, State: planner.state}
	for id := range planner.changed {
		decision.Changed = append(decision.Changed, id)
	}
	slices.Sort(decision.Changed)
	if len(decision.Changed) > 0 {
		decision.Plan.Fence = next
	}
	return decision
}

type planner struct {
	Snapshot
	plan    Plan
	state   State
	fence   engine.Fence
	changed map[string]bool
	// promised is memory on each accelerator of an engine that is still to be
	// freed and already meant for a model, so that no two evict for one place.
	promised map[string][]int64
	// byModel indexes the kept assignments; nil when it has to be made anew.
	byModel map[string][]place
}

// refillBudget adds the load starts that became allowed since last time.
func (p *planner) refillBudget() {
	region := p.Tree.Regions[p.Region]
	most := max(1, region.LoadsPerSecond)
	if p.state.TokensAt.IsZero() {
		p.state.LoadTokens = most
	} else {
		p.state.LoadTokens += p.Now.Sub(p.state.TokensAt).Seconds() * region.LoadsPerSecond
	}
	p.state.LoadTokens = min(p.state.LoadTokens, most)
	p.state.TokensAt = p.Now
}

// update replaces an engine's assignments.
func (p *planner) update(engineID string, assignments []Assignment) {
	planned := p.plan.Engines[engineID]
	planned.Assignments = assignments
	p.plan.Engines[engineID] = planned
	p.changed[engineID] = true
	p.byModel = nil
}

// adoptUnknown takes what engines hold into the plan.
func (p *planner) adoptUnknown() {
	for _, id := range sortedKeys(p.Engines) {
		known := p.Engines[id]
		if !known.Reachable || known.Inventory == nil {
			continue
		}
		planned := p.plan.Engines[id]
		adopted := slices.Clone(planned.Assignments)
		for _, held := range known.Inventory.Replicas {
			if slices.ContainsFunc(adopted, func(one Assignment) bool { return one.ReplicaID == held.ID }) {
				continue
			}
			wish := Keep
			if held.State == engine.Unloading {
				wish = Remove
			}
			adopted = append(adopted, Assignment{ReplicaID: held.ID, Model: held.Model, Version: held.Version, Accelerators: held.Accelerators,
				MemoryBytes: held.MemoryBytes, Adapters: held.Adapters, DesiredState: wish, Since: p.Now, Fence: p.fence})
		}
		if len(adopted) > len(planned.Assignments) {
			p.plan.Engines[id] = EnginePlan{EngineID: id, Address: known.Address}
			p.update(id, adopted)
		}
	}
}

// dropConfirmed forgets removed replicas that are certainly gone, and whatever
// was on an engine that no longer exists.
func (p *planner) dropConfirmed() {
	for _, id := range sortedKeys(p.plan.Engines) {
		planned := p.plan.Engines[id]
		known := p.Engines[id]
		if !known.Listed && !known.Reachable {
			if len(planned.Assignments) > 0 {
				p.update(id, nil)
			}
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(planned.Assignments), func(assignment Assignment) bool {
			return assignment.DesiredState == Remove && confirmedGone(known, assignment)
		})
		if len(kept) != len(planned.Assignments) {
			p.update(id, kept)
		}
	}
}

// confirmedGone tells whether a removed replica is not on its engine and cannot
// come back: once the engine has seen the fence of the removal, it refuses any
// order to load that was on its way before.
func confirmedGone(known Engine, assignment Assignment) bool {
	if !known.Reachable || known.Inventory == nil || known.Inventory.Fence.Less(assignment.Fence) {
		return false
	}
	return !slices.ContainsFunc(known.Inventory.Replicas, func(held engine.Replica) bool {
		return held.ID == assignment.ReplicaID
	})
}

// retire removes replicas on leaving engines, of models no longer declared, and
// of versions that have a ready successor.
func (p *planner) retire() {
	for _, id := range sortedKeys(p.plan.Engines) {
		for index, assignment := range p.plan.Engines[id].Assignments {
			if assignment.DesiredState == Keep && p.retired(id, assignment) {
				p.remove(id, index)
			}
		}
	}
}

func (p *planner) retired(engineID string, assignment Assignment) bool {
	model := p.Tree.Models[assignment.Model]
	if model == nil || !slices.Contains(model.ServiceRegions, p.Region) {
		return true
	}
	known := p.Engines[engineID]
	if known.Leaving || (known.Listed && known.Service != model.Service) {
		return true
	}
	outdated := assignment.Version != model.Version || assignment.MemoryBytes != model.MemoryBytes ||
		len(assignment.Accelerators) != model.Accelerators
	return outdated && p.readyReplicas(model, true) > 0
}

// remove turns the wish for an assignment into a removal.
func (p *planner) remove(engineID string, index int) {
	assignments := slices.Clone(p.plan.Engines[engineID].Assignments)
	assignments[index].DesiredState = Remove
	assignments[index].Since = p.Now
	assignments[index].Fence = p.fence
	p.update(engineID, assignments)
}

func current(model *settings.Model, assignment Assignment) bool {
	return assignment.Model == model.Name && assignment.Version == model.Version &&
		assignment.MemoryBytes == model.MemoryBytes && len(assignment.Accelerators) == model.Accelerators
}

// place is an assignment in the plan.
type place struct {
	engineID   string
	index      int
	assignment Assignment
	ready      bool
}

// kept lists the assignments of a model that are to be kept, on engines that can
// be reached: one that cannot keeps its charge on memory but serves nobody.
func (p *planner) kept(model *settings.Model) []place {
	if p.byModel == nil {
		p.index()
	}
	return p.byModel[model.Name]
}

func (p *planner) index() {
	p.byModel = map[string][]place{}
	for _, id := range sortedKeys(p.plan.Engines) {
		known := p.Engines[id]
		if !known.Reachable {
			continue
		}
		for number, assignment := range p.plan.Engines[id].Assignments {
			if assignment.DesiredState == Keep {
				kept := place{id, number, assignment, isReady(known, assignment.ReplicaID)}
				p.byModel[assignment.Model] = append(p.byModel[assignment.Model], kept)
			}
		}
	}
}

func isReady(known Engine, replicaID string) bool {
	if known.Inventory == nil {
		return false
	}
	return slices.ContainsFunc(known.Inventory.Replicas, func(held engine.Replica) bool {
		return held.ID == replicaID && held.State == engine.Ready
	})
}

func (p *planner) readyReplicas(model *settings.Model, currentOnly bool) int {
	count := 0
	for _, kept := range p.kept(model) {
		if kept.ready && (!currentOnly || current(model, kept.assignment)) {
			count++
		}
	}
	return count
}

// need is how many replicas a model should have, and how much it matters.
type need struct {
	model    *settings.Model
	replicas int
	urgent   int
	waiting  int
	lastUsed time.Time
}

// needOf works out a model's need from the demand for it and its adapters.
func (p *planner) needOf(model *settings.Model) need {
	result := need{model: model, replicas: model.MinReplicas}
	running := 0
	for _, target := range append([]string{model.Name}, model.Adapters...) {
		demand := p.Demand[target]
		result.urgent += demand.Urgent
		result.waiting += demand.Waiting
		running += demand.Running
		if demand.LastUsed.After(result.lastUsed) {
			result.lastUsed = demand.LastUsed
		}
	}
	wanted := (result.waiting + running + model.Concurrency - 1) / model.Concurrency
	result.replicas = min(max(result.replicas, wanted), model.MaxReplicas)
	recent := !result.lastUsed.IsZero() && p.Now.Sub(result.lastUsed) < model.IdleAfter
	if recent && result.replicas == 0 && len(p.kept(model)) > 0 {
		result.replicas = 1 // scale to zero only after IdleAfter
	}
	return result
}

func (p *planner) needs() []need {
	var needs []need
	for _, name := range sortedKeys(p.Tree.Models) {
		if model := p.Tree.Models[name]; slices.Contains(model.ServiceRegions, p.Region) {
			needs = append(needs, p.needOf(model))
		}
	}
	// Those that people wait for come first, then any that wait, then the rest.
	slices.SortStableFunc(needs, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.urgent, a.urgent), cmp.Compare(b.waiting, a.waiting))
	})
	return needs
}

// removeSurplus unloads replicas that a model has not needed for its IdleAfter.
func (p *planner) removeSurplus() {
	for _, need := range p.needs() {
		places := slices.Clone(p.kept(need.model))
		if len(places) <= need.replicas {
			delete(p.state.SurplusSince, need.model.Name)
			continue
		}
		since, known := p.state.SurplusSince[need.model.Name]
		if !known {
			p.state.SurplusSince[need.model.Name] = p.Now
			since = p.Now
		}
		// A new placer has not heard of past use yet and waits as well.
		knownIdle := need.replicas == 0 && !need.lastUsed.IsZero()
		if !knownIdle && p.Now.Sub(since) < need.model.IdleAfter {
			continue
		}
		// The newest goes first: older ones have warmer prefix caches.
		slices.SortFunc(places, func(a, b place) int { return b.assignment.Since.Compare(a.assignment.Since) })
		for _, surplus := range places[:len(places)-need.replicas] {
			p.removeReplica(surplus.assignment.ReplicaID)
		}
		delete(p.state.SurplusSince, need.model.Name)
	}
}

func (p *planner) removeReplica(replicaID string) {
	for id, planned := range p.plan.Engines {
		for index, assignment := range planned.Assignments {
			if assignment.ReplicaID == replicaID && assignment.DesiredState == Keep {
				p.remove(id, index)
				return
			}
		}
	}
}

// loadAll places the replicas that are missing, the most urgent models first and
// one replica each before any gets a second.
func (p *planner) loadAll() {
	needs := p.needs()
	for round := 1; ; round++ {
		placedOrPending := false
		for _, need := range needs {
			if need.replicas < round {
				continue
			}
			placedOrPending = true
			if p.currentCount(need.model) < round {
				p.load(need)
			}
		}
		if !placedOrPending {
			return
		}
	}
}

func (p *planner) currentCount(model *settings.Model) int {
	count := 0
	for _, kept := range p.kept(model) {
		if current(model, kept.assignment) {
			count++
		}
	}
	return count
}

// load places one replica, or frees memory for it.
func (p *planner) load(need need) {
	best, found := p.bestSpot(need.model, false)
	if !found {
		p.makeRoom(need)
		return
	}
	if best.remote && !p.takeLoadToken() {
		return
	}
	assignments := append(slices.Clone(p.plan.Engines[best.engineID].Assignments), Assignment{
		ReplicaID: p.NewReplicaID(), Model: need.model.Name, Version: need.model.Version,
		Accelerators: best.accelerators, MemoryBytes: need.model.MemoryBytes,
		DesiredState: Keep, Remote: best.remote, Since: p.Now, Fence: p.fence,
	})
	if _, known := p.plan.Engines[best.engineID]; !known {
		p.plan.Engines[best.engineID] = EnginePlan{EngineID: best.engineID}
	}
	planned := p.plan.Engines[best.engineID]
	planned.Address = p.Engines[best.engineID].Address
	p.plan.Engines[best.engineID] = planned
	p.update(best.engineID, assignments)
}

// takeLoadToken spends one start of the weight store's budget, if there is one
// and not too many loads run.
func (p *planner) takeLoadToken() bool {
	running := 0
	for id, planned := range p.plan.Engines {
		for _, assignment := range planned.Assignments {
			if assignment.Remote && assignment.DesiredState == Keep && !isReady(p.Engines[id], assignment.ReplicaID) {
				running++
			}
		}
	}
	if running >= p.Tree.Regions[p.Region].ConcurrentLoads || p.state.LoadTokens < 1 {
		return false
	}
	p.state.LoadTokens--
	return true
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
