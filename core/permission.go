package core

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/routing"
)

// Gate tells whose keys are, and whether that is known well enough for a dispatch.
type Gate interface {
	// Owner returns the tenant that holds a key at this moment, or why a request with it
	// must not go out.
	ResolveTenant(key callers.KeyHash) (*routing.Tenant, *failure.Error)
}

// Limits keeps tenants within what they may use.
type Limits interface {
	// Admit tells whether a request with so many tokens (zero: it does not say) is within its
	// tenant's limit, waiting at most for a time where nobody can tell at once.
	Admit(ctx context.Context, tenant *routing.Tenant, tokens int, most time.Duration) (Permit, *failure.Error)
}

// Permit is the permission for one request.
type Permit interface {
	// Return gives it back: the request did not run.
	Return()
}

// limitWaitShare is the part of its objective that a call waits where nobody can tell whether
// it is within its tenant's limit: the next holder may be there by then, and a refusal up to a
// quarter of the objective leaves its caller the time to be served elsewhere.
const limitWaitShare = 5

// admit leads a call that is within its tenant's limit. One that did not run does not count
// toward it.
func (c *Core) admit(ctx context.Context, running *run) *failure.Error {
	if c.Limits != nil && running.Tenant != nil {
		permit, failed := c.Limits.Admit(ctx, running.Tenant, running.Tokens, running.Route.Objective/limitWaitShare)
		if failed != nil {
			return failed
		}
		defer func() {
			if running.life.Execution() == failure.NotRun {
				permit.Return()
			}
		}()
	}
	c.Demand.RecordArrival(running.key())
	c.budget(running.Service.Name).Deposit()
	return c.lead(ctx, running)
}

// pass tells whether the call's key is still good. It is asked right before each dispatch,
// the first and any further one: the key may have been taken away while the call waited.
func (c *Core) pass(ctx context.Context, running *run) *failure.Error {
	if running.Key == nil {
		return nil
	}
	tenant, failed := c.Gate.ResolveTenant(*running.Key)
	if failed == nil {
		running.Tenant = tenant
		return nil
	}
	if running.life.MayHaveRun() {
		return c.ended(ctx, running, failure.OutcomeUnknown, failed)
	}
	return failed
}
