package settings

import (
	"path"
	"time"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/request"
)

// Tree is a checked and resolved settings tree. It is read-only once built.
type Tree struct {
	Regions  map[string]Region
	Services map[string]Service
	Models   map[string]*Model    // by model name
	Targets  map[string]Target    // every name a caller may ask for
	Branches map[string]*Branch   // by path, for example andina/handhelds
	keys     callers.Keys[string] // owners are branch paths
	document Document
	set      *sourceSet // to find positions when they are asked for
}

// Region is a region, its zones and its weight store's limits.
type Region struct {
	Name            string
	Zones           []string
	LoadsPerSecond  float64
	ConcurrentLoads int
}

// Service is a pool of equal engines.
type Service struct {
	Name                   string
	Regions                []string
	Replicas               int
	Accelerators           int
	AcceleratorMemoryBytes int64
}

// Model is a model with its placement values resolved.
type Model struct {
	Name           string
	Branch         string // path of the declaring branch
	Service        string
	Version        string
	Accelerators   int
	MemoryBytes    int64 // on each accelerator
	AdapterSlots   int   // adapters loaded at once on a replica
	Adapters       []string
	MinReplicas    int
	MaxReplicas    int
	IdleAfter      time.Duration
	Concurrency    int // requests at once on a replica
	ServiceRegions []string
}

// Target is what a caller may name: a model, or an adapter of one.
type Target struct {
	Name  string
	Model string // the base model
}

// IsAdapter tells whether the target is an adapter.
func (t Target) IsAdapter() bool { return t.Name != t.Model }

// Branch is a branch with what it inherits filled in.
type Branch struct {
	Path    string
	Values  Values
	Origins map[string]Origin // by value name, such as deadlines.bulk
	chain   []string          // paths from the outermost ancestor to itself
}

// Values are the settings a branch inherits or overrides.
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

// Limits bound what a branch asks of one model in one region; zero is no limit.
type Limits struct {
	MaxWaiting        int
	MaxRunning        int
	RequestsPerSecond float64
	TokensPerMinute   int
}

// Origin says which branch set a value; Tree.Resolve finds its position.
type Origin struct {
	Branch   string   `json:"branch"` // empty for a built-in default
	Position Position `json:"position"`
	at       place
}

// defaultValues is what the outermost branches inherit.
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

// Document returns the tree as written, all sources in one.
func (t *Tree) Document() Document { return t.document }

// HashKey returns the form in which an API key stands in the settings.
func HashKey(key string) string {
	return keyPrefix + callers.Hash(key).String()
}

// BranchForKey returns the branch that an API key belongs to.
func (t *Tree) BranchForKey(key string) (*Branch, bool) {
	branchPath, found := t.keys.Owner(callers.Hash(key))
	if !found {
		return nil, false
	}
	return t.Branches[branchPath], true
}

// Allowed returns the target if the branch may use it: its model is declared on
// the branch or above it, and the branch's allow patterns match its name.
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
