package jobs

import (
	"context"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// sweepInterval is the time between two sweeps.
	sweepInterval = 5 * time.Second
	// sweepMargin is added to the retention, because nodes' estimates of the store's clock differ.
	sweepMargin = 10 * time.Second
	// maxSweepJobs bounds the jobs that one sweep removes.
	maxSweepJobs = 20
)

// RunSweeping removes jobs that are done or ended once the retention since their acceptance is
// over, until the context ends. A retention of zero keeps all jobs. Each job is removed by the node
// that Owners prefers for it.
func (r *Runner) RunSweeping(ctx context.Context, retention time.Duration) {
	if retention <= 0 {
		return
	}
	for retry.Sleep(ctx, sweepInterval) {
		r.sweepExpired(ctx, retention)
	}
}

func (r *Runner) sweepExpired(ctx context.Context, retention time.Duration) {
	session, err := r.Service.Session(ctx)
	if err != nil || r.isStopped() || !r.Service.View.Loaded() {
		return
	}
	expired := r.expiredJobs(retention)
	if len(expired) == 0 || !r.refreshOwners(ctx) {
		return
	}
	removed := 0
	for _, entry := range expired {
		if r.Owners.Preferred(entry.Job.ID) != session {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, slowCallTimeout)
		err := r.Service.Remove(callCtx, entry)
		cancel()
		r.Service.Events.Removed(entry.Job, err)
		removed++
		if err != nil || removed == maxSweepJobs {
			return
		}
	}
}

// refreshOwners updates what is known of other nodes. It reports whether that succeeded.
func (r *Runner) refreshOwners(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Owners.Refresh(callCtx) == nil
}

// expiredJobs returns the jobs that are done or ended and whose retention is over.
func (r *Runner) expiredJobs(retention time.Duration) []*Entry {
	var expired []*Entry
	for _, entry := range r.Service.View.All() {
		unreadable := r.Service.View.ProgressUnreadable(entry.Job.ID)
		if !unreadable && !entry.isOpen() && r.Service.View.timeUntil(entry.Job.Created+retention+sweepMargin) < 0 {
			expired = append(expired, entry)
		}
	}
	return expired
}
