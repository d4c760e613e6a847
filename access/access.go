// Package access authorizes requests by their API keys. A revoked key must stop working even at a
// partitioned daemon, so each check requires a configuration that was recently verified to be current.
// Errors under a stale configuration are temporary: a key or route is reported as unknown only under a
// recent one.
package access

import (
	"time"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/routing"
)

// AgeLimit limits the age of the configuration under which requests are authorized.
type AgeLimit struct {
	// MaxAge is the longest time since the configuration was verified to be current during which
	// it is recent.
	MaxAge time.Duration
	// Strict rejects all requests with keys under a configuration that is not recent. Otherwise
	// known keys are still accepted.
	Strict bool
}

// retryDelay is the Retry-After for callers of a daemon whose configuration is not recent. It is
// short because other daemons may have a recent one.
const retryDelay = 300 * time.Millisecond

// Gate resolves API keys to tenants. It is safe for concurrent use.
type Gate struct {
	Table *routing.Store
	// VerifiedAt returns the last time, on the monotonic clock that Now reads, at which the
	// configuration in effect was known to be current; zero if it never was.
	VerifiedAt func() time.Time
	AgeLimit   AgeLimit
	Now        func() time.Time
}

// Age returns the time since the configuration in effect was last verified to be current; known is
// false if it never was.
func (g *Gate) Age() (age time.Duration, known bool) {
	verifiedAt := g.VerifiedAt()
	if verifiedAt.IsZero() {
		return 0, false
	}
	return g.Now().Sub(verifiedAt), true
}

func (g *Gate) isRecent() bool {
	age, known := g.Age()
	return known && age <= g.AgeLimit.MaxAge
}

// ResolveTenant returns the tenant that owns a key, or the error with which to reject the request.
func (g *Gate) ResolveTenant(key callers.KeyHash) (*routing.Tenant, *failure.Error) {
	// The age is read before the table, so that the table can only be newer than the age implies.
	isRecent := g.isRecent()
	table := g.Table.Current()
	if table == nil || g.AgeLimit.Strict && !isRecent {
		return nil, g.outdatedError()
	}
	if tenant := table.TenantByKey(key); tenant != nil {
		return tenant, nil
	}
	if !isRecent {
		return nil, g.outdatedError()
	}
	return nil, failure.New(failure.Unauthenticated, "check the key, or ask your operator for one", "the API key is not known")
}

// MissingKey returns the error for a request that needs a key and carries none, or several.
func (g *Gate) MissingKey() *failure.Error {
	if !g.isRecent() {
		return g.outdatedError()
	}
	return failure.New(failure.Unauthenticated, "send exactly one API key", "the request carries no API key, or more than one")
}

// NoRoute returns the error for a request that matches no route.
func (g *Gate) NoRoute(host, path string) *failure.Error {
	if !g.isRecent() {
		return g.outdatedError()
	}
	return failure.New(failure.ModelNotAllowed, "check host and path, or ask your operator for a route", "no route matches %s%s", host, path)
}

// Ready reports whether requests with keys can be served.
func (g *Gate) Ready() bool {
	table := g.Table.Current()
	return table != nil && (!g.AgeLimit.Strict || !table.RequiresKeys() || g.isRecent())
}

// outdatedError returns the temporary error for a request that cannot be authorized because the
// configuration is missing or not recent.
func (g *Gate) outdatedError() *failure.Error {
	age, known := g.Age()
	if !known {
		return failure.New(failure.Unavailable, "retry after the given time", "this daemon has not loaded a configuration yet").WithRetryAfter(retryDelay)
	}
	return failure.New(failure.ConfigOutdated, "retry after the given time; if the error persists, check whether this daemon reaches the key-value service",
		"the configuration was last verified to be current %d ms ago, too long to authorize the request", age.Milliseconds()).WithRetryAfter(retryDelay)
}
