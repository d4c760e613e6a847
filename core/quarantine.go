package core

import (
	"context"
	"net/http"
	"time"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/quarantine"
)

// Quarantine tracks requests, and parts of their prompts, that may crash replicas, over all attempts and daemons.
type Quarantine interface {
	// Check returns whether a request may be dispatched now.
	Check(suspect quarantine.Suspect) quarantine.Verdict
	// BeginTrial begins a trial for a refused request that is about to be written to a replica, to find out whether it, or
	// a part of its prompt, still crashes replicas; nil if there may be none. earlier is a withdrawn trial of the request;
	// nil if there is none. It blocks for a short, bounded time.
	BeginTrial(ctx context.Context, suspect quarantine.Suspect, to quarantine.Destination, earlier *quarantine.BegunTrial) *quarantine.BegunTrial
	// WithdrawTrial undoes a trial whose request no replica saw, and reports whether the request may go on with it. It
	// blocks for a short, bounded time.
	WithdrawTrial(trial *quarantine.BegunTrial) bool
	// EndTrial ends a trial whose request was answered.
	EndTrial(trial *quarantine.BegunTrial)
	// ConnectionBroken reports that the connection to a replica broke while it had a request. If
	// that puts the request into quarantine, it returns once the quarantine is in effect.
	ConnectionBroken(ctx context.Context, replica fleet.Incarnation, address string, suspect quarantine.Suspect)
	// Abandoned reports that this daemon ended a dispatch while the replica had the request.
	Abandoned(replica fleet.Incarnation, address string, suspect quarantine.Suspect)
	// Begun reports that a replica began to answer a prompt with these parts.
	Begun(parts []quarantine.PartHash)
	// Served reports that a replica completed a request.
	Served(request quarantine.Fingerprint)
}

// suspectOf returns what of a call the crash of a replica may be charged to.
func suspectOf(call *Call) quarantine.Suspect {
	var ids []string
	for _, part := range call.SharedParts() {
		ids = append(ids, part.ID)
	}
	return quarantine.Suspect{Request: call.Fingerprint, Parts: quarantine.HashParts(call.Service.Name, ids)}
}

// checkQuarantine returns whether a call may be dispatched.
func (c *Core) checkQuarantine(state *callState) quarantine.Verdict {
	if c.Quarantine == nil {
		return quarantine.Verdict{}
	}
	verdict := c.Quarantine.Check(state.suspect)
	if verdict.Refused != nil && state.lifecycle.MayHaveRun() {
		verdict.Refused = c.finalFailure(context.Background(), state, failure.OutcomeUnknown, verdict.Refused)
	}
	return verdict
}

// awaitQuarantine waits while a call is held. It returns the failure of one that must not be dispatched. It runs before
// each dispatch, because a retry could crash the next replica.
func (c *Core) awaitQuarantine(ctx context.Context, state *callState) *failure.Error {
	state.needsTrial = state.trial != nil
	for !state.needsTrial {
		verdict := c.checkQuarantine(state)
		switch {
		case verdict.TrialDue && !state.trialDenied:
			state.needsTrial = true
			return nil
		case verdict.Refused != nil:
			return verdict.Refused
		case verdict.HoldUntil.IsZero():
			return nil
		}
		timer := time.NewTimer(time.Until(verdict.HoldUntil))
		select {
		case <-timer.C:
		case <-verdict.Changed:
		case <-ctx.Done():
			timer.Stop()
			return c.finalFailure(ctx, state, failure.DeadlineExceeded, errHeld)
		}
		timer.Stop()
	}
	return nil
}

// beginTrial makes the current dispatch of a call a trial. It runs once a connection to the replica is open, so that a
// trial is not spent on a replica that cannot be reached.
func (c *Core) beginTrial(ctx context.Context, state *callState, pick *fleet.Pick) error {
	state.trial = c.Quarantine.BeginTrial(ctx, state.suspect, quarantine.Destination{Replica: pick.Incarnation, Address: pick.Address}, state.trial)
	if state.trial == nil {
		state.trialDenied = true
		return fleet.ErrQuarantined
	}
	return nil
}

// recordTrial ends the trial that a dispatch was. One that no replica saw tells nothing, so it is withdrawn, and the next
// dispatch goes on with it.
func (c *Core) recordTrial(state *callState, pick *fleet.Pick, outcome dispatchOutcome) {
	if state.trial == nil {
		return
	}
	c.logTrialDispatch(state, pick, outcome)
	switch outcome.result {
	case NotWritten, NotStarted:
		if c.Quarantine.WithdrawTrial(state.trial) {
			return
		}
	case Answered:
		if outcome.status < http.StatusMultipleChoices {
			c.Quarantine.EndTrial(state.trial)
		}
	}
	state.trial = nil
}

// admitDispatch returns the check that a request may still be sent to its replica, right before it is written.
func (c *Core) admitDispatch(ctx context.Context, state *callState, pick *fleet.Pick) func() error {
	checkVersion := c.versionCheck(state, pick)
	if c.Quarantine == nil {
		return checkVersion
	}
	return func() error {
		if checkVersion != nil {
			if err := checkVersion(); err != nil {
				return err
			}
		}
		if state.needsTrial {
			return c.beginTrial(ctx, state, pick)
		}
		if verdict := c.Quarantine.Check(state.suspect); verdict.Refused != nil || !verdict.HoldUntil.IsZero() {
			return fleet.ErrQuarantined
		}
		return nil
	}
}

// recordAnswerBegun records that the replica began to answer: it sent a whole event of a stream, or a whole response.
func (c *Core) recordAnswerBegun(state *callState) {
	if state.answerBegun {
		return
	}
	state.answerBegun = true
	if c.Quarantine != nil && len(state.suspect.Parts) > 0 {
		c.Quarantine.Begun(state.suspect.Parts)
	}
}

// reportToQuarantine reports the outcome of a dispatch to the quarantine.
func (c *Core) reportToQuarantine(attemptCtx context.Context, state *callState, pick *fleet.Pick, outcome dispatchOutcome) {
	suspect := state.suspect
	if outcome.answerBegun {
		suspect.Parts = nil
	}
	c.recordTrial(state, pick, outcome)
	switch {
	case c.Quarantine == nil:
	case outcome.result == Answered && outcome.status < http.StatusMultipleChoices:
		c.Quarantine.Served(state.Fingerprint)
	case outcome.result != Lost && outcome.result != Broken:
	case attemptCtx.Err() != nil || outcome.health == fleet.Answered || outcome.health == fleet.Failed:
		// Ended by the caller or by this daemon, or after a response that is not valid. No connection broke, but the
		// replica may crash, or may have crashed within that response.
		c.Quarantine.Abandoned(pick.Incarnation, pick.Address, suspect)
	case outcome.health == fleet.Unreachable:
		c.Quarantine.ConnectionBroken(attemptCtx, pick.Incarnation, pick.Address, suspect)
	}
}
