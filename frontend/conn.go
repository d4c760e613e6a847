package frontend

import (
	"context"
	"net"
	"net/http"
	"sync"

	"golang.org/x/net/netutil"

	"github.com/finchspoke/finchspoke/bytebudget"
)

// callerConn is a caller's connection that is busy from the first byte of a request on. net/http
// considers it idle until the request's headers are read; closing idle connections by that state could
// close one whose request is about to be executed. Once closeIdle has closed a connection, Read returns
// no more data to net/http.
type callerConn struct {
	net.Conn
	socket lingerer // nil if the connection has none
	mutex  sync.Mutex
	busy   bool // from the first byte of a request until its handler returns
	closed bool // as idle
	resets bool // instead of closing properly
	// head reserves memory for the head of the request that is being read, of which headBytes have arrived.
	head      *bytebudget.Reservation
	headBytes int64
	inHandler bool // the head has been read
}

// inputHeads names the heads of callers' requests in metrics.
const inputHeads = "caller_head"

// lingerer is implemented by TCP connections.
type lingerer interface {
	SetLinger(seconds int) error
}

// Read implements net.Conn. It marks the connection busy, and fails if there is no memory for the head of a request.
func (c *callerConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 {
		return n, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.busy = true
	if !c.inHandler {
		if c.headBytes += int64(n); c.headBytes > bytebudget.FreeBytes && !c.head.GrowTo(c.headBytes) {
			return 0, bytebudget.ErrExhausted
		}
	}
	return n, err
}

// beginRequest notes that the head of a request has been read.
func (c *callerConn) beginRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inHandler = true
}

// endRequest marks the connection idle after a request's handler has returned.
func (c *callerConn) endRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.busy, c.inHandler = false, false
	c.headBytes = 0
	c.head.Release()
}

// releaseHead discards what was read since the last request.
func (c *callerConn) releaseHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.headBytes = 0
	c.head.Release()
}

func (c *callerConn) isBusy() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.busy
}

// closeIdle closes the connection unless it is busy, and reports whether it is closed.
func (c *callerConn) closeIdle() (closed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.busy {
		return false
	}
	c.closed = true
	_ = c.closeLocked() // net/http may close it again
	return true
}

const (
	lingerReset   = 0  // closing resets the connection, also when the process is killed
	lingerDefault = -1 // closing sends what is buffered, and then ends the connection
)

// beginUnframed makes the connection end with a reset until endUnframed is called. It is for responses whose end is
// that of the connection.
func (c *callerConn) beginUnframed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.resets = true
	c.setLinger(lingerReset)
}

// endUnframed makes Close close the connection properly. Until then the end of the process still resets it, as net/http
// may hold a part of the response.
func (c *callerConn) endUnframed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.resets = false
}

func (c *callerConn) setLinger(seconds int) {
	if c.socket != nil {
		_ = c.socket.SetLinger(seconds) // fails only if the connection is closed
	}
}

// Close implements net.Conn. It resets a connection on which a response has begun that only the end of the connection
// would complete.
func (c *callerConn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closeLocked()
}

// closeLocked closes the connection. The caller holds the mutex.
func (c *callerConn) closeLocked() error {
	if !c.resets {
		c.setLinger(lingerDefault)
	}
	c.head.Release()
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection. net/http calls it before it closes a connection
// on which the caller may still be sending.
func (c *callerConn) CloseWrite() error {
	if writeCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return writeCloser.CloseWrite()
	}
	return nil
}

// callerListener wraps accepted connections in callerConn.
type callerListener struct {
	net.Listener
	sockets *socketListener
	memory  *bytebudget.Budget // for heads of requests
	once    sync.Once
	closed  chan struct{} // closed when Accept has failed
}

// newCallerListener returns a listener that has at most maxConnections open; zero means no limit.
func newCallerListener(listener net.Listener, maxConnections int) *callerListener {
	sockets := &socketListener{Listener: listener}
	l := &callerListener{Listener: sockets, sockets: sockets, closed: make(chan struct{})}
	if maxConnections > 0 {
		l.Listener = netutil.LimitListener(sockets, maxConnections)
	}
	return l
}

// socketListener remembers the connection that it accepted last, since netutil.LimitListener hides the methods of
// connections. Only one goroutine may call Accept.
type socketListener struct {
	net.Listener
	last net.Conn
}

// Accept implements net.Listener.
func (l *socketListener) Accept() (conn net.Conn, err error) {
	conn, err = l.Listener.Accept()
	l.last = conn
	return conn, err
}

// Accept implements net.Listener. net/http reports each connection to ConnState before it accepts the
// next, so all connections are tracked when Accept fails.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		l.once.Do(func() { close(l.closed) })
		return nil, err
	}
	socket, _ := l.sockets.last.(lingerer)
	return &callerConn{Conn: conn, socket: socket, head: l.memory.Reserve(inputHeads)}, nil
}

type connContextKey struct{}

// contextWithConn stores a connection in the context of its requests.
func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// trackRequests marks connections idle after their requests, and announces in responses of a stopping
// server that the connection closes. For callers without chunks, the connections end with a reset while a handler runs
// or after it has aborted.
func (s *Server) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, ok := request.Context().Value(connContextKey{}).(*callerConn)
		if ok {
			conn.beginRequest()
			defer conn.endRequest()
		}
		unframed := ok && !request.ProtoAtLeast(1, 1)
		if unframed {
			conn.beginUnframed()
		}
		next.ServeHTTP(&closingWriter{ResponseWriter: writer, server: s}, request)
		if unframed {
			conn.endUnframed()
		}
	})
}

// closingWriter sets "Connection: close" on a response if the server is stopping when the response
// starts.
type closingWriter struct {
	http.ResponseWriter
	server  *Server
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.setCloseHeader()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(data []byte) (int, error) {
	w.setCloseHeader()
	return w.ResponseWriter.Write(data)
}

func (w *closingWriter) setCloseHeader() {
	if !w.started && w.server.Stopping() {
		w.Header().Set("Connection", "close")
	}
	w.started = true
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
