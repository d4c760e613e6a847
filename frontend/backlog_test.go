package frontend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// slowListener accepts each connection with a delay, so that it stays in the backlog.
type slowListener struct {
	*net.TCPListener
	delay  time.Duration
	closed atomic.Bool
}

func (l *slowListener) Accept() (net.Conn, error) {
	for !hasBacklog(l.TCPListener) && !l.closed.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(l.delay)
	return l.TCPListener.Accept()
}

func (l *slowListener) Close() error {
	l.closed.Store(true)
	return l.TCPListener.Close()
}

// testOptions returns options that log nothing.
func testOptions() Options {
	log, _ := test.NewNullLogger()
	return Options{Log: log}
}

// startServer runs a server until the test ends. served reports whether its handler was called.
func startServer(t *testing.T, listener net.Listener) (server *Server, served *atomic.Bool) {
	served = &atomic.Bool{}
	server = New(listener, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		served.Store(true)
		_, _ = fmt.Fprint(writer, "hello")
	}), testOptions())
	server.ShutdownDelay = 0
	go func() { _ = server.Serve(t.Context()) }()
	return server, served
}

func dial(t *testing.T, listener net.Listener) net.Conn {
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func sendRequest(t *testing.T, conn net.Conn) {
	_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
}

// readResponse reads until the server closes the connection.
func readResponse(t *testing.T, conn net.Conn) string {
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	response, err := io.ReadAll(conn)
	require.NoError(t, err, string(response))
	return string(response)
}

// A request on a connection that is still in the backlog when the listener closes must be answered.
func TestDrainServesConnectionsInBacklog(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &slowListener{TCPListener: tcpListener.(*net.TCPListener), delay: 60 * time.Millisecond}
	server, _ := startServer(t, listener)
	conn := dial(t, tcpListener)
	sendRequest(t, conn)
	require.Eventually(t, func() bool { return hasBacklog(tcpListener) }, time.Second, time.Millisecond)

	require.NoError(t, server.Drain(t.Context()))
	require.Contains(t, readResponse(t, conn), "hello")
}

func TestHasBacklog(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	require.False(t, hasBacklog(listener))
	dial(t, listener)
	require.Eventually(t, func() bool { return hasBacklog(listener) }, time.Second, time.Millisecond)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, accepted.Close())
	require.False(t, hasBacklog(listener))
}

// delayedListener returns each accepted connection with a delay.
type delayedListener struct {
	net.Listener
	delay time.Duration
}

func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(l.delay)
	}
	return conn, err
}

// Drain must not return while a connection has been accepted but is not tracked yet.
func TestDrainWaitsForJustAcceptedConnection(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server, served := startServer(t, delayedListener{tcpListener, 100 * time.Millisecond})
	conn := dial(t, tcpListener)
	sendRequest(t, conn)
	require.Eventually(t, func() bool { return !hasBacklog(tcpListener) }, time.Second, time.Millisecond)
	require.NoError(t, server.Drain(t.Context()))
	require.True(t, served.Load(), "Drain returned before the request was served")
}

// http.Server.Shutdown would read and drop a request that arrives after the listener has closed.
func TestDrainServesFirstRequestOfOpenConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server, _ := startServer(t, listener)
	conn := dial(t, listener)
	require.Eventually(t, func() bool { return server.closeInactive(time.Now()) }, time.Second, time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	require.Eventually(t, func() bool { // the listener is closed
		other, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			_ = other.Close()
		}
		return err != nil
	}, time.Second, time.Millisecond)
	sendRequest(t, conn)
	response := readResponse(t, conn)
	require.Contains(t, response, "hello")
	require.Contains(t, response, "Connection: close")
	require.NoError(t, <-drained)
}

// sendLateRequest sends a request on a connection after Drain, and reports whether the handler was called.
func sendLateRequest(conn net.Conn, served *atomic.Bool) bool {
	served.Store(false)
	_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") // fails if the connection is closed
	time.Sleep(50 * time.Millisecond)                            // for a handler to start
	return served.Load()
}

// A keep-alive connection that stays open after Drain could accept a request that the process then
// aborts.
func TestDrainClosesKeepAliveConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	started, release := make(chan struct{}), make(chan struct{})
	served, repeated := &atomic.Bool{}, atomic.Bool{}
	server := New(listener, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		served.Store(true)
		if repeated.Swap(true) {
			return
		}
		writer.Header().Set("Content-Length", "5")
		writer.WriteHeader(http.StatusOK) // before Drain, so it does not announce that the connection closes
		close(started)
		<-release
		_, _ = fmt.Fprint(writer, "hello")
	}), testOptions())
	server.ShutdownDelay = 100 * time.Millisecond
	go func() { _ = server.Serve(t.Context()) }()
	conn := dial(t, listener)
	sendRequest(t, conn)
	<-started
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	require.Eventually(t, server.Stopping, time.Second, time.Millisecond)
	time.Sleep(server.ShutdownDelay / 4)
	close(release) // the connection becomes idle
	require.NoError(t, <-drained)
	require.False(t, sendLateRequest(conn, served), "request accepted after Drain")
}

// Drain must also close connections that never sent a request.
func TestDrainClosesConnectionsWithoutRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server, served := startServer(t, listener)
	conn := dial(t, listener)
	require.Eventually(t, func() bool {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		for openConn, state := range server.conns {
			state.since = state.since.Add(-firstByteTimeout)
			server.conns[openConn] = state
		}
		return len(server.conns) == 1
	}, time.Second, time.Millisecond)
	require.NoError(t, server.Drain(t.Context()))
	require.False(t, sendLateRequest(conn, served))
}
