package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/home"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/upstream"
)

const (
	maxResponseBytes  = 64 << 20
	maxErrorBodyBytes = 64 << 10
	contentTypeJSON   = "application/json"
	contentTypeEvent  = "text/event-stream"
	// redispatchDelay is the delay before a request is queued again after a failed dispatch.
	redispatchDelay = 10 * time.Millisecond
)

// run serves a call until it ends: it writes a successful response to out, and returns a failure
// for its caller to write. The second result is what is known of the execution in both cases.
func (s *Server) run(ctx context.Context, incoming *call, out *responseSink) (*failure.Error, failure.Execution) {
	lifecycle := &core.Lifecycle{Repeatable: incoming.repeatable, Deadline: incoming.deadline}
	for {
		slot, err := s.homes.Acquire(ctx, home.SlotRequest{
			RequestID: incoming.id, Model: incoming.model.Name, Regions: incoming.model.ServiceRegions, Target: incoming.target.Name,
			Branch: incoming.branch.Path, Class: incoming.class, Tokens: incoming.tokens, Prefix: incoming.prefix, Arrived: incoming.arrived, Deadline: incoming.deadline,
		})
		if err != nil {
			return s.slotFailure(ctx, incoming, lifecycle, err), lifecycle.Execution()
		}
		incoming.log.home, incoming.log.engine, incoming.log.waited = slot.HomeID, slot.EngineID, time.Since(incoming.arrived)
		s.metrics.waited.WithLabelValues(incoming.class.String()).Observe(incoming.log.waited.Seconds())
		dispatched := s.dispatch(ctx, incoming, slot, out)
		s.metrics.dispatches.WithLabelValues(dispatched.result.String()).Inc()
		if dispatched.rejection != nil {
			return dispatched.rejection, lifecycle.Execution()
		}
		next := lifecycle.RecordResult(time.Now(), dispatched.result, s.retryBudget.withdraw)
		if next.Done {
			return nil, lifecycle.Execution()
		}
		if !next.Retry || ctx.Err() != nil {
			return s.callFailure(ctx, incoming, lifecycle, next.Kind, dispatched.cause), lifecycle.Execution()
		}
		s.Log.WithError(dispatched.cause).WithField("request_id", incoming.id).WithField("engine", slot.EngineID).
			WithField("result", dispatched.result.String()).Debug("retrying dispatch")
		sleep.For(ctx, redispatchDelay)
	}
}

// slotFailure returns the failure of a call that got no slot.
func (s *Server) slotFailure(ctx context.Context, incoming *call, lifecycle *core.Lifecycle, err error) *failure.Error {
	var rejection *failure.Error
	if errors.As(err, &rejection) {
		if lifecycle.MayHaveRun() {
			return s.callFailure(ctx, incoming, lifecycle, failure.OutcomeUnknown, err)
		}
		return rejection
	}
	return s.callFailure(ctx, incoming, lifecycle, failure.NoCapacity, err)
}

// callFailure returns the failure of a call that is not retried.
func (s *Server) callFailure(ctx context.Context, incoming *call, lifecycle *core.Lifecycle, kind failure.Kind, cause error) *failure.Error {
	execution := lifecycle.Execution()
	if errors.Is(ctx.Err(), context.Canceled) {
		return failure.Wrap(cause, failure.CallerDisconnected, "none: the caller closed the connection", "the caller disconnected").WithExecution(execution)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = failure.DeadlineExceeded
	}
	switch kind {
	case failure.ResponseInterrupted:
		return failure.Wrap(cause, kind, "the response is incomplete; retry if the request may be repeated",
			"the engine's response was interrupted").WithExecution(execution)
	case failure.OutcomeUnknown:
		return failure.Wrap(cause, kind, "verify whether the request took effect before retrying",
			"the request was sent to an engine and its outcome is unknown").WithExecution(execution)
	case failure.DeadlineExceeded:
		return failure.Wrap(cause, kind, "allow a longer deadline, or retry after the given time",
			"the deadline passed before %s responded", incoming.target.Name).WithExecution(execution).WithRetryAfter(defaultRetryAfter)
	}
	return failure.Wrap(cause, kind, "retry after the given time", "no engine accepted the request").
		WithExecution(execution).WithRetryAfter(defaultRetryAfter)
}

// defaultRetryAfter is the retry delay when there is no better estimate.
const defaultRetryAfter = 2 * time.Second

// dispatchOutcome is the result of a dispatch and its cause.
type dispatchOutcome struct {
	result core.Result
	cause  error
	// rejection is set if the engine reports that the request itself is invalid.
	rejection *failure.Error
}

// dispatch sends the call to the slot's engine and relays the response. It always releases the slot.
func (s *Server) dispatch(ctx context.Context, incoming *call, slot *home.Slot, out *responseSink) dispatchOutcome {
	startedAt := time.Now()
	response, err := s.Engines.Dispatch(ctx, engine.Dispatch{
		Address: slot.Address, ReplicaID: slot.ReplicaID, Path: incoming.path, RequestID: incoming.id, Priority: int(incoming.class), Body: incoming.body})
	if err != nil {
		var failed *upstream.Error
		outcome := dispatchOutcome{result: core.Lost, cause: err}
		if errors.As(err, &failed) && !failed.RequestWritten {
			outcome.result = core.NotWritten
		}
		s.cancelOnEngine(ctx, incoming, slot, outcome.result)
		slot.Release(ctx.Err() == nil, 0)
		return outcome
	}
	defer func() { _ = response.Close() }()
	outcome := s.relayResponse(ctx, incoming, slot, response, out)
	if outcome.result == core.Lost || outcome.result == core.Broken {
		s.cancelOnEngine(ctx, incoming, slot, outcome.result)
	}
	engineFailed := outcome.rejection == nil && outcome.result != core.Answered && ctx.Err() == nil
	serviceTime := time.Duration(0)
	if outcome.result == core.Answered {
		serviceTime = time.Since(startedAt)
	}
	slot.Release(engineFailed, serviceTime)
	return outcome
}

// cancelOnEngine cancels the request on the engine, unless it was never sent.
func (s *Server) cancelOnEngine(ctx context.Context, incoming *call, slot *home.Slot, result core.Result) {
	if result == core.NotWritten {
		return
	}
	background := context.WithoutCancel(ctx)
	go func() { _ = s.Engines.Cancel(background, slot.Address, incoming.id) }()
}

// relayResponse forwards an engine's response to the caller.
func (s *Server) relayResponse(ctx context.Context, incoming *call, slot *home.Slot, response *upstream.Response, out *responseSink) dispatchOutcome {
	if response.Header.Get(engine.HeaderRequestID) != incoming.id {
		return dispatchOutcome{result: core.Lost, cause: errors.New("the engine's response carries another request id")}
	}
	if response.Status != http.StatusOK {
		return parseEngineError(response)
	}
	headers := map[string]string{HeaderHome: slot.HomeID, HeaderEngine: slot.EngineID}
	if incoming.stream {
		return s.relayStream(ctx, incoming, slot, response, out, headers)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxResponseBytes+1))
	if err != nil {
		return dispatchOutcome{result: core.Lost, cause: err}
	}
	if len(body) > maxResponseBytes {
		return dispatchOutcome{result: core.Lost, cause: errors.New("the engine's response exceeds the size limit")}
	}
	if endsWithConnection(response) && !json.Valid(body) {
		return dispatchOutcome{result: core.Lost, cause: errors.New("the engine closed the connection inside the response")}
	}
	s.firstByte(incoming)
	out.writeHead(http.StatusOK, contentTypeJSON, headers)
	if err := out.write(body); err != nil {
		return dispatchOutcome{result: core.Broken, cause: err}
	}
	return dispatchOutcome{result: core.Answered}
}

// endsWithConnection reports whether only the end of the connection ends the body of a response, so that the end may also
// be that of the engine.
func endsWithConnection(response *upstream.Response) bool {
	return response.Length < 0 && !response.Chunked
}

const (
	// maxResumes bounds the resumptions of one stream.
	maxResumes  = 3
	resumeDelay = 50 * time.Millisecond
)

// relayStream relays a stream. It resumes a broken stream only from the same engine and for the
// same request, so that the response never mixes two executions.
func (s *Server) relayStream(ctx context.Context, incoming *call, slot *home.Slot, response *upstream.Response, out *responseSink, headers map[string]string) dispatchOutcome {
	events := 0
	first := func() {
		if events == 0 {
			s.firstByte(incoming)
			out.writeHead(http.StatusOK, contentTypeEvent, headers)
		}
	}
	body := response
	for resumes := 0; ; resumes++ {
		relayed := relay(body, first, out.write, out.flush)
		_ = body.Close() // dispatch closes the first body again, which has no effect
		events += relayed.events
		s.metrics.relayEvents.Add(float64(relayed.events))
		switch {
		case relayed.complete:
			return dispatchOutcome{result: core.Answered}
		case relayed.writeErr != nil:
			return dispatchOutcome{result: core.Broken, cause: relayed.writeErr}
		}
		resumed, err := s.resume(ctx, incoming, slot, events, resumes)
		if err == nil {
			body = resumed
			continue
		}
		if events == 0 {
			return dispatchOutcome{result: core.Lost, cause: relayed.readErr}
		}
		return dispatchOutcome{result: core.Broken, cause: relayed.readErr}
	}
}

// resume requests the remaining events of a broken stream.
func (s *Server) resume(ctx context.Context, incoming *call, slot *home.Slot, events, resumes int) (*upstream.Response, error) {
	if resumes >= maxResumes {
		return nil, errors.New("the stream was interrupted too often")
	}
	sleep.For(ctx, resumeDelay)
	resumed, err := s.Engines.Resume(ctx, slot.Address, incoming.id, events)
	if err == nil {
		s.metrics.resumes.Inc()
	}
	return resumed, err
}

// errorBodyTimeout bounds the wait for the body of an engine's error response, which is only shown.
const errorBodyTimeout = 50 * time.Millisecond

// parseEngineError maps a response other than 200. The result is NotStarted only if the engine
// reports so itself.
func parseEngineError(response *upstream.Response) dispatchOutcome {
	message := readErrorBody(response)
	cause := errors.Errorf("engine responded with status %d: %s", response.Status, message)
	if response.Header.Get(engine.HeaderExecution) != engine.ExecutionNotStarted {
		return dispatchOutcome{result: core.Lost, cause: cause}
	}
	if response.Status == http.StatusBadRequest {
		return dispatchOutcome{result: core.NotStarted, cause: cause,
			rejection: failure.New(failure.InvalidRequest, "correct the request", "the engine rejected the request: %s", message)}
	}
	return dispatchOutcome{result: core.NotStarted, cause: cause}
}

// readErrorBody returns what arrives in time of the body of an error response. The connection is closed if it is not whole.
func readErrorBody(response *upstream.Response) string {
	timeout := time.AfterFunc(errorBodyTimeout, func() { _ = response.Close() })
	defer timeout.Stop()
	text, err := io.ReadAll(io.LimitReader(response, maxErrorBodyBytes))
	if err != nil {
		return strings.TrimSpace(string(text)) + " (incomplete: " + err.Error() + ")"
	}
	return strings.TrimSpace(string(text))
}

func (s *Server) firstByte(incoming *call) {
	incoming.log.firstByte = time.Since(incoming.arrived)
	s.metrics.firstByte.WithLabelValues(incoming.class.String()).Observe(incoming.log.firstByte.Seconds())
}
