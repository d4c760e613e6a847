// Package routing holds the table that leads a request from its host and path to
// a service: routes, services, the models a service can load, and the limits on
// callers. A table comes whole, as one revision, and never goes back to an older
// one within a process.
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

// Kind says what may be done with a request of a route.
type Kind uint8

// The kinds of routes.
const (
	// RunOnce requests run at most once.
	RunOnce Kind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Stream requests are answered by events and run at most once, unless the
	// route is resumable: then another replica may go on after the last event.
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

// Split is one service's share of a route.
type Split struct {
	Service string
	Weight  int
}

// Route leads requests of a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	Resumable  bool
	// Attempts is the largest number of replicas that one request may run on.
	Attempts int
	// Timeout is the longest time a request is held.
	Timeout time.Duration
	// Objective is the time to the first byte that callers expect.
	Objective time.Duration
	// MaxGap is the longest pause between events that callers expect; zero if the
	// route does not say.
	MaxGap   time.Duration
	Priority int // 0 is the most urgent
	// Public routes take requests without a key.
	Public bool
	Splits []Split
}

// Repeatable tells whether a request may run again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Repeatable }

// Model is a model that an engine service can load.
type Model struct {
	Name            string
	MemoryMB        float64
	AdapterMemoryMB float64
	Adapters        []string      // names of the adapters that the model has
	StoreLoadTime   time.Duration // load from the weight store
	MemoryLoadTime  time.Duration // from the replica's host memory
	DiskLoadTime    time.Duration // from the replica's disk
}

// Engine describes the replicas of a service that load models.
type Engine struct {
	Models         map[string]*Model
	MemoryMB       float64 // for weights and adapters together, of one replica
	AdapterSlots   int     // of one replica
	LoadsPerSecond float64 // from the weight store, over all replicas
	// MaxStoreLoadTime is the time of the longest load of a model from the weight store.
	MaxStoreLoadTime time.Duration
}

// Declares tells whether the catalogue has a model, and the adapter of it if one is
// named.
func (e *Engine) HasModel(model, adapter string) bool {
	declared := e.Models[model]
	return declared != nil && (adapter == "" || slices.Contains(declared.Adapters, adapter))
}

// Service is a set of replicas that answer alike.
type Service struct {
	Name           string
	MaxConnections int     // of one replica, from all callers together
	Engine         *Engine // nil for a service without models
}

// Tenant is a customer whose requests carry one of its keys.
type Tenant struct {
	Name string
	Keys []callers.KeyHash
	// Priority goes before that of the route; nil leaves the route's.
	Priority *int
	Limit    quota.Limit
	// CountsTokens tells that the limit is in tokens; otherwise it is in requests.
	CountsTokens bool
	// PlainTokens is what a request counts that names no tokens.
	PlainTokens int
}

// Cost returns what a request counts toward the tenant's limit; tokens is zero for a
// request that names none.
func (t *Tenant) Cost(tokens int) int {
	switch {
	case !t.CountsTokens:
		return 1
	case tokens > 0:
		return tokens
	}
	return t.PlainTokens
}

// Limits bound what a caller may send and how long it may rest.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Revision is a whole table as imported.
type Revision struct {
	Version  int64
	Routes   []*Route
	Services []*Service
	// Tenants hold the callers' keys; without any, requests need none.
	Tenants []*Tenant
	Limits  Limits
}

// Table is a revision indexed for lookups. It is not changed once made.
type Table struct {
	Version  int64
	Limits   Limits
	services map[string]*Service
	byHost   map[string][]*Route // longest prefix first
	tenants  []*Tenant
	keys     callers.Keys[*Tenant]
}

// NewTable checks a revision and indexes it.
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
		return failure.New(failure.InvalidSettings, "begin the path prefix with a slash", "route %s has the path prefix %q", route.Name, route.PathPrefix)
	}
	if len(route.Splits) == 0 {
		return failure.New(failure.InvalidSettings, "name a service, or a split of services", "route %s leads to no service", route.Name)
	}
	for _, split := range route.Splits {
		if t.services[split.Service] == nil {
			return failure.New(failure.InvalidSettings, "declare the service, or lead the route to another",
				"route %s leads to service %q, which is not declared", route.Name, split.Service)
		}
	}
	host := strings.ToLower(route.Host)
	t.byHost[host] = append(t.byHost[host], route)
	return nil
}

// RequiresKeys tells whether requests on routes that are not public need a key.
func (t *Table) RequiresKeys() bool { return len(t.tenants) > 0 }

// Tenants lists the tenants in the order of the revision. It is not to be changed.
func (t *Table) Tenants() []*Tenant { return t.tenants }

// TenantByKey returns the tenant that holds a key, or nil.
func (t *Table) TenantByKey(key callers.KeyHash) *Tenant {
	tenant, _ := t.keys.Owner(key)
	return tenant
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services calls visit for each service.
func (t *Table) Services(visit func(*Service)) {
	for _, service := range t.services {
		visit(service)
	}
}

// Match returns the route of a host (a port is ignored) with the longest prefix
// that begins the path, or nil.
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

// goldenRatio spreads consecutive sequence numbers evenly over [0, 1).
const goldenRatio = 0.6180339887498949

// Pick returns the service of the request with a sequence number. Consecutive
// numbers meet each weight far more evenly than random draws do.
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
