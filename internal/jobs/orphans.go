package jobs

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// orphans are items that no live node runs and that this node sees to, with what they wait
// for. They have no tasks.
type orphans []ItemWait

// add notes items of a job; those that were known before keep the time since when they wait.
func (n *orphans) add(entry *Entry, items []int, kind Wait) {
	for _, item := range items {
		*n = append(*n, ItemWait{Job: entry.Job.ID, Item: entry.Job.Items[item].ID, For: kind})
	}
}

// setStart dates items: from when they were first found, or from a moment.
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

// setOrphans takes in what a look at lost owners found.
func (r *Runner) setOrphans(found orphans) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found.setStart(r.orphans, clock.Now())
	r.orphans = found
}
