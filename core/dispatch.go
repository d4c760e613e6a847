package core

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

const (
	// wholeAnswer is the size up to which an answer is read whole before it is
	// passed on, so that one that breaks off can be asked for again.
	wholeAnswer = 256 << 10
	chunkBytes  = 16 << 10
	// leastTry is the least time that a replica of a repeatable request has before
	// another is tried.
	leastTry         = 250 * time.Millisecond
	objectivesPerTry = 2
)

// heldReply is a replica's own failure, read whole and not yet passed on.
type heldReply struct {
	status int
	header http.Header
	body   []byte
}

// dispatchOutcome is the result of a dispatch with its cause.
type dispatchOutcome struct {
	result Result
	cause  error
	status int // of the replica's answer; zero without one
	health fleet.Result
	held   *heldReply
}

// dispatch sends the call to a replica and relays the answer.
func (c *Core) dispatch(ctx context.Context, running *run, pick *fleet.Pick) dispatchOutcome {
	stopRunning := c.Demand.BeginRun(running.key())
	defer stopRunning()
	running.lastID, running.pick = pick.ID, pick
	try, cancel := c.tryContext(ctx, running)
	defer cancel()
	outcome := c.exchange(try, running, pick)
	if ctx.Err() != nil && outcome.health == fleet.Unreachable {
		outcome.health = fleet.Answered // the caller left or its time is over: not the replica's fault
	}
	if outcome.result != Answered && !errors.Is(outcome.cause, fleet.ErrRateLimited) { // it has turns for the call
		running.tried = append(running.tried, pick.ID)
	}
	pick.Release(outcome.health, running.Target, time.Now())
	c.tellQuarantine(try, running, pick, outcome)
	return outcome
}

// tryContext bounds a dispatch for which another replica may still be tried.
func (c *Core) tryContext(ctx context.Context, running *run) (context.Context, context.CancelFunc) {
	if running.Route.Kind != routing.Repeatable || running.life.runs+1 >= running.life.MaxRuns {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, max(leastTry, objectivesPerTry*running.Route.Objective))
}

func (c *Core) exchange(ctx context.Context, running *run, pick *fleet.Pick) dispatchOutcome {
	reply, err := c.Driver.Send(ctx, Dispatch{
		Call: running.Call, ReplicaID: pick.ID, Address: pick.Address, Remaining: time.Until(running.Deadline), ResumeAfter: running.lastEvent, Permit: running.permit,
	})
	if err != nil {
		var failed *SendError
		var notAdmitted fleet.AdmissionError
		if errors.As(err, &notAdmitted) {
			return dispatchOutcome{result: NotWritten, cause: err, health: fleet.Unsent}
		}
		if errors.As(err, &failed) && !failed.Written {
			return dispatchOutcome{result: NotWritten, cause: err, health: fleet.Unreachable}
		}
		return dispatchOutcome{result: Lost, cause: err, health: fleet.Unreachable}
	}
	defer func() { _ = reply.Body.Close() }()
	outcome := c.takeReply(running, reply)
	outcome.status = reply.Status
	return outcome
}

// takeReply passes a replica's answer on, or says why not.
func (c *Core) takeReply(running *run, reply *Reply) dispatchOutcome {
	switch reply.Disposition {
	case Rejected:
		discard(reply.Body)
		return dispatchOutcome{result: NotStarted, cause: errors.Errorf("the replica rejected the request with status %d", reply.Status), health: fleet.Refused}
	case WrongReplica:
		discard(reply.Body)
		return dispatchOutcome{result: NotStarted, cause: errors.Errorf("the replica lacks the target: status %d", reply.Status), health: fleet.TargetMissing}
	case InvalidResponse:
		return dispatchOutcome{result: Lost, cause: errors.Errorf("the answer cannot be relied on: status %d", reply.Status), health: fleet.Failed}
	}
	if running.Route.Kind == routing.Stream && reply.Status == http.StatusOK {
		return c.relayEvents(running, reply)
	}
	if running.began {
		return dispatchOutcome{result: Broken, cause: errors.Errorf("the replica that should go on answered status %d", reply.Status), health: fleet.Failed}
	}
	return c.relayWhole(running, reply)
}

// discard reads the short body of a refusal, so that its connection can be kept.
func discard(body Body) { _, _ = io.CopyN(io.Discard, body, chunkBytes) }

// relayWhole passes on an answer that is not a stream of events.
func (c *Core) relayWhole(running *run, reply *Reply) dispatchOutcome {
	body, err := io.ReadAll(io.LimitReader(reply.Body, wholeAnswer+1))
	if err != nil {
		return dispatchOutcome{result: Lost, cause: err, health: fleet.Unreachable}
	}
	if len(body) > wholeAnswer {
		return c.relayLong(running, reply, body)
	}
	if reply.Status >= http.StatusInternalServerError {
		return dispatchOutcome{result: Failed, cause: errors.Errorf("the replica answered status %d", reply.Status), health: fleet.Failed,
			held: &heldReply{reply.Status, reply.Header, body}}
	}
	running.began = true
	running.wrote(time.Now())
	running.caller.WriteHead(reply.Status, reply.Header, int64(len(body)))
	if err := running.caller.Write(body); err != nil {
		return dispatchOutcome{result: Broken, cause: err, health: fleet.Answered}
	}
	return dispatchOutcome{result: Answered, health: fleet.Answered}
}

// relayLong passes on an answer that is too long to be held.
func (c *Core) relayLong(running *run, reply *Reply, begun []byte) dispatchOutcome {
	running.began = true
	running.wrote(time.Now())
	running.caller.WriteHead(reply.Status, reply.Header, reply.Length)
	data := begun
	buffer := make([]byte, chunkBytes)
	for {
		if err := running.caller.Write(data); err != nil {
			return dispatchOutcome{result: Broken, cause: err, health: fleet.Answered}
		}
		n, err := reply.Body.Read(buffer)
		data = buffer[:n]
		if err == io.EOF {
			if err := running.caller.Write(data); err != nil {
				return dispatchOutcome{result: Broken, cause: err, health: fleet.Answered}
			}
			return dispatchOutcome{result: Answered, health: fleet.Answered}
		}
		if err != nil {
			return dispatchOutcome{result: Broken, cause: err, health: fleet.Unreachable}
		}
	}
}
