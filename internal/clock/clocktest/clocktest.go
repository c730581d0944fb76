// Package clocktest simulates suspensions of the machine: the monotonic clock continues, and the
// boot time is advanced by hand.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// Machine is a simulated machine that can be suspended.
type Machine struct {
	start     time.Time
	suspended atomic.Int64
}

// New replaces the boot time of package clock by that of a new machine until the test ends.
func New(t testing.TB) *Machine {
	machine := &Machine{start: time.Now()}
	t.Cleanup(clock.SetBootTimeSource(machine.bootTime))
	return machine
}

func (m *Machine) bootTime() (time.Duration, bool) {
	return time.Since(m.start) + time.Duration(m.suspended.Load()), true
}

// Suspend simulates a suspension of the given duration, which ends now.
func (m *Machine) Suspend(duration time.Duration) {
	m.suspended.Add(int64(duration))
	clock.ForceCheck()
}
