package placement_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/placement"
	"github.com/finchspoke/finchspoke/settings"
)

const treeText = `regions:
  - name: r
    zones: [z1, z2]
    weight_store: {loads_per_second: 5, concurrent_loads: 3}
services:
  - name: s
    regions: [r]
    replicas: 3
    accelerators: 2
    accelerator_memory: 10GiB
branches:
  - name: b
    placement: {idle_after: 10s, max_replicas: 2, concurrency: 2}
    models:
      - {name: small, service: s, version: "1", accelerators: 1, memory: 4GiB, adapter_slots: 1, adapters: [{name: small.a}, {name: small.b}]}
      - {name: wide, service: s, version: "1", accelerators: 2, memory: 6GiB}
      - {name: large, service: s, version: "1", accelerators: 1, memory: 9GiB}
      - {name: kept, service: s, version: "1", accelerators: 1, memory: 2GiB, placement: {min_replicas: 1}}
`

func parseTree(t require.TestingT) *settings.Tree {
	tree, err := settings.Parse(settings.Source{Name: "tree", Data: []byte(treeText)})
	require.NoError(t, err)
	return tree
}

// simulation runs the planner against engines that receive orders late, repeated or not
// at all.
type simulation struct {
	now         time.Time
	tree        *settings.Tree
	plan        placement.Plan
	state       placement.State
	demand      map[string]placement.TargetDemand
	engines     map[string]*simulatedEngine
	lastReplica int
}

type simulatedEngine struct {
	observed placement.Engine // the placer's view of the engine
	held     map[string]engine.Replica
	unloaded map[string]bool
	fence    engine.Fence
	pending  []engine.Order // in transit; delivered in any sequence
}

func newSimulation(t require.TestingT) *simulation {
	sim := &simulation{
		now: time.Unix(1_000_000, 0), tree: parseTree(t), plan: placement.NewPlan(engine.Fence{Epoch: 1}),
		state: placement.State{SurplusSince: map[string]time.Time{}}, demand: map[string]placement.TargetDemand{},
		engines: map[string]*simulatedEngine{},
	}
	for number := range 3 {
		id := fmt.Sprintf("e%d", number)
		sim.engines[id] = &simulatedEngine{held: map[string]engine.Replica{}, unloaded: map[string]bool{},
			observed: placement.Engine{ID: id, Service: "s", Zone: fmt.Sprintf("z%d", number%2+1), Listed: true, Reachable: true}}
		sim.refreshInventory(id)
	}
	return sim
}

// refreshInventory updates the placer's copy of a reachable engine's inventory.
func (sim *simulation) refreshInventory(id string) {
	simulated := sim.engines[id]
	if !simulated.observed.Reachable {
		return
	}
	inventory := &engine.Inventory{EngineID: id, Fence: simulated.fence,
		Accelerators: []engine.Accelerator{{MemoryBytes: 10 * settings.GiB}, {MemoryBytes: 10 * settings.GiB}}}
	for _, id := range slices.Sorted(maps.Keys(simulated.held)) {
		inventory.Replicas = append(inventory.Replicas, simulated.held[id])
	}
	simulated.observed.Inventory = inventory
}

// decide makes a decision and adds the resulting orders to those in transit.
func (sim *simulation) decide(t require.TestingT) {
	observed := map[string]placement.Engine{}
	for id, simulated := range sim.engines {
		observed[id] = simulated.observed
	}
	decision := placement.Decide(placement.Snapshot{
		Now: sim.now, Region: "r", Tree: sim.tree, Engines: observed, Demand: sim.demand, Plan: sim.plan, State: sim.state,
		NewReplicaID: func() string { sim.lastReplica++; return fmt.Sprintf("replica-%d", sim.lastReplica) },
	})
	require.Equal(t, len(decision.Changed) > 0, sim.plan.Fence.Less(decision.Plan.Fence), "the fence must increase if and only if the plan changes")
	sim.plan, sim.state = decision.Plan, decision.State
	for id, simulated := range sim.engines {
		if simulated.fence.Epoch < sim.plan.Fence.Epoch {
			simulated.pending = append(simulated.pending, engine.Order{Operation: engine.RaiseFence, Fence: sim.plan.Fence})
		}
		for _, assignment := range sim.plan.Engines[id].Assignments {
			order := engine.Order{Operation: engine.Load, Fence: sim.plan.Fence, ReplicaID: assignment.ReplicaID, Model: assignment.Model,
				Version: assignment.Version, Accelerators: assignment.Accelerators, MemoryBytes: assignment.MemoryBytes}
			if assignment.DesiredState == placement.Remove {
				order.Operation = engine.Unload
			}
			simulated.pending = append(simulated.pending, order)
		}
	}
}

// deliver executes one pending order on the engine, as an engine does: it refuses orders
// with an earlier fence and does not load a replica again after its unload.
func (s *simulatedEngine) deliver(t require.TestingT, index int) {
	order := s.pending[index]
	if order.Fence.Less(s.fence) {
		return
	}
	s.fence = order.Fence
	if order.Operation == engine.RaiseFence {
		return
	}
	if order.Operation == engine.Unload {
		s.unloaded[order.ReplicaID] = true
		delete(s.held, order.ReplicaID)
		return
	}
	if _, held := s.held[order.ReplicaID]; held || s.unloaded[order.ReplicaID] {
		return
	}
	s.held[order.ReplicaID] = engine.Replica{ID: order.ReplicaID, Model: order.Model, Version: order.Version, State: engine.Loading,
		Accelerators: order.Accelerators, MemoryBytes: order.MemoryBytes}
	used := [2]int64{}
	for _, held := range s.held {
		for _, accelerator := range held.Accelerators {
			used[accelerator] += held.MemoryBytes
		}
	}
	for _, bytes := range used {
		require.LessOrEqual(t, bytes, 10*settings.GiB, "accelerator memory overcommitted")
	}
}

// checkLoaded fails if the engines hold more replicas of a model than the plan lists.
func (sim *simulation) checkLoaded(t require.TestingT) {
	loaded := map[string]int{}
	for _, simulated := range sim.engines {
		for _, held := range simulated.held {
			loaded[held.Model]++
		}
	}
	planned := sim.plan.ReplicasByModel()
	for model, count := range loaded {
		require.LessOrEqual(t, count, planned[model], "more replicas of %s loaded than planned", model)
	}
}

func TestPlannerAgainstSimulatedEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		engineIDs := []string{"e0", "e1", "e2"}
		pick := func(t *rapid.T) *simulatedEngine { return sim.engines[rapid.SampledFrom(engineIDs).Draw(t, "engine")] }
		t.Repeat(map[string]func(*rapid.T){
			"decide": func(t *rapid.T) { sim.decide(t) },
			"demand": func(t *rapid.T) {
				target := rapid.SampledFrom([]string{"small", "small.a", "small.b", "wide", "large", "kept"}).Draw(t, "target")
				sim.demand[target] = placement.TargetDemand{Waiting: rapid.IntRange(0, 5).Draw(t, "waiting"),
					Running: rapid.IntRange(0, 2).Draw(t, "running"), LastUsed: sim.now}
			},
			"deliver": func(t *rapid.T) {
				simulated := pick(t)
				if len(simulated.pending) == 0 {
					t.Skip("no pending order")
				}
				// The order stays pending, so that it may be delivered again.
				simulated.deliver(t, rapid.IntRange(0, len(simulated.pending)-1).Draw(t, "order"))
			},
			"finishLoads": func(t *rapid.T) {
				simulated := pick(t)
				for id, held := range simulated.held {
					held.State = engine.Ready
					simulated.held[id] = held
				}
			},
			"observe": func(t *rapid.T) { sim.refreshInventory(rapid.SampledFrom(engineIDs).Draw(t, "engine")) },
			"reach": func(t *rapid.T) {
				simulated := pick(t)
				simulated.observed.Reachable = rapid.Bool().Draw(t, "reachable")
			},
			"leave": func(t *rapid.T) { pick(t).observed.Draining = rapid.Bool().Draw(t, "leaving") },
			"restartEngine": func(t *rapid.T) {
				// The new process has no replicas and no fence; orders to the old one are lost.
				simulated := pick(t)
				simulated.held, simulated.unloaded = map[string]engine.Replica{}, map[string]bool{}
				simulated.fence, simulated.pending = engine.Fence{}, nil
			},
			"takeOver": func(*rapid.T) {
				// The previous placer's orders stay in transit.
				sim.plan.Fence = engine.Fence{Epoch: sim.plan.Fence.Epoch + 1}
				sim.state = placement.State{SurplusSince: map[string]time.Time{}}
			},
			"version": func(t *rapid.T) {
				changed := *sim.tree.Models["small"]
				changed.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
				sim.tree.Models["small"] = &changed
			},
			"time": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { sim.checkLoaded(t) },
		})
	})
}

// settle makes decisions, with all orders and loads completed after each.
func (sim *simulation) settle(t require.TestingT, rounds int) {
	for range rounds {
		sim.decide(t)
		for id, simulated := range sim.engines {
			for index := range simulated.pending {
				simulated.deliver(t, index)
			}
			simulated.pending = nil
			for replicaID, held := range simulated.held {
				held.State = engine.Ready
				simulated.held[replicaID] = held
			}
			sim.refreshInventory(id)
		}
		sim.now = sim.now.Add(time.Second)
		sim.checkLoaded(t)
	}
}

func (sim *simulation) loaded(model string) int {
	count := 0
	for _, simulated := range sim.engines {
		for _, held := range simulated.held {
			if held.Model == model {
				count++
			}
		}
	}
	return count
}

func TestDemandLoadsModelAndIdleTimeUnloadsIt(t *testing.T) {
	sim := newSimulation(t)
	sim.settle(t, 2)
	require.Equal(t, 1, sim.loaded("kept"), "min_replicas must be loaded without demand")
	require.Zero(t, sim.loaded("large"))
	sim.demand["large"] = placement.TargetDemand{Waiting: 5, LastUsed: sim.now}
	sim.settle(t, 3)
	require.Equal(t, 2, sim.loaded("large"), "max_replicas must not be exceeded")
	sim.demand["large"] = placement.TargetDemand{LastUsed: sim.now}
	sim.settle(t, 5)
	require.Equal(t, 2, sim.loaded("large"), "must not be unloaded before idle_after")
	sim.settle(t, 10)
	require.Zero(t, sim.loaded("large"))
}

func TestWaitingModelEvictsIdleReplica(t *testing.T) {
	sim := newSimulation(t)
	for _, id := range []string{"e1", "e2"} {
		sim.engines[id].observed.Draining = true
	}
	sim.demand["large"] = placement.TargetDemand{Waiting: 1, LastUsed: sim.now}
	sim.settle(t, 3)
	require.Equal(t, 1, sim.loaded("large"))
	sim.demand["large"] = placement.TargetDemand{LastUsed: sim.now}
	sim.demand["wide"] = placement.TargetDemand{Waiting: 1, LastUsed: sim.now}
	sim.settle(t, 4)
	require.Zero(t, sim.loaded("large"), "an idle replica must be evicted even before idle_after")
	require.Equal(t, 1, sim.loaded("wide"))
}

func TestMemoryIsNotReassignedBeforeUnloadIsConfirmed(t *testing.T) {
	sim := newSimulation(t)
	for _, id := range []string{"e1", "e2"} {
		sim.engines[id].observed.Draining = true
	}
	sim.demand["large"] = placement.TargetDemand{Waiting: 1, LastUsed: sim.now}
	sim.settle(t, 3)
	sim.demand["large"] = placement.TargetDemand{LastUsed: sim.now}
	sim.demand["wide"] = placement.TargetDemand{Waiting: 1, LastUsed: sim.now}
	for range 5 {
		sim.decide(t)
		sim.now = sim.now.Add(time.Second)
		require.Equal(t, 1, sim.plan.ReplicasByModel()["large"], "its memory must stay reserved until the engine confirms the unload")
		require.Zero(t, sim.plan.ReplicasByModel()["wide"])
	}
	sim.settle(t, 3)
	require.Equal(t, 1, sim.loaded("wide"))
}

func TestRemoteLoadsStayWithinConcurrencyLimit(t *testing.T) {
	sim := newSimulation(t)
	for _, model := range []string{"small", "wide", "large"} {
		sim.demand[model] = placement.TargetDemand{Waiting: 4, LastUsed: sim.now}
	}
	sim.settle(t, 1) // delivers the placer's epoch to the engines
	sim.decide(t)
	remote := 0
	for _, planned := range sim.plan.Engines {
		for _, assignment := range planned.Assignments {
			if assignment.Remote {
				remote++
			}
		}
	}
	require.Equal(t, 3, remote, "concurrent_loads must not be exceeded")
}

func TestLostPlanIsRebuiltFromInventories(t *testing.T) {
	sim := newSimulation(t)
	sim.demand["large"] = placement.TargetDemand{Waiting: 1, LastUsed: sim.now}
	sim.settle(t, 3)
	require.Equal(t, 1, sim.loaded("large"))
	sim.plan = placement.NewPlan(engine.Fence{Epoch: 9})
	observed := map[string]placement.Engine{}
	for id, simulated := range sim.engines {
		observed[id] = simulated.observed
	}
	decision := placement.Decide(placement.Snapshot{Now: sim.now, Region: "r", Tree: sim.tree, Engines: observed, Demand: sim.demand, Plan: sim.plan,
		State: sim.state, AdoptUnknown: true, NewReplicaID: func() string { return "new" }})
	require.Equal(t, 1, decision.Plan.ReplicasByModel()["large"])
	require.Equal(t, 1, decision.Plan.ReplicasByModel()["kept"])
}

func TestAdapterReplacesIdleAdapter(t *testing.T) {
	sim := newSimulation(t)
	adapters := func() []string {
		for _, planned := range sim.plan.Engines {
			for _, assignment := range planned.Assignments {
				if assignment.Model == "small" {
					return assignment.Adapters
				}
			}
		}
		return nil
	}
	sim.demand["small.a"] = placement.TargetDemand{Waiting: 1, LastUsed: sim.now}
	sim.settle(t, 2)
	require.Equal(t, []string{"small.a"}, adapters())
	sim.demand["small.b"] = placement.TargetDemand{Waiting: 1, LastUsed: sim.now}
	sim.settle(t, 2)
	require.Equal(t, []string{"small.a"}, adapters(), "an adapter with demand must keep its slot")
	sim.demand["small.a"] = placement.TargetDemand{LastUsed: sim.now}
	sim.settle(t, 2)
	require.Equal(t, []string{"small.b"}, adapters())
}

// BenchmarkDecide measures one decision at up to 300 engines and 220 models, most of
// them idle.
func BenchmarkDecide(b *testing.B) {
	for _, engines := range []int{75, 150, 300} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			snapshot := largeSnapshot(b, engines, engines*220/300)
			b.ReportAllocs()
			for b.Loop() {
				placement.Decide(snapshot)
			}
		})
	}
}

func largeSnapshot(b *testing.B, engines, models int) placement.Snapshot {
	tree := parseTree(b)
	template := *tree.Models["small"]
	template.Adapters = nil
	tree.Models = map[string]*settings.Model{}
	now := time.Unix(1_000_000, 0)
	snapshot := placement.Snapshot{Now: now, Region: "r", Tree: tree, Engines: map[string]placement.Engine{},
		Demand: map[string]placement.TargetDemand{}, Plan: placement.NewPlan(engine.Fence{Epoch: 1}),
		State: placement.State{SurplusSince: map[string]time.Time{}}, NewReplicaID: func() string { return "new" }}
	for number := range engines {
		id := fmt.Sprintf("engine-%03d", number)
		inventory := &engine.Inventory{EngineID: id, Fence: engine.Fence{Epoch: 1}}
		for range 4 {
			inventory.Accelerators = append(inventory.Accelerators, engine.Accelerator{MemoryBytes: 24 * settings.GiB})
		}
		snapshot.Engines[id] = placement.Engine{ID: id, Service: "s", Zone: "z1", Listed: true, Reachable: true, Inventory: inventory}
	}
	for number := range models {
		model := template
		model.Name = fmt.Sprintf("model-%03d", number)
		tree.Models[model.Name] = &model
		if number%4 != 0 {
			continue // idle
		}
		snapshot.Demand[model.Name] = placement.TargetDemand{Running: 1, LastUsed: now}
		engineID := fmt.Sprintf("engine-%03d", number%engines)
		replica := engine.Replica{ID: "replica-" + model.Name, Model: model.Name, Version: "1", State: engine.Ready,
			Accelerators: []int{0}, MemoryBytes: model.MemoryBytes}
		snapshot.Engines[engineID].Inventory.Replicas = append(snapshot.Engines[engineID].Inventory.Replicas, replica)
		planned := snapshot.Plan.Engines[engineID]
		planned.Assignments = append(planned.Assignments, placement.Assignment{ReplicaID: replica.ID, Model: model.Name, Version: "1",
			Accelerators: []int{0}, MemoryBytes: model.MemoryBytes, DesiredState: placement.Keep, Since: now})
		snapshot.Plan.Engines[engineID] = planned
	}
	return snapshot
}
