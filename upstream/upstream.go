// Package upstream carries requests to replicas over HTTP/1.1 connections of which
// it knows exactly what was written and what was read.
//
// net/http's Transport repeats some requests by itself and cannot tell whether a
// request was written at all. Here nothing is sent twice, an error says whether
// any byte left, and a connection on which anything unexpected arrived is never
// used again.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing.
	unackedTimeout = 1500 * time.Millisecond
	// probeInterval and probeCount bound how long a silent cut goes unnoticed.
	probeInterval = time.Second
	probeCount    = 2
	readerBytes   = 4 << 10
	writerBytes   = 4 << 10
	// inlineBody is the size up to which a body is written before the answer is
	// read; a longer one is written beside it, since the answer may come first.
	inlineBody = 16 << 10
	// maxSurplus is how many answers to earlier requests are skipped.
	maxSurplus = 2
	// idleDefault is how long a connection rests when the replica names no time.
	idleDefault = 60 * time.Second
	// idleMargin is kept from the time that the replica names.
	idleMargin = 700 * time.Millisecond
)

// Error is a request that got no answer.
type Error struct {
	// Written tells whether any byte of the request may have reached the replica.
	Written bool
	cause   error
}

// Error returns the cause.
func (e *Error) Error() string {
	if e.Written {
		return "no answer: " + e.cause.Error()
	}
	return "not sent: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mutex  sync.Mutex
	idle   map[string][]*connection
	opened func()
	now    func() time.Time
}

// NewPool returns an empty pool; opened is called for each new connection.
func NewPool(opened func()) *Pool {
	return &Pool{
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
			Control:         setUserTimeout,
		},
		idle: map[string][]*connection{}, opened: opened, now: time.Now,
	}
}

// connection is one connection to a replica; it serves one request at a time.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	expires time.Time // when idle
}

// Request is a request as it is to be written.
type Request struct {
	Address string
	// HTTP holds method, URL, host, headers and length; its body is not used.
	HTTP *http.Request
	Body []byte
	// Mine tells whether an answer belongs to this request; others that arrive in
	// its place are skipped.
	Matches func(http.Header) bool
	// Admit is asked once there is a connection, right before the request is written; an error of it
	// keeps the request from being sent. nil: it is sent.
	Admit func() error
}

// Do sends a request and returns the head of its answer. The context bounds the
// whole exchange, the reading of the body included. An error is an *Error.
func (p *Pool) Do(ctx context.Context, request Request) (*Response, error) {
	conn, err := p.get(ctx, request.Address)
	if err != nil {
		return nil, &Error{cause: err}
	}
	if request.Admit != nil {
		if err := request.Admit(); err != nil {
			p.put(request.Address, conn, idleDefault)
			return nil, &Error{cause: err}
		}
	}
	exchange := &exchange{pool: p, conn: conn, address: request.Address}
	exchange.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := exchange.write(request); err != nil {
		exchange.end(false)
		return nil, causeOf(ctx, err)
	}
	answer, err := exchange.readHead(request)
	if err != nil {
		exchange.end(false)
		return nil, causeOf(ctx, &Error{Written: true, cause: err})
	}
	return answer, nil
}

// causeOf names the context's end as the cause where that is what it was.
func causeOf(ctx context.Context, err error) error {
	var failed *Error
	if ctx.Err() != nil && errors.As(err, &failed) {
		return &Error{Written: failed.Written, cause: ctx.Err()}
	}
	return err
}

// get takes an idle connection that is still sound, or opens one.
func (p *Pool) get(ctx context.Context, address string) (*connection, error) {
	for {
		conn := p.takeIdle(address)
		if conn == nil {
			break
		}
		if p.now().Before(conn.expires) && quiet(conn.Conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	dialed, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	if p.opened != nil {
		p.opened()
	}
	return &connection{Conn: dialed, reader: bufio.NewReaderSize(dialed, readerBytes)}, nil
}

func (p *Pool) takeIdle(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return conn
}

// Rests tells whether a connection to an address rests here.
func (p *Pool) HasIdle(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	return len(list) > 0 && p.now().Before(list[len(list)-1].expires)
}

func (p *Pool) put(address string, conn *connection, rest time.Duration) {
	conn.expires = p.now().Add(rest)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[address] = append(p.idle[address], conn)
}

// Sweep closes idle connections that have expired, and those to addresses that
// are no longer wanted.
func (p *Pool) Sweep(wanted func(address string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Before(conn.expires) && wanted(address) {
				kept = append(kept, conn)
			} else {
				_ = conn.Close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Sweep(func(string) bool { return false }) }

// exchange is one request on its connection.
type exchange struct {
	pool    *Pool
	conn    *connection
	address string
	stop    func() bool
	writing chan error // of a body that is written beside the reading; or nil
	once    sync.Once
}

// counter counts the bytes that a connection took.
type counter struct {
	net.Conn
	bytes int
}

func (c *counter) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes += n
	return n, err
}

func (e *exchange) write(request Request) error {
	counted := &counter{Conn: e.conn.Conn}
	writer := bufio.NewWriterSize(counted, writerBytes)
	writeHead(writer, request)
	if len(request.Body) > inlineBody {
		if err := writer.Flush(); err != nil {
			return &Error{Written: counted.bytes > 0, cause: errors.Wrap(err, "write")}
		}
		e.writing = make(chan error, 1)
		go func() {
			_, err := e.conn.Write(request.Body)
			e.writing <- err
		}()
		return nil
	}
	_, _ = writer.Write(request.Body) // bufio keeps the error for Flush
	if err := writer.Flush(); err != nil {
		return &Error{Written: counted.bytes > 0, cause: errors.Wrap(err, "write")}
	}
	return nil
}

// writeHead writes the request line and the headers. Names and values come from a
// request that net/http has parsed, so they hold no line breaks.
func writeHead(writer *bufio.Writer, request Request) {
	parts := []string{request.HTTP.Method, " ", request.HTTP.URL.RequestURI(), " HTTP/1.1\r\nHost: ", request.HTTP.Host, "\r\n"}
	if request.HTTP.RequestURI != "" {
		parts[2] = request.HTTP.RequestURI
	}
	for _, part := range parts {
		_, _ = writer.WriteString(part)
	}
	for name, values := range request.HTTP.Header {
		for _, value := range values {
			_, _ = writer.WriteString(name)
			_, _ = writer.WriteString(": ")
			_, _ = writer.WriteString(value)
			_, _ = writer.WriteString("\r\n")
		}
	}
	if len(request.Body) > 0 || request.HTTP.Method == http.MethodPost || request.HTTP.Method == http.MethodPut {
		_, _ = writer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, _ = writer.WriteString("\r\n")
}

// readHead reads answers until one belongs to the request.
func (e *exchange) readHead(request Request) (*Response, error) {
	for range maxSurplus + 1 {
		response, err := e.nextHead(request)
		if err != nil {
			return nil, err
		}
		if request.Matches == nil || request.Matches(response.Header) {
			return &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
				response: response, exchange: e}, nil
		}
		if response.Close || response.ContentLength < 0 && !chunked(response) {
			return nil, errors.New("an answer to another request, with no end of its own")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Wrap(err, "skip an answer to another request")
		}
	}
	return nil, errors.New("answers to other requests only")
}

func chunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

func (e *exchange) nextHead(request Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(e.conn.reader, request.HTTP)
		if err != nil {
			return nil, errors.Wrap(err, "read the answer's head")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// end gives the connection back, if it is sound, or closes it.
func (e *exchange) end(sound bool) {
	e.endAfter(sound, idleDefault)
}

func (e *exchange) endAfter(sound bool, rest time.Duration) {
	e.once.Do(func() {
		stopped := e.stop()
		if e.writing != nil {
			select {
			case err := <-e.writing:
				sound = sound && err == nil
			default:
				sound = false // answered before the body was whole
			}
		}
		if sound && stopped && e.conn.reader.Buffered() == 0 && rest > 0 {
			e.pool.put(e.address, e.conn, rest)
			return
		}
		_ = e.conn.Close()
	})
}

// Answer is an answer whose head was read. Its body must be read to its end, or
// closed.
type Response struct {
	Status   int
	Header   http.Header
	Length   int64 // of the body; -1 if the answer does not say
	response *http.Response
	exchange *exchange
}

// Read reads the body. io.EOF says that it is whole.
func (a *Response) Read(data []byte) (int, error) {
	n, err := a.response.Body.Read(data)
	if err == io.EOF {
		a.exchange.endAfter(!a.response.Close, restOf(a.Header))
	} else if err != nil {
		a.exchange.end(false)
	}
	return n, err
}

// Buffered returns how many bytes are there to read without waiting.
func (a *Response) Buffered() int { return a.exchange.conn.reader.Buffered() }

// Close drops the connection, unless the body was read to its end.
func (a *Response) Close() error {
	a.exchange.end(false)
	return nil
}

// restOf returns how long a connection may rest by the answer's Keep-Alive.
func restOf(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if value, err := strconv.Atoi(seconds); err == nil {
			return time.Duration(value)*time.Second - idleMargin
		}
	}
	return idleDefault
}
