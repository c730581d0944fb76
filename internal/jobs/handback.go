package jobs

import (
	"context"
	"time"

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
	var owned []*work
	for _, one := range r.owned {
		owned = append(owned, one)
	}
	r.mu.Unlock()
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
		if r.keepTexts(ctx, owned) && r.release(ctx, owned) {
			return
		}
		wait(ctx, handBackRetry)
	}
}

// keepTexts writes the texts of unfinished items.
func (r *Runner) keepTexts(ctx context.Context, owned *work) bool {
	writes, kept := r.keptWrites(owned)
	if len(writes) == 0 {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	versions, err := r.Service.Table.Commit(callCtx, table.NewOperation(), writes...)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, one := range kept {
		one.keptVersion = versions[i]
	}
	return true
}

func (r *Runner) keptWrites(owned *work) ([]table.Write, []*task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var writes []table.Write
	var kept []*task
	for _, one := range owned.tasks {
		unlisted := one.state == taskWaiting || one.state == taskRunning
		if !unlisted || one.after == 0 || len(one.text) > maxRowText || len(writes) >= commitRows {
			continue
		}
		body := encode(storedResult{Text: string(one.text), After: one.after})
		writes = append(writes, table.Write{Key: keptKey(owned.job.ID, one.index), Expect: one.keptVersion, Body: body})
		kept = append(kept, one)
	}
	return writes, kept
}

// release gives a job free, with the failures counted so far.
func (r *Runner) release(ctx context.Context, owned *work) bool {
	failures := map[int]int{}
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
		if progress.Ended || progress.Owner == "" {
			return nil, false
		}
		progress.Owner = ""
		for item, count := range failures {
			progress.Failures[item] = max(progress.Failures[item], count)
		}
		return nil, true
	})
	return err == nil
}
