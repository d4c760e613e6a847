package frontend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hookedListener calls hook at the read number given by after, before net/http receives the data.
type hookedListener struct {
	net.Listener
	reads atomic.Int32
	after int32
	hook  func()
}

type hookedConn struct {
	net.Conn
	listener *hookedListener
}

func (l *hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &hookedConn{conn, l}, err
}

func (c *hookedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && c.listener.reads.Add(1) == c.listener.after {
		c.listener.hook()
	}
	return n, err
}

// Closing idle connections must not close one whose next request has just been read: its handler would
// run, and the caller would get no response.
func TestIdleCloseSparesConnectionWithRequestBeingRead(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &hookedListener{Listener: tcpListener, after: 2}
	var served atomic.Int32
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		served.Add(1)
		select {
		case <-request.Context().Done():
		case <-time.After(50 * time.Millisecond):
			_, _ = fmt.Fprint(writer, "hello")
		}
	})
	server := New(listener, handler, testOptions())
	// The hook runs the first steps of Drain.
	listener.hook = func() {
		server.stopping.Store(true)
		server.closeIdleConns(0, time.Now())
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.Serve(ctx) }()

	conn, err := net.Dial("tcp", tcpListener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	roundTrip := func() (*http.Response, error) {
		_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		return http.ReadResponse(reader, nil)
	}
	first, err := roundTrip()
	require.NoError(t, err)
	require.NoError(t, first.Body.Close())
	time.Sleep(20 * time.Millisecond) // the connection is idle now
	second, err := roundTrip()
	if err != nil {
		time.Sleep(100 * time.Millisecond) // for a handler to start
		require.EqualValues(t, 1, served.Load(), "request executed, but its connection closed without a response")
		return
	}
	require.True(t, second.Close, "response does not announce that the connection closes")
	require.NoError(t, second.Body.Close())
}

// A connection with a partly read request must not be closed as idle.
func TestConnectionWithPartialRequestIsNotIdle(t *testing.T) {
	serverSide, callerSide := net.Pipe()
	defer func() { _ = callerSide.Close() }()
	conn := &callerConn{Conn: serverSide}
	go func() { _, _ = callerSide.Write([]byte("GET")) }()
	buffer := make([]byte, 8)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, 3, n)
	require.False(t, conn.closeIdle(), "closed while a request is being read")
	go func() { _, _ = callerSide.Write([]byte(" /")) }()
	n, err = conn.Read(buffer)
	require.NoError(t, err, "closed while a request is being read")
	require.Equal(t, 2, n)
	conn.endRequest()
	require.True(t, conn.closeIdle())
	_, err = conn.Read(buffer)
	require.Error(t, err)
}

// Drain must close the listener before it waits for running requests; otherwise it would accept new
// requests until its end and abort them.
func TestDrainClosesListenerWhileRequestRuns(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	started, release := make(chan struct{}), make(chan struct{})
	server := New(listener, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = fmt.Fprint(writer, "hello")
	}), testOptions())
	server.ShutdownDelay = 10 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.Serve(ctx) }()
	address := "http://" + listener.Addr().String()
	answered := make(chan error, 1)
	go func() {
		response, err := http.Get(address)
		if err == nil {
			err = response.Body.Close()
		}
		answered <- err
	}()
	<-started
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(ctx) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, 5*time.Second, 5*time.Millisecond)
	close(release)
	require.NoError(t, <-answered)
	require.NoError(t, <-drained)
}

// endlessReader returns data even after Close, like data received before it.
type endlessReader struct{ net.Conn }

func (endlessReader) Read(data []byte) (int, error) { return copy(data, "GET"), nil }
func (endlessReader) Close() error                  { return nil }

func TestConnectionClosedAsIdleReadsNothing(t *testing.T) {
	conn := &callerConn{Conn: endlessReader{}}
	conn.closeIdle()
	n, err := conn.Read(make([]byte, 8))
	require.Zero(t, n)
	require.ErrorIs(t, err, net.ErrClosed)
}
