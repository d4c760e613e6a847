// Package duplicate has servers send responses for the second time, as faulty replicas do.
package duplicate

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// When is when a server sends a response for the second time.
type When int

const (
	// Never means that the response is sent once.
	Never When = iota
	// BeforeNext means in the place where the next response on the connection is due.
	BeforeNext
	// AtOnce means right behind the response.
	AtOnce
	// WhileIdle means idleDelay after the response, if no other one has been sent by then.
	WhileIdle
)

const (
	idleDelay = 20 * time.Millisecond
	// maxRepeatedBytes bounds the responses that can be repeated.
	maxRepeatedBytes = 64 << 10
)

// Response is a response of which a server may send a second one.
type Response struct {
	Header http.Header
	Status int
}

// Conn is a connection of a server that may repeat its responses. It is safe for concurrent use.
type Conn struct {
	net.Conn
	// Decide returns when a response is sent for the second time; nil means never.
	Decide func(Response) When
	// OnRepeat is called when a response is sent for the second time; nil ignores it.
	OnRepeat func(Response)

	mutex   sync.Mutex
	current []byte // what has been written of the current response
	repeat  []byte // a response that is due before the next one
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.writeRepeat(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	if err != nil || c.Decide == nil || len(c.current)+n > maxRepeatedBytes {
		return n, err
	}
	c.current = append(c.current, data[:n]...)
	sent, whole := parse(c.current)
	if !whole {
		return n, nil
	}
	response := c.current
	c.current = nil
	return n, c.schedule(c.Decide(sent), response)
}

// schedule has a response repeated. The caller holds the mutex.
func (c *Conn) schedule(when When, response []byte) error {
	if when == Never {
		return nil
	}
	c.repeat = response
	switch when {
	case AtOnce:
		return c.writeRepeat()
	case WhileIdle:
		time.AfterFunc(idleDelay, func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			_ = c.writeRepeat() // the caller may have disconnected
		})
	}
	return nil
}

// writeRepeat sends the response that is due before the next one. The caller holds the mutex.
func (c *Conn) writeRepeat() error {
	if c.repeat == nil {
		return nil
	}
	repeat := c.repeat
	c.repeat = nil
	if sent, _ := parse(repeat); c.OnRepeat != nil {
		c.OnRepeat(sent)
	}
	_, err := c.Conn.Write(repeat)
	return err
}

// parse parses a response, and reports whether it is whole. One that ends with its connection never is.
func parse(data []byte) (sent Response, whole bool) {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
	if err != nil || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return Response{}, false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return Response{Header: response.Header, Status: response.StatusCode}, err == nil
}
