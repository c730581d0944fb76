package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// quarantineRecheckDelay is the time until a quarantined item is checked again.
const quarantineRecheckDelay = time.Second

// workIdentity returns the quarantine identity of a task's item, which is computed once. The caller
// must not hold the runner's lock.
func (r *Runner) workIdentity(t *task, item *Item) quarantine.Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.workID == nil {
		identity := itemRequest(t.owned.job, item).Work()
		t.workID = &identity
	}
	return *t.workID
}

// holdQuarantined reports whether an item must not be sent to any replica. Such an item is delayed,
// or ended if EndQuarantined is set and a trial of it has failed: before that, the crashes may have
// had other causes, and an item that has ended is not run again.
func (r *Runner) holdQuarantined(t *task, item *Item, now time.Time) bool {
	if r.Quarantine == nil {
		return false
	}
	err := r.Quarantine.Refuse(func() quarantine.Work { return r.workIdentity(t, item) })
	refusal := (*quarantine.RefusalError)(nil)
	trial := errors.As(err, &refusal) && refusal.ItemTrialDue(now)
	if trial {
		// Only one node runs the item, so its trial takes place at one replica at a time.
		err = nil
	}
	r.mu.Lock()
	t.trial = trial
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
	if r.EndQuarantined && refusal.FailedTrials > 0 {
		r.finish(t, Quarantined)
	}
	return true
}

// isTrial reports whether the latest run of a task was a trial. The caller must not hold the
// runner's lock.
func (r *Runner) isTrial(t *task) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.trial
}

// reportToQuarantine reports the result of an attempt at an item, which was sent at start and
// resumed after event resumedAfter. An interrupted run that brought new events does not count
// against the item: items run for long, so many of them are running when a replica crashes, and
// those that make progress will complete.
func (r *Runner) reportToQuarantine(ctx context.Context, t *task, item *Item, chosen replica.Info, start time.Time, resumedAfter int, err error) {
	if r.Quarantine == nil {
		return
	}
	if err == nil {
		r.Quarantine.RecordSuccess(r.workIdentity(t, item))
		return
	}
	if t.lastEvent > resumedAfter || !forward.LooksLikeCrash(err, 0) {
		return
	}
	run := quarantine.Run{Work: r.workIdentity(t, item), SentAt: start, Trial: r.isTrial(t)}
	r.Quarantine.RecordInterruption(ctx, quarantine.Replica{ID: chosen.ID, StartedUnixMs: chosen.StartedUnixMs, Address: chosen.Address}, run)
}
