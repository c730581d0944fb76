package jobs

import (
	"context"
	"errors"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// Homes: where a route or a tenant has regions of its own, the items of its jobs run
// only at replicas there, and only nodes that stand there hold their bodies and texts.
// The node that a caller has come to is the exception: it takes a job in and answers
// looks at it, and keeps nothing. The homes in force when something is decided bind, so a
// change moves what waits.

// ErrHomeless reports a job whose route and tenant have no region in common: it may be
// kept nowhere, so it is not accepted.
var ErrHomeless = errors.New("no region may keep the job")

// Fleet tells which nodes there are and where they stand.
type Fleet interface {
	// Nodes returns the live nodes.
	Nodes() []string
	// Region returns the region of a live node; empty if it has not told.
	Region(node string) string
}

// homes returns the regions where a job may run and its bodies may lie: nil is anywhere,
// an empty set nowhere. While no configuration is known it is nowhere.
func (s *Service) homes(job *Job) place.Regions {
	if s.Routes == nil {
		return nil
	}
	table := s.Routes()
	if table == nil {
		return place.Regions{}
	}
	homes := homesBy(table, job, table.ByName(job.Route))
	for _, other := range job.Others {
		homes = homes.Intersect(homesBy(table, job, table.ByName(other)))
	}
	return homes
}

// homesBy returns the homes of a job's items on a route. For a route or a tenant that is
// not declared any more those that it had when the job was accepted bind.
func homesBy(table *route.Table, job *Job, target *route.Route) place.Regions {
	caller := table.Tenant(job.Tenant)
	var homes place.Regions
	if target == nil || job.Tenant != "" && caller == nil {
		homes = job.Homes
	}
	if target != nil {
		homes = homes.Intersect(target.Regions)
	}
	if caller != nil {
		homes = homes.Intersect(caller.Regions)
	}
	return homes
}

// declare notes in a job what its homes depend on.
func (s *Service) declare(job *Job, submission *Submission) {
	job.Route, job.Host, job.Tenant = submission.Route, submission.Host, submission.Tenant
	if s.Routes == nil || s.Routes() == nil {
		return
	}
	table := s.Routes()
	for _, item := range submission.Items {
		target := table.Match(job.Host, item.Path)
		if target != nil && target.Name != job.Route && !slices.Contains(job.Others, target.Name) {
			job.Others = append(job.Others, target.Name)
		}
	}
	job.Homes = s.homes(job)
}

// allowed returns those of some sessions whose nodes stand in a home.
func (s *Service) allowed(sessions []string, homes place.Regions) []string {
	if homes == nil {
		return sessions
	}
	var allowed []string
	for _, session := range sessions {
		if homes.Allows(s.region(lease.Node(session))) {
			allowed = append(allowed, session)
		}
	}
	return allowed
}

// region returns the region of a node; empty if it is not known.
func (s *Service) region(node string) string {
	if s.Fleet == nil {
		return ""
	}
	return s.Fleet.Region(node)
}

// mayHold reports whether a session's node may hold the bodies and texts of a job.
func (s *Service) mayHold(job *Job, session string) bool {
	return s.homes(job).Allows(s.region(lease.Node(session)))
}

// holdsHere reports whether this node may hold the bodies and texts of a job; if it
// cannot say who it is, it holds none that have homes.
func (s *Service) holdsHere(ctx context.Context, job *Job) bool {
	if s.homes(job) == nil {
		return true
	}
	session, err := s.Session(ctx)
	return err == nil && s.mayHold(job, session)
}

// runsHere reports whether this node runs items of a job.
func (s *Service) runsHere(ctx context.Context, id string) bool {
	entry := s.View.Get(id)
	session, err := s.Session(ctx)
	return err == nil && entry != nil && len(entry.own(session)) > 0 && s.mayHold(entry.Job, session)
}

// displaced reports whether a live node has been told or found to stand outside the homes
// of what it was to run.
func (r *Runner) displaced(node string, homes place.Regions) bool {
	return homes != nil && slices.Contains(r.Owners.Nodes(), node) && !homes.Allows(r.Owners.Region(node))
}

// awaitHome looks after a job that no live node may run, at one node of the fleet. Its items
// wait, listed as not done, until they may be given up. The node says so and, in the end,
// lists them as dead, for which it needs no body.
func (r *Runner) awaitHome(ctx context.Context, entry *Entry, homes place.Regions) {
	if !r.homeless[entry.Job.ID] {
		r.homeless[entry.Job.ID] = true
		r.Service.Events.Homeless(entry.Job, homes)
	}
	if r.Service.View.until(entry.Job.Expires) < 0 {
		r.giveUp(ctx, entry)
	}
}

// giveUp lists the items of a job that are not done as expired.
func (r *Runner) giveUp(ctx context.Context, entry *Entry) {
	callCtx, cancel := context.WithTimeout(ctx, slowCallTimeout)
	defer cancel()
	listed := entry.Progress.listed(len(entry.Job.Items))
	var batch []*task
	for i := range entry.Job.Items {
		if !listed[i] && len(batch) < commitRows {
			batch = append(batch, &task{index: i, reason: Expired, started: clock.Now()})
		}
	}
	if err := r.Service.list(callCtx, entry.Job, batch); err != nil {
		// The next look tries again.
		r.Service.Events.ItemFailed(entry.Job, "", "", err)
	}
}
