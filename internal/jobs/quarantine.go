package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// Quarantine keeps items away from replicas if they are suspected of crashing them. It is safe for
// concurrent use.
type Quarantine interface {
	// Refuse returns a quarantine.RefusalError for an item that must not be sent. It calls work only
	// while some work is suspected.
	Refuse(work func() quarantine.Work) error
	// RefuseItemParts is like Refuse, for the parts of the item's prompt that others may hold too. It
	// returns the part of which the item runs as a trial; zero if none.
	RefuseItemParts(parts func() []quarantine.Work) (tried quarantine.Work, err error)
	// ClaimForItem claims a replica for the trial of an item, which starts at once.
	ClaimForItem(work quarantine.Work, replica string)
	// ClaimedReplicas returns the ids of the replicas that trials have claimed; nil if there are none.
	ClaimedReplicas() map[string]bool
	// RecordSuccess records a complete answer for the work.
	RecordSuccess(work quarantine.Work)
	// RecordPartSuccess records a complete answer for the parts of a prompt.
	RecordPartSuccess(parts []quarantine.Work)
	// RecordInterruption records that a replica's answer to a run was interrupted. It returns once
	// it is known whether the replica crashed, or after a short time.
	RecordInterruption(ctx context.Context, replica quarantine.Replica, run quarantine.Run)
	forward.CrashDetector
}

// quarantineRecheckDelay is the time until a quarantined item is checked again.
const quarantineRecheckDelay = time.Second

// workIdentity returns the quarantine identity of a task's item, which is computed once. The caller
// must not hold the runner's lock.
func (r *Runner) workIdentity(t *task, item *Item) quarantine.Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.workID == nil {
		identity := r.itemRequest(t.owned.job, item).Work()
		t.workID = &identity
	}
	return *t.workID
}

// holdQuarantined reports whether an item must not be sent to any replica. Such an item is delayed,
// or ended if EndQuarantined is set and a trial of it has failed: before that, the crashes may have
// had other causes, and an item that has ended is not run again.
func (r *Runner) holdQuarantined(t *task, item *Item, pool string, now time.Time) bool {
	if r.Quarantine == nil {
		return false
	}
	err := r.Quarantine.Refuse(func() quarantine.Work { return r.workIdentity(t, item) })
	refusal := (*quarantine.RefusalError)(nil)
	trial, tried := errors.As(err, &refusal) && refusal.ItemTrialDue(now), quarantine.Work{}
	if trial {
		// Only one node runs the item, so its trial takes place at one replica at a time.
		err = nil
	}
	if err == nil && !trial {
		tried, err = r.Quarantine.RefuseItemParts(func() []quarantine.Work { return r.sharedParts(t, item, pool) })
		errors.As(err, &refusal)
	}
	r.mu.Lock()
	t.trial, t.triedPart = trial, tried
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

// sharedParts identifies the parts of an item's prompt that other requests to the pool may hold too.
func (r *Runner) sharedParts(t *task, item *Item, pool string) []quarantine.Work {
	return r.itemRequest(t.owned.job, item).SharedParts(pool)
}

// isTrial reports whether the latest run of a task was a trial. The caller must not hold the
// runner's lock.
func (r *Runner) isTrial(t *task) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.trial
}

// claimForTrial claims the replica to which an item is about to be sent, if the run is a trial. The caller
// must not hold the runner's lock.
func (r *Runner) claimForTrial(t *task, item *Item, replicaID string) {
	if r.Quarantine != nil && r.isTrial(t) {
		r.Quarantine.ClaimForItem(r.workIdentity(t, item), replicaID)
	}
}

// claimedReplicas returns the ids of the replicas on which trials run; nil if there are none.
func (r *Runner) claimedReplicas() map[string]bool {
	if r.Quarantine == nil {
		return nil
	}
	return r.Quarantine.ClaimedReplicas()
}

// confirmEnd returns an error if an answer ended because its replica crashed.
func (r *Runner) confirmEnd(ctx context.Context, answer *forward.Answer, chosen replica.Info) error {
	if r.Quarantine == nil {
		return nil
	}
	return forward.ConfirmEnd(ctx, r.Quarantine, answer, chosen)
}

// reportToQuarantine reports the result of an attempt at an item, which was sent at start and
// resumed after event resumedAfter. An interrupted run that brought new events does not count
// against the item, only against the parts of its prompt: items run for long, so many of them are
// running when a replica crashes, and those that make progress will complete.
func (r *Runner) reportToQuarantine(ctx context.Context, t *task, item *Item, chosen replica.Info, start time.Time, resumedAfter int, err error) {
	if r.Quarantine == nil {
		return
	}
	if err == nil {
		r.Quarantine.RecordSuccess(r.workIdentity(t, item))
		r.Quarantine.RecordPartSuccess(r.sharedParts(t, item, chosen.Pool))
		return
	}
	if !forward.LooksLikeCrash(err, 0) {
		return
	}
	madeProgress, parts := t.lastEvent > resumedAfter, r.sharedParts(t, item, chosen.Pool)
	if madeProgress && len(parts) == 0 {
		return
	}
	r.mu.Lock()
	trial, tried := t.trial, t.triedPart
	r.mu.Unlock()
	run := quarantine.Run{
		Work: r.workIdentity(t, item), SentAt: start, Trial: trial, Parts: parts, TriedPart: tried, PartsOnly: madeProgress,
	}
	r.Quarantine.RecordInterruption(ctx, forward.QuarantinedReplica(chosen), run)
}
