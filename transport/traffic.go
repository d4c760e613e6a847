package transport

import (
	"net"
	"sync/atomic"
)

// Traffic counts the traffic on connections that other daemons have opened to this one.
type Traffic struct {
	SentBytes     uint64
	ReceivedBytes uint64
	Connections   int64 // currently open
}

// meter counts the traffic of a listener's connections.
type meter struct {
	sent, received atomic.Uint64
	open           atomic.Int64
}

func (m *meter) traffic() Traffic {
	return Traffic{SentBytes: m.sent.Load(), ReceivedBytes: m.received.Load(), Connections: m.open.Load()}
}

// meteredListener counts the traffic of the connections that it accepts.
type meteredListener struct {
	net.Listener
	meter *meter
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.meter.open.Add(1)
	return &meteredConn{Conn: conn, meter: l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter  *meter
	closed atomic.Bool
}

// Read implements net.Conn.
func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.sent.Add(uint64(n))
	return n, err
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	if !c.closed.Swap(true) {
		c.meter.open.Add(-1)
	}
	return c.Conn.Close()
}
