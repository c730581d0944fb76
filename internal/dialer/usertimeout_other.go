//go:build !linux

package dialer

import "syscall"

// boundUnacknowledged leaves the system's own bound: there is no common option for it.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
