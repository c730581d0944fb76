package dialer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long sent data may remain unacknowledged. A kernel without the option
// keeps its default.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(DeadPeerTimeout.Milliseconds()))
	})
}
