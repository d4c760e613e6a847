// Package placement decides, purely, which models and adapters are loaded on
// which engines: a snapshot goes in, the next plan comes out. It reads no clock,
// sends nothing and remembers nothing but what its State carries.
//
// The plan may list a replica before it is loaded and lists it until its unload
// is confirmed, so its memory is never given away too early.
package placement

import (
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/settings"
)

// Wish is what the plan wants of an assignment.
type DesiredState string

// The wishes.
const (
	Keep   DesiredState = "keep"   // load it, or keep it loaded
	Remove DesiredState = "remove" // unload it; its memory counts until confirmed
)

// Assignment is a replica on an engine.
type Assignment struct {
	ReplicaID    string       `json:"replica_id"`
	Model        string       `json:"model"`
	Version      string       `json:"version"`
	Accelerators []int        `json:"accelerators"`
	MemoryBytes  int64        `json:"memory_bytes"` // on each accelerator
	Adapters     []string     `json:"adapters,omitempty"`
	DesiredState DesiredState `json:"wish"`
	Remote       bool         `json:"remote,omitempty"` // its load reads the weight store
	Since        time.Time    `json:"since"`            // of the wish
	Fence        engine.Fence `json:"fence"`            // of the plan that made the wish
}

// EnginePlan is what the plan says of one engine.
type EnginePlan struct {
	EngineID    string       `json:"engine_id"`
	Address     string       `json:"address"`
	Assignments []Assignment `json:"assignments"`
}

// Plan is the placement of a cell.
type Plan struct {
	Fence   engine.Fence
	Engines map[string]EnginePlan // by engine id
}

// NewPlan returns an empty plan.
func NewPlan(fence engine.Fence) Plan {
	return Plan{Fence: fence, Engines: map[string]EnginePlan{}}
}

// Clone returns a copy that shares nothing that is changed.
func (p Plan) Clone() Plan {
	copied := Plan{Fence: p.Fence, Engines: make(map[string]EnginePlan, len(p.Engines))}
	for id, planned := range p.Engines {
		planned.Assignments = slices.Clone(planned.Assignments)
		copied.Engines[id] = planned
	}
	return copied
}

// Decided returns how many replicas of each model the plan allows to be loaded,
// those that are being removed included.
func (p Plan) ReplicasByModel() map[string]int {
	decided := map[string]int{}
	for _, planned := range p.Engines {
		for _, assignment := range planned.Assignments {
			decided[assignment.Model]++
		}
	}
	return decided
}

// Engine is an engine as the placer sees it.
type Engine struct {
	ID      string
	Address string
	Zone    string
	Service string
	// Listed tells whether the machine list has it; Leaving whether the list or
	// the engine says that it leaves.
	Listed  bool
	Leaving bool
	// Reachable tells whether the inventory is current.
	Reachable bool
	Inventory *engine.Inventory // nil until first read
}

// usable tells whether new replicas may be put on the engine: it must have seen the
// epoch, so that its inventory cannot change any more by orders of earlier ones.
func (e Engine) usable(epoch uint64) bool {
	return e.Listed && !e.Leaving && e.Reachable && e.Inventory != nil && e.Inventory.Fence.Epoch >= epoch
}

// TargetDemand is the demand for one target in the cell, over all homes.
type TargetDemand struct {
	Waiting  int
	Urgent   int
	Running  int
	LastUsed time.Time
}

func (d TargetDemand) active() bool { return d.Waiting+d.Running > 0 }

// Snapshot is all that a decision is made from.
type Snapshot struct {
	Now     time.Time
	Region  string
	Tree    *settings.Tree
	Engines map[string]Engine       // by id
	Demand  map[string]TargetDemand // by target
	Plan    Plan
	State   State
	// AdoptUnknown takes replicas into the plan that engines hold and the plan does
	// not know, as after the plan was lost; otherwise they are to be unloaded.
	AdoptUnknown bool
	// NewReplicaID names the next replica; ids are never used twice.
	NewReplicaID func() string
}

// State is what the planner carries from one decision to the next.
type State struct {
	// SurplusSince is when a model's replicas first exceeded its need.
	SurplusSince map[string]time.Time
	// LoadTokens is the budget of remote loads that may start, as of TokensAt.
	LoadTokens float64
	TokensAt   time.Time
	// RemoteBytesPerSecond is the speed seen of remote loads; zero until one was.
	RemoteBytesPerSecond float64
}

// Clone returns a copy.
func (s State) Clone() State {
	copied := s
	copied.SurplusSince = make(map[string]time.Time, len(s.SurplusSince))
	for model, since := range s.SurplusSince {
		copied.SurplusSince[model] = since
	}
	return copied
}

// Decision is the outcome.
type Decision struct {
	Plan  Plan
	State State
	// Changed are the ids of engines whose plan differs from the snapshot's.
	Changed []string
}
