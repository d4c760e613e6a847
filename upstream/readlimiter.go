package upstream

import (
	"net"

	"github.com/pkg/errors"
)

// maxHeadBytes bounds what is read for the head of a response, interim responses before it included.
const maxHeadBytes = 64 << 10

// errHeadTooLarge means that a replica sent more than maxHeadBytes without the end of a response's head.
var errHeadTooLarge = errors.Errorf("the head of the response exceeds %d bytes", maxHeadBytes)

// readLimiter reads from a connection, and fails once more is read for the head of a response than its limit.
type readLimiter struct {
	net.Conn
	limited   bool
	remaining int // until the limit
}

// limit bounds what is read from now on; what has been read and not used yet counts.
func (r *readLimiter) limit(buffered int) { r.limited, r.remaining = true, maxHeadBytes-buffered }

// unlimit ends the limit.
func (r *readLimiter) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *readLimiter) Read(data []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(data)
	}
	if r.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.Conn.Read(data[:min(len(data), r.remaining)])
	r.remaining -= n
	return n, err
}
