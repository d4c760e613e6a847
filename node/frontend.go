package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	// maxHeaderBytes bounds what is read of a caller's headers; the table's own limit is
	// applied by the caller interface.
	maxHeaderBytes    = 1 << 20
	readHeaderTimeout = 10 * time.Second
	// idleSlack is kept beyond the idle time of the table, since callers may use a
	// connection nearly that long.
	idleSlack     = 1.1
	sweepInterval = time.Second
	// turnAway is how long a stopping daemon goes on to take new connections, for
	// the entry to notice that it is not ready.
	turnAway = 3 * time.Second
	// drainCheck is the time between looks at whether requests still run.
	drainCheck = 20 * time.Millisecond
	// firstByteTime is how long a connection that a leaving daemon accepted last may take
	// to bring its request.
	firstByteTime = time.Second
)

// frontend serves callers. It is a suture service.
type frontend struct {
	listener *callerListener
	server   *http.Server
	routes   *routing.Store
	leaving  atomic.Bool
	turnAway time.Duration
	mutex    sync.Mutex
	conns    map[*callerConn]connPhase // that are open
}

// connPhase is what net/http does with a connection.
type connPhase struct {
	state http.ConnState
	since time.Time
}

func newFrontend(listener net.Listener, handler http.Handler, routes *routing.Store) *frontend {
	created := &frontend{routes: routes, conns: map[*callerConn]connPhase{}, turnAway: turnAway}
	created.listener = newCallerListener(listener)
	created.server = &http.Server{
		Handler: created.serving(handler), ConnContext: withConn, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, ConnState: created.track,
		DisableGeneralOptionsHandler: true,
	}
	return created
}

// track follows what net/http does with each connection.
func (f *frontend) track(conn net.Conn, state http.ConnState) {
	caller, known := conn.(*callerConn)
	if !known {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(f.conns, caller)
		return
	}
	f.conns[caller] = connPhase{state: state, since: time.Now()}
}

// sweep closes connections that have rested longer than the table allows, or all that
// rest while the daemon leaves.
func (f *frontend) sweep(now time.Time) {
	if f.stopping() {
		f.closeResting(0, now) // answers begun before the stop did not say so
		return
	}
	if table := f.routes.Current(); table != nil && table.Limits.IdleTimeout > 0 {
		f.closeResting(time.Duration(idleSlack*float64(table.Limits.IdleTimeout)), now)
	}
}

// closeResting closes the connections that have rested longer than a time, unless a
// request has begun to come on them.
func (f *frontend) closeResting(longest time.Duration, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for conn, phase := range f.conns {
		if phase.state == http.StateIdle && now.Sub(phase.since) >= longest {
			conn.closeIdle()
		}
	}
}

// closeQuiet closes the connections that rest, and those that brought no request in time. It
// tells whether any is left: it holds a request without a whole answer, or is so new that its
// request may be on its way. When none is left, no request can come any more.
func (f *frontend) closeQuiet(now time.Time) (left bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for conn, phase := range f.conns {
		overdue := phase.state == http.StateNew && now.Sub(phase.since) >= firstByteTime
		if quiet := overdue || phase.state == http.StateIdle; !quiet || !conn.closeIdle() {
			left = true
		}
	}
	return left
}

// String names the service in the supervisor's events.
func (f *frontend) String() string { return "frontend" }

// Serve implements suture.Service.
func (f *frontend) Serve(ctx context.Context) error {
	go f.sweepUntil(ctx)
	return transport.ServeCallers(ctx, f.server, f.listener)
}

// sweepUntil sweeps now and then until ctx ends.
func (f *frontend) sweepUntil(ctx context.Context) {
	for sleep.For(ctx, sweepInterval) {
		f.sweep(time.Now())
	}
}

func (f *frontend) stopping() bool { return f.leaving.Load() }

// drain makes the daemon not ready, serves what still comes for a while, and waits
// for what runs.
//
// net/http's own Shutdown is not used: it closes connections whose next request was just
// read, and leaves a request without an answer whose headers it reads after it began.
func (f *frontend) drain(ctx context.Context) error {
	f.leaving.Store(true) // answers say from now on that the connection closes
	f.closeResting(0, time.Now())
	sleep.For(ctx, f.turnAway)
	awaitAccepted(ctx, f.listener.Listener)
	if err := f.listener.Close(); err != nil {
		return errors.Wrap(err, "close the callers' listener")
	}
	select {
	case <-f.listener.ended:
	case <-ctx.Done():
	}
	for f.closeQuiet(time.Now()) && sleep.For(ctx, drainCheck) {
	}
	sleep.For(ctx, drainCheck) // for the last answers to leave
	return ctx.Err()
}
