package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long sent data may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(descriptor uintptr) {
		sockoptErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// idleState is the state of a connection without an exchange.
type idleState int

const (
	idleSilent   idleState = iota // open, and nothing has arrived
	idleClosed                    // closed or broken
	idleReceived                  // data has arrived, which answers no request
)

// stateOf returns the state of an idle connection.
func stateOf(conn net.Conn) idleState {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return idleClosed
	}
	state := idleClosed
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		n, _, recvErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case recvErr == unix.EAGAIN || recvErr == unix.EWOULDBLOCK:
			state = idleSilent
		case recvErr == nil && n > 0:
			state = idleReceived
		}
		return true
	})
	if err != nil {
		return idleClosed
	}
	return state
}
