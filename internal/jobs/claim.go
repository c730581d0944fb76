package jobs

import (
	"context"
	"errors"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// errOwned reports that another node was faster.
var errOwned = errors.New("job has another owner")

// RunClaims takes over jobs whose owner is gone, until the context ends.
func (r *Runner) RunClaims(ctx context.Context) {
	for retry.Sleep(ctx, r.Owners.RefreshInterval()) {
		r.claimLost(ctx)
	}
}

func (r *Runner) claimLost(ctx context.Context) {
	session, err := r.Service.Session(ctx)
	if err != nil || r.stopped() || !r.Service.View.Known() || r.Service.Routes != nil && r.Service.Routes() == nil {
		return
	}
	if !r.refreshed(ctx) {
		return
	}
	r.Replicas.Divide(lease.Node(session), r.Owners.Places())
	live := r.Owners.Live()
	var found nobodys
	for _, entry := range r.Service.View.Open() {
		r.claimEntry(ctx, entry, live, session, &found)
	}
	r.noteNobodys(found)
}

// claimEntry takes over what this node should of a job. Only nodes in its homes do, those
// of the region where the items were first.
func (r *Runner) claimEntry(ctx context.Context, entry *Entry, live []string, session string, found *nobodys) {
	homes := r.Service.homes(entry.Job)
	allowed := r.Service.allowed(live, homes)
	if homes != nil && len(allowed) == 0 {
		if lease.Preferred(live, entry.Job.ID) == session {
			found.add(entry, entry.unlisted(), WaitHome)
			r.awaitHome(ctx, entry, homes)
		}
		return
	}
	delete(r.homeless, entry.Job.ID)
	if len(entry.Job.Nodes) == 0 {
		if entry.Progress.Owner != session && r.mayClaim(entry, homes, allowed, session) {
			found.add(entry, entry.unlisted(), WaitOwner)
			r.claim(ctx, entry, session)
		}
		return
	}
	for _, lost := range r.lostItems(entry, homes, session) {
		if lease.Preferred(r.near(allowed, lost.region), entry.Job.ID+lost.node) == session {
			found.add(entry, entry.itemsOf(lost.node), WaitOwner)
			r.claimItems(ctx, entry, lost, session)
		}
	}
}

// near returns those of some sessions whose nodes stand in a region, all if none does.
func (r *Runner) near(sessions []string, region string) []string {
	var near []string
	for _, session := range sessions {
		if region != "" && r.Owners.Region(lease.Node(session)) == region {
			near = append(near, session)
		}
	}
	if len(near) == 0 {
		return sessions
	}
	return near
}

// lostItems are the items of a job that a node cannot run any more, by the region where
// they were to run when the job was accepted: all nodes know that one alike, and a lost
// node tells none.
type lostItems struct{ node, region string }

// lostItems returns what nodes have to run of a job that are gone, or stand outside its
// homes.
func (r *Runner) lostItems(entry *Entry, homes place.Regions, session string) []lostItems {
	var lost []lostItems
	listed := entry.Progress.listed(len(entry.Job.Items))
	for i := range entry.Job.Items {
		one := lostItems{node: entry.runner(i), region: entry.region(i)}
		if listed[i] || one.node == lease.Node(session) || slices.Contains(lost, one) {
			continue
		}
		if r.Owners.Gone(one.node) || r.displaced(one.node, homes) {
			lost = append(lost, one)
		}
	}
	return lost
}

// claimItems makes this node run what a lost one had to, unless another one does
// by then.
func (r *Runner) claimItems(ctx context.Context, entry *Entry, lost lostItems, session string) {
	callCtx, cancel := context.WithTimeout(ctx, slowCallTimeout)
	defer cancel()
	items := entry.itemsOf(lost.node)
	err := r.Service.update(callCtx, entry.Job.ID, func(progress *Progress) ([]table.Write, bool) {
		if progress.Ended {
			return nil, false
		}
		next := Entry{Job: entry.Job, Progress: progress}
		changed := false
		for _, item := range items {
			if next.runner(item) != lost.node || entry.region(item) != lost.region || progress.has(item) {
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
	r.Service.Events.Claimed(entry, lost.node, err)
}

// mayClaim reports whether this node should take a job over: its own from before a
// restart at once, those of others once their owner is gone or outside the job's homes.
func (r *Runner) mayClaim(entry *Entry, homes place.Regions, allowed []string, session string) bool {
	owner := entry.Progress.Owner
	if owner != "" && lease.SameNode(owner, session) {
		return r.Service.mayHold(entry.Job, session)
	}
	free := owner == "" || r.Owners.Expired(owner) || r.displaced(lease.Node(owner), homes)
	return free && lease.Preferred(allowed, entry.Job.ID) == session
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
