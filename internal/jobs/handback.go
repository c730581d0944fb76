package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// handBackRetry is the pause before a job that could not be handed back is
// tried again.
const handBackRetry = 300 * time.Millisecond

// HandBack gives this node's jobs free for others, with the texts that their
// items have brought so far. Until a job is handed back its running items go
// on, so nothing is lost while the store does not answer. It returns when all
// jobs are handed back, or when the context ends.
func (r *Runner) HandBack(ctx context.Context) {
	r.mu.Lock()
	r.paused = true
	r.mu.Unlock()
	r.allWait(WaitHandBack)
	owned := r.ownedWork()
	done := make(chan struct{}, len(owned))
	for _, one := range owned {
		go func() {
			r.handBack(ctx, one)
			done <- struct{}{}
		}()
	}
	for range owned {
		<-done
	}
}

func (r *Runner) handBack(ctx context.Context, owned *work) {
	defer owned.cancel()
	for ctx.Err() == nil && owned.ctx.Err() == nil {
		if r.runsOnce(owned) {
			retry.Sleep(ctx, onceCheck)
			continue
		}
		if r.keepTexts(ctx, owned, 1) && r.release(ctx, owned) {
			return
		}
		retry.Sleep(ctx, handBackRetry)
	}
}

// release gives a job free, with the failures counted so far.
func (r *Runner) release(ctx context.Context, owned *work) bool {
	failures := map[int]int{}
	notRun := r.markedNotRun(owned)
	r.mu.Lock()
	for _, one := range owned.tasks {
		if one.failures > 0 {
			failures[one.index] = one.failures
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
		progress.unmark(notRun)
		for item, count := range failures {
			progress.Failures[item] = max(progress.Failures[item], count)
		}
		return nil, true
	})
	// A job whose progress cannot be read is nobody's to hand back.
	return err == nil || errors.Is(err, ErrUnreadable)
}
