package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// quarantinedPause is the time between two looks whether an item still is quarantined.
const quarantinedPause = time.Second

// identity returns the identity of a task's item, which is computed once. The caller does not
// hold the runner's lock.
func (r *Runner) identity(one *task, item *Item) quarantine.Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	if one.identity == nil {
		identity := itemRequest(one.work.job, item).Work()
		one.identity = &identity
	}
	return *one.identity
}

// quarantined reports whether an item must not be sent to any replica. It has then been put
// off, or ended.
func (r *Runner) quarantined(one *task, item *Item, now time.Time) bool {
	if r.Quarantine == nil {
		return false
	}
	err := r.Quarantine.Refuse(func() quarantine.Work { return r.identity(one, item) })
	if refused := (*quarantine.RefusedError)(nil); errors.As(err, &refused) && refused.TrialDue(now) {
		// One node has the item, so it is tried at one replica at a time.
		err = nil
	}
	r.mu.Lock()
	first := err != nil && !one.held
	one.held = err != nil
	if one.held {
		one.notUntil = now.Add(quarantinedPause)
		one.waits(WaitQuarantine, err)
	}
	r.mu.Unlock()
	if err == nil {
		return false
	}
	if first {
		r.Service.Events.ItemQuarantined(one.work.job, item.ID, err)
	}
	if r.EndQuarantined {
		r.finish(one, Quarantined)
	}
	return true
}

// tellQuarantine tells how an attempt at an item ended that was sent at a time, after an event. Runs that
// brought new events do not speak against it: items run for long, so many of them are there
// when a replica ends, and those that go on after what they have come to an end.
func (r *Runner) tellQuarantine(ctx context.Context, one *task, item *Item, chosen replica.Info, began time.Time, from int, err error) {
	if r.Quarantine == nil {
		return
	}
	if err == nil {
		r.Quarantine.RecordSuccess(r.identity(one, item))
		return
	}
	if one.after > from || !forward.LooksLikeCrash(err, 0) {
		return
	}
	r.Quarantine.RecordInterruption(ctx, quarantine.Replica{ID: chosen.ID, StartTime: chosen.StartedUnixMs, Address: chosen.Address}, quarantine.Run{Work: r.identity(one, item), SentAt: began})
}
