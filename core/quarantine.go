package core

import (
	"context"
	"net/http"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/quarantine"
)

// Quarantine tracks requests that may crash replicas, over all attempts and daemons.
type Quarantine interface {
	// Blocked returns why a request must not be dispatched, or nil if it may.
	Blocked(request quarantine.Fingerprint) *failure.Error
	// ConnectionBroken reports that the connection to a replica broke while it had a request. If
	// that puts the request into quarantine, it returns once the quarantine is in effect.
	ConnectionBroken(ctx context.Context, replica fleet.Incarnation, address string, request quarantine.Fingerprint)
	// Abandoned reports that this daemon ended a dispatch while the replica had the request.
	Abandoned(replica fleet.Incarnation, address string, request quarantine.Fingerprint)
	// Served reports that a replica completed a request.
	Served(request quarantine.Fingerprint)
}

// checkQuarantine returns the failure of a call that must not be dispatched, or nil. It runs before
// each dispatch, because a retry could crash the next replica.
func (c *Core) checkQuarantine(state *callState) *failure.Error {
	if c.Quarantine == nil {
		return nil
	}
	failed := c.Quarantine.Blocked(state.Fingerprint)
	if failed != nil && state.lifecycle.MayHaveRun() {
		return c.finalFailure(context.Background(), state, failure.OutcomeUnknown, failed)
	}
	return failed
}

// reportToQuarantine reports the outcome of a dispatch to the quarantine.
func (c *Core) reportToQuarantine(attemptCtx context.Context, state *callState, pick *fleet.Pick, outcome dispatchOutcome) {
	switch {
	case c.Quarantine == nil:
	case outcome.result == Answered && outcome.status < http.StatusMultipleChoices:
		c.Quarantine.Served(state.Fingerprint)
	case outcome.result != Lost && outcome.result != Broken:
	case attemptCtx.Err() != nil || outcome.health == fleet.Answered: // ended by the caller or by this daemon
		c.Quarantine.Abandoned(pick.Incarnation, pick.Address, state.Fingerprint)
	case outcome.health == fleet.Unreachable:
		c.Quarantine.ConnectionBroken(attemptCtx, pick.Incarnation, pick.Address, state.Fingerprint)
	}
}
