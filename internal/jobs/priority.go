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
func (e *itemEstimate) recordEvents(events int) {
	if e.events == 0 {
		e.events = float64(events)
	}
	e.events += estimateWeight * (float64(events) - e.events)
}

// recordPace updates the time of an event with a run that received some events in elapsed.
func (e *itemEstimate) recordPace(events int, elapsed time.Duration) {
	if events <= 0 {
		return
	}
	each := elapsed / time.Duration(events)
	if e.eventTime == 0 {
		e.eventTime = each
	}
	e.eventTime += time.Duration(estimateWeight * float64(each-e.eventTime))
}

// remaining estimates how long an item still runs once it has received the event with id after.
func (e *itemEstimate) remaining(after int) time.Duration {
	events, eventTime := e.events, e.eventTime
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
func (p priority) before(other priority) bool {
	switch {
	case p.late != other.late:
		return other.late
	case p.rank != other.rank:
		return p.rank < other.rank
	case p.job != other.job:
		return p.job < other.job
	default:
		return p.item < other.item
	}
}
