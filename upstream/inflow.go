package upstream

import (
	"net"

	"github.com/pkg/errors"
)

// maxHeadBytes bounds what is read for the head of a response, interim responses before it included.
const maxHeadBytes = 64 << 10

// errHeadTooLarge means that a replica sent more than maxHeadBytes without the end of a response's head.
var errHeadTooLarge = errors.Errorf("the head of the response exceeds %d bytes", maxHeadBytes)

// inflow reads from a connection, and fails once more is read for the head of a response than its limit.
type inflow struct {
	net.Conn
	limited   bool
	remaining int // until the limit
}

// limit bounds what is read from now on; what has been read and not used yet counts.
func (i *inflow) limit(buffered int) { i.limited, i.remaining = true, maxHeadBytes-buffered }

// unlimit ends the limit.
func (i *inflow) unlimit() { i.limited = false }

// Read implements io.Reader.
func (i *inflow) Read(data []byte) (int, error) {
	if !i.limited {
		return i.Conn.Read(data)
	}
	if i.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := i.Conn.Read(data[:min(len(data), i.remaining)])
	i.remaining -= n
	return n, err
}
