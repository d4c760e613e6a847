// Package access decides whether a request that shows an API key may go out now: whose key
// it is, and whether the configuration that says so is recent enough.
//
// A key that the operator has taken away must not be used any more at any daemon, also at
// one that hears of nothing. So a daemon must know, at each dispatch, how long ago its
// configuration was surely the newest, and refuse once that is too long ago. A refusal is
// then always temporary: that a key or a route does not exist is only said under a recent
// configuration.
package access

import (
	"time"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/routing"
)

// Bound is how old a configuration may be.
type AgeLimit struct {
	// MaxAge is the time since the configuration was surely the newest up to which it counts
	// as recent.
	MaxAge time.Duration
	// Strict refuses requests with keys under a configuration that is not recent. Otherwise
	// its age matters only for saying that something does not exist.
	Strict bool
}

// comeBack is the advice to callers of a daemon whose configuration is not recent: others
// may have a recent one.
const comeBack = 300 * time.Millisecond

// Gate tells whose keys are. It is safe for concurrent use.
type Gate struct {
	Table *routing.Store
	// VerifiedAt returns a moment, on the monotonic clock, at which the configuration in force
	// was surely the newest; the zero time if there was none.
	VerifiedAt func() time.Time
	AgeLimit   AgeLimit
	Now        func() time.Time
}

// Age returns for how long the configuration in force may have been out of date; known is
// false if it was never proven.
func (g *Gate) Age() (age time.Duration, known bool) {
	proven := g.VerifiedAt()
	if proven.IsZero() {
		return 0, false
	}
	return g.Now().Sub(proven), true
}

// recent tells whether the configuration is recent.
func (g *Gate) recent() bool {
	age, known := g.Age()
	return known && age <= g.AgeLimit.MaxAge
}

// Owner returns the tenant that holds a key at this moment, or why the request must not go
// out.
func (g *Gate) ResolveTenant(key callers.KeyHash) (*routing.Tenant, *failure.Error) {
	// The age is taken before the table: what is read afterwards can only be newer.
	recent := g.recent()
	table := g.Table.Current()
	if table == nil || g.AgeLimit.Strict && !recent {
		return nil, g.outdated()
	}
	if tenant := table.TenantByKey(key); tenant != nil {
		return tenant, nil
	}
	if !recent {
		return nil, g.outdated()
	}
	return nil, failure.New(failure.Unauthenticated, "check the key, or ask your operator for one", "the API key is not known")
}

// Missing is the failure of a request without a key on a route that needs one.
func (g *Gate) MissingKey() *failure.Error {
	if !g.recent() {
		return g.outdated()
	}
	return failure.New(failure.Unauthenticated, "send an API key", "the request carries no API key, or several")
}

// NoRoute is the failure of a request that no route leads from.
func (g *Gate) NoRoute(host, path string) *failure.Error {
	if !g.recent() {
		return g.outdated()
	}
	return failure.New(failure.ModelNotAllowed, "check host and path, or ask the operator for a route", "no route leads from %s%s", host, path)
}

// Open tells whether requests with keys can be served at all.
func (g *Gate) Ready() bool {
	table := g.Table.Current()
	return table != nil && (!g.AgeLimit.Strict || !table.RequiresKeys() || g.recent())
}

// outdated is the failure of a request that cannot be judged under the configuration in
// force.
func (g *Gate) outdated() *failure.Error {
	age, known := g.Age()
	if !known {
		return failure.New(failure.Unavailable, "come back after the time given", "this daemon knows no configuration yet").WithRetryAfter(comeBack)
	}
	return failure.New(failure.ConfigOutdated, "come back after the time given; if it lasts, see whether this daemon reaches the key-value service",
		"the configuration was last proven %d ms ago, which is too long to judge the request by", age.Milliseconds()).WithRetryAfter(comeBack)
}
