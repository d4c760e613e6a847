package frontend

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// callerConn is a caller's connection that is busy from the first byte of a request on. net/http
// considers it idle until the request's headers are read; closing idle connections by that state could
// close one whose request is about to be executed. Once closeIdle has closed a connection, Read returns
// no more data to net/http.
type callerConn struct {
	net.Conn
	mutex  sync.Mutex
	busy   bool // from the first byte of a request until its handler returns
	closed bool // as idle
}

// Read implements net.Conn. It marks the connection busy.
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
	return n, err
}

// endRequest marks the connection idle after a request's handler has returned.
func (c *callerConn) endRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.busy = false
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
	_ = c.Conn.Close() // net/http may close it again
	return true
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
	backlog net.Listener // the innermost listener, for hasBacklog
	once    sync.Once
	closed  chan struct{} // closed when Accept has failed
}

func newCallerListener(backlog, accepting net.Listener) *callerListener {
	return &callerListener{Listener: accepting, backlog: backlog, closed: make(chan struct{})}
}

// Accept implements net.Listener. net/http reports each connection to ConnState before it accepts the
// next, so all connections are tracked when Accept fails.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		l.once.Do(func() { close(l.closed) })
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

type connContextKey struct{}

// contextWithConn stores a connection in the context of its requests.
func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// trackRequests marks connections idle after their requests, and announces in responses of a stopping
// server that the connection closes.
func (s *Server) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if conn, ok := request.Context().Value(connContextKey{}).(*callerConn); ok {
			defer conn.endRequest()
		}
		next.ServeHTTP(&closingWriter{ResponseWriter: writer, server: s}, request)
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
