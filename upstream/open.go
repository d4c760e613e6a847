package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/hedge"
)

// RelayFunc opens a connection to a replica through another daemon. If it fails, nothing was sent to the
// replica.
type RelayFunc func(ctx context.Context, replica, address string) (net.Conn, error)

// relayDelay is how long a direct connection attempt may take before another one begins through a
// daemon. It exceeds the time that a connection between zones takes.
const relayDelay = 100 * time.Millisecond

// relayed is implemented by connections that lead through another daemon.
type relayed interface {
	net.Conn
	// Via returns the id of the daemon that relays the connection.
	Via() string
}

// requestTracker is implemented by connections through another daemon, which alone sees what the replica has received.
type requestTracker interface {
	// EndRequest tells the other daemon that the whole request has been written.
	EndRequest() error
	// AwaitDelivery waits, at the end of the replica's connection, until the replica has received the whole request.
	AwaitDelivery() error
}

// downTTL is how long a failed attempt tells that an address cannot be reached.
const downTTL = 2 * time.Second

// paths tracks which addresses direct connection attempts reach. It is safe for concurrent use.
type paths struct {
	mutex sync.Mutex
	known map[string]pathState // by address
}

// pathState is the outcome of the last direct connection attempts to an address.
type pathState struct{ failedAt, reachedAt time.Time }

// failed returns when an address was not reached; false if a later attempt has reached it.
func (p *paths) failed(address string) (time.Time, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.known[address]
	return state.failedAt, state.failedAt.After(state.reachedAt)
}

// recordFailure records that an attempt did not reach an address by a time.
func (p *paths) recordFailure(address string, at time.Time) {
	p.update(address, func(state *pathState) { state.failedAt = at })
}

// recordSuccess records that an attempt has reached an address.
func (p *paths) recordSuccess(address string, at time.Time) {
	p.update(address, func(state *pathState) { state.reachedAt = at })
}

func (p *paths) update(address string, change func(*pathState)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.known == nil {
		p.known = map[string]pathState{}
	}
	state := p.known[address]
	change(&state)
	p.known[address] = state
}

// retain forgets the addresses that are not in use.
func (p *paths) retain(inUse func(address string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address := range p.known {
		if !inUse(address) {
			delete(p.known, address)
		}
	}
}

// open opens a connection: directly, and through another daemon if that takes too long or fails. While the
// last direct attempt has failed, both begin at once. The connection that opens first is used; a direct
// one that opens later is kept for other requests.
func (p *Pool) open(ctx context.Context, request Request) (net.Conn, error) {
	if p.relay == nil || request.Replica == "" {
		return p.dial(ctx, request.Address)
	}
	direct := hedge.Attempt{
		Open:       func(ctx context.Context) (net.Conn, error) { return p.Dial(ctx, request.Address) },
		Background: true,
		Late:       func(conn net.Conn) { p.putIdle(request.Address, p.newConnection(conn), defaultIdleTimeout) },
	}
	relay := hedge.Attempt{Open: func(ctx context.Context) (net.Conn, error) {
		// A replica that is silent for all must not hold a request up much longer than the direct attempt does.
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return p.relay(ctx, request.Replica, request.Address)
	}}
	startedAt := p.now()
	conn, index, err := hedge.Open(ctx, p.delayOfRelay(request.Address), direct, relay)
	if err == nil && index > 0 {
		// The direct attempt may have succeeded meanwhile, which then counts.
		p.paths.recordFailure(request.Address, startedAt)
	}
	return conn, err
}

// Dial opens a direct connection that the pool does not keep, and records whether the address was reached.
func (p *Pool) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, address)
	switch {
	case err == nil:
		p.paths.recordSuccess(address, p.now())
	case ctx.Err() == nil:
		p.paths.recordFailure(address, p.now())
	}
	return conn, err
}

// IsDown reports whether the last attempt to connect to an address directly has failed, a short time ago.
func (p *Pool) IsDown(address string) bool {
	at, failed := p.paths.failed(address)
	return failed && p.now().Sub(at) < downTTL
}

// delayOfRelay returns how long a direct attempt goes on alone.
func (p *Pool) delayOfRelay(address string) time.Duration {
	if _, failed := p.paths.failed(address); failed {
		return 0
	}
	return relayDelay
}

// viaOf returns the id of the daemon through which a connection leads; empty if it is direct.
func viaOf(conn net.Conn) string {
	if relay, ok := conn.(relayed); ok {
		return relay.Via()
	}
	return ""
}

// SetRelay sets the function that opens connections through other daemons, for requests that name their replica.
// It must be called before the pool is used.
func (p *Pool) SetRelay(relay RelayFunc) { p.relay = relay }
