package dialer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds the time for which sent bytes may go unacknowledged. A system that
// does not know the option keeps its own bound.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(DeadPeerTimeout.Milliseconds()))
	})
}
