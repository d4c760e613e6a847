package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/wellformed"
)

const (
	// defaultIdleTimeout applies to a connection whose replica sends no Keep-Alive timeout.
	defaultIdleTimeout = 60 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the replica sends.
	idleTimeoutMargin = 700 * time.Millisecond
)

// Response is a response whose head has been read. Its body must be read to its end, or closed.
type Response struct {
	Status  int
	Header  http.Header
	Length  int64  // of the body; -1 if unknown
	Chunked bool   // the last chunk ends the body; without it and a length, the end of the connection does
	Via     string // id of the daemon that relayed it; empty if it came directly
	// Connection identifies the exchange: the local address of its connection and its number there, from 1.
	Connection string
	response   *http.Response
	exchange   *exchange
	// endErr is the result of Read at the end of the body; nil before it.
	endErr error
}

// Read reads the body. It returns io.EOF only at the end of a complete body, except for a body that ends with its
// connection (neither a length nor chunks): there io.EOF may also mean that the replica stopped within it, after it
// had received the whole request.
func (r *Response) Read(data []byte) (int, error) {
	if r.endErr != nil {
		return 0, r.endErr
	}
	n, err := r.response.Body.Read(data)
	if err == io.EOF {
		err = r.confirmEnd()
		r.endErr = err
	}
	if err == io.EOF {
		r.exchange.releaseFor(!r.response.Close, keepAliveTimeout(r.Header))
	} else if err != nil {
		r.exchange.release(false)
	}
	return n, err
}

// confirmEnd returns io.EOF if the body may be whole. It is not if its trailer is malformed. A body that ends with its
// connection is not whole if the connection ended before the replica had received the whole request: the connection was
// reset, which the kernel may have told the write of the request alone, or the replica has ended.
func (r *Response) confirmEnd() error {
	if err := wellformed.CheckTrailer(r.response); err != nil {
		return err
	}
	if !r.endsWithConnection() {
		return io.EOF
	}
	if err := r.exchange.awaitDelivery(); err != nil {
		return errors.Wrap(err, "the response ended with its connection, and before the end of the request")
	}
	return io.EOF
}

// endsWithConnection reports whether the body ends where its connection ends.
func (r *Response) endsWithConnection() bool {
	return r.Length < 0 && !r.Chunked && r.response.Body != http.NoBody
}

// Buffered returns how many bytes can be read without blocking.
func (r *Response) Buffered() int { return r.exchange.conn.reader.Buffered() }

// Close closes the connection, unless the body was read to its end.
func (r *Response) Close() error {
	r.exchange.release(false)
	return nil
}

// keepAliveTimeout returns how long a connection may stay idle, by the response's Keep-Alive header.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if value, err := strconv.Atoi(seconds); err == nil {
			return time.Duration(value)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}
