package jobs

import (
	"math"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// Wait says what an item that is not listed waits for. Each has an end that is bound to
// come, see Bound.
type Wait uint8

const (
	// WaitLook items have not been looked at since they came to this node, or since they
	// last could be sent.
	WaitLook Wait = iota
	// WaitPause items rest after an attempt that did not bring them to their end.
	WaitPause
	// WaitView items wait for news of the jobs: ends of jobs would not be noticed.
	WaitView
	// WaitRoutes items wait for the first routes.
	WaitRoutes
	// WaitRoute items wait for a route that takes items of their kind.
	WaitRoute
	// WaitRoom items wait for one of this node's own slots.
	WaitRoom
	// WaitReplica items wait for a replica that takes them.
	WaitReplica
	// WaitQuarantine items ended replicas and wait for their trial, or to expire.
	WaitQuarantine
	// WaitMark items may run only once and wait to be marked as started.
	WaitMark
	// WaitHandBack items wait for this node to give them free for others.
	WaitHandBack
	// WaitAnswer items run; they wait for the next event of their answer.
	WaitAnswer
	// WaitListing items have their outcome and wait for it to be listed.
	WaitListing
	// WaitContent items wait for their content to be read.
	WaitContent
	// WaitOwner items wait to be taken over from a node that is gone, or outside their homes.
	WaitOwner
	// WaitHome items wait for a node of their homes.
	WaitHome
	waits
)

// String returns the name used in logs and metrics.
func (w Wait) String() string {
	names := [waits]string{
		"look", "pause", "view", "routes", "route", "room", "replica", "quarantine", "mark", "hand-back", "answer", "listing", "content",
		"owner", "home",
	}
	if w >= waits {
		return "unknown"
	}
	return names[w]
}

// Waiting is what one item waits for, and how long it has not come on.
type Waiting struct {
	Job, Item string
	For       Wait
	// Since is when the item last came on, by package clock: it was taken up, its answer
	// brought an event, or it got its outcome.
	Since time.Time
	// Begun is since when it waits for this, all the time.
	Begun time.Time
	// Replica is where a running item is.
	Replica string
	// Cause is what decided it; nil if the wait says all.
	Cause error
}

// WaitCount counts the items of this node that wait for the same.
type WaitCount struct {
	For   Wait
	Count int
	// Oldest is the longest time for which one of them has not come on.
	Oldest time.Duration
}

// waits notes what the task waits for from now on. The caller holds the runner's lock.
func (t *task) waits(what Wait, cause error) {
	if t.wait != what || t.waitBegun.IsZero() {
		t.waitBegun = clock.Now()
	}
	t.wait, t.waitCause = what, cause
}

// Waiting returns what each unlisted item of this node waits for, and those that this node
// should take over, that which came on longest ago first.
func (r *Runner) Waiting() []Waiting {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Waiting
	for _, owned := range r.owned {
		for _, one := range owned.tasks {
			if one.state != taskListed {
				all = append(all, one.waiting())
			}
		}
		for _, index := range owned.unread {
			all = append(all, Waiting{
				Job: owned.job.ID, Item: owned.job.Items[index].ID, For: WaitContent,
				Since: owned.unreadSince, Begun: owned.unreadSince, Cause: owned.loadErr,
			})
		}
	}
	all = append(all, r.nobodys...)
	slices.SortFunc(all, func(a, b Waiting) int { return a.Since.Compare(b.Since) })
	return all
}

// waiting returns what the task waits for. The caller holds the runner's lock.
func (t *task) waiting() Waiting {
	waiting := Waiting{
		Job: t.work.job.ID, Item: t.work.job.Items[t.index].ID,
		For: t.wait, Since: t.cameOn, Begun: t.waitBegun, Cause: t.waitCause,
	}
	if waiting.Begun.IsZero() {
		waiting.Begun = t.cameOn
	}
	if t.state == taskRunning {
		waiting.Replica = t.replica
	}
	return waiting
}

// Account counts the unlisted items of this node by what they wait for, in the order of
// Wait; what no item waits for is there with a count of 0.
func (r *Runner) Account(now time.Time) []WaitCount {
	counts := make([]WaitCount, waits)
	for i := range counts {
		counts[i].For = Wait(i)
	}
	for _, one := range r.Waiting() {
		count := &counts[one.For]
		count.Count++
		count.Oldest = max(count.Oldest, now.Sub(one.Since))
	}
	return counts
}

// overdueAfter is how long an item may go without progress at most before it is worth a log
// line, whatever it waits for, by turns.
const overdueAfter = 10 * time.Second

// unbounded waits end by what operators or callers do, or when the item expires. What begins
// them is logged once.
const unbounded = time.Duration(math.MaxInt64)

// Bound is how long an item usually waits for the same at most, while nodes, replicas and the
// store are there. Design 0018 tells what ends each wait and who sees to it if that does not
// come.
func (w Wait) Bound() time.Duration {
	switch w {
	case WaitLook, WaitPause:
		return 2 * time.Second
	case WaitMark, WaitListing, WaitContent:
		return 5 * time.Second
	case WaitRoute, WaitQuarantine, WaitHome:
		return unbounded
	default:
		return overdueAfter
	}
}

// overdue reports whether an item has waited for longer than it should.
func (w *Waiting) overdue(now time.Time) bool {
	bound := w.For.Bound()
	return bound != unbounded && (now.Sub(w.Begun) >= bound || now.Sub(w.Since) >= overdueAfter)
}

// Overdue returns the items that have waited for longer than they should, that which came on
// longest ago first.
func (r *Runner) Overdue(now time.Time) []Waiting {
	return slices.DeleteFunc(r.Waiting(), func(one Waiting) bool { return !one.overdue(now) })
}
