// Package settings owns the operators' settings tree: reading and checking its
// YAML, resolving what a branch inherits, comparing revisions, and keeping the
// accepted revision in force.
//
// A document is what an operator writes; a Tree is the checked and resolved
// form that the daemon uses.
package settings

// Document is a settings tree as written. Values that carry units stay strings
// here, so that a bad one can be reported with its line.
type Document struct {
	Regions  []RegionDocument  `yaml:"regions,omitempty"`
	Services []ServiceDocument `yaml:"services,omitempty"`
	Branches []BranchDocument  `yaml:"branches,omitempty"`
}

// RegionDocument describes a region: its zones and its weight store's limits.
type RegionDocument struct {
	Name        string               `yaml:"name"`
	Zones       []string             `yaml:"zones"`
	WeightStore *WeightStoreDocument `yaml:"weight_store,omitempty"`
}

// WeightStoreDocument is the loads budget of a region's weight store.
type WeightStoreDocument struct {
	LoadsPerSecond  float64 `yaml:"loads_per_second"`
	ConcurrentLoads int     `yaml:"concurrent_loads"`
}

// ServiceDocument describes a pool of equal engines.
type ServiceDocument struct {
	Name              string   `yaml:"name"`
	Regions           []string `yaml:"regions"`
	Replicas          int      `yaml:"replicas"`           // engines in the pool
	Accelerators      int      `yaml:"accelerators"`       // per engine
	AcceleratorMemory string   `yaml:"accelerator_memory"` // each, like 24GiB
}

// BranchDocument is one branch. Unset values are inherited from the parent.
type BranchDocument struct {
	Name      string             `yaml:"name"`
	Keys      []string           `yaml:"keys,omitempty"`      // sha256:<hex> of API keys
	Allow     []string           `yaml:"allow,omitempty"`     // name patterns of models given
	Class     string             `yaml:"class,omitempty"`     // default class
	Deadlines *DeadlineDocument  `yaml:"deadlines,omitempty"` // per class
	Limits    *LimitsDocument    `yaml:"limits,omitempty"`
	Share     *int               `yaml:"share,omitempty"`    // weight in fair sharing
	MaxBody   string             `yaml:"max_body,omitempty"` // request body, like 4MiB
	Placement *PlacementDocument `yaml:"placement,omitempty"`
	Models    []ModelDocument    `yaml:"models,omitempty"`
	Branches  []BranchDocument   `yaml:"branches,omitempty"`
}

// LimitsDocument bounds what a branch asks of one model in one region, where the
// model has one queue. Zero or unset means no limit, except for max_waiting.
type LimitsDocument struct {
	MaxWaiting        *int     `yaml:"max_waiting,omitempty"`         // requests waiting
	MaxRunning        *int     `yaml:"max_running,omitempty"`         // requests running
	RequestsPerSecond *float64 `yaml:"requests_per_second,omitempty"` // requests let in
	TokensPerMinute   *int     `yaml:"tokens_per_minute,omitempty"`   // tokens asked for, prompt and answer
}

// DeadlineDocument holds the default time to a whole answer for each class.
type DeadlineDocument struct {
	Interactive string `yaml:"interactive,omitempty"`
	Standard    string `yaml:"standard,omitempty"`
	Bulk        string `yaml:"bulk,omitempty"`
}

// PlacementDocument tunes how many replicas a branch's models get.
type PlacementDocument struct {
	MinReplicas *int   `yaml:"min_replicas,omitempty"`
	MaxReplicas *int   `yaml:"max_replicas,omitempty"`
	IdleAfter   string `yaml:"idle_after,omitempty"`  // unload after this long without requests
	Concurrency *int   `yaml:"concurrency,omitempty"` // requests at once on a replica
}

// ModelDocument declares a model; its branch and those below may use it.
type ModelDocument struct {
	Name         string             `yaml:"name"`
	Service      string             `yaml:"service"`
	Version      string             `yaml:"version"`
	Accelerators int                `yaml:"accelerators"` // used at once by a replica
	Memory       string             `yaml:"memory"`       // on each of them
	AdapterSlots *int               `yaml:"adapter_slots,omitempty"`
	Placement    *PlacementDocument `yaml:"placement,omitempty"`
	Adapters     []AdapterDocument  `yaml:"adapters,omitempty"`
}

// AdapterDocument declares an adapter of the model it stands under.
type AdapterDocument struct {
	Name string `yaml:"name"`
}
