// Package delivery tells whether the peer of a TCP connection has received all that was written to it.
package delivery

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/finchspoke/finchspoke/sleep"
)

const (
	// minPause and maxPause bound the time between two looks at a connection.
	minPause = time.Millisecond
	maxPause = 20 * time.Millisecond
	// stateClosed is the kernel's TCP_CLOSE: the state of a connection that was reset, or that the kernel gave up.
	stateClosed = 7
)

// ErrNotDelivered means that a connection ended before its peer had received all that was written to it.
var ErrNotDelivered = errors.New("the connection ended before the peer had received all that was sent")

// Await waits until the peer's kernel has acknowledged everything written to a connection. It returns ErrNotDelivered if
// the connection ends first, and the cause if it is closed on this side or ctx ends. A reset is found even if a read
// or a write has returned its error before: the kernel reports it only once. Where the kernel does not tell what is
// acknowledged, everything written counts as received.
func Await(ctx context.Context, conn net.Conn) error {
	source, able := conn.(syscall.Conn)
	if !able {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "await delivery")
	}
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		progress, err := look(raw)
		switch {
		case err != nil:
			return errors.Wrap(err, "await delivery")
		case progress.unacknowledged == 0:
			return nil
		case progress.closed:
			return ErrNotDelivered
		}
		if !sleep.For(ctx, pause) {
			return errors.Wrap(ctx.Err(), "await delivery")
		}
	}
}

// progress is how far the data written to a connection has come.
type progress struct {
	unacknowledged int  // bytes
	closed         bool // no more will be acknowledged
}

// look returns the progress of a connection.
func look(raw syscall.RawConn) (seen progress, err error) {
	err = raw.Control(func(descriptor uintptr) {
		// The state is read first: what is unacknowledged in a closed connection stays so.
		info, infoErr := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		queued, queuedErr := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
		if infoErr == nil && queuedErr == nil {
			seen = progress{unacknowledged: queued, closed: info.State == stateClosed}
		}
	})
	return seen, err
}
