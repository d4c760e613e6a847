// Package transport provides drpc clients and servers over TCP between daemons.
package transport

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	dialTimeout       = time.Second
	keepAliveInterval = 15 * time.Second
)

// DialFunc opens a connection to a daemon's address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

type dialerKey struct{}

// WithDialer returns a context under which Dial opens connections with dial, so that tests can cut the links between daemons
// of one process.
func WithDialer(ctx context.Context, dial DialFunc) context.Context {
	return context.WithValue(ctx, dialerKey{}, dial)
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return dialer.DialContext(ctx, "tcp", address)
}

// Dial opens a connection to a daemon's rpc address. A connection carries one
// stream or call at a time; the caller closes it.
func Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dial, replaced := ctx.Value(dialerKey{}).(DialFunc)
	if !replaced {
		dial = dialTCP
	}
	connection, err := dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to daemon at %s", address)
	}
	return drpcconn.New(connection), nil
}

const (
	poolIdleTimeout     = time.Minute
	poolCapacity        = 512
	poolCapacityPerPeer = 8
)

// Pool keeps connections open for unary calls to daemons.
type Pool struct {
	connections *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: poolIdleTimeout, Capacity: poolCapacity, KeyCapacity: poolCapacityPerPeer})}
}

// Conn returns a connection for calls to a daemon; the pool dials it on first use.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.connections.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		return Dial(ctx, address)
	})
}

// Close closes all connections in the pool.
func (p *Pool) Close() { _ = p.connections.Close() }

// Server serves registered drpc services on a listener. It is a suture service.
type Server struct {
	listener net.Listener
	mux      *drpcmux.Mux
	meter    meter
}

// NewServer returns a server for a listener. Services must be registered on its Mux
// before Serve.
func NewServer(listener net.Listener) *Server {
	return &Server{listener: listener, mux: drpcmux.New()}
}

// Mux returns the mux on which services are registered.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Traffic returns the traffic on the server's connections so far.
func (s *Server) Traffic() Traffic { return s.meter.traffic() }

// maxRequestBytes bounds a message that a daemon sends to another one's server. The largest is the first report to the
// leader, which lists the demand for all models and adapters.
const maxRequestBytes = 1 << 20

func newServer(mux *drpcmux.Mux) *drpcserver.Server {
	return drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxRequestBytes},
	}})
}

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	err := newServer(s.mux).Serve(ctx, meteredListener{s.listener, &s.meter})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(err, "serve drpc")
}

// String names the service in the supervisor's events.
func (s *Server) String() string { return "rpc-server" }
