package node

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// callerConn is a caller's connection that is never closed under a request.
//
// net/http counts a kept connection as idle until it has read the headers of the next
// request and noted so. In between, whoever closes idle connections (a planned stop)
// would close it although its request is about to be passed on, and the caller could
// not know that it runs. Here the handler claims the connection first: a connection
// that is closed already gets nothing passed on, one that is claimed stays open until
// its answer is out.
type callerConn struct {
	net.Conn
	mutex   sync.Mutex
	claimed bool
	closed  bool
}

// claim begins a request; it returns false if the connection was closed before.
func (c *callerConn) claim() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.claimed = !c.closed
	return c.claimed
}

// release ends a request. net/http closes the connection after its answer, or keeps it.
func (c *callerConn) release() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.claimed = false
}

// Close closes the connection unless a request has claimed it; then net/http closes it
// after the answer, which says so.
func (c *callerConn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.claimed {
		return nil
	}
	c.closed = true
	return c.Conn.Close()
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
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

type connKey struct{}

// withConn makes a request's connection known to its handler.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// claiming serves requests whose connections were not closed before.
func (f *frontend) claiming(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, known := request.Context().Value(connKey{}).(*callerConn)
		if known {
			if !conn.claim() {
				panic(http.ErrAbortHandler) // nothing was passed on, and the caller sees the close
			}
			defer conn.release()
		}
		f.running.Add(1)
		defer f.running.Add(-1)
		next.ServeHTTP(writer, request)
	})
}
