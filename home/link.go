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
	linkPauseFirst = 20 * time.Millisecond
	linkPauseLast  = time.Second
)

// link carries a gateway's messages to one home, across broken connections.
type link struct {
	client *Client
	home   membership.Member
	ctx    context.Context
	cancel context.CancelFunc
	inbox  *mailbox[*rpc.GatewayMessage] // to the local home

	outgoing *mailbox[*rpc.GatewayMessage] // nil while not connected
}

// attachLocal serves the home in this process. The home's lock is never taken
// under the client's, so messages pass through mailboxes both ways.
func (l *link) attachLocal(server *Server) {
	l.inbox = newMailbox[*rpc.GatewayMessage]()
	answers := newMailbox[*rpc.HomeMessage]()
	session := server.OpenSession(l.client.gatewayID, answers.put)
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
		_ = answers.drainTo(l.ctx, func(message *rpc.HomeMessage) error {
			l.client.deliver(l.home.ID, message)
			return nil
		})
	}()
}

// send passes a message on; while there is no connection it is left out, since
// opening one tells the home of all that is open then.
func (l *link) send(message *rpc.GatewayMessage) {
	if l.outgoing != nil {
		l.outgoing.put(message)
	}
}

func (l *link) close() { l.cancel() }

// run connects until the link is closed.
func (l *link) run() {
	wait := linkPauseFirst
	for l.ctx.Err() == nil {
		began := time.Now()
		err := l.connect()
		if l.ctx.Err() != nil {
			return
		}
		l.client.log.WithError(err).WithField("home", l.home.ID).Debug("link to home broke; it is opened again")
		if time.Since(began) > linkPauseLast {
			wait = linkPauseFirst
		}
		sleep.For(l.ctx, wait)
		wait = min(2*wait, linkPauseLast)
	}
}

// connect serves one connection.
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
	outgoing := l.begin()
	defer l.end(outgoing)
	go func() {
		if err := outgoing.drainTo(ctx, stream.Send); err != nil {
			cancel()
		}
	}()
	for {
		message, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "read home")
		}
		l.client.deliver(l.home.ID, message)
	}
}

// begin fills a new connection's mailbox with all that is open at the home.
func (l *link) begin() *mailbox[*rpc.GatewayMessage] {
	l.client.mutex.Lock()
	defer l.client.mutex.Unlock()
	outgoing := newMailbox[*rpc.GatewayMessage]()
	running, waiting := l.client.openAsks(l.home.ID)
	outgoing.put(helloOf(l.client.gatewayID, running...))
	for _, held := range waiting {
		outgoing.put(submitOf(l.client.zone, held))
	}
	l.outgoing = outgoing
	return outgoing
}

func (l *link) end(outgoing *mailbox[*rpc.GatewayMessage]) {
	l.client.mutex.Lock()
	defer l.client.mutex.Unlock()
	l.outgoing = nil
	outgoing.close()
}
