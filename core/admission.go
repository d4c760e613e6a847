package core

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/routing"
)

// Gate resolves callers' keys. It refuses them while its records of keys may be outdated.
type Gate interface {
	// ResolveTenant returns the tenant that currently owns a key, or why a request with the key must
	// not be dispatched.
	ResolveTenant(key callers.KeyHash) (*routing.Tenant, *failure.Error)
}

// Limits enforces the usage limits of tenants.
type Limits interface {
	// Admit checks a request against its tenant's limit; zero tokens means unknown. It blocks for at
	// most maxWait if the decision needs another daemon. bid is nil unless the tenant's requests compete.
	Admit(ctx context.Context, tenant *routing.Tenant, tokens int, maxWait time.Duration, bid *Bid) (Permit, *failure.Error)
}

// Bid is what a call that competes for its tenant's limit is judged by.
type Bid struct {
	quota.Claim
	RequestID string
}

// patienceDivisor divides the time that a caller has left: it waits for no longer than that part of it before
// it returns after a refusal.
const patienceDivisor = 3

// bid returns the call's bid; nil if tenants do not compete.
func (c *Core) bid(call *Call) *Bid {
	if !c.CompetingTenants {
		return nil
	}
	return &Bid{RequestID: call.ID, Claim: quota.Claim{
		Fingerprint: quota.Fingerprint(call.Fingerprint), Class: call.Route.Name, Priority: call.Priority(),
		ObjectiveLeft: time.Until(call.Arrived.Add(call.Route.Objective)), Patience: time.Until(call.Deadline) / patienceDivisor,
	}}
}

// Permit is the admission of one request by Limits.
type Permit interface {
	// Return releases the permit of a request that did not run.
	Return()
}

// limitWaitDivisor divides the route's objective to limit the wait for a decision on a tenant limit.
// The wait lets a new leader take over and leaves the caller time to try another daemon.
const limitWaitDivisor = 5

// admit serves a call that is within its tenant's limit, and returns the permit if the call did not
// run.
func (c *Core) admit(ctx context.Context, state *callState) *failure.Error {
	if c.Limits != nil && state.Tenant != nil {
		permit, failed := c.Limits.Admit(ctx, state.Tenant, state.Tokens, state.Route.Objective/limitWaitDivisor, c.bid(state.Call))
		if failed != nil {
			return failed
		}
		defer func() {
			if state.lifecycle.Execution() == failure.NotRun {
				permit.Return()
			}
		}()
	}
	c.Demand.RecordArrival(state.key(), state.Route.Objective)
	c.depositRetry(state.Service.Name)
	return c.dispatchUntilDone(ctx, state)
}

// checkKey checks before each dispatch that the call's key is still valid, since it may have been
// revoked while the call waited.
func (c *Core) checkKey(ctx context.Context, state *callState) *failure.Error {
	if state.Key == nil {
		return nil
	}
	tenant, failed := c.Gate.ResolveTenant(*state.Key)
	if failed == nil {
		state.Tenant = tenant
		return nil
	}
	if state.lifecycle.MayHaveRun() {
		return c.finalFailure(ctx, state, failure.OutcomeUnknown, failed)
	}
	return failed
}
