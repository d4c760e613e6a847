// Package routing maps the host and path of a request to a service. It also holds the models that a
// service can load and the limits of tenants. A table is replaced as a whole, by a newer version
// only.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/quota"
)

// Kind determines how often a route's requests may run.
type Kind uint8

// The kinds of routes.
const (
	// RunOnce requests run at most once.
	RunOnce Kind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Stream requests are answered with events and run at most once, unless the route is resumable: then
	// another replica may continue after the last event.
	Stream
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case Stream:
		return "stream"
	}
	return "run_once"
}

// Split is the weight of one service within a route.
type Split struct {
	Service string
	Weight  int
}

// Route sends requests that match a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // starts and ends with a slash
	Kind       Kind
	Resumable  bool
	// Attempts is the maximum number of replicas that one request may run on.
	Attempts int
	// Timeout bounds the time from the arrival of a request to the end of its response.
	Timeout time.Duration
	// Objective is the time to first byte that callers expect.
	Objective time.Duration
	// MaxGap is the longest pause between events that callers expect; zero if the route sets none.
	MaxGap   time.Duration
	Priority int // 0 is the highest
	// Public routes accept requests without an API key.
	Public bool
	Splits []Split
}

// Repeatable reports whether a request that may have run already may run again.
func (r *Route) Repeatable() bool { return r.Kind == Repeatable }

// Model is a model that the replicas of a service can load.
type Model struct {
	Name            string
	MemoryMB        float64
	AdapterMemoryMB float64
	Adapters        []string      // names of the adapters available for the model
	StoreLoadTime   time.Duration // time to load from the weight store
	MemoryLoadTime  time.Duration // time to load from the replica's host memory
	DiskLoadTime    time.Duration // time to load from the replica's disk
}

// Engine describes the replicas of a service that loads models.
type Engine struct {
	Models         map[string]*Model
	MemoryMB       float64 // for weights and adapters together, per replica
	AdapterSlots   int     // per replica
	LoadsPerSecond float64 // loads from the weight store, over all replicas
	// MaxStoreLoadTime is the longest time that any model takes to load from the weight store.
	MaxStoreLoadTime time.Duration
	// TransferRate is how many cached prompt tokens a second a replica gets from another one; zero means that
	// replicas do not do that.
	TransferRate float64
	// EventTokens is the number of generated tokens in one event of a stream; zero means unknown.
	EventTokens int
}

// batchedEventTokens is the number of tokens from which an event counts as batched. An engine reads part of a
// prompt between any two tokens, so an event of that many tokens is delayed by as many parts.
const batchedEventTokens = 6

// BatchesEvents reports whether the replicas send several tokens in one event, so that prompts read beside a
// stream add up to pauses that its caller notices.
func (e *Engine) BatchesEvents() bool { return e != nil && e.EventTokens >= batchedEventTokens }

// HasModel reports whether the catalogue contains a model and, if adapter is not empty, that adapter
// of it.
func (e *Engine) HasModel(model, adapter string) bool {
	declared := e.Models[model]
	return declared != nil && (adapter == "" || slices.Contains(declared.Adapters, adapter))
}

// Service is a set of interchangeable replicas.
type Service struct {
	Name           string
	MaxConnections int     // per replica, over all callers
	Engine         *Engine // nil for a service without models
}

// Tenant is a customer, identified by the API keys of its requests.
type Tenant struct {
	Name string
	Keys []callers.KeyHash
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
	Limit    quota.Limit
	// CountsTokens means that Limit is in tokens; otherwise it is in requests.
	CountsTokens bool
	// PlainTokens is the cost of a request that does not state its number of tokens.
	PlainTokens int
}

// Cost returns how much of the tenant's limit a request uses. tokens is zero if the request does not
// state a number.
func (t *Tenant) Cost(tokens int) int {
	switch {
	case !t.CountsTokens:
		return 1
	case tokens > 0:
		return tokens
	}
	return t.PlainTokens
}

// Limits bound the size of callers' requests and how long their connections may be idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Revision is a complete routing table as imported.
type Revision struct {
	Version  int64
	Routes   []*Route
	Services []*Service
	// Tenants hold the callers' keys; without tenants, requests need no key.
	Tenants []*Tenant
	Limits  Limits
}

// Table is a revision indexed for lookups. It is immutable.
type Table struct {
	Version  int64
	Limits   Limits
	services map[string]*Service
	byHost   map[string][]*Route // longest prefix first
	tenants  []*Tenant
	keys     callers.Keys[*Tenant]
}

// NewTable validates a revision and indexes it.
func NewTable(revision Revision) (*Table, error) {
	table := &Table{
		Version: revision.Version, Limits: revision.Limits,
		services: make(map[string]*Service, len(revision.Services)), byHost: map[string][]*Route{},
		tenants: revision.Tenants,
	}
	for _, tenant := range revision.Tenants {
		for _, key := range tenant.Keys {
			table.keys.Add(key, tenant)
		}
	}
	for _, service := range revision.Services {
		table.services[service.Name] = service
	}
	for _, route := range revision.Routes {
		if err := table.add(route); err != nil {
			return nil, err
		}
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return table, nil
}

func (t *Table) add(route *Route) error {
	if !strings.HasPrefix(route.PathPrefix, "/") {
		return failure.New(failure.InvalidSettings, "start the path prefix with a slash", "route %s has the path prefix %q", route.Name, route.PathPrefix)
	}
	if len(route.Splits) == 0 {
		return failure.New(failure.InvalidSettings, "name a service, or a split of services", "route %s has no service", route.Name)
	}
	for _, split := range route.Splits {
		if t.services[split.Service] == nil {
			return failure.New(failure.InvalidSettings, "declare the service, or send the route to another one",
				"route %s refers to service %q, which is not declared", route.Name, split.Service)
		}
	}
	host := strings.ToLower(route.Host)
	t.byHost[host] = append(t.byHost[host], route)
	return nil
}

// RequiresKeys reports whether requests on routes that are not public need a key.
func (t *Table) RequiresKeys() bool { return len(t.tenants) > 0 }

// Tenants returns the tenants in the order of the revision. Callers must not modify the slice.
func (t *Table) Tenants() []*Tenant { return t.tenants }

// TenantByKey returns the tenant that a key belongs to, or nil.
func (t *Table) TenantByKey(key callers.KeyHash) *Tenant {
	tenant, _ := t.keys.Owner(key)
	return tenant
}

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services calls visit for each service, in no particular order.
func (t *Table) Services(visit func(*Service)) {
	for _, service := range t.services {
		visit(service)
	}
}

// Match returns the route of a host (ignoring the port) with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// goldenRatio distributes consecutive sequence numbers evenly over [0, 1).
const goldenRatio = 0.6180339887498949

// Pick returns the service for the request with the given sequence number. Consecutive numbers follow
// the weights more evenly than random choices. offset, in [0, 1), is the point where a daemon begins.
func (r *Route) Pick(sequence uint64, offset float64) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	point := offset + float64(sequence)*goldenRatio
	point = (point - float64(int64(point))) * float64(total)
	for _, split := range r.Splits {
		if point < float64(split.Weight) {
			return split.Service
		}
		point -= float64(split.Weight)
	}
	return r.Splits[len(r.Splits)-1].Service
}
