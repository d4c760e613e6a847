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
	// keyedGrace is how long a keyed request may go on after its deadline, so that
	// its outcome can be stored and asked for.
	keyedGrace = 2 * time.Minute
	// settleMargin is the time allowed to store an outcome.
	settleMargin = 30 * time.Second
	// lookInterval is how often a repeat looks whether the first has ended.
	lookInterval = 250 * time.Millisecond
	// maxLookTime is how long a repeat waits before it is told to come back.
	maxLookTime = 10 * time.Second
	storeTries  = 20
	storePause  = time.Second
)

// runKeyed serves a call with an idempotency key: it runs only under a claim, and
// goes on to its end without its caller, so that a repeat gets the outcome.
func (s *Server) runKeyed(ctx context.Context, incoming *call, out *sink) *failure.Error {
	claim, failed := s.claim(ctx, incoming, out)
	if claim == nil {
		return failed
	}
	ended := make(chan endedCall, 1)
	running := *incoming // what runs on must not share what is logged meanwhile
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), incoming.deadline.Add(keyedGrace))
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		defer cancel()
		failed := s.runClaimed(detached, &running, claim, out)
		ended <- endedCall{failed, running.log}
	}()
	select {
	case last := <-ended:
		incoming.log = last.log
		return last.failed
	case <-ctx.Done():
	}
	return failure.New(failure.KeyInUse, "repeat the request with the same key to get its outcome",
		"the request still runs and its outcome will be stored").WithExecution(failure.Unknown).WithRetryAfter(retryAfterDeadline)
}

// claim claims the call's key. Without a claim the call has ended: answered from
// the outcome that stands, or with the failure returned.
func (s *Server) claim(ctx context.Context, incoming *call, out *sink) (*group.Claim, *failure.Error) {
	until := time.Now().Add(maxLookTime)
	for {
		claim, standing, err := s.Ledger.Claim(ctx, incoming.keyAsk(), group.Record{
			RequestID:      incoming.id,
			Fingerprint:    group.Fingerprint([]byte(incoming.path), incoming.body),
			ClaimedAt:      time.Now(),
			SettleDeadline: incoming.deadline.Add(keyedGrace + settleMargin),
		})
		if err != nil {
			return nil, failure.As(err)
		}
		if claim != nil {
			return claim, nil
		}
		ended, failed := s.repeat(ctx, incoming, standing, out, until)
		if ended {
			return nil, failed
		}
		// The claim that stood was withdrawn: its request did not run.
		sleep.For(ctx, rand.N(lookInterval))
	}
}

// keyAsk names the call's key. The group is of the first region that serves the
// model, so that a repeat finds it whichever daemon it comes to.
func (c *call) keyAsk() group.KeyRef {
	return group.KeyRef{Region: c.model.ServiceRegions[0], Branch: c.branch.Path, Key: c.idempotencyKey}
}

// endedCall is the end of a keyed call that its caller waited for.
type endedCall struct {
	failed *failure.Error
	log    callLog
}

// runClaimed runs a call under its claim and stores what came of it.
func (s *Server) runClaimed(ctx context.Context, incoming *call, claim *group.Claim, out *sink) *failure.Error {
	failed, execution := s.run(ctx, incoming, out)
	ctx = context.WithoutCancel(ctx)
	s.store(ctx, incoming, func() error {
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

// store tries to write an outcome until it is written or hope is lost; the claim
// then stands, and turns unsettled by its time.
func (s *Server) store(ctx context.Context, incoming *call, write func() error) {
	var err error
	for range storeTries {
		if err = write(); err == nil {
			return
		}
		sleep.For(ctx, storePause)
	}
	s.Log.WithError(err).WithField("request_id", incoming.id).Error("outcome of a keyed request was not stored")
}

// repeat answers a repeat of a claimed key without running anything, unless the
// claim that stood is withdrawn: then it has not ended.
func (s *Server) repeat(ctx context.Context, incoming *call, standing *group.Record, out *sink, until time.Time) (ended bool, failed *failure.Error) {
	for standing.State == group.Claimed {
		if ctx.Err() != nil || time.Now().After(until) {
			return true, failure.New(failure.KeyInUse, "repeat the request with the same key to get its outcome",
				"the first request with this key still runs").WithExecution(failure.Unknown).WithRetryAfter(retryAfterDeadline)
		}
		sleep.For(ctx, lookInterval)
		looked, err := s.Ledger.Look(ctx, incoming.keyAsk())
		switch {
		case err != nil:
			continue // the group may answer before the time is up
		case looked == nil:
			return false, nil
		}
		standing = looked
	}
	if standing.State == group.Indeterminate {
		return true, failure.New(failure.OutcomeUnknown, "find out by other means whether it took effect before using a new key",
			"the first request with this key may have run; its outcome was lost").WithExecution(failure.Unknown)
	}
	outcome, err := standing.DecodeOutcome()
	if err != nil || outcome.Dropped {
		return true, failure.New(failure.KeyInUse, "none: it ran once; its answer cannot be given again",
			"the request completed and its answer was too long to keep").WithExecution(failure.Completed)
	}
	out.begin(outcome.Status, outcome.ContentType, map[string]string{HeaderReplayed: "true"})
	_ = out.write(outcome.Body) // the caller may be gone; it can repeat
	return true, nil
}

// serveCall is the handler of both completion interfaces.
func (s *Server) serveCall(path string) http.HandlerFunc {
	return func(writer http.ResponseWriter, httpRequest *http.Request) {
		incoming, err := s.readCall(writer, httpRequest, path)
		if err != nil {
			s.refuse(writer, failure.As(err))
			return
		}
		writer.Header().Set(headerRequestID, incoming.id)
		s.budget.Deposit()
		s.metrics.inFlight.Inc()
		defer s.metrics.inFlight.Dec()
		ctx, cancel := context.WithDeadline(httpRequest.Context(), incoming.deadline)
		defer cancel()
		out := newSink(writer, incoming.id, incoming.idempotencyKey != "")
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
