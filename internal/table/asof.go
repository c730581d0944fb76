package table

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// delayWindow is how long the shortest way of an answer is remembered for, at least. Two
// steady clocks that differ by 50 ppm drift apart by 3 ms in it.
const delayWindow = time.Minute

// sourceClock tells how old answers are when they come. A service stamps its answers with its
// own steady clock; how far that runs from this node's is not known, but the answer with the
// shortest way bounds it from one side. Of an answer that was long on its way, on a slow
// connection or before a busy service, the rest of that is seen. The zero value has heard of none.
type sourceClock struct {
	// least is the smallest difference of the two clocks in this window and the one before.
	least, before time.Duration
	// since is when this window began; zero before the first answer.
	since time.Time
}

// asOf returns when an answer was given that was asked for and received at times of this node
// and stamped by the service. It is never before it was asked for, and never later than it was
// given but for the shortest way that any answer took.
func (c *sourceClock) asOf(asked, received time.Time, stamp time.Duration) time.Time {
	difference := received.Sub(clockOrigin) - stamp
	c.note(received, difference)
	given := received.Add(min(c.least, c.before) - difference)
	if given.Before(asked) {
		return asked
	}
	return given
}

func (c *sourceClock) note(received time.Time, difference time.Duration) {
	switch {
	case c.since.IsZero():
		c.least, c.before, c.since = difference, difference, received
	case received.Sub(c.since) > delayWindow:
		c.before, c.least, c.since = c.least, difference, received
	default:
		c.least = min(c.least, difference)
	}
}

// answeredAt notes the age of an answer, unless its feed has told it.
func (w *Watcher) answeredAt(asked time.Time, changes Changes) Changes {
	if changes.AsOf.IsZero() {
		changes.AsOf = w.source.asOf(asked, clock.Now(), changes.Now)
	}
	return changes
}
