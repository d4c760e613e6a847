package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/group"
	"github.com/finchspoke/finchspoke/sleep"
)

const (
	// keyedGrace is how long a keyed request may run past its deadline, so that its outcome
	// can be stored for a retry.
	keyedGrace = 2 * time.Minute
	// outcomeStoreMargin is the time allowed for storing an outcome.
	outcomeStoreMargin = 30 * time.Second
	// claimPollInterval is the time between checks whether the claimed request has ended.
	claimPollInterval = 250 * time.Millisecond
	// maxClaimPollTime is how long a retry waits for the claimed request to end.
	maxClaimPollTime = 10 * time.Second
	maxStoreAttempts = 20
	storeRetryDelay  = time.Second
)

// runKeyed serves a call with an idempotency key. The call runs only under a claim and continues
// after its caller disconnects, so that a retry can get the outcome.
func (s *Server) runKeyed(ctx context.Context, incoming *call, out *responseSink) *failure.Error {
	claim, failed := s.claim(ctx, incoming, out)
	if claim == nil {
		return failed
	}
	ended := make(chan callResult, 1)
	running := *incoming // a copy, because finish may log incoming while the call still runs
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), incoming.deadline.Add(keyedGrace))
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		defer cancel()
		failed := s.runClaimed(detached, &running, claim, out)
		ended <- callResult{failed, running.log}
	}()
	select {
	case result := <-ended:
		incoming.log = result.log
		return result.failed
	case <-ctx.Done():
	}
	return failure.New(failure.KeyInUse, "repeat the request with the same key to get its outcome",
		"the request is still running and its outcome will be stored").WithExecution(failure.Unknown).WithRetryAfter(defaultRetryAfter)
}

// claim claims the call's key. Without a claim the call has ended: with the stored outcome
// of the key, or with the failure returned.
func (s *Server) claim(ctx context.Context, incoming *call, out *responseSink) (*group.Claim, *failure.Error) {
	pollUntil := time.Now().Add(maxClaimPollTime)
	for {
		claim, existing, err := s.Ledger.Claim(ctx, incoming.keyRef(), group.Record{
			RequestID:      incoming.id,
			Fingerprint:    group.Fingerprint([]byte(incoming.path), incoming.body),
			ClaimedAt:      time.Now(),
			SettleDeadline: incoming.deadline.Add(keyedGrace + outcomeStoreMargin),
		})
		if err != nil {
			return nil, failure.As(err)
		}
		if claim != nil {
			return claim, nil
		}
		ended, failed := s.serveRepeat(ctx, incoming, existing, out, pollUntil)
		if ended {
			return nil, failed
		}
		// The existing claim was released because its request did not run; claim again.
		sleep.For(ctx, rand.N(claimPollInterval))
	}
}

// keyRef identifies the call's key. Its group belongs to the first region that serves the
// model, so that a retry finds it through any daemon.
func (c *call) keyRef() group.KeyRef {
	return group.KeyRef{Region: c.model.ServiceRegions[0], Branch: c.branch.Path, Key: c.idempotencyKey}
}

// callResult is the result of a keyed call, for a caller that is still connected.
type callResult struct {
	failed *failure.Error
	log    callLog
}

// runClaimed runs a call under its claim and stores the outcome.
func (s *Server) runClaimed(ctx context.Context, incoming *call, claim *group.Claim, out *responseSink) *failure.Error {
	failed, execution := s.run(ctx, incoming, out)
	ctx = context.WithoutCancel(ctx)
	s.storeOutcome(ctx, incoming, func() error {
		switch {
		case failed == nil:
			return s.Ledger.Complete(ctx, claim, group.Outcome{
				Status: out.record.status, ContentType: out.record.contentType, Body: out.record.body})
		case execution == failure.NotRun:
			return s.Ledger.Release(ctx, claim)
		}
		return s.Ledger.MarkIndeterminate(ctx, claim)
	})
	return failed
}

// storeOutcome retries write until it succeeds or maxStoreAttempts is reached. Without an outcome,
// the claim expires and the request counts as possibly executed.
func (s *Server) storeOutcome(ctx context.Context, incoming *call, write func() error) {
	var err error
	for range maxStoreAttempts {
		if err = write(); err == nil {
			return
		}
		sleep.For(ctx, storeRetryDelay)
	}
	s.Log.WithError(err).WithField("request_id", incoming.id).Error("failed to store the outcome of a keyed request")
}

// serveRepeat responds to a retry of a claimed key without running the call. ended is false if the
// existing claim was released.
func (s *Server) serveRepeat(ctx context.Context, incoming *call, existing *group.Record, out *responseSink, pollUntil time.Time) (ended bool, failed *failure.Error) {
	for existing.State == group.Claimed {
		if ctx.Err() != nil || time.Now().After(pollUntil) {
			return true, failure.New(failure.KeyInUse, "repeat the request with the same key to get its outcome",
				"the first request with this key is still running").WithExecution(failure.Unknown).WithRetryAfter(defaultRetryAfter)
		}
		sleep.For(ctx, claimPollInterval)
		current, err := s.Ledger.Look(ctx, incoming.keyRef())
		switch {
		case err != nil:
			continue // the group may recover before the wait ends
		case current == nil:
			return false, nil
		}
		existing = current
	}
	if existing.State == group.Indeterminate {
		return true, failure.New(failure.OutcomeUnknown, "verify whether the request took effect before using a new key",
			"the first request with this key may have run; its outcome was lost").WithExecution(failure.Unknown)
	}
	outcome, err := existing.DecodeOutcome()
	if err != nil || outcome.Dropped {
		return true, failure.New(failure.KeyInUse, "none: the request ran once and its response cannot be replayed",
			"the request completed, but its response was too long to store").WithExecution(failure.Completed)
	}
	out.writeHead(outcome.Status, outcome.ContentType, map[string]string{HeaderReplayed: "true"})
	_ = out.write(outcome.Body) // a caller that has disconnected can repeat the request
	return true, nil
}

// serveCall returns the handler of a completion path.
func (s *Server) serveCall(path string) http.HandlerFunc {
	return func(writer http.ResponseWriter, httpRequest *http.Request) {
		incoming, err := s.readCall(writer, httpRequest, path)
		if err != nil {
			s.reject(writer, failure.As(err))
			return
		}
		writer.Header().Set(headerRequestID, incoming.id)
		s.retryBudget.deposit()
		s.metrics.inFlight.Inc()
		defer s.metrics.inFlight.Dec()
		ctx, cancel := context.WithDeadline(httpRequest.Context(), incoming.deadline)
		defer cancel()
		out := newResponseSink(writer, incoming.id, incoming.idempotencyKey != "")
		var failed *failure.Error
		if incoming.idempotencyKey != "" {
			failed = s.runKeyed(ctx, incoming, out)
		} else {
			failed, _ = s.run(ctx, incoming, out)
		}
		if failed != nil {
			out.fail(failed)
		}
		s.finish(incoming, failed)
	}
}
