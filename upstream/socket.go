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

// isReusable reports whether an idle connection is open and has received no data.
func isReusable(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, recvErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = recvErr == unix.EAGAIN || recvErr == unix.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}
