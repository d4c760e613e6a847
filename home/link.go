package home

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	minReconnectDelay = 20 * time.Millisecond
	maxReconnectDelay = time.Second
)

// link carries a gateway's messages to one home and reconnects when the connection breaks.
type link struct {
	client *Client
	home   membership.Member
	ctx    context.Context
	cancel context.CancelFunc
	inbox  *mailbox[*rpc.GatewayMessage] // to the local home

	outgoing *mailbox[*rpc.GatewayMessage] // nil while not connected
}

// connectLocal links to the home in the same process. Messages pass through mailboxes in
// both directions, so that no goroutine holds the client's and the server's mutex at once.
func (l *link) connectLocal(server *Server) {
	l.inbox = newMailbox[*rpc.GatewayMessage]()
	responses := newMailbox[*rpc.HomeMessage]()
	session := server.OpenSession(l.client.gatewayID, responses.put)
	l.ctx, l.cancel = context.WithCancel(l.client.ctx)
	l.outgoing = l.inbox
	go func() {
		_ = l.inbox.drainTo(l.ctx, func(message *rpc.GatewayMessage) error {
			session.Handle(message)
			return nil
		})
		session.Close()
	}()
	go func() {
		_ = responses.drainTo(l.ctx, func(message *rpc.HomeMessage) error {
			l.client.handle(l.home.ID, message)
			return nil
		})
	}()
}

// send queues a message. It drops the message while there is no connection, since
// openMailbox sends all open acquisitions on a new one.
func (l *link) send(message *rpc.GatewayMessage) {
	if l.outgoing != nil {
		l.outgoing.put(message)
	}
}

func (l *link) close() { l.cancel() }

// run connects until the link is closed.
func (l *link) run() {
	delay := minReconnectDelay
	for l.ctx.Err() == nil {
		started := time.Now()
		err := l.connect()
		if l.ctx.Err() != nil {
			return
		}
		l.client.log.WithError(err).WithField("home", l.home.ID).Debug("link to home broken; reconnecting")
		if time.Since(started) > maxReconnectDelay {
			delay = minReconnectDelay
		}
		sleep.For(l.ctx, delay)
		delay = min(2*delay, maxReconnectDelay)
	}
}

// connect opens a connection and exchanges messages until it breaks.
func (l *link) connect() error {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	connection, err := transport.Dial(ctx, l.home.RPCAddress)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	stream, err := rpc.NewDRPCHomeClient(connection).Link(ctx)
	if err != nil {
		return errors.Wrap(err, "open link")
	}
	outgoing := l.openMailbox()
	defer l.closeMailbox(outgoing)
	go func() {
		if err := outgoing.drainTo(ctx, stream.Send); err != nil {
			cancel()
		}
	}()
	for {
		message, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive from home")
		}
		l.client.handle(l.home.ID, message)
	}
}

// openMailbox returns the mailbox of a new connection, which first sends all open
// acquisitions of the home.
func (l *link) openMailbox() *mailbox[*rpc.GatewayMessage] {
	l.client.mutex.Lock()
	defer l.client.mutex.Unlock()
	outgoing := newMailbox[*rpc.GatewayMessage]()
	running, waiting := l.client.openAcquisitions(l.home.ID)
	outgoing.put(helloMessage(l.client.gatewayID, running...))
	for _, pending := range waiting {
		outgoing.put(submitMessage(l.client.zone, pending))
	}
	l.outgoing = outgoing
	return outgoing
}

func (l *link) closeMailbox(outgoing *mailbox[*rpc.GatewayMessage]) {
	l.client.mutex.Lock()
	defer l.client.mutex.Unlock()
	l.outgoing = nil
	outgoing.close()
}
