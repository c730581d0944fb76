package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine was booted, including suspensions. It reports false if
// the system call fails.
func bootTime() (time.Duration, bool) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, false
	}
	return time.Duration(now.Nano()), true
}
