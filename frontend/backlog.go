package frontend

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/finchspoke/finchspoke/sleep"
)

const (
	// backlogCheck is the time between looks at a listener's backlog.
	backlogCheck = time.Millisecond
	// backlogChecks bounds how often the backlog is looked at before a listener closes.
	backlogChecks = 200
)

// awaitAccepted waits until no connection waits to be accepted, as long as that takes a
// moment only. A connection in the backlog may hold a whole request, and closing the
// listener would leave it without an answer.
func awaitAccepted(ctx context.Context, listener net.Listener) {
	for range backlogChecks {
		if !hasBacklog(listener) || !sleep.For(ctx, backlogCheck) {
			return
		}
	}
}

// hasBacklog tells whether a connection waits to be accepted; false where the listener
// does not tell.
func hasBacklog(listener net.Listener) bool {
	socket, can := listener.(syscall.Conn)
	if !can {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(descriptor uintptr) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		ready, failed := unix.Poll(poll, 0)
		waiting = failed == nil && ready > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waiting
}
