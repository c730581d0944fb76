package jobs

import (
	"slices"
	"time"
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
	waits
)

// String returns the name used in logs and metrics.
func (w Wait) String() string {
	names := [waits]string{
		"look", "pause", "view", "routes", "route", "room", "replica", "quarantine", "mark", "hand-back", "answer", "listing",
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
func (t *task) waits(what Wait, cause error) { t.wait, t.waitCause = what, cause }

// Waiting returns what each unlisted item of this node waits for, that which came on longest ago first.
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
	}
	slices.SortFunc(all, func(a, b Waiting) int { return a.Since.Compare(b.Since) })
	return all
}

// waiting returns what the task waits for. The caller holds the runner's lock.
func (t *task) waiting() Waiting {
	waiting := Waiting{
		Job: t.work.job.ID, Item: t.work.job.Items[t.index].ID,
		For: t.wait, Since: t.cameOn, Cause: t.waitCause,
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

// overdueAfter is the time without progress from which on an item is worth a log line. An
// item that runs brings events many times a second, and one that waits for a slot gets one
// when another ends, within a few seconds; while nodes, replicas or the store are away it
// takes longer.
const overdueAfter = 10 * time.Second

// Overdue returns the items that have not come on for longer than they usually need, that
// which came on longest ago first.
func (r *Runner) Overdue(now time.Time) []Waiting {
	all := r.Waiting()
	for i, one := range all {
		if now.Sub(one.Since) < overdueAfter {
			return all[:i]
		}
	}
	return all
}
