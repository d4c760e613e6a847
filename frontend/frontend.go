// Package frontend is the HTTP server of all caller interfaces. It shuts down without dropping
// requests, which http.Server.Shutdown does not guarantee: that may close a keep-alive connection whose
// next request has just been read, and drops requests whose headers arrive after it was called.
package frontend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/bytebudget"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/sleep"
)

const (
	// idleTimeoutMargin is the factor by which connections outlive the advertised idle timeout, since
	// callers may send a request just before it.
	idleTimeoutMargin = 1.1
	sweepInterval     = time.Second           // between closings of idle connections
	drainPollInterval = 20 * time.Millisecond // between checks for remaining requests
	// firstByteTimeout is how long a stopping server waits for the first request of a new connection.
	firstByteTimeout = time.Second
)

// Options configure a Server.
type Options struct {
	ReadHeaderTimeout time.Duration
	MaxHeaderBytes    int
	// Memory bounds the bytes of requests' heads that are being read; nil: they are not bounded.
	Memory *bytebudget.Budget
	// MaxConnections bounds the open connections; zero means no limit.
	MaxConnections int
	// IdleTimeout returns the idle timeout of connections that is advertised to callers; zero means none.
	IdleTimeout func() time.Duration
	// ShutdownDelay is how long a stopping server still accepts connections, so that load balancers
	// can notice that it is not ready.
	ShutdownDelay time.Duration
	Log           logrus.FieldLogger
}

// Server is an HTTP server with a graceful shutdown. It implements suture.Service.
type Server struct {
	Options
	listener *callerListener
	server   *http.Server
	stopping atomic.Bool
	mutex    sync.Mutex
	conns    map[*callerConn]connState // all open connections
}

// connState is the state of a connection in net/http and the time of its last change.
type connState struct {
	state http.ConnState
	since time.Time
}

// New returns a server for a listener, which Serve starts to use.
func New(listener net.Listener, handler http.Handler, options Options) *Server {
	s := &Server{Options: options, conns: map[*callerConn]connState{}}
	s.listener = newCallerListener(listener, options.MaxConnections)
	s.listener.memory = options.Memory
	s.server = &http.Server{
		Handler: s.trackRequests(handler), ConnContext: contextWithConn, MaxHeaderBytes: options.MaxHeaderBytes, ReadHeaderTimeout: options.ReadHeaderTimeout,
		ConnState: s.trackState, DisableGeneralOptionsHandler: true,
	}
	return s
}

// trackState is the ConnState hook of the HTTP server; it maintains conns.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, caller)
		return
	}
	if state == http.StateIdle {
		caller.releaseHead() // net/http may have read the rest of a body after the handler
	}
	s.conns[caller] = connState{state: state, since: time.Now()}
}

// closeExpired closes connections that have exceeded the idle timeout, or all idle ones if the server
// is stopping.
func (s *Server) closeExpired(now time.Time) {
	if s.Stopping() {
		s.closeIdleConns(0, now) // responses started before Drain did not announce it
		return
	}
	if s.IdleTimeout == nil {
		return
	}
	if idleTimeout := s.IdleTimeout(); idleTimeout > 0 {
		s.closeIdleConns(time.Duration(idleTimeoutMargin*float64(idleTimeout)), now)
	}
}

// closeIdleConns closes the connections that have been idle for minIdle or longer, unless a request has
// started to arrive.
func (s *Server) closeIdleConns(minIdle time.Duration, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn, current := range s.conns {
		if current.state == http.StateIdle && now.Sub(current.since) >= minIdle {
			conn.closeIdle()
		}
	}
}

// closeInactive closes idle connections and new ones that sent no request within firstByteTimeout. It
// reports whether any connection remains. After the listener has closed, no request can arrive once
// none remains.
func (s *Server) closeInactive(now time.Time) (remaining bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn, current := range s.conns {
		overdue := current.state == http.StateNew && now.Sub(current.since) >= firstByteTimeout
		if inactive := overdue || current.state == http.StateIdle; !inactive || !conn.closeIdle() {
			remaining = true
		}
	}
	return remaining
}

// String names the service in the supervisor's events.
func (s *Server) String() string { return "frontend" }

// Serve serves callers until ctx ends. It implements suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	go s.sweepLoop(ctx)
	return serveUntilDone(ctx, s.server, s.listener)
}

// sweepLoop closes expired connections periodically until ctx ends.
func (s *Server) sweepLoop(ctx context.Context) {
	for sleep.For(ctx, sweepInterval) {
		s.closeExpired(time.Now())
	}
}

// Stopping reports whether Drain has been called.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Phases of a shutdown, as logged.
const (
	phaseNotReady = "not ready" // still accepts connections
	phaseClosed   = "listener closed"
	phaseServed   = "all served"
	phaseTimedOut = "time over" // the remaining requests are aborted
)

// Drain shuts the server down gracefully. For ShutdownDelay it still accepts connections, while
// responses announce that their connections close; then it closes the listener and waits for running
// requests until ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.stopping.Store(true) // from now on, responses announce that the connection closes
	s.logPhase(phaseNotReady)
	s.closeIdleConns(0, time.Now())
	sleep.For(ctx, s.ShutdownDelay)
	waitForBacklog(ctx, s.listener.sockets.Listener)
	if err := s.listener.Close(); err != nil {
		return errors.Wrap(err, "close listener")
	}
	select {
	case <-s.listener.closed:
	case <-ctx.Done():
	}
	s.logPhase(phaseClosed)
	for s.closeInactive(time.Now()) && sleep.For(ctx, drainPollInterval) {
	}
	if ctx.Err() != nil {
		s.logPhase(phaseTimedOut)
		return ctx.Err()
	}
	s.logPhase(phaseServed)
	sleep.For(ctx, drainPollInterval) // lets the last responses be sent
	return nil
}

// logPhase logs the start of a shutdown phase with the remaining connections and requests.
func (s *Server) logPhase(phase string) {
	connections, requests := s.counts()
	s.Log.WithFields(logrus.Fields{logging.Phase: phase, logging.Connections: connections, logging.Requests: requests}).Info(logging.MessageShutdownPhase)
}

// counts returns the number of open connections and of those with an unfinished request.
func (s *Server) counts() (connections, requests int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.conns {
		if conn.isBusy() {
			requests++
		}
	}
	return len(s.conns), requests
}
