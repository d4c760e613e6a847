package core

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
)

// demandWait records a call as waiting demand while no replica can take it.
type demandWait struct {
	stop      func()
	atVersion bool // recorded as demand at its software version
}

// starts reports whether to begin recording the call as waiting demand. A call whose replicas this
// daemon has not discovered yet is not recorded, since its target may be loaded already.
func (w *demandWait) starts(miss fleet.Miss) bool { return w.stop == nil && miss != fleet.Undiscovered }

// record records the call as waiting demand, at its software version if only a load there helps. A call that is
// refused must not cause a load there.
func (w *demandWait) record(tracker *demand.Tracker, state *callState, miss fleet.Miss, decision waitDecision, now time.Time) {
	atVersion := miss == fleet.VersionNotLoaded
	if miss == fleet.Undiscovered || atVersion && !decision.wait || w.stop != nil && w.atVersion == atVersion {
		return
	}
	w.end()
	w.atVersion = atVersion
	if atVersion {
		w.stop = tracker.BeginVersionWait(demand.VersionKey{Key: state.key(), Version: *state.requiredVersion}, now)
		return
	}
	w.stop = tracker.BeginWait(state.key(), now)
}

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

// waitConstraint describes why no replica can take a call now.
type waitConstraint struct {
	miss fleet.Miss
	// until is when the constraint should end; valid only if untilKnown is set.
	until      time.Time
	untilKnown bool
	// backingOffReplica is the id of the replica whose back-off ends first; empty if there is none.
	backingOffReplica string
	// deniedBy is the rate-limited replica that may accept the call first.
	deniedBy deniedReplica
}

// findConstraint returns why no replica can take a call now, and when one is expected to.
func (c *Core) findConstraint(state *callState, miss fleet.Miss, now time.Time) waitConstraint {
	result := waitConstraint{miss: miss}
	result.until, result.untilKnown = c.Fleet.ExpectedLoad(fleet.Query{Service: state.Service.Name, Target: requiredLoad(state.Target, miss), Version: state.requiredVersion}, now)
	switch miss {
	case fleet.BackingOff:
		if backoff, exists := c.Fleet.EarliestBackoff(state.Service.Name, state.Target, now); exists {
			result.backingOffReplica = backoff.Replica
			result.endBy(backoff.Until)
		}
	case fleet.RateLimited:
		result.deniedBy = state.denied.earliest(now)
		result.endBy(result.deniedBy.notBefore)
	}
	return result
}

// endBy moves the constraint's end to the given time unless it ends earlier.
func (c *waitConstraint) endBy(at time.Time) {
	if !c.untilKnown || at.Before(c.until) {
		c.until, c.untilKnown = at, true
	}
}

// recheckIn returns the time after which the call looks for a replica again even if none has changed.
func (c *waitConstraint) recheckIn(now time.Time) time.Duration {
	if c.miss == fleet.RateLimited {
		return min(recheckInterval, max(minPause, c.until.Sub(now)))
	}
	return recheckInterval
}

// decide decides whether the call keeps waiting or is refused.
func (c *Core) decide(state *callState, constraint waitConstraint, now time.Time) waitDecision {
	var estimate loadEstimate
	if !constraint.untilKnown { // no estimate is needed if the end of the constraint is known
		if constraint.miss == fleet.VersionNotLoaded {
			estimate = c.estimateVersionLoad(state, now)
		} else {
			estimate = c.estimateLoad(state.Call, constraint.miss, now)
		}
	}
	decision := decideWait(now, state.Call, constraint.miss, constraint.until, constraint.untilKnown, estimate)
	if constraint.miss == fleet.RateLimited {
		decision.source = constraint.deniedBy.source
	}
	if constraint.miss == fleet.Saturated && !constraint.untilKnown && state.choice.Reason == reasonOverloaded {
		decision.readyIn = backlogRetry(state.choice.ExpectedFirstByte, state.Route.Objective)
	}
	if c.isStopping() {
		// Another daemon has more time to wait and to serve the call.
		decision.wait, decision.readyIn, decision.source = false, 0, "stopping"
	}
	return decision
}

// recordWait records and logs that a call could not be served at once, and the decision.
func (c *Core) recordWait(state *callState, constraint waitConstraint, decision waitDecision) {
	if decision.wait && state.waitEstimate == 0 {
		state.waitEstimate = decision.readyIn
	}
	if state.miss == fleet.Found {
		state.miss = constraint.miss
	}
	if constraint.miss == fleet.RateLimited {
		c.logReservation(state, constraint.deniedBy.replicaLimit, decision)
		return
	}
	c.logWait(state, constraint.miss, decision, constraint.backingOffReplica)
}
