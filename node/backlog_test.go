package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/routing"
)

// slowListener accepts each connection some time after it came.
type slowListener struct {
	*net.TCPListener
	pause  time.Duration
	closed atomic.Bool
}

func (l *slowListener) Accept() (net.Conn, error) {
	for !hasBacklog(l.TCPListener) && !l.closed.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(l.pause)
	return l.TCPListener.Accept()
}

func (l *slowListener) Close() error {
	l.closed.Store(true)
	return l.TCPListener.Close()
}

// Seen once in a hunt (hunt-aa65-183, lantern-core): a request came 2.97 s after SIGTERM on
// a new connection, 30 ms before the listener closed, and got no answer until the process
// ended.
func TestAStopServesTheConnectionsThatWaitToBeAccepted(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &slowListener{TCPListener: plain.(*net.TCPListener), pause: 60 * time.Millisecond}
	front := newFrontend(listener, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(writer, "whole")
	}), &routing.Store{})
	front.turnAway = 0
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = front.Serve(ctx) }()

	conn, err := net.Dial("tcp", plain.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return hasBacklog(plain) }, time.Second, time.Millisecond)

	require.NoError(t, front.drain(ctx))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	answer, err := io.ReadAll(conn)
	require.NoError(t, err, string(answer))
	require.Contains(t, string(answer), "whole")
}

func TestAListenerTellsWhetherAConnectionWaits(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	require.False(t, hasBacklog(listener))
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.Eventually(t, func() bool { return hasBacklog(listener) }, time.Second, time.Millisecond)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, accepted.Close())
	require.False(t, hasBacklog(listener))
}

// heldListener gives each connection some time after it was accepted.
type heldListener struct {
	net.Listener
	pause time.Duration
}

func (l heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(l.pause)
	}
	return conn, err
}

// Seen once in a hunt (hunt-cd50-123, lantern-core): a request came 3.001 s after SIGTERM
// on a connection that had been accepted and was not noted yet; the process ended 23 ms
// later, while a replica had the request.
func TestAStopWaitsForAConnectionThatWasAcceptedJustBefore(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var served atomic.Bool
	front := newFrontend(heldListener{plain, 100 * time.Millisecond}, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		served.Store(true)
		_, _ = fmt.Fprint(writer, "whole")
	}), &routing.Store{})
	front.turnAway = 0
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = front.Serve(ctx) }()

	conn, err := net.Dial("tcp", plain.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !hasBacklog(plain) }, time.Second, time.Millisecond)
	require.NoError(t, front.drain(ctx))
	require.True(t, served.Load(), "the stop ended before the request was served")
}

// net/http's Shutdown reads such a request and drops it.
func TestAStopServesARequestThatComesAfterItOnANewConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	front := newFrontend(listener, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(writer, "whole")
	}), &routing.Store{})
	front.turnAway = 0
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = front.Serve(ctx) }()

	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.Eventually(t, func() bool { return front.unanswered(time.Now()) }, time.Second, time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- front.drain(ctx) }()
	require.Eventually(t, func() bool { // its listener is closed
		other, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			_ = other.Close()
		}
		return err != nil
	}, time.Second, time.Millisecond)
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	answer, err := io.ReadAll(conn)
	require.NoError(t, err, string(answer))
	require.Contains(t, string(answer), "whole")
	require.Contains(t, string(answer), "Connection: close")
	require.NoError(t, <-drained)
}
