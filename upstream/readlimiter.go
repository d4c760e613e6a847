package upstream

import (
	"net"

	"github.com/pkg/errors"
)

// maxHeadBytes bounds what is read for the head of a response, interim responses before it included.
const maxHeadBytes = 64 << 10

// errHeadTooLarge means that a replica sent more than maxHeadBytes without the end of a response's head.
var errHeadTooLarge = errors.Errorf("the head of the response exceeds %d bytes", maxHeadBytes)

// readLimiter reads from a connection, and fails once more is read for the head of a response than its limit. It can record
// what is read meanwhile.
type readLimiter struct {
	net.Conn
	limited   bool
	remaining int // until the limit
	recording bool
	recorded  []byte
}

// limit bounds what is read from now on; what has been read and not used yet counts.
func (r *readLimiter) limit(buffered int) { r.limited, r.remaining = true, maxHeadBytes-buffered }

// unlimit ends the limit and a record.
func (r *readLimiter) unlimit() { r.limited, r.recording, r.recorded = false, false, nil }

// record begins a record with what has been read and not used yet.
func (r *readLimiter) record(buffered []byte) {
	r.recording, r.recorded = true, append([]byte(nil), buffered...)
}

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
	if r.recording {
		r.recorded = append(r.recorded, data[:n]...)
	}
	return n, err
}
