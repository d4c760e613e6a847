// Package placement computes which models and adapters are loaded on which engines, as
// a pure function from a snapshot to the next plan, without a clock or I/O. A plan lists
// a replica from before its load until its unload is confirmed, so that its memory is not
// assigned to another replica too early.
package placement

import (
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/settings"
)

// DesiredState is the state that the plan requires of a replica.
type DesiredState string

// Desired states of a replica.
const (
	Keep   DesiredState = "keep"   // loaded
	Remove DesiredState = "remove" // unloaded; its memory stays reserved until the engine confirms
)

// Assignment is a replica planned on an engine.
type Assignment struct {
	ReplicaID    string       `json:"replica_id"`
	Model        string       `json:"model"`
	Version      string       `json:"version"`
	Accelerators []int        `json:"accelerators"`
	MemoryBytes  int64        `json:"memory_bytes"` // on each accelerator
	Adapters     []string     `json:"adapters,omitempty"`
	DesiredState DesiredState `json:"wish"`
	Remote       bool         `json:"remote,omitempty"` // loaded from the weight store, not from the engine's cache
	Since        time.Time    `json:"since"`            // time at which the desired state was set
	Fence        engine.Fence `json:"fence"`            // of the plan that set the desired state
}

// EnginePlan lists the replicas planned on one engine.
type EnginePlan struct {
	EngineID    string       `json:"engine_id"`
	Address     string       `json:"address"`
	Assignments []Assignment `json:"assignments"`
}

// Plan is the placement of replicas on the engines of a cell, the unit that one placer
// manages in a region.
type Plan struct {
	Fence   engine.Fence
	Engines map[string]EnginePlan // by engine id
}

// NewPlan returns an empty plan with the given fence.
func NewPlan(fence engine.Fence) Plan {
	return Plan{Fence: fence, Engines: map[string]EnginePlan{}}
}

// Clone returns a copy whose assignments can be replaced without changing p.
func (p Plan) Clone() Plan {
	copied := Plan{Fence: p.Fence, Engines: make(map[string]EnginePlan, len(p.Engines))}
	for id, planned := range p.Engines {
		planned.Assignments = slices.Clone(planned.Assignments)
		copied.Engines[id] = planned
	}
	return copied
}

// ReplicasByModel counts the planned replicas of each model, including those whose
// removal is not confirmed.
func (p Plan) ReplicasByModel() map[string]int {
	decided := map[string]int{}
	for _, planned := range p.Engines {
		for _, assignment := range planned.Assignments {
			decided[assignment.Model]++
		}
	}
	return decided
}

// Engine is the placer's view of an engine.
type Engine struct {
	ID      string
	Address string
	Zone    string
	Service string
	// Listed is set if the machine list contains the engine, Draining if the list or the
	// engine itself reports that it is about to stop.
	Listed   bool
	Draining bool
	// Reachable is set if the inventory is current.
	Reachable bool
	Inventory *engine.Inventory // nil until first read
}

// usable reports whether new replicas may be placed on the engine. The engine must have
// received the epoch, so that orders of earlier epochs can no longer change its inventory.
func (e Engine) usable(epoch uint64) bool {
	return e.Listed && !e.Draining && e.Reachable && e.Inventory != nil && e.Inventory.Fence.Epoch >= epoch
}

// TargetDemand is the number of requests for one target, a model or an adapter, and
// the time of its last use, summed over all daemons that queue requests for it.
type TargetDemand struct {
	Waiting  int
	Urgent   int
	Running  int
	LastUsed time.Time
}

func (d TargetDemand) active() bool { return d.Waiting+d.Running > 0 }

// Snapshot is the input of a decision.
type Snapshot struct {
	Now     time.Time
	Region  string
	Tree    *settings.Tree
	Engines map[string]Engine       // by id
	Demand  map[string]TargetDemand // by target
	Plan    Plan
	State   State
	// AdoptUnknown adds replicas that engines report and the plan does not list, as is
	// needed after the plan was lost. Otherwise the placer unloads them.
	AdoptUnknown bool
	// NewReplicaID returns an id that no replica has had before.
	NewReplicaID func() string
}

// State carries the planner's state from one decision to the next.
type State struct {
	// SurplusSince is the time, by model, since which it has had surplus replicas.
	SurplusSince map[string]time.Time
	// LoadTokens is the number of remote loads that may start, as of TokensAt.
	LoadTokens float64
	TokensAt   time.Time
	// RemoteBytesPerSecond is the average speed of remote loads; zero before the first.
	RemoteBytesPerSecond float64
}

// Clone returns a deep copy.
func (s State) Clone() State {
	copied := s
	copied.SurplusSince = make(map[string]time.Time, len(s.SurplusSince))
	for model, since := range s.SurplusSince {
		copied.SurplusSince[model] = since
	}
	return copied
}

// Decision is the result of Decide.
type Decision struct {
	Plan  Plan
	State State
	// Changed lists the ids of engines whose plan differs from the snapshot's.
	Changed []string
}
