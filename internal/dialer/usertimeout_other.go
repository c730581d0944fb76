//go:build !linux

package dialer

import "syscall"

// setUserTimeout does nothing: there is no portable option for it.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
