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
	// BeginTrial reports whether a refused request may be dispatched once, to find out whether a part of its prompt still
	// crashes replicas. It blocks for a short, bounded time.
	BeginTrial(ctx context.Context, suspect quarantine.Suspect) bool
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

// checkedSuspect returns what of a call must not be quarantined for its next dispatch.
func (s *callState) checkedSuspect() quarantine.Suspect {
	if s.onTrial {
		return quarantine.Suspect{Request: s.suspect.Request}
	}
	return s.suspect
}

// checkQuarantine returns whether a call may be dispatched. A trial of a part ends with the first dispatch that may have run.
func (c *Core) checkQuarantine(state *callState) quarantine.Verdict {
	if c.Quarantine == nil {
		return quarantine.Verdict{}
	}
	verdict := c.Quarantine.Check(state.checkedSuspect())
	if verdict.Refused != nil && state.lifecycle.MayHaveRun() {
		verdict.Refused = c.finalFailure(context.Background(), state, failure.OutcomeUnknown, verdict.Refused)
	}
	return verdict
}

// awaitQuarantine waits while a call is held. It returns the failure of one that must not be dispatched, and whether it
// needs a trial to be dispatched. It runs before each dispatch, because a retry could crash the next replica.
func (c *Core) awaitQuarantine(ctx context.Context, state *callState) (needsTrial bool, failed *failure.Error) {
	for {
		verdict := c.checkQuarantine(state)
		switch {
		case verdict.TrialDue:
			return true, nil
		case verdict.Refused != nil:
			return false, verdict.Refused
		case verdict.HoldUntil.IsZero():
			return false, nil
		}
		timer := time.NewTimer(time.Until(verdict.HoldUntil))
		select {
		case <-timer.C:
		case <-verdict.Changed:
		case <-ctx.Done():
			timer.Stop()
			return false, c.finalFailure(ctx, state, failure.DeadlineExceeded, errHeld)
		}
		timer.Stop()
	}
}

// beginTrial makes the next dispatch of a call a trial. It returns the failure of the call if it may not be one.
func (c *Core) beginTrial(ctx context.Context, state *callState) *failure.Error {
	if c.Quarantine.BeginTrial(ctx, state.suspect) {
		state.onTrial = true
		return nil
	}
	return c.checkQuarantine(state).Refused
}

// admitDispatch returns the check that a request may still be sent to its replica, right before it is written.
func (c *Core) admitDispatch(state *callState, pick *fleet.Pick) func() error {
	checkVersion, suspect := c.versionCheck(state, pick), state.checkedSuspect()
	if c.Quarantine == nil {
		return checkVersion
	}
	return func() error {
		if verdict := c.Quarantine.Check(suspect); verdict.Refused != nil || !verdict.HoldUntil.IsZero() {
			return fleet.ErrQuarantined
		}
		if checkVersion == nil {
			return nil
		}
		return checkVersion()
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
	if state.onTrial {
		c.logTrialDispatch(state, pick, outcome)
	}
	if outcome.result != NotWritten && outcome.result != NotStarted {
		state.onTrial = false
	}
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
