package jobs

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// orphans are items that no live node runs and that this node should handle. They have no tasks.
type orphans []ItemWait

// add adds items of a job.
func (n *orphans) add(entry *Entry, items []int, kind WaitReason) {
	for _, item := range items {
		*n = append(*n, ItemWait{Job: entry.Job.ID, Item: entry.Job.Items[item].ID, Reason: kind})
	}
}

// setStart sets since when the items wait: those that were in previous keep their time, others get
// now.
func (n orphans) setStart(previous orphans, now time.Time) {
	type item struct {
		job, item string
		kind      WaitReason
	}
	known := make(map[item]time.Time, len(previous))
	for _, wait := range previous {
		known[item{wait.Job, wait.Item, wait.Reason}] = wait.LastProgress
	}
	for i, wait := range n {
		start, ok := known[item{wait.Job, wait.Item, wait.Reason}]
		if !ok {
			start = now
		}
		n[i].LastProgress, n[i].Since = start, start
	}
}

// setOrphans replaces the orphans with those found by a round of claims.
func (r *Runner) setOrphans(current orphans) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current.setStart(r.orphans, clock.Now())
	r.orphans = current
}
