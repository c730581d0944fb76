package jobs

import (
	"errors"
	"sort"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// errYielded reports an item that gave its slot to online requests.
var errYielded = errors.New("item gave way to online requests")

// yieldPause is the pause before an item that gave way is sent again. It goes
// on after the text it has.
const yieldPause = 250 * time.Millisecond

// errMoved reports an item that another node runs now.
var errMoved = errors.New("another node runs the item")

// Yield makes room at a replica for online requests: some of this node's items
// there are broken off, those first that are due last.
func (r *Runner) Yield(id string, items int, why replica.Pressure) {
	r.yield(items, why, func(one *task) bool { return one.replica == id })
}

// YieldPool makes room in a pool for online requests of other nodes: some of this
// node's items there are broken off, those first that are due last. The slots of those
// that run on where operators empty the zone are of no use to others.
func (r *Runner) YieldPool(pool string, items int, why replica.Pressure) {
	r.yield(items, why, func(one *task) bool { return one.pool == pool && !one.borrowed && !r.Replicas.IsEvacuated(one.replica) })
}

// YieldBorrowed has items leave slots of a pool that they borrowed from other nodes.
func (r *Runner) YieldBorrowed(pool string, items int, why replica.Pressure) {
	r.yield(items, why, func(one *task) bool { return one.pool == pool && one.borrowed })
}

// yield has items leave, but for those that may run only once, and those that have not come on
// for so long that they were starved when they were sent: under a pressure that does not end
// an item would else be broken off before its first event each time, for good.
func (r *Runner) yield(items int, why replica.Pressure, concerns func(*task) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var running []*task
	for _, owned := range r.owned {
		for _, one := range owned.tasks {
			if one.state == taskRunning && concerns(one) && !one.once && !one.yielding && !one.starved {
				running = append(running, one)
			}
		}
	}
	storeNow := r.Service.View.Now()
	sort.Slice(running, func(i, j int) bool {
		return r.turnOf(running[j], storeNow).before(r.turnOf(running[i], storeNow))
	})
	for _, one := range running[:min(items, len(running))] {
		r.Service.Events.GaveWay(one.work.job, one.work.job.Items[one.index].ID, one.replica, one.after, why)
		one.yielding = true
		one.use.MarkPreempted()
		one.cancel(errYielded)
	}
}
