package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long written bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// quiet tells whether an idle connection is open and nothing has arrived on it.
func quiet(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, received := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		sound = received == unix.EAGAIN || received == unix.EWOULDBLOCK
		return true
	})
	return err == nil && sound
}
