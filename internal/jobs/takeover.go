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

// errOtherOwner reports that another node has taken the job over first.
var errOtherOwner = errors.New("job has another owner")

// RunClaims takes over jobs and items whose node is gone, until the context ends.
func (r *Runner) RunClaims(ctx context.Context) {
	for retry.Sleep(ctx, r.Owners.RefreshInterval()) {
		r.claimOrphaned(ctx)
	}
}

func (r *Runner) claimOrphaned(ctx context.Context) {
	session, err := r.Service.Session(ctx)
	if err != nil || r.isStopped() || !r.Service.View.Loaded() || r.Service.Routes != nil && r.Service.Routes() == nil {
		return
	}
	if !r.refreshOwners(ctx) {
		return
	}
	r.Replicas.Divide(lease.Node(session), r.Owners.Places())
	live := r.Owners.Live()
	var found orphans
	for _, entry := range r.Service.View.Open() {
		r.claimEntry(ctx, entry, live, session, &found)
	}
	r.setOrphans(found)
}

// claimEntry takes over those items of a job that this node should run. Only nodes in the job's
// allowed regions take over, those in the region where the items were first assigned before others.
func (r *Runner) claimEntry(ctx context.Context, entry *Entry, live []string, session string, found *orphans) {
	regions := r.Service.allowedRegions(entry.Job)
	candidates := r.Service.inRegions(live, regions)
	if regions != nil && len(candidates) == 0 {
		if lease.Preferred(live, entry.Job.ID) == session {
			found.add(entry, entry.unlisted(), WaitRegion)
			r.awaitRegion(ctx, entry, regions)
		}
		return
	}
	delete(r.awaitingRegion, entry.Job.ID)
	if len(entry.Job.Nodes) == 0 {
		if entry.Progress.Owner != session && r.mayClaim(entry, regions, candidates, session) {
			found.add(entry, entry.unlisted(), WaitOwner)
			r.claim(ctx, entry, session)
		}
		return
	}
	for _, lost := range r.lostItems(entry, regions, session) {
		if lease.Preferred(r.preferRegion(candidates, lost.region), entry.Job.ID+lost.node) == session {
			found.add(entry, entry.itemsOf(lost.node), WaitOwner)
			r.claimItems(ctx, entry, lost, session)
		}
	}
}

// preferRegion returns the sessions whose nodes are in a region, or all of them if none is.
func (r *Runner) preferRegion(sessions []string, region string) []string {
	var matching []string
	for _, session := range sessions {
		if region != "" && r.Owners.Region(lease.Node(session)) == region {
			matching = append(matching, session)
		}
	}
	if len(matching) == 0 {
		return sessions
	}
	return matching
}

// lostItems identifies the items of a job that a node can no longer run, and the region where they
// were to run when the job was accepted. All nodes know that region, while the region of a node
// that is gone is unknown.
type lostItems struct{ node, region string }

// lostItems returns the unlisted items whose nodes are gone or outside the allowed regions.
func (r *Runner) lostItems(entry *Entry, regions place.Regions, session string) []lostItems {
	var lost []lostItems
	listed := entry.Progress.listedItems(len(entry.Job.Items))
	for i := range entry.Job.Items {
		l := lostItems{node: entry.nodeOf(i), region: entry.regionOf(i)}
		if listed[i] || l.node == lease.Node(session) || slices.Contains(lost, l) {
			continue
		}
		if r.Owners.Gone(l.node) || r.outsideRegions(l.node, regions) {
			lost = append(lost, l)
		}
	}
	return lost
}

// claimItems reassigns the items of a lost node to this node, except those that another node has
// taken over by then.
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
			if next.nodeOf(item) != lost.node || entry.regionOf(item) != lost.region || progress.isListed(item) {
				continue
			}
			if progress.Reassigned == nil {
				progress.Reassigned = map[int]string{}
			}
			progress.Reassigned[item] = lease.Node(session)
			changed = true
		}
		return nil, changed
	})
	r.Service.Events.Claimed(entry, lost.node, err)
}

// mayClaim reports whether this node should take a job over: at once if it owned the job before a
// restart, otherwise once the owner is gone or outside the allowed regions.
func (r *Runner) mayClaim(entry *Entry, regions place.Regions, candidates []string, session string) bool {
	owner := entry.Progress.Owner
	if owner != "" && lease.SameNode(owner, session) {
		return r.Service.mayStore(entry.Job, session)
	}
	orphaned := owner == "" || r.Owners.Expired(owner) || r.outsideRegions(lease.Node(owner), regions)
	return orphaned && lease.Preferred(candidates, entry.Job.ID) == session
}

// claim makes this node the owner of a job, unless another node has become the owner.
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
		err = errOtherOwner
	}
	r.Service.Events.Claimed(entry, from, err)
}

func (r *Runner) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}
