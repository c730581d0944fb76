package jobs

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// nobodys are items that no live node runs and that this node sees to, with what they wait
// for. They have no tasks.
type nobodys []Waiting

// add notes items of a job; those that were known before keep the time since when they wait.
func (n *nobodys) add(entry *Entry, items []int, what Wait) {
	for _, item := range items {
		*n = append(*n, Waiting{Job: entry.Job.ID, Item: entry.Job.Items[item].ID, For: what})
	}
}

// since dates items: from when they were first found, or from a moment.
func (n nobodys) since(before nobodys, now time.Time) {
	type item struct {
		job, item string
		what      Wait
	}
	known := make(map[item]time.Time, len(before))
	for _, one := range before {
		known[item{one.Job, one.Item, one.For}] = one.Since
	}
	for i, one := range n {
		began, ok := known[item{one.Job, one.Item, one.For}]
		if !ok {
			began = now
		}
		n[i].Since, n[i].Begun = began, began
	}
}

// noteNobodys takes in what a look at lost owners found.
func (r *Runner) noteNobodys(found nobodys) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found.since(r.nobodys, clock.Now())
	r.nobodys = found
}
