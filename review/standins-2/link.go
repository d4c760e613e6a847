package main

import (
	"io"
	"net"
	"sync"
)

// link is a link to one replica, which can be cut so that it resets its connections and refuses new ones.
type link struct {
	address, target string
	mutex           sync.Mutex
	listener        net.Listener // nil while the link is cut
	connections     map[*net.TCPConn]bool
}

func newLink(target string) (*link, error) {
	l := &link{address: "127.0.0.1:0", target: target, connections: map[*net.TCPConn]bool{}}
	return l, l.heal()
}

// heal opens the link, at the address that it had before.
func (l *link) heal() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.mutex.Lock()
	l.listener, l.address = listener, listener.Addr().String()
	l.mutex.Unlock()
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(accepted.(*net.TCPConn))
		}
	}()
	return nil
}

// cut resets all connections of the link and refuses new ones.
func (l *link) cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.listener == nil {
		return
	}
	_ = l.listener.Close()
	l.listener = nil
	for conn := range l.connections {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// track adds a connection, unless the link is cut.
func (l *link) track(conn *net.TCPConn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.listener == nil {
		return false
	}
	l.connections[conn] = true
	return true
}

func (l *link) carry(accepted *net.TCPConn) {
	dialed, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = accepted.SetLinger(0)
		_ = accepted.Close()
		return
	}
	pair := []*net.TCPConn{accepted, dialed.(*net.TCPConn)}
	var group sync.WaitGroup
	for index, conn := range pair {
		if !l.track(conn) {
			_ = accepted.SetLinger(0)
			_ = accepted.Close()
			_ = dialed.Close()
		}
		group.Go(func() {
			_, _ = io.Copy(pair[1-index], conn)
			_ = pair[1-index].Close() // each side sends nothing after it has closed
		})
	}
	group.Wait()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, conn := range pair {
		delete(l.connections, conn)
	}
}
