// Package upstream sends requests to replicas over pooled HTTP/1.1 connections.
//
// Unlike net/http's Transport it never retries a request, its errors report whether any byte was
// written, it does not reuse a connection that received unexpected data, and it repeats a request on a
// connection that has not carried it, so that second responses to the first attempt are told apart.
package upstream

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Error means that a request got no response.
type Error struct {
	// RequestWritten reports whether any byte of the request may have reached the replica.
	RequestWritten bool
	// Connection is as in Response; empty if no connection was used.
	Connection string
	cause      error
}

// Error returns the cause and whether the request was sent.
func (e *Error) Error() string {
	if e.RequestWritten {
		return "no response: " + e.cause.Error()
	}
	return "not sent: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Request is a request to a replica.
type Request struct {
	Address string
	// Replica is the id of the replica, for a request that may lead through another daemon; empty for others.
	Replica string
	// HTTP holds method, URL, host, headers and length; its body is ignored.
	HTTP *http.Request
	Body []byte
	// ID is the ID that the response carries; empty if it carries none. The request is sent on a connection that has
	// carried none with the same ID, as a second response to that one could not be told from its own.
	ID string
	// Class names the requests without an ID whose responses cannot be told apart. Such a request does not follow
	// another one of its class on a connection.
	Class string
	// Versioned means that the response states the version of what it describes, so that the sender recognizes an older
	// one. Such a request may follow another one of its class.
	Versioned bool
	// DropUnsent means that nothing of the request reaches the replica once its context has ended: the connection is reset, so
	// that data that was lost on the way is not sent again.
	DropUnsent bool
	// Matches reports whether a response, whose body must not be read, may be the one to this request. Others that
	// arrive first are skipped. If nil, any response matches.
	Matches func(*http.Response) bool
	// ResponseID returns the ID that a response carries; nil: none does. A response with the ID of an earlier exchange of the
	// connection is skipped.
	ResponseID func(*http.Response) string
	// Admit is called once a connection is open, right before the request is written. If it returns an
	// error, the request is not sent. It may be nil.
	Admit func() error
}

// isExclusive reports whether the request shares its connection with no other. Where the body of a response ends
// depends on the method HEAD, so that a second response to another request could be misread.
func (r Request) isExclusive() bool { return r.HTTP.Method == http.MethodHead }

// Do sends a request and returns the response with an unread body. ctx bounds the whole exchange,
// reading the body included. An error is an *Error.
func (p *Pool) Do(ctx context.Context, request Request) (*Response, error) {
	conn, err := p.get(ctx, request)
	if err != nil {
		return nil, &Error{cause: err}
	}
	if request.Admit != nil {
		if err := request.Admit(); err != nil {
			p.putBack(request.Address, conn)
			return nil, &Error{cause: err}
		}
	}
	conn.history.record(request)
	exchange := &exchange{ctx: ctx, pool: p, conn: conn, address: request.Address, exclusive: request.isExclusive(), dropUnsent: request.DropUnsent}
	exchange.cancelWatch = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := exchange.write(request); err != nil {
		exchange.release(false)
		return nil, exchange.failure(ctx, err)
	}
	response, err := exchange.readHead(request)
	if err != nil {
		exchange.release(false)
		return nil, exchange.failure(ctx, &Error{RequestWritten: true, cause: err})
	}
	return response, nil
}

// failure completes an error of the exchange. If ctx has ended, that is its cause.
func (e *exchange) failure(ctx context.Context, failed *Error) error {
	failed.Connection = e.conn.String()
	if ctx.Err() != nil {
		failed.cause = ctx.Err()
	}
	return failed
}
