package jobs

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// errOwned reports that another node was faster.
var errOwned = errors.New("job has another owner")

// RunClaims takes over jobs whose owner is gone, until the context ends.
func (r *Runner) RunClaims(ctx context.Context) {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.claimLost(ctx)
		}
	}
}

func (r *Runner) claimLost(ctx context.Context) {
	session, err := r.Service.Session(ctx)
	if err != nil || r.stopped() {
		return
	}
	var foreign []*Entry
	for _, entry := range r.Service.View.Open() {
		if entry.Progress.Owner != session {
			foreign = append(foreign, entry)
		}
	}
	if len(foreign) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.Owners.Refresh(callCtx) != nil {
		return
	}
	live := r.Owners.Live()
	for _, entry := range foreign {
		owner := entry.Progress.Owner
		if (owner == "" || r.Owners.Expired(owner)) && preferred(live, entry.Job.ID) == session {
			r.claim(ctx, entry, session)
		}
	}
}

// claim makes this node the owner, unless another one is by then.
func (r *Runner) claim(ctx context.Context, entry *Entry, session string) {
	callCtx, cancel := context.WithTimeout(ctx, slowCallTimeout)
	defer cancel()
	from := entry.Progress.Owner
	lost := false
	err := r.Service.update(callCtx, entry.Job.ID, func(progress *Progress) ([]table.Write, bool) {
		lost = progress.Owner != from && progress.Owner != session
		if lost || progress.Ended || progress.Owner == session {
			return nil, false
		}
		progress.Owner = session
		return nil, true
	})
	if err == nil && lost {
		err = errOwned
	}
	r.Service.Events.Claimed(entry, from, err)
}

// preferred is the live session that should take a job over (rendezvous
// hashing), so that lost jobs are spread and nodes seldom race.
func preferred(live []string, job string) string {
	best := ""
	var bestWeight uint64
	for _, session := range live {
		sum := fnv.New64a()
		_, _ = sum.Write([]byte(session))
		_, _ = sum.Write([]byte(job))
		if weight := sum.Sum64(); best == "" || weight > bestWeight {
			best, bestWeight = session, weight
		}
	}
	return best
}

func (r *Runner) stopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paused
}

// HandBack stops all items, keeps what they have brought so far and gives the
// jobs free for others.
func (r *Runner) HandBack(ctx context.Context) {
	r.mu.Lock()
	r.paused = true
	var owned []*work
	for _, one := range r.owned {
		owned = append(owned, one)
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
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
	owned.cancel()
	r.mu.Lock()
	failures := map[int]int{}
	var kept []table.Write
	for _, one := range owned.tasks {
		if one.failures > 0 {
			failures[one.index] = one.failures
		}
		unlisted := one.state == taskWaiting || one.state == taskRunning
		if unlisted && one.after > 0 && len(one.text) <= maxRowText && len(kept) < commitRows {
			body := encode(storedResult{Text: string(one.text), After: one.after})
			kept = append(kept, table.Write{Key: keptKey(owned.job.ID, one.index), Expect: table.Absent, Body: body})
		}
	}
	r.mu.Unlock()
	if len(kept) > 0 {
		// A text that an earlier owner kept stands; then these are lost.
		_, _ = r.Service.Table.Commit(ctx, table.NewOperation(), kept...)
	}
	// If this fails, the job is taken over once the session is gone.
	_ = r.Service.update(ctx, owned.job.ID, func(progress *Progress) ([]table.Write, bool) {
		if progress.Ended || progress.Owner == "" {
			return nil, false
		}
		progress.Owner = ""
		for item, count := range failures {
			progress.Failures[item] = max(progress.Failures[item], count)
		}
		return nil, true
	})
}
