package jobs

import (
	"errors"
	"sort"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// errPreempted reports an item that gave its slot to online requests.
var errPreempted = errors.New("item gave way to online requests")

// preemptedBackoff is the pause before an item that gave way is sent again. It goes
// on after the text it has.
const preemptedBackoff = 250 * time.Millisecond

// errReassigned reports an item that another node runs now.
var errReassigned = errors.New("another node runs the item")

// Preempt makes room at a replica for online requests: some of this node's items
// there are broken off, those first that are due last.
func (r *Runner) Preempt(id string, items int, why replica.Pressure) {
	r.preempt(items, why, func(t *task) bool { return t.replica == id })
}

// PreemptPool makes room in a pool for online requests of other nodes: some of this
// node's items there are broken off, those first that are due last. The slots of those
// that run on where operators empty the zone are of no use to others.
func (r *Runner) PreemptPool(pool string, items int, why replica.Pressure) {
	r.preempt(items, why, func(t *task) bool { return t.pool == pool && !t.borrowed && !r.Replicas.Emptied(t.replica) })
}

// PreemptBorrowed has items leave slots of a pool that they borrowed from other nodes.
func (r *Runner) PreemptBorrowed(pool string, items int, why replica.Pressure) {
	r.preempt(items, why, func(t *task) bool { return t.pool == pool && t.borrowed })
}

// preempt has items leave, but for those that may run only once, and those that have not come on
// for so long that they were starved when they were sent: under a pressure that does not end
// an item would else be broken off before its first event each time, for good.
func (r *Runner) preempt(items int, why replica.Pressure, eligible func(*task) bool) {
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
		r.Service.Events.ItemPreempted(t.owned.job, t.owned.job.Items[t.index].ID, t.replica, t.lastEvent, why)
		t.preempted = true
		t.use.GiveWay()
		t.cancel(errPreempted)
	}
}
