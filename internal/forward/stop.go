package forward

import (
	"errors"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// ErrStopping reports that this node stops before an answer could have come.
var ErrStopping = errors.New("node stops before the answer")

// PlannedStop are the times of the planned stop of a node.
type PlannedStop struct {
	// NoticeEnd is when callers have stopped to send new requests to the node.
	NoticeEnd time.Time
	// End is when the last answer must have been relayed.
	End time.Time
}

// needed returns the time that a request gets for its answer, given the longest one of its route; 0 if unknown. All
// requests that come before the end of the notice are served.
func (s *PlannedStop) needed(longest time.Duration) time.Duration {
	limit := s.End.Sub(s.NoticeEnd)
	if longest == 0 {
		return limit
	}
	return min(longest, limit)
}

// BeginStop makes requests end with ErrStopping that could not be answered before the end of the stop.
func (f *Forwarder) BeginStop(stop PlannedStop) { f.stop.Store(&stop) }

// checkStop returns ErrStopping if the node stops before an attempt that begins now could end.
func (c *call) checkStop() error {
	stop := c.forwarder.stop.Load()
	if stop == nil || c.request.Batch {
		return nil
	}
	if !c.deadline.IsZero() && c.deadline.Before(stop.End) {
		return nil
	}
	now := clock.Now()
	if stop.End.Sub(now) < stop.needed(c.forwarder.answerTimes.longest(c.route.Name, now)) {
		return ErrStopping
	}
	return nil
}

// recordAnswerTime records how long the answer of an attempt took that began at the given time.
func (c *call) recordAnswerTime(began time.Time) {
	if c.request.Batch {
		return
	}
	now := clock.Now()
	c.forwarder.answerTimes.record(c.route.Name, now.Sub(began), now)
}

// answerTimesWindow is how long the longest answer of a route counts at least; it counts up to twice as long.
const answerTimesWindow = time.Minute

// answerTimes keeps how long the longest recent answer of each route took. It is safe for concurrent use; its zero
// value is ready to use.
type answerTimes struct {
	mu     sync.Mutex
	routes map[string]*answerWindows
}

// answerWindows holds the longest answers of the current window and of the one before.
type answerWindows struct {
	began             time.Time
	current, previous time.Duration
}

// advance begins new windows that are due.
func (w *answerWindows) advance(now time.Time) {
	age := now.Sub(w.began)
	if age < answerTimesWindow {
		return
	}
	w.previous = 0
	if age < 2*answerTimesWindow {
		w.previous = w.current
	}
	w.began, w.current = now, 0
}

// record records how long an answer of a route took.
func (t *answerTimes) record(route string, took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	windows := t.routes[route]
	if windows == nil {
		if t.routes == nil {
			t.routes = map[string]*answerWindows{}
		}
		windows = &answerWindows{began: now}
		t.routes[route] = windows
	}
	windows.advance(now)
	windows.current = max(windows.current, took)
}

// longest returns how long the longest recent answer of a route took; 0 if there was none.
func (t *answerTimes) longest(route string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	windows := t.routes[route]
	if windows == nil {
		return 0
	}
	windows.advance(now)
	return max(windows.current, windows.previous)
}
