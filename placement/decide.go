package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/settings"
)

// Decide computes the next plan from a snapshot. A changed plan gets the snapshot's
// epoch with the next revision as its fence; an unchanged plan keeps its fence.
func Decide(snapshot Snapshot) Decision {
	next := engine.Fence{Epoch: snapshot.Plan.Fence.Epoch, Revision: snapshot.Plan.Fence.Revision + 1}
	planner := &planner{
		Snapshot: snapshot, plan: snapshot.Plan.Clone(), state: snapshot.State.Clone(), fence: next,
		changed: map[string]bool{}, reserved: map[string][]int64{},
	}
	planner.refillLoadTokens()
	if snapshot.AdoptUnknown {
		planner.adoptUnknown()
	}
	planner.dropUnloaded()
	planner.removeObsolete()
	planner.removeSurplus()
	planner.loadMissing()
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
	// reserved holds, per accelerator of an engine, memory that pending unloads free
	// and that is assigned to a model already, so that it is not assigned twice.
	reserved map[string][]int64
	// byModel indexes the active replicas; nil when it must be rebuilt.
	byModel map[string][]placedReplica
}

// refillLoadTokens refills the token bucket of remote load starts.
func (p *planner) refillLoadTokens() {
	region := p.Tree.Regions[p.Region]
	burst := max(1, region.LoadsPerSecond)
	if p.state.TokensAt.IsZero() {
		p.state.LoadTokens = burst
	} else {
		p.state.LoadTokens += p.Now.Sub(p.state.TokensAt).Seconds() * region.LoadsPerSecond
	}
	p.state.LoadTokens = min(p.state.LoadTokens, burst)
	p.state.TokensAt = p.Now
}

// update replaces an engine's assignments and marks the engine as changed.
func (p *planner) update(engineID string, assignments []Assignment) {
	planned := p.plan.Engines[engineID]
	planned.Assignments = assignments
	p.plan.Engines[engineID] = planned
	p.changed[engineID] = true
	p.byModel = nil
}

// adoptUnknown adds replicas that engines report and the plan does not list.
func (p *planner) adoptUnknown() {
	for _, id := range sortedKeys(p.Engines) {
		eng := p.Engines[id]
		if !eng.Reachable || eng.Inventory == nil {
			continue
		}
		planned := p.plan.Engines[id]
		adopted := slices.Clone(planned.Assignments)
		for _, replica := range eng.Inventory.Replicas {
			if slices.ContainsFunc(adopted, func(assignment Assignment) bool { return assignment.ReplicaID == replica.ID }) {
				continue
			}
			desired := Keep
			if replica.State == engine.Unloading {
				desired = Remove
			}
			adopted = append(adopted, Assignment{ReplicaID: replica.ID, Model: replica.Model, Version: replica.Version, Accelerators: replica.Accelerators,
				MemoryBytes: replica.MemoryBytes, Adapters: replica.Adapters, DesiredState: desired, Since: p.Now, Fence: p.fence})
		}
		if len(adopted) > len(planned.Assignments) {
			p.plan.Engines[id] = EnginePlan{EngineID: id, Address: eng.Address}
			p.update(id, adopted)
		}
	}
}

// dropUnloaded deletes the assignments whose unload is confirmed, and all
// assignments of an engine that is neither listed nor reachable.
func (p *planner) dropUnloaded() {
	for _, id := range sortedKeys(p.plan.Engines) {
		planned := p.plan.Engines[id]
		eng := p.Engines[id]
		if !eng.Listed && !eng.Reachable {
			if len(planned.Assignments) > 0 {
				p.update(id, nil)
			}
			continue
		}
		remaining := slices.DeleteFunc(slices.Clone(planned.Assignments), func(assignment Assignment) bool {
			return assignment.DesiredState == Remove && confirmedUnloaded(eng, assignment)
		})
		if len(remaining) != len(planned.Assignments) {
			p.update(id, remaining)
		}
	}
}

// confirmedUnloaded reports whether a removed replica is absent from its engine and
// cannot reappear: an engine that has received the fence of the removal refuses
// load orders with an earlier one.
func confirmedUnloaded(eng Engine, assignment Assignment) bool {
	if !eng.Reachable || eng.Inventory == nil || eng.Inventory.Fence.Less(assignment.Fence) {
		return false
	}
	return !slices.ContainsFunc(eng.Inventory.Replicas, func(replica engine.Replica) bool {
		return replica.ID == assignment.ReplicaID
	})
}

// removeObsolete removes replicas on draining engines, replicas of undeclared models,
// and outdated replicas whose model has a ready replica with the current settings.
func (p *planner) removeObsolete() {
	for _, id := range sortedKeys(p.plan.Engines) {
		for index, assignment := range p.plan.Engines[id].Assignments {
			if assignment.DesiredState == Keep && p.obsolete(id, assignment) {
				p.remove(id, index)
			}
		}
	}
}

func (p *planner) obsolete(engineID string, assignment Assignment) bool {
	model := p.Tree.Models[assignment.Model]
	if model == nil || !slices.Contains(model.ServiceRegions, p.Region) {
		return true
	}
	eng := p.Engines[engineID]
	if eng.Draining || (eng.Listed && eng.Service != model.Service) {
		return true
	}
	outdated := assignment.Version != model.Version || assignment.MemoryBytes != model.MemoryBytes ||
		len(assignment.Accelerators) != model.Accelerators
	return outdated && p.readyReplicas(model, true) > 0
}

// remove sets the desired state of an assignment to Remove.
func (p *planner) remove(engineID string, index int) {
	assignments := slices.Clone(p.plan.Engines[engineID].Assignments)
	assignments[index].DesiredState = Remove
	assignments[index].Since = p.Now
	assignments[index].Fence = p.fence
	p.update(engineID, assignments)
}

// current reports whether an assignment matches the model's settings.
func current(model *settings.Model, assignment Assignment) bool {
	return assignment.Model == model.Name && assignment.Version == model.Version &&
		assignment.MemoryBytes == model.MemoryBytes && len(assignment.Accelerators) == model.Accelerators
}

// placedReplica is an assignment with its position in the plan.
type placedReplica struct {
	engineID   string
	index      int
	assignment Assignment
	ready      bool
}

// active lists a model's assignments with desired state Keep on reachable engines.
// Replicas on unreachable engines do not count, although their memory stays reserved.
func (p *planner) active(model *settings.Model) []placedReplica {
	if p.byModel == nil {
		p.indexByModel()
	}
	return p.byModel[model.Name]
}

func (p *planner) indexByModel() {
	p.byModel = map[string][]placedReplica{}
	for _, id := range sortedKeys(p.plan.Engines) {
		eng := p.Engines[id]
		if !eng.Reachable {
			continue
		}
		for index, assignment := range p.plan.Engines[id].Assignments {
			if assignment.DesiredState == Keep {
				replica := placedReplica{id, index, assignment, isReady(eng, assignment.ReplicaID)}
				p.byModel[assignment.Model] = append(p.byModel[assignment.Model], replica)
			}
		}
	}
}

func isReady(eng Engine, replicaID string) bool {
	if eng.Inventory == nil {
		return false
	}
	return slices.ContainsFunc(eng.Inventory.Replicas, func(replica engine.Replica) bool {
		return replica.ID == replicaID && replica.State == engine.Ready
	})
}

func (p *planner) readyReplicas(model *settings.Model, currentOnly bool) int {
	count := 0
	for _, active := range p.active(model) {
		if active.ready && (!currentOnly || current(model, active.assignment)) {
			count++
		}
	}
	return count
}

// need is the number of replicas that a model should have, and its priority.
type need struct {
	model    *settings.Model
	replicas int
	urgent   int
	waiting  int
	lastUsed time.Time
}

// needOf computes a model's need from the demand for it and its adapters.
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
	desired := (result.waiting + running + model.Concurrency - 1) / model.Concurrency
	result.replicas = min(max(result.replicas, desired), model.MaxReplicas)
	recent := !result.lastUsed.IsZero() && p.Now.Sub(result.lastUsed) < model.IdleAfter
	if recent && result.replicas == 0 && len(p.active(model)) > 0 {
		result.replicas = 1 // scales to zero only after IdleAfter
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
	// Models with waiting interactive requests come first, then those with any waiting.
	slices.SortStableFunc(needs, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.urgent, a.urgent), cmp.Compare(b.waiting, a.waiting))
	})
	return needs
}

// removeSurplus removes replicas that a model has not needed for IdleAfter.
func (p *planner) removeSurplus() {
	for _, need := range p.needs() {
		placed := slices.Clone(p.active(need.model))
		if len(placed) <= need.replicas {
			delete(p.state.SurplusSince, need.model.Name)
			continue
		}
		since, known := p.state.SurplusSince[need.model.Name]
		if !known {
			p.state.SurplusSince[need.model.Name] = p.Now
			since = p.Now
		}
		// A zero lastUsed may only mean that a new placer has no history of the model, so
		// its replicas are not removed before IdleAfter.
		knownIdle := need.replicas == 0 && !need.lastUsed.IsZero()
		if !knownIdle && p.Now.Sub(since) < need.model.IdleAfter {
			continue
		}
		// The newest replicas are removed first: older ones have warmer prefix caches.
		slices.SortFunc(placed, func(a, b placedReplica) int { return b.assignment.Since.Compare(a.assignment.Since) })
		for _, surplus := range placed[:len(placed)-need.replicas] {
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

// loadMissing places missing replicas in order of urgency; every model gets its first
// replica before any model gets a second.
func (p *planner) loadMissing() {
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
	for _, active := range p.active(model) {
		if current(model, active.assignment) {
			count++
		}
	}
	return count
}

// load places one replica of a model, or evicts others if no engine has room.
func (p *planner) load(need need) {
	best, found := p.bestCandidate(need.model, false)
	if !found {
		p.evictFor(need)
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

// takeLoadToken takes a token for one load from the weight store. It returns false if no
// token is left or the region's limit of concurrent loads is reached.
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
