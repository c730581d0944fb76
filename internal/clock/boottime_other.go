//go:build !linux

package clock

import "time"

// bootTime reports false: this system is not known to have a clock that counts suspensions.
func bootTime() (time.Duration, bool) { return 0, false }
