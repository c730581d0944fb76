package jobs

import "time"

const (
	// initialEventCount and initialEventTime are assumed until the number of events of an item and
	// the time of each have been observed.
	initialEventCount = 100
	initialEventTime  = 30 * time.Millisecond
	estimateWeight    = 0.05
)

// itemEstimate estimates the number of events of items and the time of each. The zero value has no
// observations.
type itemEstimate struct {
	events    float64
	eventTime time.Duration
}

// recordEvents updates the number of events with a completed item.
func (u *itemEstimate) recordEvents(events int) {
	if u.events == 0 {
		u.events = float64(events)
	}
	u.events += estimateWeight * (float64(events) - u.events)
}

// recordPace updates the time of an event with a run that brought so many events.
func (u *itemEstimate) recordPace(events int, elapsed time.Duration) {
	if events <= 0 {
		return
	}
	each := elapsed / time.Duration(events)
	if u.eventTime == 0 {
		u.eventTime = each
	}
	u.eventTime += time.Duration(estimateWeight * float64(each-u.eventTime))
}

// remaining estimates how long an item will still run after an event.
func (u *itemEstimate) remaining(after int) time.Duration {
	events, eventTime := u.events, u.eventTime
	if events == 0 {
		events = initialEventCount
	}
	if eventTime == 0 {
		eventTime = initialEventTime
	}
	return time.Duration(max(0, events-float64(after)) * float64(eventTime))
}

// priority is an item's place among those that wait.
type priority struct {
	// late is set if the item can no longer be in time.
	late bool
	rank time.Duration
	job  string
	item int
}

// before reports whether an item is sent before another: those that can be in time first, then by
// rank.
func (t priority) before(other priority) bool {
	switch {
	case t.late != other.late:
		return other.late
	case t.rank != other.rank:
		return t.rank < other.rank
	case t.job != other.job:
		return t.job < other.job
	default:
		return t.item < other.item
	}
}
