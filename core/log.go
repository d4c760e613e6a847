package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
)

func (c *Core) entry(running *run) logrus.FieldLogger {
	return c.Log.WithFields(logrus.Fields{
		logging.RequestID: running.ID, logging.Fingerprint: running.Fingerprint.String(), logging.Route: running.Route.Name, logging.Service: running.Service.Name,
		logging.Model: running.Target.Model, logging.Adapter: running.Target.Adapter, logging.Tenant: running.tenant(),
	})
}

// logWait records that no replica could take a call at once, and what was decided; resting is the one
// that asked for rest, or empty.
func (c *Core) logWait(running *run, miss fleet.Miss, decision waitDecision, resting string) {
	entry := c.entry(running)
	if resting != "" {
		entry = entry.WithField(logging.Replica, resting)
	}
	entry.WithFields(logrus.Fields{
		logging.Reason: miss.String(), logging.ReadyInMs: decision.readyIn.Milliseconds(), logging.Source: decision.source,
		logging.Outcome: waitOutcome(decision),
	}).Info(logging.MessageNoReplica)
}

// logTurn records that a call has to wait for its turn at a replica with a limit, or gets none in time.
func (c *Core) logTurn(running *run, limit replicaLimit, decision waitDecision) {
	c.entry(running).WithFields(logrus.Fields{
		logging.Replica: limit.replica, logging.Limit: limit.perSecond, logging.LimitAgeMs: time.Since(limit.heardAt).Milliseconds(),
		logging.Reason: fleet.RateLimited.String(), logging.ReadyInMs: decision.readyIn.Milliseconds(), logging.Source: decision.source,
		logging.Priority: running.Priority(), logging.Outcome: waitOutcome(decision),
	}).Info(logging.MessageNoReplica)
}

func waitOutcome(decision waitDecision) string {
	return map[bool]string{true: "waits", false: "refused"}[decision.wait]
}

// logDispatch records a dispatch that did not end in an answer.
func (c *Core) logDispatch(running *run, pick *fleet.Pick, outcome dispatchOutcome, verdict Verdict) {
	c.Metrics.dispatches.WithLabelValues(outcome.result.String()).Inc()
	if outcome.result == Answered {
		return
	}
	c.entry(running).WithFields(logrus.Fields{
		logging.Replica: pick.ID, logging.Address: pick.Address, logging.Inflight: pick.Inflight, logging.Status: outcome.status,
		logging.Outcome: outcome.result.String(), logging.Retry: verdict.Retry, logging.LastEvent: running.lastEvent,
		logging.AgeMs: time.Since(running.Arrived).Milliseconds(), logging.Cause: errorText(outcome.cause),
	}).Warn("dispatch failed")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Refuse records a request that a caller interface refused before it became a call.
func (c *Core) RecordRefusal(requestID string, failed *failure.Error, configVersion int64) {
	c.Metrics.ended.WithLabelValues("none", string(failed.Kind), string(failed.Execution)).Inc()
	c.Log.WithFields(logrus.Fields{
		logging.RequestID: requestID, logging.Outcome: string(failed.Kind), logging.Execution: failed.Execution, logging.Cause: failed.Error(),
		logging.ConfigVersion: configVersion,
	}).Warn(logging.MessageRequestEnded)
}

// logEnd records the end of a call.
func (c *Core) logEnd(running *run, failed *failure.Error) {
	outcome, execution := logging.OutcomeAnswered, failure.Completed
	entry := c.entry(running).WithFields(logrus.Fields{
		logging.Replica: running.lastID, logging.WaitedMs: running.waited.Milliseconds(), logging.EstimateMs: running.estimate.Milliseconds(),
		logging.FirstByteMs: running.firstByte.Milliseconds(), logging.LongestPauseMs: running.longest.Milliseconds(),
		logging.DurationMs: time.Since(running.Arrived).Milliseconds(), logging.ConfigVersion: running.Version,
		logging.ObjectiveMs: running.Route.Objective.Milliseconds(), logging.GapTargetMs: running.Route.MaxGap.Milliseconds(),
		logging.Priority: running.Priority(), logging.PromptTokens: running.PromptTokens, logging.WaitReason: running.waitReason(), logging.FailedStatus: running.failedStatus,
	})
	if failed != nil {
		outcome, execution = string(failed.Kind), failed.Execution
		entry = entry.WithFields(logrus.Fields{logging.Cause: failed.Error(), logging.RetryAfterMs: failed.RetryAfter.Milliseconds()})
	}
	c.Metrics.end(running, outcome, execution)
	entry = entry.WithFields(logrus.Fields{logging.Outcome: outcome, logging.Execution: execution})
	if failed != nil {
		entry.Warn(logging.MessageRequestEnded)
		return
	}
	entry.Info(logging.MessageRequestEnded)
}
