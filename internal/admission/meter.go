package admission

import (
	"math"
	"time"
)

const (
	// meterTimeConstant is the time constant of the exponential decay.
	meterTimeConstant = 2 * time.Second
	// idleRate is the rate per second at or below which a tenant counts as idle.
	idleRate = 0.02
)

// meter estimates an event rate per second with exponential decay.
type meter struct {
	value     float64
	updatedAt time.Time
}

// add records n events.
func (m *meter) add(now time.Time, n float64) {
	m.decay(now)
	m.value += n / meterTimeConstant.Seconds()
}

// decay updates the rate to now.
func (m *meter) decay(now time.Time) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 && !m.updatedAt.IsZero() {
		m.value *= math.Exp(-elapsed.Seconds() / meterTimeConstant.Seconds())
	}
	m.updatedAt = now
}

// rate returns the number of events per second.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.value
}
