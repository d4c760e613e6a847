package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/delivery"
	"github.com/finchspoke/finchspoke/wellformed"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxInlineBodyBytes is the largest body that is written before the response is read. A longer one
	// is written concurrently, since the replica may respond early.
	maxInlineBodyBytes = 16 << 10
	// maxUnsolicitedResponses and maxUnsolicitedBytes bound the responses to other requests, and their bodies, that are skipped
	// before a response.
	maxUnsolicitedResponses = 16
	maxUnsolicitedBytes     = 1 << 20
)

// exchange is one request and its response on a connection.
type exchange struct {
	ctx         context.Context // bounds the exchange
	pool        *Pool
	conn        *connection
	address     string
	cancelWatch func() bool
	exclusive   bool    // the connection carries no other exchange, so it is not kept
	dropUnsent  bool    // see Request
	upload      *upload // a body that is written concurrently; nil otherwise
	releaseOnce sync.Once
}

// upload is a request body that is being written while the response is read.
type upload struct {
	written chan struct{} // closed at the end
	err     error         // set before written is closed
}

// hasEnded reports whether the whole body has been written.
func (u *upload) hasEnded() bool {
	select {
	case <-u.written:
		return u.err == nil
	default:
		return false
	}
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written int
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += n
	return n, err
}

// write sends the request, or all but a long body, which is sent concurrently.
func (e *exchange) write(request Request) *Error {
	counting := &countingConn{Conn: e.conn.Conn}
	writer := bufio.NewWriterSize(counting, writeBufferBytes)
	writeHead(writer, request)
	if len(request.Body) > maxInlineBodyBytes {
		if err := writer.Flush(); err != nil {
			return &Error{RequestWritten: counting.written > 0, cause: errors.Wrap(err, "write")}
		}
		e.upload = &upload{written: make(chan struct{})}
		go func() {
			defer close(e.upload.written)
			if _, e.upload.err = e.conn.Write(request.Body); e.upload.err == nil {
				e.endRequest()
			}
		}()
		return nil
	}
	_, _ = writer.Write(request.Body) // Flush returns the error
	if err := writer.Flush(); err != nil {
		return &Error{RequestWritten: counting.written > 0, cause: errors.Wrap(err, "write")}
	}
	e.endRequest()
	return nil
}

// endRequest is called once the whole request has been written.
func (e *exchange) endRequest() {
	if tracker, able := e.conn.Conn.(requestTracker); able {
		_ = tracker.EndRequest() // a failure ends the connection, which the read of the response reports
	}
}

// awaitDelivery waits until the replica has received the whole request. It returns an error if the connection ends first.
func (e *exchange) awaitDelivery() error {
	if tracker, able := e.conn.Conn.(requestTracker); able {
		return tracker.AwaitDelivery()
	}
	if e.upload != nil {
		<-e.upload.written // at the latest once ctx has ended, or the exchange is released
		if e.upload.err != nil {
			return errors.Wrap(e.upload.err, "write")
		}
	}
	return delivery.Await(e.ctx, e.conn.Conn)
}

// writeHead writes the request line and the headers. Names and values come from a request that
// net/http has parsed, so they contain no line breaks.
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

// readHead reads response heads until one belongs to the request.
func (e *exchange) readHead(request Request) (*Response, error) {
	remaining := int64(maxUnsolicitedBytes)
	for range maxUnsolicitedResponses + 1 {
		response, err := e.nextHead(request)
		if err != nil {
			return nil, err
		}
		if e.answers(request, response) {
			return &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Chunked: chunked(response),
				Via: e.conn.via, Connection: e.conn.String(), response: response, exchange: e}, nil
		}
		e.pool.reportUnsolicited(e.address, e.conn, UnsolicitedBeforeResponse, response.StatusCode)
		if response.Close || response.ContentLength < 0 && !chunked(response) {
			return nil, errors.New("received a response to another request, whose body has no known end")
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, remaining+1))
		if err == nil {
			err = wellformed.CheckTrailer(response)
		}
		if err != nil {
			return nil, errors.Wrap(err, "skip a response to another request")
		}
		if remaining -= skipped; remaining < 0 {
			return nil, errors.Errorf("the responses to other requests exceed %d bytes", maxUnsolicitedBytes)
		}
	}
	return nil, errors.New("received only responses to other requests")
}

// answers reports whether a response may be the one to the request.
func (e *exchange) answers(request Request, response *http.Response) bool {
	if request.Matches != nil && !request.Matches(response) {
		return false
	}
	if request.ResponseID == nil {
		return true
	}
	id := request.ResponseID(response)
	return id == request.ID || !e.conn.history.carried(id)
}

func chunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// nextHead reads the head of a response, and skips interim responses before it.
func (e *exchange) nextHead(request Request) (*http.Response, error) {
	e.conn.limiter.limit(e.conn.reader.Buffered())
	defer e.conn.limiter.unlimit()
	for {
		response, err := e.conn.readHead(request.HTTP)
		if err != nil {
			return nil, errors.Wrap(err, "read the response head")
		}
		if err := wellformed.CheckHead(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// release returns the connection to the pool if it is reusable, or closes it.
func (e *exchange) release(reusable bool) {
	e.releaseFor(reusable, defaultIdleTimeout)
}

func (e *exchange) releaseFor(reusable bool, idleTimeout time.Duration) {
	e.releaseOnce.Do(func() {
		contextActive := e.cancelWatch()
		if e.upload != nil && !e.upload.hasEnded() {
			reusable = false
		}
		if reusable && !e.exclusive && contextActive && e.conn.reader.Buffered() == 0 && idleTimeout > 0 {
			e.pool.putIdle(e.address, e.conn, idleTimeout)
			return
		}
		if resetter, able := e.conn.Conn.(interface{ SetLinger(seconds int) error }); able && e.dropUnsent && !contextActive {
			_ = resetter.SetLinger(0) // fails only if the connection is closed
		}
		_ = e.conn.Close()
	})
}
