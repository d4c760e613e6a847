// Package faultproxy is a small TCP proxy that injects faults between two
// processes of a test: delay, cut, half-open connections, answers lost after the
// question went through, and refusal of new connections.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Faults are what the proxy does to connections, new and open ones.
type Faults struct {
	// Refuse closes new connections at once.
	Refuse bool
	// Delay is added to each chunk, in both directions. Connections are delayed
	// one by one, so what is sent on several is reordered between them.
	Delay time.Duration
	// DropResponses lets what the client sends through, and cuts the connection
	// when the server begins to answer.
	DropResponses bool
	// Silent keeps connections open and passes nothing: half-open.
	Stall bool
}

// Proxy forwards from its address to a target.
type Proxy struct {
	listener net.Listener
	mutex    sync.Mutex
	target   string
	faults   Faults
	changed  chan struct{}
	open     map[net.Conn]bool
	muted    map[net.Conn]bool // open ones on which nothing passes any more
	closed   bool
	finished sync.WaitGroup
}

const (
	chunkBytes  = 32 << 10
	dialTimeout = time.Second
)

// New starts a proxy on a free loopback port. The target may be set later.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	proxy := &Proxy{listener: listener, target: target, changed: make(chan struct{}), open: map[net.Conn]bool{}, muted: map[net.Conn]bool{}}
	proxy.finished.Add(1)
	go proxy.accept()
	return proxy, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget changes where new connections go.
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

// Cut closes all open connections.
func (p *Proxy) CloseConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		_ = connection.Close()
	}
}

// StallOpen lets nothing pass any more on the connections that are open now, for good; new
// ones work.
func (p *Proxy) StallOpen() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		p.muted[connection] = true
	}
}

// isMuted tells whether nothing passes on a connection any more.
func (p *Proxy) isMuted(connection net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.muted[connection]
}

// Close ends the proxy.
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

func (p *Proxy) state() (faults Faults, target string, changed <-chan struct{}, closed bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults, p.target, p.changed, p.closed
}

// track remembers a connection; it is closed at once if the proxy is.
func (p *Proxy) track(connection net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open[connection] = true
	if p.closed {
		_ = connection.Close()
	}
}

func (p *Proxy) forget(connection net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.open, connection)
	delete(p.muted, connection)
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
	defer p.forget(client)
	defer func() { _ = client.Close() }()
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	p.track(server)
	defer p.forget(server)
	defer func() { _ = server.Close() }()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		p.pump(server, client, false)
	}()
	go func() {
		defer both.Done()
		p.pump(client, server, true)
	}()
	both.Wait()
}

// pump copies one direction until it ends, then ends the other.
func (p *Proxy) pump(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, chunkBytes)
	for {
		size, err := from.Read(buffer)
		if size > 0 && !p.pass(to, buffer[:size], answers) {
			return
		}
		if err != nil {
			return
		}
	}
}

// pass writes a chunk as the faults allow; false ends the connection.
func (p *Proxy) pass(to net.Conn, chunk []byte, answers bool) bool {
	for {
		faults, _, changed, closed := p.state()
		switch {
		case closed || (answers && faults.DropResponses):
			return false
		case faults.Stall:
			<-changed
			continue
		}
		if p.isMuted(to) {
			return true
		}
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		_, err := to.Write(chunk)
		return err == nil
	}
}
