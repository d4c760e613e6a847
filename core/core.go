package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
)

// RetryPolicy bounds the retries of each service.
type RetryPolicy struct {
	Ratio   float64 // of the requests
	Reserve float64 // of all daemons together
}

// daemonsGuess is how many daemons are thought to share the reserve before any word
// of it.
const daemonsGuess = 10

// reserveOf returns one daemon's part of the reserve.
func (p RetryPolicy) reserveOf(daemons int) float64 {
	return max(1, p.Reserve/float64(max(1, daemons)))
}

// Core leads calls to their ends.
type Core struct {
	Fleet   *fleet.Directory
	Demand  *demand.Tracker
	Driver  Driver
	Retries RetryPolicy
	Gate    Gate
	Limits  Limits // nil: none are kept
	// Quarantine knows under which requests replicas ended; nil: none are withheld.
	Quarantine Quarantine
	// Permits shares out what replicas with a limit take; nil: no limit is kept.
	Permits ReplicaPermitter
	// LeaderAttached tells whether this daemon is attached to a holder of load orders; nil: never.
	LeaderAttached func() bool
	Metrics        *Metrics
	Log            logrus.FieldLogger

	mutex   sync.Mutex
	daemons int                     // that share the reserve of retries; zero if not known
	budgets map[string]*RetryBudget // by service

	times runTimes // of calls that were answered whole

	stopOnce  sync.Once
	stopping  chan struct{}             // closed when a planned stop begins
	stopTimes atomic.Pointer[StopTimes] // nil until then
	ending    context.Context           // ends when calls must have ended
	end       context.CancelCauseFunc
}

// errStopped ends calls that a planned stop leaves no more time.
var errStopped = errors.New("the daemon stops")

// Prepare makes the core ready for use.
func (c *Core) Prepare() {
	c.stopping = make(chan struct{})
	c.ending, c.end = context.WithCancelCause(context.Background())
}

// Stop begins a planned stop: calls that wait for a load are refused, so are those that come and
// would not be finished, and those that still run in the end get their final answer.
func (c *Core) Stop(times StopTimes) {
	c.stopOnce.Do(func() {
		c.stopTimes.Store(&times)
		close(c.stopping)
		time.AfterFunc(time.Until(times.EndBy), func() { c.end(errStopped) })
	})
}

// isStopping tells whether a planned stop has begun.
func (c *Core) isStopping() bool {
	select {
	case <-c.stopping:
		return true
	default:
		return false
	}
}

// budget returns the retry budget of a service.
func (c *Core) budget(service string) *RetryBudget {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.budgets == nil {
		c.budgets = map[string]*RetryBudget{}
	}
	budget := c.budgets[service]
	if budget == nil {
		daemons := c.daemons
		if daemons == 0 {
			daemons = daemonsGuess
		}
		budget = &RetryBudget{Ratio: c.Retries.Ratio, Reserve: c.Retries.reserveOf(daemons)}
		c.budgets[service] = budget
	}
	return budget
}

// Daemons returns how many daemons were last said to share the reserve of retries; zero
// before any word.
func (c *Core) Daemons() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.daemons
}

// SetDaemons takes in how many daemons share the reserve of retries.
func (c *Core) SetDaemons(daemons int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if daemons == c.daemons || daemons == 0 {
		return
	}
	c.daemons = daemons
	for _, budget := range c.budgets {
		budget.SetReserve(c.Retries.reserveOf(daemons))
	}
}

// run is the progress of one call.
type run struct {
	*Call
	caller    ResponseWriter
	life      *Lifecycle
	tried     []string // ids of replicas that failed the call
	began     bool     // the head of an answer went to the caller
	lastEvent string   // id of the last event that went to the caller
	waited    time.Duration
	estimate  time.Duration // of the first wait; zero if the call did not wait
	miss      fleet.Miss    // why the call first waited; Found if it did not
	firstByte time.Duration // from the arrival; zero before it
	lastWrite time.Time
	longest   time.Duration // pause between two parts of the answer
	lastID    string        // of the replica dispatched to last
	// failedStatus is that of a replica's own failure that went to the caller; zero
	// without one.
	failedStatus int
	pick         *fleet.Pick // of the present dispatch, until its answer begins
	turns        turnless
	permit       ReplicaPermit // for the present dispatch; nil: the replica is without a limit
}

// waitReason names why the call first waited; empty if it did not.
func (r *run) waitReason() string {
	if r.miss == fleet.Found {
		return ""
	}
	return r.miss.String()
}

// wrote notes that a part of the answer went to the caller.
func (r *run) wrote(now time.Time) {
	if r.pick != nil {
		r.pick.Read()
		r.pick = nil
	}
	if r.lastWrite.IsZero() {
		r.firstByte = now.Sub(r.Arrived)
	} else {
		r.longest = max(r.longest, now.Sub(r.lastWrite))
	}
	r.lastWrite = now
}

// Serve leads a call to its end. It returns nil when a whole answer went to the
// caller, a replica's own failure included. Otherwise the caller is to get the
// failure returned; where began is true part of an answer went out, and the
// caller's connection must not look as if the answer were complete.
func (c *Core) Serve(ctx context.Context, call *Call, caller ResponseWriter) (failed *failure.Error, began bool) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(c.ending, func() { stop(errStopped) })()
	running := &run{
		Call: call, caller: caller, lastEvent: call.ResumeAfter,
		life: &Lifecycle{Repeatable: call.Route.Repeatable(), Resumable: call.Route.Resumable, MaxRuns: max(1, call.Route.Attempts), Deadline: call.Deadline},
	}
	failed = c.judge(running)
	if failed == nil {
		failed = c.admit(ctx, running)
	}
	if failed == nil && running.failedStatus == 0 {
		c.times.ran(call.Route.Name, time.Since(call.Arrived))
	}
	c.logEnd(running, failed)
	return failed, running.began
}

// judge refuses a call that is known not to be servable.
func (c *Core) judge(running *run) *failure.Error {
	if failed := undeclared(running.Call); failed != nil {
		return failed
	}
	if failed := c.withheld(running); failed != nil {
		return failed
	}
	return c.stopRefusal(running.Call)
}

// undeclaredPause is the advice to callers that name a model which the table lacks: a
// newer table may be on its way.
const undeclaredPause = time.Second

// undeclared refuses a call for what the service's catalogue lacks. Nothing could load
// it, and demand for names that callers make up must not be counted.
func undeclared(call *Call) *failure.Error {
	target := call.Target
	if call.Service.Engine == nil || target.Model == "" || call.Service.Engine.HasModel(target.Model, target.Adapter) {
		return nil
	}
	return failure.New(failure.Unavailable, "name a model, and an adapter, of the service's catalogue; a new one is known shortly after the operator adds it",
		"service %s declares no model %q with adapter %q", call.Service.Name, target.Model, target.Adapter).WithRetryAfter(undeclaredPause)
}

// lead dispatches until the call has an end.
func (c *Core) lead(ctx context.Context, running *run) *failure.Error {
	for {
		pick, failed := c.await(ctx, running)
		if failed != nil {
			return failed
		}
		if failed := c.pass(ctx, running); failed != nil {
			pick.Cancel()
			running.returnPermit()
			return failed
		}
		outcome := c.dispatch(ctx, running, pick)
		running.returnPermit()
		verdict := running.life.RecordResult(time.Now(), outcome.result, c.spender(running, outcome))
		c.logDispatch(running, pick, outcome, verdict)
		if verdict.Done {
			return nil
		}
		if verdict.Retry && ctx.Err() == nil {
			continue
		}
		if outcome.held != nil && ctx.Err() == nil {
			return c.passOn(running, outcome.held)
		}
		return c.ended(ctx, running, verdict.Kind, outcome.cause)
	}
}

// spender returns how a retry is paid for: what never reached a replica is free.
func (c *Core) spender(running *run, outcome dispatchOutcome) func() bool {
	if outcome.result == NotWritten {
		return func() bool { return true }
	}
	return func() bool {
		allowed := c.budget(running.Service.Name).Withdraw()
		c.Metrics.retries.WithLabelValues(running.Service.Name, map[bool]string{true: "allowed", false: "refused"}[allowed]).Inc()
		return allowed
	}
}

// passOn answers with a replica's own failure.
func (c *Core) passOn(running *run, held *heldReply) *failure.Error {
	running.began, running.failedStatus = true, held.status
	running.caller.WriteHead(held.status, held.header, int64(len(held.body)))
	if err := running.caller.Write(held.body); err != nil {
		return callerLeft(err, running.life.Execution())
	}
	return nil
}

func callerLeft(cause error, execution failure.Execution) *failure.Error {
	return failure.Wrap(cause, failure.CallerDisconnected, "none: the caller closed the connection", "the caller left").WithExecution(execution)
}

// ended is the failure of a call that is not tried again.
func (c *Core) ended(ctx context.Context, running *run, kind failure.Kind, cause error) *failure.Error {
	execution := running.life.Execution()
	if cause == nil {
		cause = errors.New("no cause is known")
	}
	switch {
	case errors.Is(context.Cause(ctx), errStopped):
		kind = failure.Unavailable
	case errors.Is(ctx.Err(), context.Canceled):
		return callerLeft(cause, execution)
	case ctx.Err() != nil:
		kind = failure.DeadlineExceeded
	case running.life.MayHaveRun() && kind != failure.ResponseInterrupted:
		kind = failure.OutcomeUnknown
	}
	remedy := "come back after the time given"
	if execution != failure.NotRun {
		remedy = "find out whether it took effect before asking again, unless it may be repeated"
	}
	failed := failure.Wrap(cause, kind, remedy, "no whole answer from a replica of %s", running.Service.Name).WithExecution(execution)
	if execution == failure.NotRun {
		failed = failed.WithRetryAfter(retrySoon)
	}
	return failed
}

// retrySoon is the advice to callers when replicas took no request just now.
const retrySoon = 300 * time.Millisecond
