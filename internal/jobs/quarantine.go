package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// quarantineRecheckDelay is the time between two looks whether an item still is quarantined.
const quarantineRecheckDelay = time.Second

// workIdentity returns the workIdentity of a task's item, which is computed once. The caller does not
// hold the runner's lock.
func (r *Runner) workIdentity(t *task, item *Item) quarantine.Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.workID == nil {
		identity := itemRequest(t.owned.job, item).Work()
		t.workID = &identity
	}
	return *t.workID
}

// holdQuarantined reports whether an item must not be sent to any replica. It has then been put
// off, or ended.
func (r *Runner) holdQuarantined(t *task, item *Item, now time.Time) bool {
	if r.Quarantine == nil {
		return false
	}
	err := r.Quarantine.Refuse(func() quarantine.Work { return r.workIdentity(t, item) })
	if refused := (*quarantine.RefusedError)(nil); errors.As(err, &refused) && refused.TrialDue(now) {
		// One node has the item, so it is tried at one replica at a time.
		err = nil
	}
	r.mu.Lock()
	first := err != nil && !t.quarantined
	t.quarantined = err != nil
	if t.quarantined {
		t.notBefore = now.Add(quarantineRecheckDelay)
		t.setWait(WaitQuarantine, err)
	}
	r.mu.Unlock()
	if err == nil {
		return false
	}
	if first {
		r.Service.Events.ItemQuarantined(t.owned.job, item.ID, err)
	}
	if r.EndQuarantined {
		r.finish(t, Quarantined)
	}
	return true
}

// reportToQuarantine tells how an attempt at an item ended that was sent at a time, after an event. Runs that
// brought new events do not speak against it: items run for long, so many of them are there
// when a replica ends, and those that go on after what they have come to an end.
func (r *Runner) reportToQuarantine(ctx context.Context, t *task, item *Item, chosen replica.Info, start time.Time, firstEvent int, err error) {
	if r.Quarantine == nil {
		return
	}
	if err == nil {
		r.Quarantine.RecordSuccess(r.workIdentity(t, item))
		return
	}
	if t.lastEvent > firstEvent || !forward.LooksLikeCrash(err, 0) {
		return
	}
	r.Quarantine.RecordInterruption(ctx, quarantine.Replica{ID: chosen.ID, StartTime: chosen.Born, Address: chosen.Address}, quarantine.Run{Work: r.workIdentity(t, item), SentAt: start})
}
