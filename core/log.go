package core

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
)

func (c *Core) entry(state *callState) logrus.FieldLogger {
	return c.Log.WithFields(logrus.Fields{
		logging.RequestID: state.ID, logging.Fingerprint: state.Fingerprint.String(), logging.Route: state.Route.Name, logging.Service: state.Service.Name,
		logging.Model: state.Target.Model, logging.Adapter: state.Target.Adapter, logging.Tenant: state.tenant(), logging.PromptParts: sharedPartsText(state.Call),
	})
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// sharedPartsText returns the ids of the first parts of a prompt that other prompts may have too, joined by commas.
func sharedPartsText(call *Call) string {
	shared := call.SharedParts()
	var ids []string
	for _, part := range shared[:min(len(shared), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// logWait logs that no replica could take a call at once, and whether the call waits. backingOff is the replica
// whose back-off the call waits for; it may be empty.
func (c *Core) logWait(state *callState, reason fleet.Miss, decision waitDecision, backingOff string) {
	entry := c.entry(state)
	if backingOff != "" {
		entry = entry.WithField(logging.Replica, backingOff)
	}
	entry.WithFields(logrus.Fields{
		logging.Reason: reason.String(), logging.ReadyInMs: decision.readyIn.Milliseconds(), logging.Source: decision.source,
		logging.Outcome: waitOutcome(decision),
	}).Info(logging.MessageNoReplica)
}

// logReservation logs that a call waits for a reservation at a rate-limited replica, or gets none in
// time.
func (c *Core) logReservation(state *callState, limit replicaLimit, decision waitDecision) {
	c.entry(state).WithFields(logrus.Fields{
		logging.Replica: limit.replica, logging.Limit: limit.perSecond, logging.LimitAgeMs: time.Since(limit.observedAt).Milliseconds(),
		logging.Reason: fleet.RateLimited.String(), logging.ReadyInMs: decision.readyIn.Milliseconds(), logging.Source: decision.source,
		logging.Priority: state.Priority(), logging.Outcome: waitOutcome(decision),
	}).Info(logging.MessageNoReplica)
}

func waitOutcome(decision waitDecision) string {
	return map[bool]string{true: "waits", false: "refused"}[decision.wait]
}

// logDispatch counts a dispatch and logs it unless it succeeded.
func (c *Core) logDispatch(state *callState, pick *fleet.Pick, outcome dispatchOutcome, verdict Verdict) {
	c.Metrics.dispatches.WithLabelValues(outcome.result.String()).Inc()
	if outcome.result == Answered {
		return
	}
	c.entry(state).WithFields(c.paymentFields(state.payment)).WithFields(state.streamEnd.fields()).WithFields(logrus.Fields{
		logging.Replica: pick.ID, logging.SoftwareVersion: pick.Version, logging.Address: pick.Address, logging.Connection: state.connection, logging.Inflight: pick.Inflight, logging.Status: outcome.status,
		logging.Outcome: outcome.result.String(), logging.Retry: verdict.Retry, logging.LastEvent: state.lastEventID, logging.AnswerBegun: outcome.answerBegun, logging.Evidence: outcome.evidence.String(),
		logging.AgeMs: time.Since(state.Arrived).Milliseconds(), logging.Cause: errorText(outcome.cause),
	}).Warn("dispatch failed")
}

// logTrialDispatch logs how a dispatch of a request on trial ended, which tells a trial that a replica saw from one that
// none did.
func (c *Core) logTrialDispatch(state *callState, pick *fleet.Pick, outcome dispatchOutcome) {
	c.entry(state).WithFields(logrus.Fields{
		logging.Replica: pick.ID, logging.Outcome: outcome.result.String(), logging.Evidence: outcome.evidence.String(), logging.AnswerBegun: outcome.answerBegun,
		logging.Cause: errorText(outcome.cause),
	}).Info(logging.MessageTrialDispatched)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// RecordRefusal logs and counts a request that a caller interface refused before it became a call.
func (c *Core) RecordRefusal(requestID string, failed *failure.Error, configVersion int64) {
	c.Metrics.ended.WithLabelValues("none", string(failed.Kind), string(failed.Execution)).Inc()
	c.Log.WithFields(logrus.Fields{
		logging.RequestID: requestID, logging.Outcome: string(failed.Kind), logging.Execution: failed.Execution, logging.Cause: failed.Error(),
		logging.ConfigVersion: configVersion,
	}).Warn(logging.MessageRequestEnded)
}

// logEnd logs and counts the end of a call.
func (c *Core) logEnd(state *callState, failed *failure.Error) {
	outcome, execution := logging.OutcomeAnswered, failure.Completed
	entry := c.entry(state).WithFields(logrus.Fields{
		logging.Replica: state.lastReplicaID, logging.Connection: state.connection, logging.SoftwareVersion: state.lastVersion, logging.WaitedMs: state.waitTime.Milliseconds(), logging.EstimateMs: state.waitEstimate.Milliseconds(),
		logging.FirstByteMs: state.firstByte.Milliseconds(), logging.LongestPauseMs: state.longestPause.Milliseconds(),
		logging.DurationMs: time.Since(state.Arrived).Milliseconds(), logging.ConfigVersion: state.Version,
		logging.ObjectiveMs: state.Route.Objective.Milliseconds(), logging.GapTargetMs: state.Route.MaxGap.Milliseconds(),
		logging.Priority: state.Priority(), logging.PromptTokens: state.PromptTokens, logging.WaitReason: state.waitReason(), logging.FailedStatus: state.failedStatus, logging.Evidence: evidenceText(state.evidence),
	})
	if state.via != "" {
		entry = entry.WithField(logging.Via, state.via)
	}
	if state.ResumeAfter != "" {
		entry = entry.WithFields(logrus.Fields{logging.ResumeAfter: state.ResumeAfter, logging.ResumedAttempt: state.ResumedAttempt, logging.OriginSource: state.origin.Source})
	}
	if state.requiredVersion != nil {
		entry = entry.WithField(logging.RequiredVersion, *state.requiredVersion)
	}
	entry = entry.WithFields(state.streamEnd.fields())
	if state.choice != (Choice{}) {
		entry = entry.WithFields(choiceFields(state.choice))
	}
	if failed != nil {
		outcome, execution = string(failed.Kind), failed.Execution
		entry = entry.WithFields(logrus.Fields{logging.Cause: failed.Error(), logging.RetryAfterMs: failed.RetryAfter.Milliseconds()})
	}
	c.Metrics.recordEnd(state, outcome, execution)
	entry = entry.WithFields(logrus.Fields{logging.Outcome: outcome, logging.Execution: execution})
	if failed != nil {
		entry.Warn(logging.MessageRequestEnded)
		return
	}
	entry.Info(logging.MessageRequestEnded)
}

// choiceFields describes who chose the replica of a call's latest dispatch, and why.
func choiceFields(choice Choice) logrus.Fields {
	if !choice.ByLeader {
		return logrus.Fields{logging.ChosenBy: choice.source(), logging.ChoiceReason: choice.Reason}
	}
	return logrus.Fields{
		logging.ChosenBy: choice.source(), logging.ChoiceReason: choice.Reason, logging.ExpectedFirstByteMs: choice.ExpectedFirstByte.Milliseconds(),
		logging.DelayMs: choice.Delay.Milliseconds(), logging.TokensPerSecond: int64(choice.TokensPerSecond), logging.TransferTokens: choice.Transfer.Tokens,
	}
}
