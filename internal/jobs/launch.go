package jobs

import (
	"context"
	"maps"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// pendingSend is an item to be sent, with the constraints on where it may go.
type pendingSend struct {
	lane
	task    *task
	target  *route.Route
	regions place.Regions
	// after is the last event of the item's text.
	after int
}

// item returns the content of the item.
func (s *pendingSend) item() *Item { return &s.task.owned.items[s.task.index] }

// sendResult is the result of a try to send an item.
type sendResult int

const (
	itemStarted sendResult = iota
	// notReady means that something about the item itself prevents it from being sent.
	notReady
	// noReplica means that no replica accepts the item.
	noReplica
	// allExcluded means that all replicas where this node has slots refused or failed the item.
	// Other nodes may occupy these slots indefinitely.
	allExcluded
)

// trySend sends one task if a replica has a free slot. The error says why none has.
func (r *Runner) trySend(send pendingSend, now time.Time) (sendResult, error) {
	if !r.readyToSend(send, now) {
		return notReady, nil
	}
	t, criteria := send.task, r.criteria(send)
	chosen, err := replica.Pick(r.Replicas.SnapshotFor(send.pool, criteria, now), criteria, r.Weights)
	if err != nil {
		if len(criteria.Exclude) == 0 {
			return noReplica, err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		t.excluded = map[string]bool{}
		return allExcluded, nil
	}
	if !r.startRun(send, criteria, chosen, "") {
		return notReady, nil
	}
	return itemStarted, nil
}

// readyToSend reports whether nothing about the item itself prevents it from being sent.
func (r *Runner) readyToSend(send pendingSend, now time.Time) bool {
	t := send.task
	if r.holdUnchecked(t, now) {
		return false
	}
	if r.needsStartMark(t) {
		r.recordWait(t, WaitStartMark, nil)
		r.markStarted(t.owned)
		return false
	}
	return true
}

// criteria returns the criteria for choosing a replica for an item. The excluded replicas are copied,
// because a run that began meanwhile in a borrowed slot may exclude more.
func (r *Runner) criteria(send pendingSend) *replica.Criteria {
	r.mu.Lock()
	excluded := maps.Clone(send.task.excluded)
	r.mu.Unlock()
	return &replica.Criteria{
		Zone: r.Zone, Region: r.Region, RequestInfo: replica.RequestInfo{Tokens: int(send.item().Tokens), Batch: true},
		Adapter: send.target.Adapter, Reserve: send.target.Reserve, Exclude: excluded, Regions: send.regions,
		Claimed: r.claimedReplicas(), SoftwareVersion: send.requiredSoftware(),
	}
}

// startRun sends an item to a replica, into the slot reserved there if reservation names one. It
// reports whether the item was sent.
func (r *Runner) startRun(send pendingSend, criteria *replica.Criteria, chosen *replica.Candidate, reservation string) bool {
	t, now := send.task, clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || t.state != taskWaiting || t.owned.ctx.Err() != nil || !send.maySendTo(&chosen.Info) {
		return false
	}
	if !r.mayRun(t.owned, now) {
		// The job may have been ended while a slot was reserved.
		t.setWait(WaitView, nil)
		return false
	}
	use := r.Replicas.BeginAt(chosen.Info, criteria.RequestInfo, now)
	if use == nil {
		// The replica is cold and its rate was used up meanwhile, or it has restarted.
		t.setWait(WaitReplica, nil)
		return false
	}
	if !t.continues(&chosen.Info) {
		t.discardText()
	}
	t.state = taskRunning
	t.setWait(WaitAnswer, nil)
	if t.firstSent.IsZero() {
		t.firstSent = now
	}
	t.preempted = false
	t.use, t.reservation, t.borrowed = use, reservation, criteria.Borrowed
	t.elsewhere = criteria.Distance(chosen) == place.OtherRegion
	t.starved = now.Sub(t.lastProgress) >= replica.StarvedAfter
	ctx, cancel := context.WithCancelCause(t.owned.ctx)
	t.replica, t.pool, t.cancel = chosen.ID, send.pool, cancel
	go r.runAttempt(ctx, t, send.item(), send.target, chosen.Info, use)
	return true
}
