package admission

import (
	"math"
	"time"
)

const (
	// meterTimeConstant is the time constant of the rates.
	meterTimeConstant = 2 * time.Second
	// idleRate is the rate, a second, below which a tenant counts as idle.
	idleRate = 0.02
)

// meter is an exponentially decaying event rate.
type meter struct {
	value float64
	last  time.Time
}

func (m *meter) add(now time.Time, n float64) {
	m.decay(now)
	m.value += n / meterTimeConstant.Seconds()
}

func (m *meter) decay(now time.Time) {
	if elapsed := now.Sub(m.last); elapsed > 0 && !m.last.IsZero() {
		m.value *= math.Exp(-elapsed.Seconds() / meterTimeConstant.Seconds())
	}
	m.last = now
}

// rate returns events a second.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.value
}
