//go:build !linux

package clock

import "time"

// bootTime reports false: no clock that includes suspensions is implemented for this system.
func bootTime() (time.Duration, bool) { return 0, false }
