package table

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// minDelayWindow is the minimum time for which the shortest observed delay is used. Two clocks
// whose rates differ by 50 ppm drift apart by 3 ms in that time.
const minDelayWindow = time.Minute

// AgeEstimator estimates when received answers were generated. A service stamps its answers with its
// own monotonic clock, whose offset from the local clock is unknown. The answer with the shortest
// delay bounds the offset from one side, so any additional delay of other answers, in the
// network or in the service, can be computed. The zero value is ready for use.
type AgeEstimator struct {
	// The smallest clock offsets observed in the current and the previous window.
	minOffset, previousMinOffset time.Duration
	// windowStart is the start of the current window; zero before the first answer.
	windowStart time.Time
}

// AsOf returns the local time at which an answer was generated, given the local times at which it
// was requested and received and the time stamp of the service. The result is not before sent, and
// late by at most the shortest delay of any answer.
func (e *AgeEstimator) AsOf(sent, received time.Time, stamp time.Duration) time.Time {
	offset := received.Sub(clockOrigin) - stamp
	e.record(received, offset)
	answeredAt := received.Add(min(e.minOffset, e.previousMinOffset) - offset)
	if answeredAt.Before(sent) {
		return sent
	}
	return answeredAt
}

func (e *AgeEstimator) record(received time.Time, offset time.Duration) {
	switch {
	case e.windowStart.IsZero():
		e.minOffset, e.previousMinOffset, e.windowStart = offset, offset, received
	case received.Sub(e.windowStart) > minDelayWindow:
		e.previousMinOffset, e.minOffset, e.windowStart = e.minOffset, offset, received
	default:
		e.minOffset = min(e.minOffset, offset)
	}
}

// withAsOf sets AsOf of an answer unless its feed has set it.
func (w *Watcher) withAsOf(sent time.Time, changes Changes) Changes {
	if changes.AsOf.IsZero() {
		changes.AsOf = w.ages.AsOf(sent, clock.Now(), changes.Now)
	}
	return changes
}
