package settings

import (
	"path"
	"time"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/request"
)

// Tree is a checked and resolved settings tree. It is read-only once built.
type Tree struct {
	Regions   map[string]Region
	Services  map[string]Service
	Models    map[string]*Model    // by model name
	Targets   map[string]Target    // models and adapters, by name
	Branches  map[string]*Branch   // by path, for example andina/handhelds
	keys      callers.Keys[string] // owners are branch paths
	document  Document
	positions *sourceSet // sources of the origins of values
}

// Region is a region with its zones and the limits of its weight store.
type Region struct {
	Name            string
	Zones           []string
	LoadsPerSecond  float64
	ConcurrentLoads int
}

// Service is a pool of identical engines.
type Service struct {
	Name                   string
	Regions                []string
	Replicas               int
	Accelerators           int
	AcceleratorMemoryBytes int64
}

// Model is a model with resolved placement values.
type Model struct {
	Name           string
	Branch         string // path of the declaring branch
	Service        string
	Version        string
	Accelerators   int
	MemoryBytes    int64 // per accelerator
	AdapterSlots   int   // adapters loaded at once per replica
	Adapters       []string
	MinReplicas    int
	MaxReplicas    int
	IdleAfter      time.Duration
	Concurrency    int // concurrent requests per replica
	ServiceRegions []string
}

// Target is a name that callers can request: a model or an adapter.
type Target struct {
	Name  string
	Model string // the base model
}

// IsAdapter reports whether the target is an adapter.
func (t Target) IsAdapter() bool { return t.Name != t.Model }

// Branch is a branch with its inherited values.
type Branch struct {
	Path    string
	Values  Values
	Origins map[string]Origin // by value name, such as deadlines.bulk
	chain   []string          // paths from the root branch to this one
}

// Values are the settings that a branch inherits or overrides.
type Values struct {
	Allow       []string
	Class       request.Class
	Deadlines   [request.ClassCount]time.Duration
	Limits      Limits
	Share       int
	MaxBody     int64
	MinReplicas int
	MaxReplicas int
	IdleAfter   time.Duration
	Concurrency int
}

// Limits bound a branch's requests for one model in one region; zero means no limit.
type Limits struct {
	MaxWaiting        int
	MaxRunning        int
	RequestsPerSecond float64
	TokensPerMinute   int
}

// Origin identifies the branch that set a value. Tree.Resolve fills in Position.
type Origin struct {
	Branch   string   `json:"branch"` // empty for a built-in default
	Position Position `json:"position"`
	at       location
}

// defaultValues returns the values that top-level branches inherit.
func defaultValues() Values {
	return Values{
		Allow:       []string{"*"},
		Class:       request.Standard,
		Deadlines:   [request.ClassCount]time.Duration{30 * time.Second, 2 * time.Minute, 8 * time.Hour},
		Limits:      Limits{MaxWaiting: 1000},
		Share:       1,
		MaxBody:     4 * MiB,
		MinReplicas: 0,
		MaxReplicas: 4,
		IdleAfter:   10 * time.Minute,
		Concurrency: 8,
	}
}

// Document returns all sources of the tree merged into one document.
func (t *Tree) Document() Document { return t.document }

// HashKey returns the hash of an API key in the format used in settings.
func HashKey(key string) string {
	return keyPrefix + callers.Hash(key).String()
}

// BranchForKey returns the branch that an API key authenticates.
func (t *Tree) BranchForKey(key string) (*Branch, bool) {
	branchPath, found := t.keys.Owner(callers.Hash(key))
	if !found {
		return nil, false
	}
	return t.Branches[branchPath], true
}

// Allowed returns the target and its model if the branch may use it: the model is declared
// on the branch or one of its ancestors, and an allow pattern of the branch matches name.
func (t *Tree) Allowed(branch *Branch, name string) (Target, *Model, bool) {
	target, found := t.Targets[name]
	if !found {
		return Target{}, nil, false
	}
	model := t.Models[target.Model]
	if !branch.inherits(model.Branch) || !matchesAny(branch.Values.Allow, name) {
		return Target{}, nil, false
	}
	return target, model, true
}

func (b *Branch) inherits(branchPath string) bool {
	for _, ancestor := range b.chain {
		if ancestor == branchPath {
			return true
		}
	}
	return false
}

func matchesAny(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if matched, err := path.Match(pattern, name); err == nil && matched {
			return true
		}
	}
	return false
}
