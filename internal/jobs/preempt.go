package jobs

import (
	"errors"
	"sort"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// errPreempted reports an item that was preempted by online requests.
var errPreempted = errors.New("item was preempted by online requests")

// preemptedBackoff is the pause before a preempted item is sent again. It resumes after the text it
// has.
const preemptedBackoff = 250 * time.Millisecond

// errReassigned reports an item that another node runs now.
var errReassigned = errors.New("another node runs the item")

// Preempt frees slots at a replica for online requests by canceling some of this node's items
// there, those of lowest priority first.
func (r *Runner) Preempt(id string, items int, pressure replica.Pressure) {
	r.preempt(items, pressure, func(t *task) bool { return t.replica == id })
}

// PreemptPool frees slots in a pool for online requests of other nodes by canceling some of this
// node's items, those of lowest priority first. Items in borrowed slots run on, as do those in a
// zone that is being evacuated, whose slots are of no use to others.
func (r *Runner) PreemptPool(pool string, items int, pressure replica.Pressure) {
	r.preempt(items, pressure, func(t *task) bool { return t.pool == pool && !t.borrowed && !r.Replicas.IsEvacuated(t.replica) })
}

// PreemptBorrowed cancels items in slots of a pool that are borrowed from other nodes of this node's
// region. Those of other regions leave for requests that wait at their replicas; see Preempt.
func (r *Runner) PreemptBorrowed(pool string, items int, pressure replica.Pressure) {
	r.preempt(items, pressure, func(t *task) bool { return t.pool == pool && t.borrowed && !t.elsewhere })
}

// preempt cancels items, except at-most-once items and those that were starved when they were sent:
// under lasting pressure, these would be canceled before their first event each time and never
// complete.
func (r *Runner) preempt(items int, pressure replica.Pressure, eligible func(*task) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var running []*task
	for _, owned := range r.owned {
		for _, t := range owned.tasks {
			if t.state == taskRunning && eligible(t) && !t.atMostOnce && !t.preempted && !t.starved {
				running = append(running, t)
			}
		}
	}
	storeNow := r.Service.View.Now()
	sort.Slice(running, func(i, j int) bool {
		return r.priorityOf(running[j], storeNow).before(r.priorityOf(running[i], storeNow))
	})
	for _, t := range running[:min(items, len(running))] {
		r.Service.Events.ItemPreempted(t.owned.job, t.owned.job.Items[t.index].ID, t.replica, t.lastEvent, pressure)
		t.preempted = true
		t.use.MarkPreempted()
		t.cancel(errPreempted)
	}
}
