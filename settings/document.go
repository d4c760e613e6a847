// Package settings manages the operators' settings tree: it decodes and checks YAML,
// resolves inherited values, compares revisions and stores accepted ones.
//
// Document is the form that operators write; Tree is the checked and resolved form that
// daemons use.
package settings

// Document is a settings tree as written. Values with units stay strings, so that an
// invalid one can be reported with its line.
type Document struct {
	Regions  []RegionDocument  `yaml:"regions,omitempty"`
	Services []ServiceDocument `yaml:"services,omitempty"`
	Branches []BranchDocument  `yaml:"branches,omitempty"`
}

// RegionDocument describes a region: its zones and the limits of its weight store.
type RegionDocument struct {
	Name        string               `yaml:"name"`
	Zones       []string             `yaml:"zones"`
	WeightStore *WeightStoreDocument `yaml:"weight_store,omitempty"`
}

// WeightStoreDocument limits the loads from a region's weight store.
type WeightStoreDocument struct {
	LoadsPerSecond  float64 `yaml:"loads_per_second"`
	ConcurrentLoads int     `yaml:"concurrent_loads"`
}

// ServiceDocument describes a pool of identical engines.
type ServiceDocument struct {
	Name              string   `yaml:"name"`
	Regions           []string `yaml:"regions"`
	Replicas          int      `yaml:"replicas"`           // engines in the pool
	Accelerators      int      `yaml:"accelerators"`       // per engine
	AcceleratorMemory string   `yaml:"accelerator_memory"` // per accelerator, like 24GiB
}

// BranchDocument describes a branch. Unset values are inherited from the parent.
type BranchDocument struct {
	Name      string             `yaml:"name"`
	Keys      []string           `yaml:"keys,omitempty"`      // sha256:<hex> of API keys
	Allow     []string           `yaml:"allow,omitempty"`     // name patterns of allowed models
	Class     string             `yaml:"class,omitempty"`     // default request class
	Deadlines *DeadlineDocument  `yaml:"deadlines,omitempty"` // per class
	Limits    *LimitsDocument    `yaml:"limits,omitempty"`
	Share     *int               `yaml:"share,omitempty"`    // weight in fair queueing
	MaxBody   string             `yaml:"max_body,omitempty"` // largest request body, like 4MiB
	Placement *PlacementDocument `yaml:"placement,omitempty"`
	Models    []ModelDocument    `yaml:"models,omitempty"`
	Branches  []BranchDocument   `yaml:"branches,omitempty"`
}

// LimitsDocument limits a branch's requests for one model in one region. Zero means no
// limit, except for max_waiting, which must be positive.
type LimitsDocument struct {
	MaxWaiting        *int     `yaml:"max_waiting,omitempty"`         // requests waiting
	MaxRunning        *int     `yaml:"max_running,omitempty"`         // requests running
	RequestsPerSecond *float64 `yaml:"requests_per_second,omitempty"` // admission rate
	TokensPerMinute   *int     `yaml:"tokens_per_minute,omitempty"`   // requested prompt and output tokens
}

// DeadlineDocument holds the default time to a complete response for each class.
type DeadlineDocument struct {
	Interactive string `yaml:"interactive,omitempty"`
	Standard    string `yaml:"standard,omitempty"`
	Bulk        string `yaml:"bulk,omitempty"`
}

// PlacementDocument controls the number of replicas of a branch's models.
type PlacementDocument struct {
	MinReplicas *int   `yaml:"min_replicas,omitempty"`
	MaxReplicas *int   `yaml:"max_replicas,omitempty"`
	IdleAfter   string `yaml:"idle_after,omitempty"`  // time without requests before unloading
	Concurrency *int   `yaml:"concurrency,omitempty"` // concurrent requests per replica
}

// ModelDocument declares a model that its branch and all branches below may use.
type ModelDocument struct {
	Name         string             `yaml:"name"`
	Service      string             `yaml:"service"`
	Version      string             `yaml:"version"`
	Accelerators int                `yaml:"accelerators"` // per replica
	Memory       string             `yaml:"memory"`       // per accelerator
	AdapterSlots *int               `yaml:"adapter_slots,omitempty"`
	Placement    *PlacementDocument `yaml:"placement,omitempty"`
	Adapters     []AdapterDocument  `yaml:"adapters,omitempty"`
}

// AdapterDocument declares an adapter of the enclosing model.
type AdapterDocument struct {
	Name string `yaml:"name"`
}
