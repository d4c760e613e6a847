package core

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

// Call is one request, read whole and checked by a caller interface.
type Call struct {
	ID      string
	Route   *routing.Route
	Service *routing.Service
	Target  fleet.Target
	// Prefix names the shared part of the prompt; empty if there is none.
	Prefix string
	// PromptTokens is the length of the prompt; zero if the caller does not say.
	PromptTokens int
	// ResumeAfter is the id of the last event that the caller has; empty: none.
	ResumeAfter string
	Method      string
	URI         string // path and query as they came
	Host        string
	Header      http.Header // without those of one connection
	Body        []byte
	Arrived     time.Time
	// Deadline is when the caller stops to wait, or the route's time ends.
	Deadline time.Time
	Version  int64 // of the routing table
	// Key is the hash of the caller's key, and Tenant its owner; nil on routes that need
	// none.
	Key    *callers.KeyHash
	Tenant *routing.Tenant
	// Tokens are those of the prompt and the most that may be generated together; zero if
	// the caller does not say.
	Tokens int
}

// Priority returns how urgent the call is; 0 is the most urgent.
func (c *Call) Priority() int {
	if c.Tenant != nil && c.Tenant.Priority != nil {
		return *c.Tenant.Priority
	}
	return c.Route.Priority
}

// tenant names the tenant that the call belongs to; empty without one.
func (c *Call) tenant() string {
	if c.Tenant == nil {
		return ""
	}
	return c.Tenant.Name
}

// key names what the call needs loaded.
func (c *Call) key() demand.Key { return demand.Key{Service: c.Service.Name, Target: c.Target} }

// Caller is the caller's side of a call, made by a caller interface.
type Caller interface {
	// Begin sends the head of a replica's answer. length is that of the whole body,
	// or negative.
	Begin(status int, header http.Header, length int64)
	// Write sends a part of the body. Its error says that the caller is gone.
	Write(data []byte) error
	// Flush sends what was written on its way.
	Flush() error
}

// Disposition is what a replica's answer says of the request.
type Disposition uint8

// The dispositions.
const (
	Ran          Disposition = iota // it ran, well or not
	Rejected                        // the replica did not run it, for now
	WrongReplica                    // the replica is another, or lacks the target
	Unsound                         // the answer cannot be relied on
)

// Reply is the head of a replica's answer.
type Reply struct {
	Status      int
	Header      http.Header // without those of one connection
	Length      int64       // of the body; negative if not known
	Disposition Disposition
	Body        Body
}

// Body is the body of a reply; io.EOF says that it is whole.
type Body interface {
	Read(data []byte) (int, error)
	Buffered() int // bytes that can be read without waiting
	Close() error
}

// Dispatch is a call on its way to one replica.
type Dispatch struct {
	Call        *Call
	ReplicaID   string
	Address     string
	Left        time.Duration // until the call's deadline
	ResumeAfter string
}

// Driver speaks the replicas' protocol.
type Driver interface {
	// Send sends a dispatch and returns the head of the answer. An error is a
	// *SendError.
	Send(ctx context.Context, dispatch Dispatch) (*Reply, error)
}

// SendError is a dispatch that got no answer.
type SendError struct {
	Written bool // the replica may have read the request
	Cause   error
}

// Error returns the cause.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Gate tells whose keys are, and whether that is known well enough for a dispatch.
type Gate interface {
	// Owner returns the tenant that holds a key at this moment, or why a request with it
	// must not go out.
	Owner(key callers.KeyHash) (*routing.Tenant, *failure.Error)
}

// Limits keeps tenants within what they may use.
type Limits interface {
	// Admit tells whether a request with so many tokens (zero: it does not say) is within its
	// tenant's limit, waiting at most for a time where nobody can tell at once.
	Admit(ctx context.Context, tenant *routing.Tenant, tokens int, most time.Duration) (Permit, *failure.Error)
}

// Permit is the permission for one request.
type Permit interface {
	// Return gives it back: the request did not run.
	Return()
}

// limitWaitShare is the part of its objective that a call waits where nobody can tell whether
// it is within its tenant's limit: the next holder may be there by then, and a refusal up to a
// quarter of the objective leaves its caller the time to be served elsewhere.
const limitWaitShare = 5

// RetryPolicy bounds the retries of each service.
type RetryPolicy struct {
	Share   float64 // of the requests
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
	// OrdersGiven tells whether this daemon is attached to a holder of load orders; nil: never.
	OrdersGiven func() bool
	Metrics     *Metrics
	Log         logrus.FieldLogger

	mutex   sync.Mutex
	daemons int                     // that share the reserve of retries; zero if not known
	budgets map[string]*RetryBudget // by service

	stopOnce sync.Once
	stopping chan struct{}   // closed when a planned stop begins
	ending   context.Context // ends when calls must have ended
	end      context.CancelCauseFunc
}

// errStopped ends calls that a planned stop leaves no more time.
var errStopped = errors.New("the daemon stops")

// Prepare makes the core ready for use.
func (c *Core) Prepare() {
	c.stopping = make(chan struct{})
	c.ending, c.end = context.WithCancelCause(context.Background())
}

// Stop begins a planned stop: calls that wait for a load are refused, and those
// that still run at a moment get their final answer then.
func (c *Core) Stop(endBy time.Time) {
	c.stopOnce.Do(func() {
		close(c.stopping)
		time.AfterFunc(time.Until(endBy), func() { c.end(errStopped) })
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
		budget = &RetryBudget{Share: c.Retries.Share, Reserve: c.Retries.reserveOf(daemons)}
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

// ShareRetries takes in how many daemons share the reserve of retries.
func (c *Core) ShareRetries(daemons int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if daemons == c.daemons || daemons == 0 {
		return
	}
	c.daemons = daemons
	for _, budget := range c.budgets {
		budget.Limit(c.Retries.reserveOf(daemons))
	}
}

// run is the progress of one call.
type run struct {
	*Call
	caller    Caller
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
func (c *Core) Serve(ctx context.Context, call *Call, caller Caller) (failed *failure.Error, began bool) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(c.ending, func() { stop(errStopped) })()
	running := &run{
		Call: call, caller: caller, lastEvent: call.ResumeAfter,
		life: &Lifecycle{Repeatable: call.Route.Repeatable(), Resumable: call.Route.Resumable, MaxRuns: max(1, call.Route.Attempts), Deadline: call.Deadline},
	}
	if failed = undeclared(call); failed == nil {
		failed = c.admit(ctx, running)
	}
	c.logEnd(running, failed)
	return failed, running.began
}

// admit leads a call that is within its tenant's limit. One that did not run does not count
// toward it.
func (c *Core) admit(ctx context.Context, running *run) *failure.Error {
	if c.Limits != nil && running.Tenant != nil {
		permit, failed := c.Limits.Admit(ctx, running.Tenant, running.Tokens, running.Route.Objective/limitWaitShare)
		if failed != nil {
			return failed
		}
		defer func() {
			if running.life.Execution() == failure.NotRun {
				permit.Return()
			}
		}()
	}
	c.Demand.Arrive(running.key())
	c.budget(running.Service.Name).Earn()
	return c.lead(ctx, running)
}

// undeclaredPause is the advice to callers that name a model which the table lacks: a
// newer table may be on its way.
const undeclaredPause = time.Second

// undeclared refuses a call for what the service's catalogue lacks. Nothing could load
// it, and demand for names that callers make up must not be counted.
func undeclared(call *Call) *failure.Error {
	target := call.Target
	if call.Service.Engine == nil || target.Model == "" || call.Service.Engine.Declares(target.Model, target.Adapter) {
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
			pick.Withdraw()
			return failed
		}
		outcome := c.dispatch(ctx, running, pick)
		verdict := running.life.After(time.Now(), outcome.result, c.spender(running, outcome))
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

// pass tells whether the call's key is still good. It is asked right before each dispatch,
// the first and any further one: the key may have been taken away while the call waited.
func (c *Core) pass(ctx context.Context, running *run) *failure.Error {
	if running.Key == nil {
		return nil
	}
	tenant, failed := c.Gate.Owner(*running.Key)
	if failed == nil {
		running.Tenant = tenant
		return nil
	}
	if running.life.MayHaveRun() {
		return c.ended(ctx, running, failure.OutcomeUnknown, failed)
	}
	return failed
}

// spender returns how a retry is paid for: what never reached a replica is free.
func (c *Core) spender(running *run, outcome dispatchOutcome) func() bool {
	if outcome.result == NotWritten {
		return func() bool { return true }
	}
	return func() bool {
		allowed := c.budget(running.Service.Name).Spend()
		c.Metrics.retries.WithLabelValues(running.Service.Name, map[bool]string{true: "allowed", false: "refused"}[allowed]).Inc()
		return allowed
	}
}

// passOn answers with a replica's own failure.
func (c *Core) passOn(running *run, held *heldReply) *failure.Error {
	running.began, running.failedStatus = true, held.status
	running.caller.Begin(held.status, held.header, int64(len(held.body)))
	if err := running.caller.Write(held.body); err != nil {
		return callerLeft(err, running.life.Execution())
	}
	return nil
}

func callerLeft(cause error, execution failure.Execution) *failure.Error {
	return failure.Wrap(cause, failure.CallerLeft, "none: the caller closed the connection", "the caller left").WithExecution(execution)
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
	case running.life.MayHaveRun() && kind != failure.AnswerBroken:
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
