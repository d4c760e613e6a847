package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout closes a connection whose peer acknowledges no data, and by TCP_USER_TIMEOUT also one whose peer
	// answers no keep-alive probe for so long. A sound replica may be silent for a second or so.
	unackedTimeout = 2 * time.Second
	// keepAliveInterval is the time between the probes that detect a connection that is cut without a FIN or RST.
	// Where unackedTimeout applies, keepAliveProbes has no effect.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	dial   DialFunc
	relay  RelayFunc // nil: all connections are direct
	paths  paths
	mutex  sync.Mutex
	idle   map[string][]*connection
	onDial func()
	// onUnsolicited is called with each response that answers no request; it may be nil.
	onUnsolicited func(UnsolicitedResponse)
	now           func() time.Time // replaced by tests
}

// NewPool returns an empty pool, which opens connections with dial, nil meaning Dial, and calls onDial for each.
func NewPool(dial DialFunc, onDial func()) *Pool {
	if dial == nil {
		dial = Dial
	}
	return &Pool{dial: dial, idle: map[string][]*connection{}, onDial: onDial, now: time.Now}
}

// Dial opens a TCP connection that ends soon after its peer cannot be reached any more. It implements
// DialFunc.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// connection serves one request at a time.
type connection struct {
	net.Conn
	limiter *readLimiter // what reader reads from
	reader  *bufio.Reader
	expires time.Time // end of its use as an idle connection
	via     string    // id of the daemon that relays it; empty if it is direct
	// name is the local address, which the replica sees as the address of its peer unless a daemon relays.
	name    string
	history history // the current exchange included
}

// String identifies the current, or latest, exchange of the connection in logs.
func (c *connection) String() string { return c.name + "#" + strconv.Itoa(c.history.count) }

// mayCarry reports whether the response to a request could be told from second responses to earlier requests.
func (c *connection) mayCarry(request Request) bool {
	if request.isExclusive() {
		return false
	}
	return c.history.distinguishes(request)
}

// get returns an idle connection that is still usable, or opens one.
func (p *Pool) get(ctx context.Context, request Request) (*connection, error) {
	for {
		conn := p.takeIdle(request)
		if conn == nil {
			break
		}
		if silent := p.isSilent(request.Address, conn); silent && p.now().Before(conn.expires) {
			return conn, nil
		}
		_ = conn.Close()
	}
	opened, err := p.open(ctx, request)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return p.newConnection(opened), nil
}

// newConnection prepares an open connection for requests.
func (p *Pool) newConnection(opened net.Conn) *connection {
	if p.onDial != nil {
		p.onDial()
	}
	limiter := &readLimiter{Conn: opened}
	return &connection{Conn: opened, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), via: viaOf(opened), name: opened.LocalAddr().String()}
}

// takeIdle takes a connection that may carry a request; nil if there is none. Of several it takes the one that was used
// last, but first those whose latest exchange has no ID: the others can also carry requests without one.
func (p *Pool) takeIdle(request Request) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list, chosen := p.idle[request.Address], -1
	for index, conn := range slices.Backward(list) {
		if !conn.mayCarry(request) {
			continue
		}
		if chosen < 0 {
			chosen = index
		}
		if !conn.history.lastHasID {
			chosen = index
			break
		}
	}
	if chosen < 0 {
		return nil
	}
	conn := list[chosen]
	p.idle[request.Address] = slices.Delete(list, chosen, chosen+1)
	return conn
}

// HasIdle reports whether the pool has an unexpired idle connection to an address.
func (p *Pool) HasIdle(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	return len(list) > 0 && p.now().Before(list[len(list)-1].expires)
}

// putIdle keeps a connection for later requests, until it has been idle for a time.
func (p *Pool) putIdle(address string, conn *connection, idleTimeout time.Duration) {
	conn.expires = p.now().Add(idleTimeout)
	p.keep(address, conn)
}

// putBack keeps a connection that was taken and not used.
func (p *Pool) putBack(address string, conn *connection) {
	if conn.expires.IsZero() {
		conn.expires = p.now().Add(defaultIdleTimeout)
	}
	p.keep(address, conn)
}

// keep adds a connection to the idle ones. A relayed one is closed: the daemon that relays it may stop, and its own
// path to the replica is needed only while the direct one is down.
func (p *Pool) keep(address string, conn *connection) {
	if conn.via != "" {
		_ = conn.Close()
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[address] = append(p.idle[address], conn)
}

// Sweep closes idle connections that have expired, that have ended or received data, and those to addresses that are not
// in use.
func (p *Pool) Sweep(inUse func(address string) bool) {
	p.paths.retain(inUse)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	for address, list := range p.idle {
		remaining := list[:0]
		for _, conn := range list {
			if now.Before(conn.expires) && inUse(address) && p.isSilent(address, conn) {
				remaining = append(remaining, conn)
			} else {
				_ = conn.Close()
			}
		}
		clear(list[len(remaining):])
		if len(remaining) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = remaining
		}
	}
}

// isSilent reports whether an idle connection is open and has received nothing.
func (p *Pool) isSilent(address string, conn *connection) bool {
	state := stateOf(conn.Conn)
	if state == idleReceived {
		p.reportUnsolicited(address, conn, UnsolicitedWhileIdle, 0)
	}
	return state == idleSilent
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Sweep(func(string) bool { return false }) }
