package core

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
)

// demandWait counts a call as waiting demand while no replica can take it.
type demandWait struct{ stop func() }

// starts reports whether the call must be counted as demand from now on. A call whose replicas are not
// known yet is not counted, since its target may be loaded already.
func (w *demandWait) starts(miss fleet.Miss) bool { return w.stop == nil && miss != fleet.Undiscovered }

func (w *demandWait) end() {
	if w.stop != nil {
		w.stop()
	}
}

// checkCallActive returns the chosen replica, or the final failure if the call ended while it waited
// for its reservation.
func (c *Core) checkCallActive(ctx context.Context, state *callState, pick *fleet.Pick) (*fleet.Pick, *failure.Error) {
	if ctx.Err() == nil {
		return pick, nil
	}
	pick.Cancel()
	state.returnPermit()
	return nil, c.finalFailure(ctx, state, failure.DeadlineExceeded, errors.New(fleet.RateLimited.String()))
}

// constraint is why no replica can take a call now.
type constraint struct {
	miss fleet.Miss
	// until is when the constraint should end; valid only if known is set.
	until time.Time
	known bool
	// backingOff is the replica whose back-off ends first; empty if none is backing off.
	backingOff string
	// deniedBy is the rate-limited replica that may accept the call first.
	deniedBy deniedReplica
}

// findConstraint returns why no replica can take a call now, and when one is expected to.
func (c *Core) findConstraint(state *callState, miss fleet.Miss, now time.Time) constraint {
	found := constraint{miss: miss}
	found.until, found.known = c.Fleet.ExpectedLoad(state.Service.Name, requiredLoad(state.Target, miss), now)
	switch miss {
	case fleet.BackingOff:
		if backoff, exists := c.Fleet.EarliestBackoff(state.Service.Name, state.Target, now); exists {
			found.backingOff = backoff.Replica
			found.clearBy(backoff.Until)
		}
	case fleet.RateLimited:
		found.deniedBy = state.denied.earliest(now)
		found.clearBy(found.deniedBy.notBefore)
	}
	return found
}

// clearBy moves the constraint's end to the given time unless it ends earlier.
func (c *constraint) clearBy(at time.Time) {
	if !c.known || at.Before(c.until) {
		c.until, c.known = at, true
	}
}

// recheckIn returns the time after which to choose again even if no replica has changed.
func (c *constraint) recheckIn(now time.Time) time.Duration {
	if c.miss == fleet.RateLimited {
		return min(recheckInterval, max(minPause, c.until.Sub(now)))
	}
	return recheckInterval
}

// decide returns whether the call keeps waiting or is refused.
func (c *Core) decide(state *callState, found constraint, now time.Time) waitDecision {
	var estimate loadEstimate
	if !found.known { // no estimate is needed if the end of the constraint is known
		estimate = c.estimateLoad(state.Call, found.miss, now)
	}
	decision := decideWait(now, state.Call, found.miss, found.until, found.known, estimate)
	if found.miss == fleet.RateLimited {
		decision.source = found.deniedBy.source
	}
	if c.isStopping() {
		// Another daemon has more time to wait and to serve the call.
		decision.wait, decision.readyIn, decision.source = false, 0, "stopping"
	}
	return decision
}

// recordWait records and logs that a call could not be served at once, and the decision.
func (c *Core) recordWait(state *callState, found constraint, decision waitDecision) {
	if decision.wait && state.waitEstimate == 0 {
		state.waitEstimate = decision.readyIn
	}
	if state.miss == fleet.Found {
		state.miss = found.miss
	}
	if found.miss == fleet.RateLimited {
		c.logReservation(state, found.deniedBy.replicaLimit, decision)
		return
	}
	c.logWait(state, found.miss, decision, found.backingOff)
}
