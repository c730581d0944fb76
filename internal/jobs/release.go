package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// releaseRetryDelay is the pause before a failed release is tried again.
const releaseRetryDelay = 300 * time.Millisecond

// Release releases this node's jobs to other nodes, with checkpoints of their unfinished items. The
// items of a job run on until it is released, so nothing is lost while the store is unavailable.
// Release returns when all jobs are released or the context ends.
func (r *Runner) Release(ctx context.Context) {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.recordWaitAll(WaitRelease)
	all := r.ownedJobs()
	done := make(chan struct{}, len(all))
	for _, owned := range all {
		go func() {
			r.releaseJob(ctx, owned)
			done <- struct{}{}
		}()
	}
	for range all {
		<-done
	}
}

func (r *Runner) releaseJob(ctx context.Context, owned *ownedJob) {
	defer owned.cancel()
	for ctx.Err() == nil && owned.ctx.Err() == nil {
		if r.hasAtMostOnceInFlight(owned) {
			retry.Sleep(ctx, atMostOncePollInterval)
			continue
		}
		if r.checkpoint(ctx, owned, 1) && r.tryRelease(ctx, owned) {
			return
		}
		retry.Sleep(ctx, releaseRetryDelay)
	}
}

// tryRelease writes that a job has no owner, with the failures counted so far. It reports whether
// the job needs no further try.
func (r *Runner) tryRelease(ctx context.Context, owned *ownedJob) bool {
	failures := map[int]int{}
	unsent := r.markedUnsent(owned)
	r.mu.Lock()
	for _, t := range owned.tasks {
		if t.failures > 0 {
			failures[t.index] = t.failures
		}
	}
	r.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.Service.update(callCtx, owned.job.ID, func(progress *Progress) ([]table.Write, bool) {
		if progress.Ended || (progress.Owner == "" && len(failures) == 0) {
			return nil, false
		}
		progress.Owner = ""
		progress.removeStarted(unsent)
		for item, count := range failures {
			progress.Failures[item] = max(progress.Failures[item], count)
		}
		return nil, true
	})
	// No node can release a job whose progress cannot be read.
	return err == nil || errors.Is(err, ErrUnreadable)
}
