package frontend

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// callerConn is a caller's connection that tells whether it rests.
//
// net/http counts a kept connection as idle until it has read the headers of the next
// request and noted so. Whoever closes idle connections in between closes one whose
// request is about to be passed on, and the caller cannot know that it runs. Here the
// first byte that is read ends the rest: a connection that was closed before gives no
// byte of a request to net/http, and one that gave any is not closed as idle.
type callerConn struct {
	net.Conn
	mutex   sync.Mutex
	reading bool // bytes of a request were read, and its handler has not ended
	closed  bool // as idle
}

// Read implements net.Conn.
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
	c.reading = true
	return n, err
}

// rest notes that a request's handler has ended.
func (c *callerConn) rest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = false
}

// isReading tells whether the connection holds a request without a whole answer.
func (c *callerConn) isReading() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reading
}

// closeIdle closes the connection if it rests, and tells whether it is closed.
func (c *callerConn) closeIdle() (closed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reading {
		return false
	}
	c.closed = true
	_ = c.Conn.Close() // closed once more at the most
	return true
}

// CloseWrite closes the connection's sending side, as net/http does before it closes a
// connection on which the caller may still be sending.
func (c *callerConn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// callerListener makes callers' connections.
type callerListener struct {
	net.Listener
	waiting net.Listener // whose backlog holds the connections that wait to be accepted
	once    sync.Once
	ended   chan struct{} // closed when no connection is accepted any more
}

func newCallerListener(waiting, accepting net.Listener) *callerListener {
	return &callerListener{Listener: accepting, waiting: waiting, ended: make(chan struct{})}
}

// Accept implements net.Listener. net/http notes each connection before it asks for the
// next, so it has noted all when Accept fails.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		l.once.Do(func() { close(l.ended) })
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

type connKey struct{}

// withConn makes a request's connection known to its handler.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// serving notes the ends of requests; while the daemon leaves, answers say
// that the connection closes.
func (s *Server) serving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if conn, known := request.Context().Value(connKey{}).(*callerConn); known {
			defer conn.rest()
		}
		next.ServeHTTP(&leavingWriter{ResponseWriter: writer, front: s}, request)
	})
}

// leavingWriter says in the head of an answer that the connection closes, if the daemon
// leaves at that moment.
type leavingWriter struct {
	http.ResponseWriter
	front *Server
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *leavingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *leavingWriter) Write(data []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(data)
}

func (w *leavingWriter) begin() {
	if !w.begun && w.front.Stopping() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *leavingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
