// Package transport carries drpc between daemons over TCP.
package transport

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
)

const (
	dialTimeout = time.Second
	keepAlive   = 15 * time.Second
)

// Dial opens a connection to a daemon's rpc address. A connection carries one
// stream or call at a time; the caller closes it.
func Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to daemon at %s", address)
	}
	return drpcconn.New(connection), nil
}

const (
	poolIdle     = time.Minute
	poolCapacity = 512
	poolPerPeer  = 8
)

// Pool keeps connections for single calls.
type Pool struct {
	connections *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: poolIdle, Capacity: poolCapacity, KeyCapacity: poolPerPeer})}
}

// To returns a connection to a daemon for calls; it is dialed when first used.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.connections.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		return Dial(ctx, address)
	})
}

// Close drops all connections.
func (p *Pool) Close() { _ = p.connections.Close() }

// Server serves registered drpc services on a listener. It is a suture service.
type Server struct {
	listener net.Listener
	mux      *drpcmux.Mux
	meter    meter
}

// NewServer returns a server for a listener; services are registered on Mux
// before it serves.
func NewServer(listener net.Listener) *Server {
	return &Server{listener: listener, mux: drpcmux.New()}
}

// Mux is where services are registered.
func (s *Server) Mux() *drpcmux.Mux { return s.mux }

// Traffic returns what the connections of other daemons have carried.
func (s *Server) Traffic() Traffic { return s.meter.traffic() }

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	err := drpcserver.New(s.mux).Serve(ctx, meteredListener{s.listener, &s.meter})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(err, "serve drpc")
}

// String names the service in the supervisor's events.
func (s *Server) String() string { return "rpc-server" }
