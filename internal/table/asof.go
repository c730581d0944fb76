package table

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// minDelayWindow is how long the shortest way of an answer is remembered for, at least. Two
// steady clocks that differ by 50 ppm drift apart by 3 ms in it.
const minDelayWindow = time.Minute

// ageEstimator tells how old answers are when they come. A service stamps its answers with its
// own steady clock; how far that runs from this node's is not known, but the answer with the
// shortest way bounds it from one side. Of an answer that was long on its way, on a slow
// connection or before a busy service, the rest of that is seen. The zero value has heard of none.
type ageEstimator struct {
	// minOffset is the smallest difference of the two clocks in this window and the one previousMinOffset.
	minOffset, previousMinOffset time.Duration
	// windowStart is when this window began; zero before the first answer.
	windowStart time.Time
}

// asOf returns when an answer was given that was asked for and received at times of this node
// and stamped by the service. It is never before it was asked for, and never later than it was
// given but for the shortest way that any answer took.
func (e *ageEstimator) asOf(sent, received time.Time, stamp time.Duration) time.Time {
	offset := received.Sub(clockOrigin) - stamp
	e.record(received, offset)
	answeredAt := received.Add(min(e.minOffset, e.previousMinOffset) - offset)
	if answeredAt.Before(sent) {
		return sent
	}
	return answeredAt
}

func (e *ageEstimator) record(received time.Time, offset time.Duration) {
	switch {
	case e.windowStart.IsZero():
		e.minOffset, e.previousMinOffset, e.windowStart = offset, offset, received
	case received.Sub(e.windowStart) > minDelayWindow:
		e.previousMinOffset, e.minOffset, e.windowStart = e.minOffset, offset, received
	default:
		e.minOffset = min(e.minOffset, offset)
	}
}

// withAsOf notes the age of an answer, unless its feed has told it.
func (w *Watcher) withAsOf(sent time.Time, changes Changes) Changes {
	if changes.AsOf.IsZero() {
		changes.AsOf = w.ages.asOf(sent, clock.Now(), changes.Now)
	}
	return changes
}
