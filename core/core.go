package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/bytebudget"
	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/origin"
	"github.com/finchspoke/finchspoke/quarantine"
)

// Core serves calls: it admits each, chooses replicas, dispatches, retries and relays the response.
type Core struct {
	Fleet   *fleet.Directory
	Demand  *demand.Tracker
	Driver  Driver
	Retries RetryPolicy
	Gate    Gate
	Limits  Limits // nil disables tenant limits
	// CompetingTenants makes requests of a tenant compete for what is left of its limit.
	CompetingTenants bool
	// Quarantine excludes requests that may crash replicas; nil excludes none.
	Quarantine Quarantine
	// Origins tells which software version began a stream that a caller resumes; nil allows any.
	Origins Origins
	// Registry confirms the software versions of replicas before streams go on there; nil: the known versions count.
	Registry Registry
	// Permits grants permits for rate-limited replicas; nil ignores their limits.
	Permits ReplicaPermitter
	// Balancer asks the leader for replicas; nil: this daemon always chooses itself.
	Balancer Balancer
	// LeaderAttached reports whether this daemon is connected to the leader; nil means never.
	LeaderAttached func() bool
	// Memory bounds the bytes of requests and responses that are held; nil: they are not bounded.
	Memory  *bytebudget.Budget
	Metrics *Metrics
	Log     logrus.FieldLogger
	// Now is the clock of the retry budgets; nil means boottime.Now.
	Now func() time.Time
	// Draw returns random numbers from [0, 1) for the retry budgets; nil means rand.Float64.
	Draw func() float64

	mutex   sync.Mutex
	reserve reserveShare            // this daemon's part of the retry reserve
	budgets map[string]*RetryBudget // by service
	// unusedBudget is the budget of a service without requests so far.
	unusedBudget RetryBudget

	times runTimes // of calls with a complete response

	startedAt time.Time // of this process's core

	stopOnce  sync.Once
	stopping  chan struct{}                 // closed when a planned stop begins
	stopTimes atomic.Pointer[StopDeadlines] // nil before a planned stop
	lifetime  context.Context               // canceled when all calls must end
	endCalls  context.CancelCauseFunc
}

// errStopped cancels calls still running at the end of a planned stop.
var errStopped = errors.New("daemon is stopping")

// errHeld is why a call ended that waited for evidence on a part of its prompt.
var errHeld = errors.New("replicas crashed with a part of the prompt, and no answer to another prompt with it began in time")

// Prepare initializes the core; it must be called before any other method.
func (c *Core) Prepare() {
	c.startedAt = time.Now()
	c.stopping = make(chan struct{})
	c.lifetime, c.endCalls = context.WithCancelCause(context.Background())
}

// Stop begins a planned stop. The core refuses calls that wait for a load and new calls that would not
// finish in time, and ends calls still running at times.EndBy with a final response.
func (c *Core) Stop(times StopDeadlines) {
	c.stopOnce.Do(func() {
		c.stopTimes.Store(&times)
		close(c.stopping)
		time.AfterFunc(time.Until(times.EndBy), func() { c.endCalls(errStopped) })
	})
}

// isStopping reports whether a planned stop has begun.
func (c *Core) isStopping() bool {
	select {
	case <-c.stopping:
		return true
	default:
		return false
	}
}

// callState is the progress of one call.
type callState struct {
	*Call
	writer          ResponseWriter
	lifecycle       *Lifecycle
	tried           []string // ids of replicas that failed the call
	responseStarted bool     // the head of a response was sent to the caller
	lastEventID     string   // id of the last event sent to the caller
	waitTime        time.Duration
	waitEstimate    time.Duration // estimated duration of the first wait; zero if the call did not wait
	miss            fleet.Miss    // why the call first waited; Found if it did not
	firstByte       time.Duration // time from arrival to the first byte sent; zero before that
	lastWrite       time.Time
	longestPause    time.Duration // longest pause between two parts of the response
	lastReplicaID   string        // of the replica of the latest dispatch
	lastVersion     string        // of that replica's software
	// requiredVersion is the software version that began the stream, at which alone it may go on; nil before its
	// first event.
	requiredVersion *string
	origin          origin.Resolution // of the stream that the caller resumes
	via             string            // id of the daemon that relayed its reply; empty if it came directly
	connection      string            // of its exchange with the replica, as in Reply; empty if there was none
	evidence        []Evidence        // of each dispatch, oldest first
	streamEnd       streamEnd         // of the latest dispatch
	answerBegun     bool              // the latest dispatch has brought a whole event or response
	suspect         quarantine.Suspect
	needsTrial      bool // the next dispatch may be written only as a trial
	trialDenied     bool // a dispatch was not written since it could not be a trial
	// trial is the trial that the current dispatch is, or that the next one goes on with; nil if there is none.
	trial *quarantine.BegunTrial
	// failedStatus is the status of a replica's error response relayed to the caller; zero without
	// one.
	failedStatus int
	pick         *fleet.Pick // of the current dispatch, until its response begins
	denied       deniedReplicas
	permit       ReplicaPermit // for the current dispatch; nil if the replica is not rate-limited
	// balanced is the current dispatch in the leader's account; nil if there is none.
	balanced BalancedDispatch
	choice   Choice    // of the latest dispatch with such an account
	sentAt   time.Time // of the current dispatch
	// payment tells how the retry after the latest dispatch was paid for.
	payment retryPayment
}

// waitReason returns why the call first waited; empty if it did not.
func (s *callState) waitReason() string {
	if s.miss == fleet.Found {
		return ""
	}
	return s.miss.String()
}

// recordEvents records that events of the stream were received. The first ones show that the replica has
// read the prompt; an error answer does not.
func (s *callState) recordEvents(now time.Time) {
	if s.pick != nil && s.balanced != nil {
		s.balanced.RecordFirstByte(now.Sub(s.sentAt))
	}
	s.recordWrite(now)
}

// recordWrite records that a part of the response was sent to the caller.
func (s *callState) recordWrite(now time.Time) {
	if s.pick != nil {
		s.pick.MarkPromptRead()
		s.pick = nil
	}
	if s.lastWrite.IsZero() {
		s.firstByte = now.Sub(s.Arrived)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastWrite))
	}
	s.lastWrite = now
}

// Serve runs a call to completion. It returns nil once a complete response, possibly a replica's error
// response, was sent. Otherwise the caller must be sent the returned failure; if responseStarted is
// true, the connection must instead show that the response is incomplete.
func (c *Core) Serve(ctx context.Context, call *Call, writer ResponseWriter) (failed *failure.Error, responseStarted bool) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	defer context.AfterFunc(c.lifetime, func() { cancelCause(errStopped) })()
	state := &callState{
		Call: call, writer: writer, lastEventID: call.ResumeAfter, suspect: suspectOf(call),
		lifecycle: &Lifecycle{Repeatable: call.Route.Repeatable(), Resumable: call.Route.Resumable, MaxRuns: max(1, call.Route.Attempts), Deadline: call.Deadline},
	}
	failed = c.precheck(state)
	if failed == nil {
		failed = c.admit(ctx, state)
	}
	if failed == nil && state.failedStatus == 0 {
		c.times.record(call.Route.Name, time.Since(call.Arrived))
	}
	c.logEnd(state, failed)
	return failed, state.responseStarted
}

// precheck refuses a call that cannot be served.
func (c *Core) precheck(state *callState) *failure.Error {
	if failed := rejectUndeclared(state.Call); failed != nil {
		return failed
	}
	if verdict := c.checkQuarantine(state); verdict.Refused != nil && !verdict.TrialDue {
		return verdict.Refused
	}
	return c.checkStopping(state.Call)
}

// undeclaredRetryAfter is the retry advice for a model that the routing table lacks: a newer table may
// be about to arrive.
const undeclaredRetryAfter = time.Second

// rejectUndeclared refuses a call whose target the service does not declare. Such a target is never
// loaded, and must not be recorded as demand, since callers can make up names.
func rejectUndeclared(call *Call) *failure.Error {
	target := call.Target
	if call.Service.Engine == nil || target.Model == "" || call.Service.Engine.HasModel(target.Model, target.Adapter) {
		return nil
	}
	return failure.New(failure.Unavailable, "name a model and adapter that the service declares; new ones become known shortly after the operator adds them",
		"service %s declares no model %q with adapter %q", call.Service.Name, target.Model, target.Adapter).WithRetryAfter(undeclaredRetryAfter)
}

// dispatchUntilDone dispatches the call until it completes or may not be retried.
func (c *Core) dispatchUntilDone(ctx context.Context, state *callState) *failure.Error {
	defer state.endBalanced()
	if failed := c.resolveOrigin(ctx, state); failed != nil {
		return failed
	}
	for {
		pick, failed := c.awaitReplica(ctx, state)
		if failed != nil {
			return failed
		}
		if failed := c.checkKey(ctx, state); failed != nil {
			pick.Cancel()
			state.returnPermit()
			return failed
		}
		outcome := c.dispatch(ctx, state, pick)
		state.returnPermit()
		state.endBalanced()
		state.payment = retryPayment{}
		verdict := state.lifecycle.RecordResult(time.Now(), outcome.result, func() bool { return c.payRetry(state, outcome) })
		c.logDispatch(state, pick, outcome, verdict)
		if verdict.Done {
			return nil
		}
		if verdict.Retry && ctx.Err() == nil {
			continue
		}
		if outcome.errorReply != nil && ctx.Err() == nil {
			return c.relayErrorReply(state, outcome.errorReply)
		}
		return c.finalFailure(ctx, state, verdict.Kind, outcome.cause)
	}
}

// relayErrorReply sends a replica's buffered error response to the caller.
func (c *Core) relayErrorReply(state *callState, reply *bufferedReply) *failure.Error {
	state.responseStarted, state.failedStatus = true, reply.status
	state.writer.WriteHead(reply.status, reply.header, int64(len(reply.body)))
	if err := state.writer.Write(reply.body); err != nil {
		return callerDisconnected(err, state.lifecycle.Execution())
	}
	return nil
}

func callerDisconnected(cause error, execution failure.Execution) *failure.Error {
	return failure.Wrap(cause, failure.CallerDisconnected, "none: the caller closed the connection", "caller disconnected").WithExecution(execution)
}

// finalFailure returns the failure of a call that is not retried.
func (c *Core) finalFailure(ctx context.Context, state *callState, kind failure.Kind, cause error) *failure.Error {
	execution := state.lifecycle.Execution()
	if cause == nil {
		cause = errors.New("unknown cause")
	}
	switch {
	case errors.Is(context.Cause(ctx), errStopped):
		kind = failure.Unavailable
	case errors.Is(ctx.Err(), context.Canceled):
		return callerDisconnected(cause, execution)
	case ctx.Err() != nil:
		kind = failure.DeadlineExceeded
	case state.lifecycle.MayHaveRun() && kind != failure.ResponseInterrupted:
		kind = failure.OutcomeUnknown
	}
	remedy := "retry after the given time"
	if execution != failure.NotRun {
		remedy = "check whether the request took effect before sending it again, unless it is safe to repeat"
	}
	failed := failure.Wrap(cause, kind, remedy, "no complete response from a replica of %s", state.Service.Name).WithExecution(execution)
	if execution == failure.NotRun {
		failed = failed.WithRetryAfter(defaultRetryAfter)
	}
	return failed
}

// defaultRetryAfter is the retry advice when no replica accepted the request.
const defaultRetryAfter = 300 * time.Millisecond
