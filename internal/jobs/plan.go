package jobs

import "time"

const (
	// paceFirstEvents and paceFirstEvent stand in until it is learned how many
	// events an item has and how long each takes.
	usualEventsFirst = 100
	usualEventFirst  = 30 * time.Millisecond
	usualWeight      = 0.05
)

// usual is what items are like, learned. The zero value knows nothing yet.
type usual struct {
	events float64
	event  time.Duration
}

// run takes in a run of an item that brought its last event.
func (u *usual) run(events int) {
	if u.events == 0 {
		u.events = float64(events)
	}
	u.events += usualWeight * (float64(events) - u.events)
}

// pace takes in how long a run took for so many events.
func (u *usual) pace(events int, took time.Duration) {
	if events <= 0 {
		return
	}
	each := took / time.Duration(events)
	if u.event == 0 {
		u.event = each
	}
	u.event += time.Duration(usualWeight * float64(each-u.event))
}

// remaining estimates how long an item still has to run after an event.
func (u *usual) remaining(after int) time.Duration {
	events, event := u.events, u.event
	if events == 0 {
		events = usualEventsFirst
	}
	if event == 0 {
		event = usualEventFirst
	}
	return time.Duration(max(0, events-float64(after)) * float64(event))
}

// turn is an item's place among those that wait.
type turn struct {
	// late is set if the item cannot be in time any more.
	late bool
	rank time.Duration
	job  string
	item int
}

// before orders items: those that can be in time first, then by rank.
func (t turn) before(other turn) bool {
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
