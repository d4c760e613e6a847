package gateway

import (
	"context"
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
)

const (
	maxWholeAnswer   = 64 << 20
	maxEngineError   = 64 << 10
	contentTypeJSON  = "application/json"
	contentTypeEvent = "text/event-stream"
	// redispatchPause is the wait before a request goes back to its home.
	redispatchPause = 10 * time.Millisecond
)

// run serves a call to its one end: the whole answer, or the failure returned.
// The answer goes to out; the failure is left to the caller of run. The second
// value is what may be said of the execution either way.
func (s *Server) run(ctx context.Context, incoming *call, out *sink) (*failure.Error, failure.Execution) {
	life := &core.Lifecycle{Repeatable: incoming.repeatable, Deadline: incoming.deadline}
	for {
		slot, err := s.homes.Acquire(ctx, home.SlotRequest{
			RequestID: incoming.id, Model: incoming.model.Name, Regions: incoming.model.ServiceRegions, Target: incoming.target.Name,
			Branch: incoming.branch.Path, Class: incoming.class, Tokens: incoming.tokens, Prefix: incoming.prefix, Arrived: incoming.arrived, Deadline: incoming.deadline,
		})
		if err != nil {
			return s.notGranted(ctx, incoming, life, err), life.Execution()
		}
		incoming.log.home, incoming.log.engine, incoming.log.waited = slot.HomeID, slot.EngineID, time.Since(incoming.arrived)
		s.metrics.waited.WithLabelValues(incoming.class.String()).Observe(incoming.log.waited.Seconds())
		dispatched := s.dispatch(ctx, incoming, slot, out)
		s.metrics.dispatches.WithLabelValues(dispatched.result.String()).Inc()
		if dispatched.rejection != nil {
			return dispatched.rejection, life.Execution()
		}
		next := life.RecordResult(time.Now(), dispatched.result, s.budget.Withdraw)
		if next.Done {
			return nil, life.Execution()
		}
		if !next.Retry || ctx.Err() != nil {
			return s.ended(ctx, incoming, life, next.Kind, dispatched.cause), life.Execution()
		}
		s.Log.WithError(dispatched.cause).WithField("request_id", incoming.id).WithField("engine", slot.EngineID).
			WithField("result", dispatched.result.String()).Debug("dispatch is tried again")
		sleep.For(ctx, redispatchPause)
	}
}

// notGranted explains why a call got no slot (this time).
func (s *Server) notGranted(ctx context.Context, incoming *call, life *core.Lifecycle, err error) *failure.Error {
	var refusal *failure.Error
	if errors.As(err, &refusal) {
		if life.MayHaveRun() {
			return s.ended(ctx, incoming, life, failure.OutcomeUnknown, err)
		}
		return refusal
	}
	return s.ended(ctx, incoming, life, failure.NoCapacity, err)
}

// ended is the failure of a call that is not tried again.
func (s *Server) ended(ctx context.Context, incoming *call, life *core.Lifecycle, kind failure.Kind, cause error) *failure.Error {
	execution := life.Execution()
	if errors.Is(ctx.Err(), context.Canceled) {
		return failure.Wrap(cause, failure.CallerDisconnected, "none: the caller closed the connection", "the caller left").WithExecution(execution)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = failure.DeadlineExceeded
	}
	switch kind {
	case failure.ResponseInterrupted:
		return failure.Wrap(cause, kind, "the part received is not the whole answer; ask again if it may be repeated",
			"the engine's answer broke off").WithExecution(execution)
	case failure.OutcomeUnknown:
		return failure.Wrap(cause, kind, "find out by other means whether it took effect before asking again",
			"the request was sent to an engine and its outcome is not known").WithExecution(execution)
	case failure.DeadlineExceeded:
		return failure.Wrap(cause, kind, "allow a longer deadline, or come back later",
			"the deadline passed before %s answered", incoming.target.Name).WithExecution(execution).WithRetryAfter(retryAfterDeadline)
	}
	return failure.Wrap(cause, kind, "come back after the time given", "no engine took the request").
		WithExecution(execution).WithRetryAfter(retryAfterDeadline)
}

// retryAfterDeadline is the advice when no better estimate is at hand.
const retryAfterDeadline = 2 * time.Second

// dispatchOutcome is the result of a dispatch with its cause.
type dispatchOutcome struct {
	result core.Result
	cause  error
	// rejection is the engine's word that the request itself is not valid.
	rejection *failure.Error
}

// dispatch sends the call to the slot's engine and relays the answer; the slot is
// released in any case.
func (s *Server) dispatch(ctx context.Context, incoming *call, slot *home.Slot, out *sink) dispatchOutcome {
	began := time.Now()
	response, err := s.Engines.Dispatch(ctx, engine.Dispatch{
		Address: slot.Address, ReplicaID: slot.ReplicaID, Path: incoming.path, RequestID: incoming.id, Priority: int(incoming.class), Body: incoming.body})
	if err != nil {
		var failed *engine.DispatchError
		outcome := dispatchOutcome{result: core.Lost, cause: err}
		if errors.As(err, &failed) && !failed.RequestWritten {
			outcome.result = core.NotWritten
		}
		s.abandon(ctx, incoming, slot, outcome.result)
		slot.Release(ctx.Err() == nil, 0)
		return outcome
	}
	defer func() { _ = response.Body.Close() }()
	outcome := s.takeAnswer(ctx, incoming, slot, response, out)
	if outcome.result == core.Lost || outcome.result == core.Broken {
		s.abandon(ctx, incoming, slot, outcome.result)
	}
	engineFailed := outcome.rejection == nil && outcome.result != core.Answered && ctx.Err() == nil
	service := time.Duration(0)
	if outcome.result == core.Answered {
		service = time.Since(began)
	}
	slot.Release(engineFailed, service)
	return outcome
}

// abandon tells the engine that nobody waits for the request any more.
func (s *Server) abandon(ctx context.Context, incoming *call, slot *home.Slot, result core.Result) {
	if result == core.NotWritten {
		return
	}
	background := context.WithoutCancel(ctx)
	go func() { _ = s.Engines.Cancel(background, slot.Address, incoming.id) }()
}

// takeAnswer passes an engine's answer on.
func (s *Server) takeAnswer(ctx context.Context, incoming *call, slot *home.Slot, response *http.Response, out *sink) dispatchOutcome {
	if response.Header.Get(engine.HeaderRequestID) != incoming.id {
		return dispatchOutcome{result: core.Lost, cause: errors.New("the engine answered for another request")}
	}
	if response.StatusCode != http.StatusOK {
		return engineRefused(response)
	}
	headers := map[string]string{HeaderHome: slot.HomeID, HeaderEngine: slot.EngineID}
	if incoming.stream {
		return s.takeStream(ctx, incoming, slot, response, out, headers)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWholeAnswer+1))
	if err != nil {
		return dispatchOutcome{result: core.Lost, cause: err}
	}
	if len(body) > maxWholeAnswer {
		return dispatchOutcome{result: core.Lost, cause: errors.New("the engine's answer is too long")}
	}
	s.firstByte(incoming)
	out.begin(http.StatusOK, contentTypeJSON, headers)
	if err := out.write(body); err != nil {
		return dispatchOutcome{result: core.Broken, cause: err}
	}
	return dispatchOutcome{result: core.Answered}
}

const (
	// maxResumes bounds how often one stream is taken up again.
	maxResumes  = 3
	resumePause = 50 * time.Millisecond
)

// takeStream relays a stream. One that breaks is taken up where it broke, from the
// same engine and for the same request; nothing else is ever put behind it.
func (s *Server) takeStream(ctx context.Context, incoming *call, slot *home.Slot, response *http.Response, out *sink, headers map[string]string) dispatchOutcome {
	events := 0
	first := func() {
		if events == 0 {
			s.firstByte(incoming)
			out.begin(http.StatusOK, contentTypeEvent, headers)
		}
	}
	body := response.Body
	for resumes := 0; ; resumes++ {
		ended := relay(body, first, out.write, out.flush)
		_ = body.Close() // closed again by the caller when it is the first
		events += ended.events
		s.metrics.relayEvents.Add(float64(ended.events))
		switch {
		case ended.whole:
			return dispatchOutcome{result: core.Answered}
		case ended.writeErr != nil:
			return dispatchOutcome{result: core.Broken, cause: ended.writeErr}
		}
		resumed, err := s.resume(ctx, incoming, slot, events, resumes)
		if err == nil {
			body = resumed.Body
			continue
		}
		if events == 0 {
			return dispatchOutcome{result: core.Lost, cause: ended.readErr}
		}
		return dispatchOutcome{result: core.Broken, cause: ended.readErr}
	}
}

// resume asks the engine for the rest of a broken stream.
func (s *Server) resume(ctx context.Context, incoming *call, slot *home.Slot, events, resumes int) (*http.Response, error) {
	if resumes >= maxResumes {
		return nil, errors.New("the stream broke too often")
	}
	sleep.For(ctx, resumePause)
	resumed, err := s.Engines.Resume(ctx, slot.Address, incoming.id, events)
	if err == nil {
		s.metrics.resumes.Inc()
	}
	return resumed, err
}

// engineRefused reads an answer that is not 200. Only the engine's own word makes
// it "not started".
func engineRefused(response *http.Response) dispatchOutcome {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxEngineError))
	if err != nil {
		return dispatchOutcome{result: core.Lost, cause: err}
	}
	message := strings.TrimSpace(string(text))
	cause := errors.Errorf("engine answered status %d: %s", response.StatusCode, message)
	if response.Header.Get(engine.HeaderExecution) != engine.ExecutionNotStarted {
		return dispatchOutcome{result: core.Lost, cause: cause}
	}
	if response.StatusCode == http.StatusBadRequest {
		return dispatchOutcome{result: core.NotStarted, cause: cause,
			rejection: failure.New(failure.InvalidRequest, "mend the request", "the engine does not accept the request: %s", message)}
	}
	return dispatchOutcome{result: core.NotStarted, cause: cause}
}

func (s *Server) firstByte(incoming *call) {
	incoming.log.firstByte = time.Since(incoming.arrived)
	s.metrics.firstByte.WithLabelValues(incoming.class.String()).Observe(incoming.log.firstByte.Seconds())
}
