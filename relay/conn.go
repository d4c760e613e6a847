package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/rpc"
)

// maxChunkBytes bounds the data of one message.
const maxChunkBytes = 16 << 10

// errNotDelivered means that the replica closed a relayed connection before it had received the whole request.
var errNotDelivered = errors.New("the replica closed the relayed connection before it had received the whole request")

// errInterrupted means that a relayed connection ended before the replica closed it.
var errInterrupted = errors.New("the relayed connection was interrupted; the request may have reached the replica")

// conn is a connection to a replica through another daemon. The embedded connection leads to that
// daemon; it carries nothing else.
type conn struct {
	net.Conn
	stream rpc.DRPCRelay_OpenClient
	peer   Peer
	cancel context.CancelFunc

	unread       []byte      // received and not yet returned by Read
	ended        bool        // the replica has closed the connection
	requestEnded atomic.Bool // see EndRequest
	closeOnce    sync.Once
}

// Via returns the id of the daemon that relays the connection.
func (c *conn) Via() string { return c.peer.Daemon }

// Read implements net.Conn. It returns io.EOF only if the replica has closed the connection.
func (c *conn) Read(data []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		message, err := c.stream.Recv()
		if err != nil {
			return 0, errors.Wrap(errInterrupted, err.Error())
		}
		c.unread, c.ended = message.GetData(), message.GetEnd()
	}
	n := copy(data, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (written int, err error) {
	for written < len(data) {
		chunk := data[written:min(len(data), written+maxChunkBytes)]
		if err := c.stream.Send(&rpc.RelayData{Data: chunk}); err != nil {
			// The message may have left although Send failed, so it counts as written.
			return written + len(chunk), errors.Wrap(errInterrupted, err.Error())
		}
		written += len(chunk)
	}
	return written, nil
}

// EndRequest tells the relaying daemon that the whole request has been written.
func (c *conn) EndRequest() error {
	c.requestEnded.Store(true)
	return errors.Wrap(c.stream.Send(&rpc.RelayData{End: true}), "end the relayed request")
}

// AwaitDelivery waits, after Read has returned io.EOF, until the replica has received the whole request. It returns an
// error if the replica had not, or if the connection ends.
func (c *conn) AwaitDelivery() error {
	// The relaying daemon ends the call without an error once the replica has received the request. One of an earlier
	// version ends it as soon as the replica has closed the connection.
	_, err := c.stream.Recv()
	switch {
	case err == io.EOF && c.requestEnded.Load():
		return nil
	case err == nil || err == io.EOF:
		return errNotDelivered
	}
	return errors.Wrap(errInterrupted, err.Error())
}

// SetDeadline implements net.Conn for deadlines in the past, which end the connection. Others are ignored:
// what uses the connection ends it by its context.
func (c *conn) SetDeadline(at time.Time) error {
	if !at.IsZero() && !at.After(time.Now()) {
		return c.Close()
	}
	return nil
}

// Close implements net.Conn. The relay then closes its connection to the replica.
func (c *conn) Close() (err error) {
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.cancel()
	})
	return err
}
