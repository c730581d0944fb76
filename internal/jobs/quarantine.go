package jobs

import (
	"context"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// Quarantine knows of the work that crashes replicas. Only requests are such work: an item under which
// replicas crashed was there by chance. It is neither suspected nor held back, and its runs are no
// evidence about what else ran there. A Quarantine is safe for concurrent use.
type Quarantine interface {
	// ClaimedReplicas returns the ids of the replicas that trials of requests have claimed; nil if there
	// are none.
	ClaimedReplicas() map[string]bool
	// RecordPartSuccess records a complete answer for the parts of a prompt.
	RecordPartSuccess(parts []quarantine.Work)
	forward.EndDetector
}

// claimedReplicas returns the ids of the replicas on which trials run; nil if there are none.
func (r *Runner) claimedReplicas() map[string]bool {
	if r.Quarantine == nil {
		return nil
	}
	return r.Quarantine.ClaimedReplicas()
}

// confirmEnd returns an error if an answer may have ended because its replica did. While a replica is
// leaving that is true of each of its answers: a run elsewhere that has nothing to add costs little. It would
// make an at-most-once item dead.
func (r *Runner) confirmEnd(ctx context.Context, t *task, answer *forward.Answer, chosen replica.Info) error {
	if r.Quarantine == nil {
		return nil
	}
	if answer.Unframed && !t.atMostOnce && r.Quarantine.IsLeaving(forward.QuarantinedReplica(chosen)) {
		return forward.ErrDoubtfulEnd()
	}
	return forward.ConfirmEnd(ctx, r.Quarantine, answer, chosen)
}

// recordPartSuccess records that an item with the parts of its prompt was completed at a replica of the
// pool.
func (r *Runner) recordPartSuccess(t *task, item *Item, pool string) {
	if r.Quarantine != nil {
		r.Quarantine.RecordPartSuccess(r.itemRequest(t.owned.job, item).SharedParts(pool))
	}
}
