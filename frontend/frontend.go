// Package frontend serves callers over HTTP and stops without dropping what they sent, for all
// caller interfaces.
//
// net/http's own Shutdown is not used: it closes connections whose next request was just read,
// and leaves a request without an answer whose headers it reads after it began.
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
	"golang.org/x/net/netutil"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/sleep"
)

const (
	// idleSlack is kept beyond the idle time that callers are told, since they may use a
	// connection nearly that long.
	idleSlack     = 1.1
	sweepInterval = time.Second
	// drainCheck is the time between looks at whether requests still run.
	drainCheck = 20 * time.Millisecond
	// firstByteTime is how long a connection that a leaving daemon accepted last may take
	// to bring its request.
	firstByteTime = time.Second
)

// Options say how callers are served.
type Options struct {
	ReadHeaderTimeout time.Duration
	MaxHeaderBytes    int
	// MaxConnections bounds the connections that are open at a time; zero: no bound.
	MaxConnections int
	// IdleTimeout returns how long a connection may rest, as callers are told; zero: any time.
	IdleTimeout func() time.Duration
	// ShutdownDelay is how long a stopping daemon goes on to take new connections, for whoever
	// spreads them to notice that it is not ready.
	ShutdownDelay time.Duration
	Log           logrus.FieldLogger
}

// Server serves callers. It is a suture service.
type Server struct {
	Options
	listener *callerListener
	server   *http.Server
	leaving  atomic.Bool
	mutex    sync.Mutex
	conns    map[*callerConn]connPhase // that are open
}

// connPhase is what net/http does with a connection.
type connPhase struct {
	state http.ConnState
	since time.Time
}

// New returns a server of callers on a listener.
func New(listener net.Listener, handler http.Handler, options Options) *Server {
	created := &Server{Options: options, conns: map[*callerConn]connPhase{}}
	accepting := listener
	if options.MaxConnections > 0 {
		accepting = netutil.LimitListener(listener, options.MaxConnections)
	}
	created.listener = newCallerListener(listener, accepting)
	created.server = &http.Server{
		Handler: created.serving(handler), ConnContext: withConn, MaxHeaderBytes: options.MaxHeaderBytes, ReadHeaderTimeout: options.ReadHeaderTimeout,
		ConnState: created.track, DisableGeneralOptionsHandler: true,
	}
	return created
}

// track follows what net/http does with each connection.
func (s *Server) track(conn net.Conn, state http.ConnState) {
	caller, known := conn.(*callerConn)
	if !known {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, caller)
		return
	}
	s.conns[caller] = connPhase{state: state, since: time.Now()}
}

// sweep closes connections that have rested longer than callers are told, or all that
// rest while the daemon leaves.
func (s *Server) sweep(now time.Time) {
	if s.Stopping() {
		s.closeResting(0, now) // answers begun before the stop did not say so
		return
	}
	if s.IdleTimeout == nil {
		return
	}
	if most := s.IdleTimeout(); most > 0 {
		s.closeResting(time.Duration(idleSlack*float64(most)), now)
	}
}

// closeResting closes the connections that have rested longer than a time, unless a
// request has begun to come on them.
func (s *Server) closeResting(longest time.Duration, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn, phase := range s.conns {
		if phase.state == http.StateIdle && now.Sub(phase.since) >= longest {
			conn.closeIdle()
		}
	}
}

// closeQuiet closes the connections that rest, and those that brought no request in time. It
// tells whether any is left: it holds a request without a whole answer, or is so new that its
// request may be on its way. When none is left, no request can come any more.
func (s *Server) closeQuiet(now time.Time) (left bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn, phase := range s.conns {
		overdue := phase.state == http.StateNew && now.Sub(phase.since) >= firstByteTime
		if quiet := overdue || phase.state == http.StateIdle; !quiet || !conn.closeIdle() {
			left = true
		}
	}
	return left
}

// String names the service in the supervisor's events.
func (s *Server) String() string { return "frontend" }

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	go s.sweepUntil(ctx)
	return serve(ctx, s.server, s.listener)
}

// sweepUntil sweeps now and then until ctx ends.
func (s *Server) sweepUntil(ctx context.Context) {
	for sleep.For(ctx, sweepInterval) {
		s.sweep(time.Now())
	}
}

// Stopping tells whether a planned stop has begun.
func (s *Server) Stopping() bool { return s.leaving.Load() }

// Phases of a planned stop, in log lines.
const (
	phaseNotReady = "not ready" // still takes connections
	phaseClosed   = "listener closed"
	phaseServed   = "all served"
	phaseTimeOver = "time over" // requests are left; their callers' connections break
)

// Drain is a planned stop: answers say that their connections close, what still comes is served
// for a while, then nothing new is accepted, and what runs is waited for until ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.leaving.Store(true) // answers say from now on that the connection closes
	s.logPhase(phaseNotReady)
	s.closeResting(0, time.Now())
	sleep.For(ctx, s.ShutdownDelay)
	awaitAccepted(ctx, s.listener.waiting)
	if err := s.listener.Close(); err != nil {
		return errors.Wrap(err, "close the callers' listener")
	}
	select {
	case <-s.listener.ended:
	case <-ctx.Done():
	}
	s.logPhase(phaseClosed)
	for s.closeQuiet(time.Now()) && sleep.For(ctx, drainCheck) {
	}
	if ctx.Err() != nil {
		s.logPhase(phaseTimeOver)
		return ctx.Err()
	}
	s.logPhase(phaseServed)
	sleep.For(ctx, drainCheck) // for the last answers to leave
	return nil
}

// logPhase records what is left as a phase of the stop begins.
func (s *Server) logPhase(phase string) {
	connections, requests := s.open()
	s.Log.WithFields(logrus.Fields{logging.Phase: phase, logging.Connections: connections, logging.Requests: requests}).Info(logging.MessageShutdownPhase)
}

// open counts the callers' connections, and those that hold a request without a whole answer.
func (s *Server) open() (connections, requests int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.conns {
		if conn.isReading() {
			requests++
		}
	}
	return len(s.conns), requests
}
