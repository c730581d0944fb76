package jobs

import (
	"math"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// WaitReason is what an unlisted item waits for.
type WaitReason uint8

const (
	// WaitDispatch items have not been considered for dispatch since they were assigned to this
	// node or became ready.
	WaitDispatch WaitReason = iota
	// WaitBackoff items are in the pause after an attempt that did not complete them.
	WaitBackoff
	// WaitView items wait for a current view of the jobs; with an old one, ends of jobs would be
	// missed.
	WaitView
	// WaitRoutes items wait for the first configuration of routes.
	WaitRoutes
	// WaitRoute items wait for a route that accepts batch items.
	WaitRoute
	// WaitSlot items wait for one of this node's own slots.
	WaitSlot
	// WaitReplica items wait for a replica that accepts them.
	WaitReplica
	// WaitStartMark items may run only once, and wait to be marked as started.
	WaitStartMark
	// WaitRelease items wait for this node to release their job.
	WaitRelease
	// WaitAnswer items run, and wait for the next event of their answer.
	WaitAnswer
	// WaitListing items have an outcome that is not listed yet.
	WaitListing
	// WaitContent items wait for their content to be read from the store.
	WaitContent
	// WaitOwner items wait to be taken over from a node that is gone or outside their allowed
	// regions.
	WaitOwner
	// WaitRegion items wait for a live node in their allowed regions.
	WaitRegion
	waitKinds
)

// String returns the name used in logs and metrics.
func (w WaitReason) String() string {
	names := [waitKinds]string{
		"look", "pause", "view", "routes", "route", "room", "replica", "mark", "hand-back", "answer", "listing", "content",
		"owner", "home",
	}
	if w >= waitKinds {
		return "unknown"
	}
	return names[w]
}

// ItemWait describes what one unlisted item waits for.
type ItemWait struct {
	Job, Item string
	Reason    WaitReason
	// LastProgress is when the item last made progress, by package clock: when it was assigned to
	// this node, its answer last brought an event, or it got its outcome.
	LastProgress time.Time
	// Since is when the item began to wait for Reason.
	Since time.Time
	// Replica is the replica that runs the item, if one does.
	Replica string
	// Cause is the error that causes the wait, if there is one.
	Cause error
	// BorrowErr is why the last item of the same lane that was to borrow a slot got none, as of
	// BorrowedAt; nil if it got one. BorrowedAt is zero if none was to.
	BorrowErr  error
	BorrowedAt time.Time
}

// WaitCount counts the items of this node that wait for the same reason.
type WaitCount struct {
	Reason WaitReason
	Count  int
	// Oldest is the longest time since one of them made progress.
	Oldest time.Duration
}

// setWait records what the task waits for from now on. The caller holds the runner's lock.
func (t *task) setWait(reason WaitReason, cause error) {
	if t.wait != reason || t.waitStart.IsZero() {
		t.waitStart = clock.Now()
	}
	t.wait, t.waitCause = reason, cause
}

// ItemWaits returns what each unlisted item of this node, and each orphan that it should take over,
// waits for, the least recent progress first.
func (r *Runner) ItemWaits() []ItemWait {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []ItemWait
	for _, owned := range r.owned {
		for _, t := range owned.tasks {
			if t.state != taskListed {
				all = append(all, r.itemWait(t))
			}
		}
		for _, index := range owned.unloaded {
			all = append(all, ItemWait{
				Job: owned.job.ID, Item: owned.job.Items[index].ID, Reason: WaitContent,
				LastProgress: owned.unloadedSince, Since: owned.unloadedSince, Cause: owned.loadErr,
			})
		}
	}
	all = append(all, r.orphans...)
	slices.SortFunc(all, func(a, b ItemWait) int { return a.LastProgress.Compare(b.LastProgress) })
	return all
}

// itemWait returns what the task waits for. The caller holds the runner's lock.
func (r *Runner) itemWait(t *task) ItemWait {
	wait := ItemWait{
		Job: t.owned.job.ID, Item: t.owned.job.Items[t.index].ID,
		Reason: t.wait, LastProgress: t.lastProgress, Since: t.waitStart, Cause: t.waitCause,
	}
	if wait.Since.IsZero() {
		wait.Since = t.lastProgress
	}
	if t.state == taskRunning {
		wait.Replica = t.replica
		return wait
	}
	borrowing := r.borrowStates[t.lane]
	wait.BorrowErr, wait.BorrowedAt = borrowing.lastErr, borrowing.lastAt
	return wait
}

// WaitCounts returns one count for each WaitReason, in their order, of the unlisted items of this
// node.
func (r *Runner) WaitCounts(now time.Time) []WaitCount {
	counts := make([]WaitCount, waitKinds)
	for i := range counts {
		counts[i].Reason = WaitReason(i)
	}
	for _, wait := range r.ItemWaits() {
		count := &counts[wait.Reason]
		count.Count++
		count.Oldest = max(count.Oldest, now.Sub(wait.LastProgress))
	}
	return counts
}

// maxStall is how long an item may go without progress before it is overdue, even if the reasons
// for its wait alternate.
const maxStall = 10 * time.Second

// neverOverdue is returned by OverdueAfter for waits that end by an action of operators or callers,
// or when the item expires. Their start is logged once.
const neverOverdue = time.Duration(math.MaxInt64)

// OverdueAfter returns how long an item may wait for this reason before it is overdue: the longest
// usual wait while nodes, replicas and the store are available.
func (w WaitReason) OverdueAfter() time.Duration {
	switch w {
	case WaitDispatch, WaitBackoff:
		return 2 * time.Second
	case WaitStartMark, WaitListing, WaitContent:
		return 5 * time.Second
	case WaitRoute, WaitRegion:
		return neverOverdue
	default:
		return maxStall
	}
}

// isOverdue reports whether an item has waited for longer than it should.
func (w *ItemWait) isOverdue(now time.Time) bool {
	bound := w.Reason.OverdueAfter()
	return bound != neverOverdue && (now.Sub(w.Since) >= bound || now.Sub(w.LastProgress) >= maxStall)
}

// waitsForDispatch reports whether an item waits for this node to send it, and how it does so depends on
// nodes and replicas alone.
func (w *ItemWait) waitsForDispatch() bool {
	switch w.Reason {
	case WaitAnswer, WaitListing, WaitRoute, WaitRegion, WaitOwner:
		return false
	default:
		return true
	}
}

// NotSent returns the items that have waited to be sent for at least bound, the least recent progress
// first.
func (r *Runner) NotSent(bound time.Duration, now time.Time) []ItemWait {
	return slices.DeleteFunc(r.ItemWaits(), func(wait ItemWait) bool {
		return !wait.waitsForDispatch() || now.Sub(wait.LastProgress) < bound
	})
}

// Overdue returns the items that have waited for longer than they should, the least recent progress
// first.
func (r *Runner) Overdue(now time.Time) []ItemWait {
	return slices.DeleteFunc(r.ItemWaits(), func(wait ItemWait) bool { return !wait.isOverdue(now) })
}
