// Package clocktest suspends a machine that is not there: the steady clock goes on as it
// does, and the clock that counts suspensions runs ahead of it by hand.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// Machine is a machine that can be suspended.
type Machine struct {
	start     time.Time
	suspended atomic.Int64
}

// New has package clock go by a machine for the time of a test.
func New(t testing.TB) *Machine {
	machine := &Machine{start: time.Now()}
	t.Cleanup(clock.SetBootTimeSource(machine.bootTime))
	return machine
}

func (m *Machine) bootTime() (time.Duration, bool) {
	return time.Since(m.start) + time.Duration(m.suspended.Load()), true
}

// Suspend has the machine have been suspended for so long.
func (m *Machine) Suspend(duration time.Duration) {
	m.suspended.Add(int64(duration))
	clock.ForceCheck()
}
