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

// cell holds the engines, the demand and the current plan of a cell during one term of
// its placer. It is safe for concurrent use.
type cell struct {
	region string
	dirty  chan struct{} // signals changed input for the next decision

	mutex    sync.Mutex
	engines  map[string]*engineState
	demand   map[string]map[string]placement.TargetDemand // by home daemon, target
	lastUsed map[string]time.Time                         // by target
	plan     placement.Plan
	state    placement.State
}

// engineState is what the placer tracks of one engine.
type engineState struct {
	machine      machinelist.Machine
	listed       bool
	inventory    *engine.Inventory
	failures     int // consecutive failures to read the inventory
	loadingSince map[string]time.Time
	lastOrdered  map[string]time.Time // by orderKey
	applying     bool
	applyAgain   bool // another round was requested during the current one
}

// failuresUntilUnreachable is the number of consecutive failed inventory reads after
// which an engine counts as unreachable.
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
	// The plan's engines are tracked even before the first machine list arrives.
	for id, planned := range plan.Engines {
		created.engine(id).machine.Address = planned.Address
	}
	return created
}

// engine returns the state of an engine and creates it if needed. The caller holds the
// mutex, or the cell is not shared yet.
func (c *cell) engine(id string) *engineState {
	state := c.engines[id]
	if state == nil {
		state = &engineState{
			machine: machinelist.Machine{ID: id}, loadingSince: map[string]time.Time{}, lastOrdered: map[string]time.Time{},
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

// setMachines applies a machine list and returns the addresses of the engines to watch,
// by id.
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

// setInventory records an engine's inventory; nil stands for a failed read.
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

// observeLoads updates the load speed with the remote loads that have finished.
func (c *cell) observeLoads(state *engineState, now time.Time) {
	isRemote := map[string]bool{}
	for _, assignment := range c.plan.Engines[state.machine.ID].Assignments {
		isRemote[assignment.ReplicaID] = assignment.Remote
	}
	for _, replica := range state.inventory.Replicas {
		switch replica.State {
		case engine.Loading:
			if _, known := state.loadingSince[replica.ID]; !known {
				state.loadingSince[replica.ID] = now.Add(-time.Duration(replica.LoadingForMs) * time.Millisecond)
			}
		case engine.Ready:
			if started, known := state.loadingSince[replica.ID]; known {
				delete(state.loadingSince, replica.ID)
				if isRemote[replica.ID] {
					c.state.ObserveRemoteLoad(replica.MemoryBytes*int64(len(replica.Accelerators)), now.Sub(started))
				}
			}
		}
	}
}

// highestEpoch returns the highest epoch that any engine reports.
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

// setDemand replaces the demand that a home daemon reports for the given targets.
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

// dropHome deletes the demand of a home daemon that has disconnected, but keeps the
// time at which its targets were last used.
func (c *cell) dropHome(home string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.demand, home)
	c.markDirty()
}

// snapshot returns the input of the next decision.
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

// enginesLocked returns the placer's view of its engines; the caller holds the mutex.
func (c *cell) enginesLocked() map[string]placement.Engine {
	engines := make(map[string]placement.Engine, len(c.engines))
	for id, state := range c.engines {
		view := placement.Engine{
			ID: id, Address: state.machine.Address, Zone: state.machine.Zone, Service: state.machine.Service,
			Listed: state.listed, Draining: state.machine.State == machinelist.Draining,
			Reachable: state.reachable(), Inventory: state.inventory,
		}
		if state.inventory != nil && state.inventory.Draining {
			view.Draining = true
		}
		engines[id] = view
	}
	return engines
}

// applyDecision adopts a decision's plan and state, except for the load speed, which
// may have been updated since the snapshot.
func (c *cell) applyDecision(decision placement.Decision) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	speed := c.state.RemoteBytesPerSecond
	c.plan = decision.Plan
	c.state = decision.State
	c.state.RemoteBytesPerSecond = speed
}

// cellView is a copy of the current plan, engines and state, for home daemons and status.
type cellView struct {
	Plan    placement.Plan
	Engines map[string]placement.Engine
	State   placement.State
}

func (c *cell) cellView() cellView {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return cellView{Plan: c.plan, Engines: c.enginesLocked(), State: c.state}
}
