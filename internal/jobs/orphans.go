package jobs

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// orphans are items that no live node runs and that this node should handle. They have no tasks.
type orphans []ItemWait

// add adds items of a job.
func (n *orphans) add(entry *Entry, items []int, kind Wait) {
	for _, item := range items {
		*n = append(*n, ItemWait{Job: entry.Job.ID, Item: entry.Job.Items[item].ID, For: kind})
	}
}

// setStart sets since when the items wait: those that were in previous keep their time, others get
// now.
func (n orphans) setStart(previous orphans, now time.Time) {
	type item struct {
		job, item string
		kind      Wait
	}
	known := make(map[item]time.Time, len(previous))
	for _, wait := range previous {
		known[item{wait.Job, wait.Item, wait.For}] = wait.LastProgress
	}
	for i, wait := range n {
		start, ok := known[item{wait.Job, wait.Item, wait.For}]
		if !ok {
			start = now
		}
		n[i].LastProgress, n[i].Start = start, start
	}
}

// setOrphans replaces the orphans with those found by a round of claims.
func (r *Runner) setOrphans(current orphans) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current.setStart(r.orphans, clock.Now())
	r.orphans = current
}
