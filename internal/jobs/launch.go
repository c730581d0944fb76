package jobs

import (
	"context"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// itemSend is an item to be sent, with where it may go.
type itemSend struct {
	lane
	task   *task
	target *route.Route
	homes  place.Regions
}

// item returns the content of the item.
func (s *itemSend) item() *Item { return &s.task.work.items[s.task.index] }

// startResult is what came of a try to send an item.
type startResult int

const (
	startedItem startResult = iota
	// notNow items must wait for something of their own.
	notNow
	// noRoom tells that no replica takes an item.
	noRoom
	// allTried tells that all replicas where this node has slots refused an item, or failed
	// it: others may hold these slots for good.
	allTried
)

// start sends one task if a replica has room. The error says why there is none.
func (r *Runner) start(send itemSend, now time.Time) (startResult, error) {
	if !r.prepared(send, now) {
		return notNow, nil
	}
	one, demand := send.task, r.demand(send)
	chosen, err := replica.Pick(r.Replicas.SnapshotFor(send.pool, demand, now), demand, r.Weights)
	if err != nil {
		if len(one.exclude) == 0 {
			return noRoom, err
		}
		one.exclude = map[string]bool{}
		return allTried, nil
	}
	if !r.launch(send, demand, chosen, "") {
		return notNow, nil
	}
	return startedItem, nil
}

// prepared reports whether nothing of its own keeps an item from being sent.
func (r *Runner) prepared(send itemSend, now time.Time) bool {
	one := send.task
	if r.quarantined(one, send.item(), now) {
		return false
	}
	if r.unmarked(one) {
		r.noteWait(one, WaitMark, nil)
		r.markStarted(one.work)
		return false
	}
	return true
}

// demand is what an item asks of a replica.
func (r *Runner) demand(send itemSend) *replica.Criteria {
	return &replica.Criteria{
		Zone: r.Zone, Region: r.Region, RequestInfo: replica.RequestInfo{Tokens: int(send.item().Tokens), Batch: true},
		Adapter: send.target.Adapter, Reserve: send.target.Reserve, Exclude: send.task.exclude, Regions: send.homes,
	}
}

// launch sends an item to a replica, into the slot set aside there if a reservation names
// one. It reports whether the item was sent.
func (r *Runner) launch(send itemSend, demand *replica.Criteria, chosen *replica.Candidate, reservation string) bool {
	one, now := send.task, clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paused || one.state != taskWaiting || one.work.ctx.Err() != nil {
		return false
	}
	use := r.Replicas.BeginAt(chosen.Info, demand.RequestInfo, now)
	if use == nil {
		// The replica is cold and others have used its rate up meanwhile, or it has
		// started again since.
		one.waits(WaitReplica, nil)
		return false
	}
	one.state = taskRunning
	one.waits(WaitAnswer, nil)
	if one.started.IsZero() {
		one.started = now
	}
	one.yielding = false
	one.use, one.reservation, one.borrowed = use, reservation, demand.Borrowed
	one.starved = now.Sub(one.cameOn) >= replica.StarvedAfter
	ctx, cancel := context.WithCancelCause(one.work.ctx)
	one.replica, one.pool, one.cancel = chosen.ID, send.pool, cancel
	go r.run(ctx, one, send.item(), send.target, chosen.Info, use)
	return true
}
