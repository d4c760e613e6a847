package placement_test

import (
	"fmt"
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

// world is the oracle: engines that obey orders late, or not, beside the planner.
type world struct {
	now      time.Time
	tree     *settings.Tree
	plan     placement.Plan
	state    placement.State
	demand   map[string]placement.TargetDemand
	engines  map[string]*simulatedEngine
	replicas int
}

type simulatedEngine struct {
	known    placement.Engine // as the placer sees it
	held     map[string]engine.Replica
	unloaded map[string]bool
	fence    engine.Fence
	pending  []engine.Order // on their way; delivered in any order
}

func newWorld(t require.TestingT) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), tree: parseTree(t), plan: placement.NewPlan(engine.Fence{Epoch: 1}),
		state: placement.State{SurplusSince: map[string]time.Time{}}, demand: map[string]placement.TargetDemand{},
		engines: map[string]*simulatedEngine{},
	}
	for number := range 3 {
		id := fmt.Sprintf("e%d", number)
		w.engines[id] = &simulatedEngine{held: map[string]engine.Replica{}, unloaded: map[string]bool{},
			known: placement.Engine{ID: id, Service: "s", Zone: fmt.Sprintf("z%d", number%2+1), Listed: true, Reachable: true}}
		w.observe(id)
	}
	return w
}

// observe refreshes what the placer sees of an engine.
func (w *world) observe(id string) {
	simulated := w.engines[id]
	if !simulated.known.Reachable {
		return
	}
	inventory := &engine.Inventory{EngineID: id, Fence: simulated.fence,
		Accelerators: []engine.Accelerator{{MemoryBytes: 10 * settings.GiB}, {MemoryBytes: 10 * settings.GiB}}}
	for _, held := range simulated.held {
		inventory.Replicas = append(inventory.Replicas, held)
	}
	simulated.known.Inventory = inventory
}

// decide makes a decision and puts the orders that follow from it on their way.
func (w *world) decide(t require.TestingT) {
	known := map[string]placement.Engine{}
	for id, simulated := range w.engines {
		known[id] = simulated.known
	}
	decision := placement.Decide(placement.Snapshot{
		Now: w.now, Region: "r", Tree: w.tree, Engines: known, Demand: w.demand, Plan: w.plan, State: w.state,
		NewReplicaID: func() string { w.replicas++; return fmt.Sprintf("replica-%d", w.replicas) },
	})
	require.Equal(t, len(decision.Changed) > 0, w.plan.Fence.Less(decision.Plan.Fence), "the fence grows with each change only")
	w.plan, w.state = decision.Plan, decision.State
	for id, simulated := range w.engines {
		if simulated.fence.Epoch < w.plan.Fence.Epoch {
			simulated.pending = append(simulated.pending, engine.Order{Operation: engine.RaiseFence, Fence: w.plan.Fence})
		}
		for _, assignment := range w.plan.Engines[id].Assignments {
			order := engine.Order{Operation: engine.Load, Fence: w.plan.Fence, ReplicaID: assignment.ReplicaID, Model: assignment.Model,
				Version: assignment.Version, Accelerators: assignment.Accelerators, MemoryBytes: assignment.MemoryBytes}
			if assignment.DesiredState == placement.Remove {
				order.Operation = engine.Unload
			}
			simulated.pending = append(simulated.pending, order)
		}
	}
}

// deliver hands one pending order, any of them, to an engine.
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

// check compares what is loaded with what was decided.
func (w *world) check(t require.TestingT) {
	loaded := map[string]int{}
	for _, simulated := range w.engines {
		for _, held := range simulated.held {
			loaded[held.Model]++
		}
	}
	decided := w.plan.ReplicasByModel()
	for model, count := range loaded {
		require.LessOrEqual(t, count, decided[model], "more replicas of %s loaded than decided", model)
	}
}

func TestPlannerAgainstSimulatedEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		engineIDs := []string{"e0", "e1", "e2"}
		pick := func(t *rapid.T) *simulatedEngine { return w.engines[rapid.SampledFrom(engineIDs).Draw(t, "engine")] }
		t.Repeat(map[string]func(*rapid.T){
			"decide": func(t *rapid.T) { w.decide(t) },
			"demand": func(t *rapid.T) {
				target := rapid.SampledFrom([]string{"small", "small.a", "small.b", "wide", "large", "kept"}).Draw(t, "target")
				w.demand[target] = placement.TargetDemand{Waiting: rapid.IntRange(0, 5).Draw(t, "waiting"),
					Running: rapid.IntRange(0, 2).Draw(t, "running"), LastUsed: w.now}
			},
			"deliver": func(t *rapid.T) {
				simulated := pick(t)
				if len(simulated.pending) == 0 {
					t.Skip("no order")
				}
				// An order may be delivered late and more than once.
				simulated.deliver(t, rapid.IntRange(0, len(simulated.pending)-1).Draw(t, "order"))
			},
			"finishLoads": func(t *rapid.T) {
				simulated := pick(t)
				for id, held := range simulated.held {
					held.State = engine.Ready
					simulated.held[id] = held
				}
			},
			"observe": func(t *rapid.T) { w.observe(rapid.SampledFrom(engineIDs).Draw(t, "engine")) },
			"reach": func(t *rapid.T) {
				simulated := pick(t)
				simulated.known.Reachable = rapid.Bool().Draw(t, "reachable")
			},
			"leave": func(t *rapid.T) { pick(t).known.Leaving = rapid.Bool().Draw(t, "leaving") },
			"restartEngine": func(t *rapid.T) {
				// A new process: memory empty, fence forgotten, orders to the old one lost.
				simulated := pick(t)
				simulated.held, simulated.unloaded = map[string]engine.Replica{}, map[string]bool{}
				simulated.fence, simulated.pending = engine.Fence{}, nil
			},
			"takeOver": func(*rapid.T) {
				// The old placer's orders stay on their way.
				w.plan.Fence = engine.Fence{Epoch: w.plan.Fence.Epoch + 1}
				w.state = placement.State{SurplusSince: map[string]time.Time{}}
			},
			"version": func(t *rapid.T) {
				changed := *w.tree.Models["small"]
				changed.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
				w.tree.Models["small"] = &changed
			},
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { w.check(t) },
		})
	})
}

// settle lets orders and loads finish between decisions.
func (w *world) settle(t require.TestingT, rounds int) {
	for range rounds {
		w.decide(t)
		for id, simulated := range w.engines {
			for index := range simulated.pending {
				simulated.deliver(t, index)
			}
			simulated.pending = nil
			for replicaID, held := range simulated.held {
				held.State = engine.Ready
				simulated.held[replicaID] = held
			}
			w.observe(id)
		}
		w.now = w.now.Add(time.Second)
		w.check(t)
	}
}

func (w *world) loaded(model string) int {
	count := 0
	for _, simulated := range w.engines {
		for _, held := range simulated.held {
			if held.Model == model {
				count++
			}
		}
	}
	return count
}

func TestDemandLoadsAndIdlenessUnloads(t *testing.T) {
	w := newWorld(t)
	w.settle(t, 2)
	require.Equal(t, 1, w.loaded("kept"), "the least number is loaded without demand")
	require.Zero(t, w.loaded("large"))
	w.demand["large"] = placement.TargetDemand{Waiting: 5, LastUsed: w.now}
	w.settle(t, 3)
	require.Equal(t, 2, w.loaded("large"), "max_replicas holds")
	w.demand["large"] = placement.TargetDemand{LastUsed: w.now}
	w.settle(t, 5)
	require.Equal(t, 2, w.loaded("large"), "not unloaded before idle_after")
	w.settle(t, 10)
	require.Zero(t, w.loaded("large"))
}

func TestWaitingModelEvictsTheLongestIdle(t *testing.T) {
	w := newWorld(t)
	for _, id := range []string{"e1", "e2"} {
		w.engines[id].known.Leaving = true
	}
	w.demand["large"] = placement.TargetDemand{Waiting: 1, LastUsed: w.now}
	w.settle(t, 3)
	require.Equal(t, 1, w.loaded("large"))
	w.demand["large"] = placement.TargetDemand{LastUsed: w.now}
	w.demand["wide"] = placement.TargetDemand{Waiting: 1, LastUsed: w.now}
	w.settle(t, 4)
	require.Zero(t, w.loaded("large"), "idle, though not for idle_after yet")
	require.Equal(t, 1, w.loaded("wide"))
}

func TestMemoryIsNotGivenAwayBeforeTheUnloadIsConfirmed(t *testing.T) {
	w := newWorld(t)
	for _, id := range []string{"e1", "e2"} {
		w.engines[id].known.Leaving = true
	}
	w.demand["large"] = placement.TargetDemand{Waiting: 1, LastUsed: w.now}
	w.settle(t, 3)
	w.demand["large"] = placement.TargetDemand{LastUsed: w.now}
	w.demand["wide"] = placement.TargetDemand{Waiting: 1, LastUsed: w.now}
	for range 5 {
		w.decide(t)
		w.now = w.now.Add(time.Second)
		require.Equal(t, 1, w.plan.ReplicasByModel()["large"], "its memory counts until the engine confirms")
		require.Zero(t, w.plan.ReplicasByModel()["wide"])
	}
	w.settle(t, 3)
	require.Equal(t, 1, w.loaded("wide"))
}

func TestRemoteLoadsKeepToTheBudget(t *testing.T) {
	w := newWorld(t)
	for _, model := range []string{"small", "wide", "large"} {
		w.demand[model] = placement.TargetDemand{Waiting: 4, LastUsed: w.now}
	}
	w.settle(t, 1) // seals the engines
	w.decide(t)
	remote := 0
	for _, planned := range w.plan.Engines {
		for _, assignment := range planned.Assignments {
			if assignment.Remote {
				remote++
			}
		}
	}
	require.Equal(t, 3, remote, "concurrent_loads holds")
}

func TestLostPlanIsMadeAnewFromTheEngines(t *testing.T) {
	w := newWorld(t)
	w.demand["large"] = placement.TargetDemand{Waiting: 1, LastUsed: w.now}
	w.settle(t, 3)
	require.Equal(t, 1, w.loaded("large"))
	w.plan = placement.NewPlan(engine.Fence{Epoch: 9})
	known := map[string]placement.Engine{}
	for id, simulated := range w.engines {
		known[id] = simulated.known
	}
	decision := placement.Decide(placement.Snapshot{Now: w.now, Region: "r", Tree: w.tree, Engines: known, Demand: w.demand, Plan: w.plan,
		State: w.state, AdoptUnknown: true, NewReplicaID: func() string { return "new" }})
	require.Equal(t, 1, decision.Plan.ReplicasByModel()["large"])
	require.Equal(t, 1, decision.Plan.ReplicasByModel()["kept"])
}

func TestAdapterTakesTheSlotOfAnIdleOne(t *testing.T) {
	w := newWorld(t)
	adapters := func() []string {
		for _, planned := range w.plan.Engines {
			for _, assignment := range planned.Assignments {
				if assignment.Model == "small" {
					return assignment.Adapters
				}
			}
		}
		return nil
	}
	w.demand["small.a"] = placement.TargetDemand{Waiting: 1, LastUsed: w.now}
	w.settle(t, 2)
	require.Equal(t, []string{"small.a"}, adapters())
	w.demand["small.b"] = placement.TargetDemand{Waiting: 1, LastUsed: w.now}
	w.settle(t, 2)
	require.Equal(t, []string{"small.a"}, adapters(), "an adapter with demand keeps its slot")
	w.demand["small.a"] = placement.TargetDemand{LastUsed: w.now}
	w.settle(t, 2)
	require.Equal(t, []string{"small.b"}, adapters())
}

// BenchmarkDecide measures a decision at the size of one region of the design:
// 300 engines, 220 models, most of them idle.
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
