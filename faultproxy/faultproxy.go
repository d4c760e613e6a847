// Package faultproxy is a TCP proxy for tests that injects faults between two processes: delays, closed, stalled and
// refused connections, and responses dropped after the request was delivered.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/standin/duplicate"
)

// Faults are the faults that the proxy injects, on open connections too.
type Faults struct {
	// Refuse closes new connections immediately.
	Refuse bool
	// Delay is added to each chunk, in both directions. Each connection is delayed independently, so data on
	// different connections may be reordered.
	Delay time.Duration
	// DropResponses forwards what the client sends, and closes the connection when the server sends data.
	DropResponses bool
	// RepeatResponses sends each HTTP response of the server again, in the place where the next one is due.
	RepeatResponses bool
	// Stall keeps connections open and forwards nothing.
	Stall bool
}

// Proxy forwards TCP connections from its address to a target.
type Proxy struct {
	listener    net.Listener
	mutex       sync.Mutex
	target      string
	faults      Faults
	changed     chan struct{} // closed and replaced when the faults change
	connections map[net.Conn]bool
	stalled     map[net.Conn]bool // connections that forward nothing any more
	closed      bool
	finished    sync.WaitGroup
}

const (
	chunkBytes  = 32 << 10
	dialTimeout = time.Second
)

// New starts a proxy on an unused loopback port. The target may be set later with SetTarget.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on a loopback address")
	}
	proxy := &Proxy{listener: listener, target: target, changed: make(chan struct{}), connections: map[net.Conn]bool{}, stalled: map[net.Conn]bool{}}
	proxy.finished.Add(1)
	go proxy.accept()
	return proxy, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
}

// Set replaces the faults.
func (p *Proxy) Set(faults Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
	close(p.changed)
	p.changed = make(chan struct{})
}

// CloseConnections closes all open connections.
func (p *Proxy) CloseConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.connections {
		_ = connection.Close()
	}
}

// StallOpen stalls the connections that are open now, permanently. New connections are not affected.
func (p *Proxy) StallOpen() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.connections {
		p.stalled[connection] = true
	}
}

func (p *Proxy) isStalled(connection net.Conn) bool {
	if repeating, ok := connection.(*duplicate.Conn); ok {
		connection = repeating.Conn
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stalled[connection]
}

// Close stops the proxy, closes all connections and waits until they have ended.
func (p *Proxy) Close() {
	p.mutex.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.mutex.Unlock()
	_ = p.listener.Close()
	p.CloseConnections()
	p.finished.Wait()
}

// state returns the current settings, with the channel that is closed when they change.
func (p *Proxy) state() (faults Faults, target string, changed <-chan struct{}, closed bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults, p.target, p.changed, p.closed
}

// track adds an open connection, and closes it if the proxy is closed.
func (p *Proxy) track(connection net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connections[connection] = true
	if p.closed {
		_ = connection.Close()
	}
}

func (p *Proxy) untrack(connection net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, connection)
	delete(p.stalled, connection)
}

func (p *Proxy) accept() {
	defer p.finished.Done()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		faults, target, _, _ := p.state()
		if faults.Refuse {
			_ = client.Close()
			continue
		}
		p.finished.Add(1)
		go func() {
			defer p.finished.Done()
			p.forward(client, target)
		}()
	}
}

func (p *Proxy) forward(client net.Conn, target string) {
	p.track(client)
	defer p.untrack(client)
	defer func() { _ = client.Close() }()
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	p.track(server)
	defer p.untrack(server)
	defer func() { _ = server.Close() }()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		p.copyDirection(server, client, false)
	}()
	go func() {
		defer directions.Done()
		p.copyDirection(&duplicate.Conn{Conn: client, Decide: p.decideRepeat}, server, true)
	}()
	directions.Wait()
}

// decideRepeat returns when a response is sent for the second time.
func (p *Proxy) decideRepeat(duplicate.Response) duplicate.When {
	if faults, _, _, _ := p.state(); faults.RepeatResponses {
		return duplicate.BeforeNext
	}
	return duplicate.Never
}

// copyDirection forwards data in one direction until a connection fails or ends, then closes both connections.
func (p *Proxy) copyDirection(to, from net.Conn, fromServer bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, chunkBytes)
	for {
		size, err := from.Read(buffer)
		if size > 0 && !p.writeChunk(to, buffer[:size], fromServer) {
			return
		}
		if err != nil {
			return
		}
	}
}

// writeChunk forwards a chunk subject to the faults. It returns false if the connection is to be closed.
func (p *Proxy) writeChunk(to net.Conn, chunk []byte, fromServer bool) bool {
	for {
		faults, _, changed, closed := p.state()
		switch {
		case closed || (fromServer && faults.DropResponses):
			return false
		case faults.Stall:
			<-changed
			continue
		}
		if p.isStalled(to) {
			return true
		}
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		_, err := to.Write(chunk)
		return err == nil
	}
}
