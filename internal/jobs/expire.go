package jobs

import (
	"context"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// sweepInterval is the time between two looks for jobs to be removed.
	sweepInterval = 5 * time.Second
	// sweepMargin is kept beyond what was promised, for estimates of the store's
	// clock differ between nodes.
	sweepMargin = 10 * time.Second
	// sweepAtOnce bounds the jobs that one look removes.
	sweepAtOnce = 20
)

// RunSweeping removes jobs that nobody may ask for any more, until the context
// ends: those that are done or ended, keep after their acceptance. Zero keeps
// all. Each job is removed by the node that Owners prefers for it.
func (r *Runner) RunSweeping(ctx context.Context, keep time.Duration) {
	if keep <= 0 {
		return
	}
	for retry.Sleep(ctx, sweepInterval) {
		r.sweepOld(ctx, keep)
	}
}

func (r *Runner) sweepOld(ctx context.Context, keep time.Duration) {
	session, err := r.Service.Session(ctx)
	if err != nil || r.stopped() || !r.Service.View.Known() {
		return
	}
	outdated := r.outdated(keep)
	if len(outdated) == 0 || !r.refreshed(ctx) {
		return
	}
	removed := 0
	for _, entry := range outdated {
		if r.Owners.Preferred(entry.Job.ID) != session {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, slowCallTimeout)
		err := r.Service.Remove(callCtx, entry)
		cancel()
		r.Service.Events.Removed(entry.Job, err)
		removed++
		if err != nil || removed == sweepAtOnce {
			return
		}
	}
}

// refreshed brings what is known of other nodes up to date. It reports whether that was
// possible.
func (r *Runner) refreshed(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Owners.Refresh(callCtx) == nil
}

// outdated returns the jobs that are done and have been kept for as long as was
// promised.
func (r *Runner) outdated(keep time.Duration) []*Entry {
	var outdated []*Entry
	for _, entry := range r.Service.View.All() {
		lost := r.Service.View.Lost(entry.Job.ID)
		if !lost && !entry.open() && r.Service.View.until(entry.Job.Created+keep+sweepMargin) < 0 {
			outdated = append(outdated, entry)
		}
	}
	return outdated
}
