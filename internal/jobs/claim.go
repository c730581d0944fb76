package jobs

import (
	"context"
	"errors"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// errOwned reports that another node was faster.
var errOwned = errors.New("job has another owner")

// RunClaims takes over jobs whose owner is gone, until the context ends.
func (r *Runner) RunClaims(ctx context.Context) {
	for retry.Sleep(ctx, r.Owners.LookInterval()) {
		r.claimLost(ctx)
	}
}

func (r *Runner) claimLost(ctx context.Context) {
	session, err := r.Service.Session(ctx)
	if err != nil || r.stopped() || !r.Service.View.Known() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.Owners.Refresh(callCtx) != nil {
		return
	}
	r.Replicas.Divide(lease.Node(session), r.Owners.Places())
	live := r.Owners.Live()
	for _, entry := range r.Service.View.Open() {
		if len(entry.Job.Nodes) == 0 {
			if entry.Progress.Owner != session && r.mayClaim(entry, live, session) {
				r.claim(ctx, entry, session)
			}
			continue
		}
		for _, node := range r.lostNodes(entry, session) {
			if lease.Preferred(live, entry.Job.ID+node) == session {
				r.claimItems(ctx, entry, node, session)
			}
		}
	}
}

// lostNodes returns the nodes that are gone and have items of a job to run.
func (r *Runner) lostNodes(entry *Entry, session string) []string {
	var lost []string
	listed := entry.Progress.listed(len(entry.Job.Items))
	for i := range entry.Job.Items {
		node := entry.runner(i)
		if listed[i] || node == lease.Node(session) || slices.Contains(lost, node) {
			continue
		}
		if r.Owners.Gone(node) {
			lost = append(lost, node)
		}
	}
	return lost
}

// claimItems makes this node run what a lost one had to, unless another one does
// by then.
func (r *Runner) claimItems(ctx context.Context, entry *Entry, lost, session string) {
	callCtx, cancel := context.WithTimeout(ctx, slowCallTimeout)
	defer cancel()
	items := entry.itemsOf(lost)
	err := r.Service.update(callCtx, entry.Job.ID, func(progress *Progress) ([]table.Write, bool) {
		if progress.Ended {
			return nil, false
		}
		next := Entry{Job: entry.Job, Progress: progress}
		changed := false
		for _, item := range items {
			if next.runner(item) != lost || progress.has(item) {
				continue
			}
			if progress.Moved == nil {
				progress.Moved = map[int]string{}
			}
			progress.Moved[item] = lease.Node(session)
			changed = true
		}
		return nil, changed
	})
	r.Service.Events.Claimed(entry, lost, err)
}

// mayClaim reports whether this node should take a job over: its own from
// before a restart at once, those of others once their owner is gone.
func (r *Runner) mayClaim(entry *Entry, live []string, session string) bool {
	owner := entry.Progress.Owner
	if owner != "" && lease.SameNode(owner, session) {
		return true
	}
	return (owner == "" || r.Owners.Expired(owner)) && lease.Preferred(live, entry.Job.ID) == session
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

func (r *Runner) stopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paused
}
