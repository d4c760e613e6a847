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
	backlogPollInterval = time.Millisecond
	// maxBacklogPolls bounds the wait before a stopping server closes its listener.
	maxBacklogPolls = 200
)

// waitForBacklog waits, for a bounded time, until all connections in the listener's backlog have been
// accepted. They may already hold a request, which closing the listener would drop.
func waitForBacklog(ctx context.Context, listener net.Listener) {
	for range maxBacklogPolls {
		if !hasBacklog(listener) || !sleep.For(ctx, backlogPollInterval) {
			return
		}
	}
}

// hasBacklog reports whether a connection waits to be accepted. It returns false for listeners that
// have no file descriptor.
func hasBacklog(listener net.Listener) bool {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(descriptor uintptr) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		ready, pollErr := unix.Poll(poll, 0)
		pending = pollErr == nil && ready > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}
