package placer

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/machinelist"
	"github.com/finchspoke/finchspoke/placement"
	"github.com/finchspoke/finchspoke/settings"
)

// cell is what the placer knows of its cell while it leads: engines, demand and
// the standing plan. It is safe for concurrent use.
type cell struct {
	region string
	dirty  chan struct{} // signals that a decision may change

	mutex    sync.Mutex
	engines  map[string]*engineState
	demand   map[string]map[string]placement.TargetDemand // by home, target
	lastUsed map[string]time.Time                         // by target
	plan     placement.Plan
	state    placement.State
}

// engineState is an engine with how it is doing.
type engineState struct {
	machine   machinelist.Machine
	listed    bool
	inventory *engine.Inventory
	failures  int // to read the inventory, in a row
	loading   map[string]time.Time
	ordered   map[string]time.Time // last order by replica and operation
	applying  bool
	again     bool // apply once more after the current round
}

// failuresUntilUnreachable is how many reads in a row must fail.
const failuresUntilUnreachable = 2

func (e *engineState) reachable() bool {
	return e.inventory != nil && e.failures < failuresUntilUnreachable
}

func newCell(region string, plan placement.Plan) *cell {
	created := &cell{
		region: region, dirty: make(chan struct{}, 1),
		engines: map[string]*engineState{}, demand: map[string]map[string]placement.TargetDemand{},
		lastUsed: map[string]time.Time{}, plan: plan,
		state: placement.State{SurplusSince: map[string]time.Time{}},
	}
	// Engines of the standing plan are known before the list names them.
	for id, planned := range plan.Engines {
		created.engine(id).machine.Address = planned.Address
	}
	return created
}

// engine returns the state of an engine, making it if new; the mutex is held or
// the cell not yet shared.
func (c *cell) engine(id string) *engineState {
	state := c.engines[id]
	if state == nil {
		state = &engineState{
			machine: machinelist.Machine{ID: id}, loading: map[string]time.Time{}, ordered: map[string]time.Time{},
		}
		c.engines[id] = state
	}
	return state
}

func (c *cell) markDirty() {
	select {
	case c.dirty <- struct{}{}:
	default:
	}
}

// setMachines takes a machine list in and returns the engines to watch, by id.
func (c *cell) setMachines(machines []machinelist.Machine) map[string]string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, state := range c.engines {
		state.listed = false
	}
	for _, machine := range machines {
		state := c.engine(machine.ID)
		state.machine = machine
		state.listed = true
	}
	watched := map[string]string{}
	for id, state := range c.engines {
		_, planned := c.plan.Engines[id]
		if !state.listed && !planned && !state.reachable() {
			delete(c.engines, id)
			continue
		}
		watched[id] = state.machine.Address
	}
	c.markDirty()
	return watched
}

// setInventory takes in an inventory, or the failure to read one.
func (c *cell) setInventory(id string, inventory *engine.Inventory, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.engines[id]
	if state == nil {
		return
	}
	wasReachable := state.reachable()
	if inventory == nil {
		state.failures++
	} else {
		state.failures = 0
		state.inventory = inventory
		c.observeLoads(state, now)
	}
	if inventory != nil || state.reachable() != wasReachable {
		c.markDirty()
	}
}

// observeLoads times the remote loads that have finished.
func (c *cell) observeLoads(state *engineState, now time.Time) {
	remote := map[string]bool{}
	for _, assignment := range c.plan.Engines[state.machine.ID].Assignments {
		remote[assignment.ReplicaID] = assignment.Remote
	}
	for _, held := range state.inventory.Replicas {
		switch held.State {
		case engine.Loading:
			if _, known := state.loading[held.ID]; !known {
				state.loading[held.ID] = now.Add(-time.Duration(held.LoadingForMs) * time.Millisecond)
			}
		case engine.Ready:
			if began, known := state.loading[held.ID]; known {
				delete(state.loading, held.ID)
				if remote[held.ID] {
					c.state.ObserveRemoteLoad(held.MemoryBytes*int64(len(held.Accelerators)), now.Sub(began))
				}
			}
		}
	}
}

// highestEpoch is the highest epoch that an engine has seen.
func (c *cell) highestEpoch() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	highest := uint64(0)
	for _, state := range c.engines {
		if state.inventory != nil {
			highest = max(highest, state.inventory.Fence.Epoch)
		}
	}
	return highest
}

// setDemand replaces what a home reports of some targets.
func (c *cell) setDemand(home string, reported map[string]placement.TargetDemand) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.demand[home] == nil {
		c.demand[home] = map[string]placement.TargetDemand{}
	}
	for target, demand := range reported {
		c.demand[home][target] = demand
		if demand.LastUsed.After(c.lastUsed[target]) {
			c.lastUsed[target] = demand.LastUsed
		}
	}
	c.markDirty()
}

// dropHome forgets a home that is no longer connected; when its targets were
// last used stays known.
func (c *cell) dropHome(home string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.demand, home)
	c.markDirty()
}

// snapshot returns what a decision is made from.
func (c *cell) snapshot(now time.Time, tree *settings.Tree) placement.Snapshot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	demand := make(map[string]placement.TargetDemand, len(c.lastUsed))
	for target, used := range c.lastUsed {
		demand[target] = placement.TargetDemand{LastUsed: used}
	}
	for _, targets := range c.demand {
		for target, reported := range targets {
			total := demand[target]
			total.Waiting += reported.Waiting
			total.Urgent += reported.Urgent
			total.Running += reported.Running
			demand[target] = total
		}
	}
	return placement.Snapshot{
		Now: now, Region: c.region, Tree: tree, Engines: c.enginesLocked(), Demand: demand,
		Plan: c.plan, State: c.state, NewReplicaID: uuid.NewString,
	}
}

func (c *cell) enginesLocked() map[string]placement.Engine {
	engines := make(map[string]placement.Engine, len(c.engines))
	for id, state := range c.engines {
		known := placement.Engine{
			ID: id, Address: state.machine.Address, Zone: state.machine.Zone, Service: state.machine.Service,
			Listed: state.listed, Leaving: state.machine.State == machinelist.Leaving,
			Reachable: state.reachable(), Inventory: state.inventory,
		}
		if state.inventory != nil && state.inventory.Leaving {
			known.Leaving = true
		}
		engines[id] = known
	}
	return engines
}

// adopt makes a decision's plan and state the cell's. The speed of loads may
// have been observed since the snapshot and is kept.
func (c *cell) adopt(decision placement.Decision) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	speed := c.state.RemoteBytesPerSecond
	c.plan = decision.Plan
	c.state = decision.State
	c.state.RemoteBytesPerSecond = speed
}

// picture is the standing plan with the engines, for publishing and status.
type picture struct {
	Plan    placement.Plan
	Engines map[string]placement.Engine
	State   placement.State
}

func (c *cell) picture() picture {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return picture{Plan: c.plan, Engines: c.enginesLocked(), State: c.state}
}
