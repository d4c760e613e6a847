package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

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
)

// frontend serves callers. It is a suture service.
type frontend struct {
	listener net.Listener
	server   *http.Server
	routes   *routing.Store
	leaving  atomic.Bool
	running  atomic.Int64 // requests in the handler
	turnAway time.Duration
	mutex    sync.Mutex
	idle     map[net.Conn]time.Time // since when
}

func newFrontend(listener net.Listener, handler http.Handler, routes *routing.Store) *frontend {
	created := &frontend{routes: routes, idle: map[net.Conn]time.Time{}, turnAway: turnAway}
	created.listener = callerListener{listener, created.stopping}
	created.server = &http.Server{
		Handler: created.serving(handler), ConnContext: withConn, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, ConnState: created.track,
		DisableGeneralOptionsHandler: true,
	}
	return created
}

// track keeps the connections that rest.
func (f *frontend) track(conn net.Conn, state http.ConnState) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if state == http.StateIdle {
		f.idle[conn] = time.Now()
		return
	}
	delete(f.idle, conn)
}

// sweep closes connections that have rested longer than the table allows, or all that
// rest while the daemon leaves.
func (f *frontend) sweep(now time.Time) {
	if f.stopping() {
		f.closeResting() // answers begun before the stop did not say so
		return
	}
	table := f.routes.Current()
	if table == nil || table.Limits.IdleTimeout <= 0 {
		return
	}
	longest := time.Duration(idleSlack * float64(table.Limits.IdleTimeout))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for conn, since := range f.idle {
		if now.Sub(since) > longest {
			delete(f.idle, conn)
			closeIdle(conn)
		}
	}
}

// closeIdle closes a connection unless a request has begun to come on it.
func closeIdle(conn net.Conn) {
	if caller, known := conn.(*callerConn); known {
		caller.closeIdle()
	}
}

// closeResting closes all connections that rest.
func (f *frontend) closeResting() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for conn := range f.idle {
		closeIdle(conn)
	}
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
func (f *frontend) drain(ctx context.Context) error {
	f.leaving.Store(true)
	// Answers carry Connection: close from now on, so callers move by themselves. What
	// net/http offers for it closes connections whose next request was just read.
	f.closeResting()
	sleep.For(ctx, f.turnAway)
	f.closeResting()
	if err := f.server.Shutdown(ctx); err != nil {
		return err
	}
	// Requests whose connections net/http took for idle are not waited for by it.
	for f.running.Load() > 0 && sleep.For(ctx, drainCheck) {
	}
	sleep.For(ctx, drainCheck) // for the last answers to leave
	return ctx.Err()
}
