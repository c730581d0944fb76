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
	// WaitDispatch items have not been looked at since they came to this node, or since they
	// last could be sent.
	WaitDispatch Wait = iota
	// WaitBackoff items rest after an attempt that did not bring them to their end.
	WaitBackoff
	// WaitView items wait for news of the jobs: ends of jobs would not be noticed.
	WaitView
	// WaitRoutes items wait for the first routes.
	WaitRoutes
	// WaitRoute items wait for a route that takes items of their kind.
	WaitRoute
	// WaitSlot items wait for one of this node's own slots.
	WaitSlot
	// WaitReplica items wait for a replica that takes them.
	WaitReplica
	// WaitQuarantine items ended replicas and wait for their trial, or to expire.
	WaitQuarantine
	// WaitStartMark items may run only once and wait to be marked as started.
	WaitStartMark
	// WaitRelease items wait for this node to give them free for others.
	WaitRelease
	// WaitAnswer items run; they wait for the next event of their answer.
	WaitAnswer
	// WaitListing items have their outcome and wait for it to be listed.
	WaitListing
	// WaitContent items wait for their content to be read.
	WaitContent
	// WaitOwner items wait to be taken over from a node that is gone, or outside their homes.
	WaitOwner
	// WaitRegion items wait for a node of their homes.
	WaitRegion
	waitKinds
)

// String returns the name used in logs and metrics.
func (w Wait) String() string {
	names := [waitKinds]string{
		"look", "pause", "view", "routes", "route", "room", "replica", "quarantine", "mark", "hand-back", "answer", "listing", "content",
		"owner", "home",
	}
	if w >= waitKinds {
		return "unknown"
	}
	return names[w]
}

// ItemWait is what one item waits for, and how long it has not come on.
type ItemWait struct {
	Job, Item string
	For       Wait
	// LastProgress is when the item last came on, by package clock: it was taken up, its answer
	// brought an event, or it got its outcome.
	LastProgress time.Time
	// Start is since when it waits for this, all the time.
	Start time.Time
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

// setWait notes what the task setWait for from now on. The caller holds the runner's lock.
func (t *task) setWait(kind Wait, cause error) {
	if t.wait != kind || t.waitStart.IsZero() {
		t.waitStart = clock.Now()
	}
	t.wait, t.waitCause = kind, cause
}

// ItemWaits returns what each unlisted item of this node waits for, and those that this node
// should take over, that which came on longest ago first.
func (r *Runner) ItemWaits() []ItemWait {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []ItemWait
	for _, owned := range r.owned {
		for _, t := range owned.tasks {
			if t.state != taskListed {
				all = append(all, t.itemWait())
			}
		}
		for _, index := range owned.unloaded {
			all = append(all, ItemWait{
				Job: owned.job.ID, Item: owned.job.Items[index].ID, For: WaitContent,
				LastProgress: owned.unloadedSince, Start: owned.unloadedSince, Cause: owned.loadErr,
			})
		}
	}
	all = append(all, r.orphans...)
	slices.SortFunc(all, func(a, b ItemWait) int { return a.LastProgress.Compare(b.LastProgress) })
	return all
}

// itemWait returns what the task waits for. The caller holds the runner's lock.
func (t *task) itemWait() ItemWait {
	wait := ItemWait{
		Job: t.owned.job.ID, Item: t.owned.job.Items[t.index].ID,
		For: t.wait, LastProgress: t.lastProgress, Start: t.waitStart, Cause: t.waitCause,
	}
	if wait.Start.IsZero() {
		wait.Start = t.lastProgress
	}
	if t.state == taskRunning {
		wait.Replica = t.replica
	}
	return wait
}

// WaitCounts counts the unlisted items of this node by what they wait for, in the order of
// Wait; what no item waits for is there with a count of 0.
func (r *Runner) WaitCounts(now time.Time) []WaitCount {
	counts := make([]WaitCount, waitKinds)
	for i := range counts {
		counts[i].For = Wait(i)
	}
	for _, wait := range r.ItemWaits() {
		count := &counts[wait.For]
		count.Count++
		count.Oldest = max(count.Oldest, now.Sub(wait.LastProgress))
	}
	return counts
}

// maxStall is how long an item may go without progress at most before it is worth a log
// line, whatever it waits for, by turns.
const maxStall = 10 * time.Second

// noBound waits end by what operators or callers do, or when the item expires. What begins
// them is logged once.
const noBound = time.Duration(math.MaxInt64)

// Bound is how long an item usually waits for the same at most, while nodes, replicas and the
// store are there. Design 0018 tells what ends each wait and who sees to it if that does not
// come.
func (w Wait) Bound() time.Duration {
	switch w {
	case WaitDispatch, WaitBackoff:
		return 2 * time.Second
	case WaitStartMark, WaitListing, WaitContent:
		return 5 * time.Second
	case WaitRoute, WaitQuarantine, WaitRegion:
		return noBound
	default:
		return maxStall
	}
}

// isOverdue reports whether an item has waited for longer than it should.
func (w *ItemWait) isOverdue(now time.Time) bool {
	bound := w.For.Bound()
	return bound != noBound && (now.Sub(w.Start) >= bound || now.Sub(w.LastProgress) >= maxStall)
}

// Overdue returns the items that have waited for longer than they should, that which came on
// longest ago first.
func (r *Runner) Overdue(now time.Time) []ItemWait {
	return slices.DeleteFunc(r.ItemWaits(), func(wait ItemWait) bool { return !wait.isOverdue(now) })
}
