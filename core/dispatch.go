package core

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/bytebudget"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

const (
	// maxBufferedResponse is the size up to which a response is buffered before it is relayed, so that
	// an interrupted one can be retried.
	maxBufferedResponse = 256 << 10
	chunkBytes          = 16 << 10
	// rejectionBodyTimeout bounds the wait for the body of a rejection, before its request goes to another replica.
	rejectionBodyTimeout = 50 * time.Millisecond
	// inputResponses and inputEvents name the buffered bodies and events of replicas in metrics.
	inputResponses = "replica_response"
	inputEvents    = "replica_event"
	// minAttemptTime and objectivesPerAttempt, in multiples of the route's objective, give the time
	// that a replica has for a repeatable request before another is tried; the longer one applies.
	minAttemptTime       = 250 * time.Millisecond
	objectivesPerAttempt = 2
)

// bufferedReply is a replica's complete error response, not yet relayed.
type bufferedReply struct {
	status int
	header http.Header
	body   []byte
}

// dispatchOutcome is the result of a dispatch and its cause.
type dispatchOutcome struct {
	result Result
	cause  error
	// evidence is that of the execution.
	evidence Evidence
	status   int // of the replica's response; zero without one
	health   fleet.Result
	// answerBegun means that a whole event of a stream, or a whole response, was received.
	answerBegun bool
	errorReply  *bufferedReply // to relay if the call is not retried; nil if there is none
}

// dispatch sends the call to a replica and relays the response.
func (c *Core) dispatch(ctx context.Context, state *callState, pick *fleet.Pick) dispatchOutcome {
	stopRunning := c.Demand.BeginRun(state.key())
	defer stopRunning()
	state.lastReplicaID, state.lastVersion, state.pick, state.sentAt, state.via, state.connection = pick.ID, pick.Version, pick, time.Now(), "", ""
	state.streamEnd = streamEnd{}
	attemptCtx, cancel := c.attemptContext(ctx, state)
	defer cancel()
	outcome := c.exchange(attemptCtx, state, pick)
	state.evidence = append(state.evidence, outcome.evidence)
	c.Metrics.evidence.WithLabelValues(outcome.evidence.String()).Inc()
	if ctx.Err() != nil && outcome.health == fleet.Unreachable {
		outcome.health = fleet.Answered // not a failure of the replica: the caller disconnected or time ran out
	}
	usableLater := errors.Is(outcome.cause, fleet.ErrRateLimited) || errors.Is(outcome.cause, fleet.ErrQuarantined)
	if outcome.result != Answered && !usableLater {
		state.tried = append(state.tried, pick.ID)
	}
	pick.Release(outcome.health, state.Target, time.Now())
	c.reportToQuarantine(attemptCtx, state, pick, outcome)
	return outcome
}

// attemptContext limits the time of a dispatch if another replica may still be tried after it.
func (c *Core) attemptContext(ctx context.Context, state *callState) (context.Context, context.CancelFunc) {
	if state.Route.Kind != routing.Repeatable || state.lifecycle.runs+1 >= state.lifecycle.MaxRuns {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, max(minAttemptTime, objectivesPerAttempt*state.Route.Objective))
}

func (c *Core) exchange(ctx context.Context, state *callState, pick *fleet.Pick) dispatchOutcome {
	if err := c.confirmVersion(ctx, state, pick); err != nil {
		return unansweredDispatch(NotAdmitted, err)
	}
	reply, err := c.Driver.Send(ctx, Dispatch{
		Call: state.Call, ReplicaID: pick.ID, Address: pick.Address, Remaining: time.Until(state.Deadline), ResumeAfter: state.lastEventID, Permit: state.permit,
		TransferFrom: c.transferSource(state), Admit: c.admitDispatch(ctx, state, pick),
	})
	if err != nil {
		var failed *SendError
		if errors.As(err, &failed) {
			state.connection = failed.Connection
		}
		return unansweredDispatch(evidenceOfError(err), err)
	}
	defer func() { _ = reply.Body.Close() }()
	state.via, state.connection = reply.Via, reply.Connection
	state.answerBegun = false
	outcome := c.relayReply(state, reply)
	outcome.status = reply.Status
	outcome.answerBegun = state.answerBegun
	return outcome
}

// unansweredDispatch returns the outcome of a dispatch without a response.
func unansweredDispatch(evidence Evidence, cause error) dispatchOutcome {
	health := fleet.Unreachable
	if evidence == NotAdmitted {
		health = fleet.Unsent
	}
	return dispatchOutcome{result: evidence.result(), cause: cause, evidence: evidence, health: health}
}

// relayReply relays a replica's response or returns why it cannot.
func (c *Core) relayReply(state *callState, reply *Reply) dispatchOutcome {
	switch evidence := evidenceOfReply(reply.Disposition); evidence {
	case RejectedByReplica:
		discard(reply.Body)
		return dispatchOutcome{result: evidence.result(), evidence: evidence, cause: errors.Errorf("replica rejected the request with status %d", reply.Status), health: fleet.Refused}
	case AddressedToAnother:
		discard(reply.Body)
		return dispatchOutcome{result: evidence.result(), evidence: evidence, cause: errors.Errorf("wrong replica or target not loaded: status %d", reply.Status), health: fleet.TargetMissing}
	}
	if reply.Disposition == InvalidResponse {
		return dispatchOutcome{result: Lost, cause: errors.Errorf("invalid response with status %d", reply.Status), health: fleet.Failed}
	}
	if state.Route.Kind == routing.Stream && reply.Status == http.StatusOK {
		return c.relayEvents(state, reply)
	}
	if state.responseStarted {
		return dispatchOutcome{result: Broken, cause: errors.Errorf("resuming the stream failed with status %d", reply.Status), health: fleet.Failed}
	}
	return c.relayBuffered(state, reply)
}

// discard reads the body of a rejection, so that the connection can be reused. One that is long, or takes long, costs its
// connection instead.
func discard(body Body) {
	timeout := time.AfterFunc(rejectionBodyTimeout, func() { _ = body.Close() })
	defer timeout.Stop()
	_, _ = io.CopyN(io.Discard, body, chunkBytes)
}

// relayBuffered relays a response that is not an event stream, after reading it completely if there is memory for it.
func (c *Core) relayBuffered(state *callState, reply *Reply) dispatchOutcome {
	memory := c.Memory.Reserve(inputResponses)
	defer memory.Release()
	body, err := memory.ReadAll(reply.Body, reply.Length, maxBufferedResponse+1)
	exhausted := err == bytebudget.ErrExhausted
	if err != nil && !exhausted {
		return dispatchOutcome{result: Lost, cause: err, health: fleet.Unreachable}
	}
	if reply.Status < http.StatusMultipleChoices {
		c.recordAnswerBegun(state)
	}
	whole := len(body) <= maxBufferedResponse && !exhausted
	isError := reply.Status >= http.StatusInternalServerError
	if !whole && isError {
		return dispatchOutcome{result: Failed, cause: errors.Errorf("replica responded with status %d and a body of more than %d bytes", reply.Status, len(body)), health: fleet.Failed}
	}
	if !whole {
		return c.relayUnbuffered(state, reply, body)
	}
	c.Metrics.bodyEnds.WithLabelValues(reply.Framing.String()).Inc()
	if isError {
		return dispatchOutcome{result: Failed, cause: errors.Errorf("replica responded with status %d", reply.Status), health: fleet.Failed,
			errorReply: &bufferedReply{reply.Status, reply.Header, body}}
	}
	state.responseStarted = true
	state.recordWrite(time.Now())
	state.writer.WriteHead(reply.Status, reply.Header, int64(len(body)))
	if err := state.writer.Write(body); err != nil {
		return dispatchOutcome{result: Broken, cause: err, health: fleet.Answered}
	}
	return dispatchOutcome{result: Answered, health: fleet.Answered}
}

// relayUnbuffered relays a response that is too long to buffer, beginning with the part already read.
func (c *Core) relayUnbuffered(state *callState, reply *Reply, prefix []byte) dispatchOutcome {
	state.responseStarted = true
	state.recordWrite(time.Now())
	state.writer.WriteHead(reply.Status, reply.Header, reply.Length)
	chunk := prefix
	buffer := make([]byte, chunkBytes)
	for {
		if err := state.writer.Write(chunk); err != nil {
			return dispatchOutcome{result: Broken, cause: err, health: fleet.Answered}
		}
		n, err := reply.Body.Read(buffer)
		chunk = buffer[:n]
		if err == io.EOF {
			c.Metrics.bodyEnds.WithLabelValues(reply.Framing.String()).Inc()
			if err := state.writer.Write(chunk); err != nil {
				return dispatchOutcome{result: Broken, cause: err, health: fleet.Answered}
			}
			return dispatchOutcome{result: Answered, health: fleet.Answered}
		}
		if err != nil {
			return dispatchOutcome{result: Broken, cause: err, health: fleet.Unreachable}
		}
	}
}
