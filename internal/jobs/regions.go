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

// If a route or a tenant restricts its regions, the items of its jobs run only at replicas there,
// and only nodes there store their bodies and texts. Any node may accept such a job and answer
// reads of it, but stores nothing. Each decision uses the regions in force at that time, so a
// change also moves waiting items.

// ErrNoRegion reports a job whose route and tenant have no region in common. No node may store it,
// so it is not accepted.
var ErrNoRegion = errors.New("no region may keep the job")

// Fleet provides the live nodes and their regions.
type Fleet interface {
	// Nodes returns the live nodes.
	Nodes() []string
	// Region returns the region of a live node; empty if it is unknown.
	Region(node string) string
}

// allowedRegions returns the regions where a job may run and its bodies may be stored: nil means
// anywhere, an empty set nowhere. Before the first configuration it is nowhere.
func (s *Service) allowedRegions(job *Job) place.Regions {
	if s.Routes == nil {
		return nil
	}
	routes := s.Routes()
	if routes == nil {
		return place.Regions{}
	}
	regions := routeRegions(routes, job, routes.ByName(job.Route))
	for _, other := range job.OtherRoutes {
		regions = regions.Intersect(routeRegions(routes, job, routes.ByName(other)))
	}
	return regions
}

// routeRegions returns the allowed regions of a job's items on a route. If the route or the tenant
// is no longer declared, the regions recorded at the job's acceptance apply.
func routeRegions(routes *route.Table, job *Job, target *route.Route) place.Regions {
	tenant := routes.Tenant(job.Tenant)
	var regions place.Regions
	if target == nil || job.Tenant != "" && tenant == nil {
		regions = job.AllowedRegions
	}
	if target != nil {
		regions = regions.Intersect(target.Regions)
	}
	if tenant != nil {
		regions = regions.Intersect(tenant.Regions)
	}
	return regions
}

// setRouting records in a job what its allowed regions depend on.
func (s *Service) setRouting(job *Job, submission *Submission) {
	job.Route, job.Host, job.Tenant = submission.Route, submission.Host, submission.Tenant
	if s.Routes == nil || s.Routes() == nil {
		return
	}
	routes := s.Routes()
	for _, item := range submission.Items {
		target := routes.Match(job.Host, item.Path)
		if target != nil && target.Name != job.Route && !slices.Contains(job.OtherRoutes, target.Name) {
			job.OtherRoutes = append(job.OtherRoutes, target.Name)
		}
	}
	job.AllowedRegions = s.allowedRegions(job)
}

// inRegions returns the sessions whose nodes are in one of the regions.
func (s *Service) inRegions(sessions []string, regions place.Regions) []string {
	if regions == nil {
		return sessions
	}
	var matching []string
	for _, session := range sessions {
		if regions.Allows(s.region(lease.Node(session))) {
			matching = append(matching, session)
		}
	}
	return matching
}

// region returns the region of a node; empty if it is unknown.
func (s *Service) region(node string) string {
	if s.Fleet == nil {
		return ""
	}
	return s.Fleet.Region(node)
}

// mayStore reports whether a session's node may store the bodies and texts of a job.
func (s *Service) mayStore(job *Job, session string) bool {
	return s.allowedRegions(job).Allows(s.region(lease.Node(session)))
}

// mayStoreHere reports whether this node may store the bodies and texts of a job. If the node's
// session is unknown, it may store none of a job with restricted regions.
func (s *Service) mayStoreHere(ctx context.Context, job *Job) bool {
	if s.allowedRegions(job) == nil {
		return true
	}
	session, err := s.Session(ctx)
	return err == nil && s.mayStore(job, session)
}

// runsHere reports whether this node runs items of a job.
func (s *Service) runsHere(ctx context.Context, id string) bool {
	entry := s.View.Get(id)
	session, err := s.Session(ctx)
	return err == nil && entry != nil && len(entry.ownItems(session)) > 0 && s.mayStore(entry.Job, session)
}

// outsideRegions reports whether a live node is outside the allowed regions of items assigned to
// it.
func (r *Runner) outsideRegions(node string, regions place.Regions) bool {
	return regions != nil && slices.Contains(r.Owners.Nodes(), node) && !regions.Allows(r.Owners.Region(node))
}

// awaitRegion handles a job that no live node may run; one node of the fleet calls it. The items
// stay unlisted until they expire. Then the node lists them as dead, which needs no body.
func (r *Runner) awaitRegion(ctx context.Context, entry *Entry, regions place.Regions) {
	if !r.awaitingRegion[entry.Job.ID] {
		r.awaitingRegion[entry.Job.ID] = true
		r.Service.Events.AwaitingRegion(entry.Job, regions)
	}
	if r.Service.View.timeUntil(entry.Job.Expires) < 0 {
		r.expireItems(ctx, entry)
	}
}

// expireItems lists the unlisted items of a job as expired, up to maxCommitRows of them.
func (r *Runner) expireItems(ctx context.Context, entry *Entry) {
	callCtx, cancel := context.WithTimeout(ctx, slowCallTimeout)
	defer cancel()
	listed := entry.Progress.listedItems(len(entry.Job.Items))
	var batch []*task
	for i := range entry.Job.Items {
		if !listed[i] && len(batch) < maxCommitRows {
			batch = append(batch, &task{index: i, reason: Expired, firstSent: clock.Now()})
		}
	}
	if err := r.Service.listResults(callCtx, entry.Job, batch); err != nil {
		// The next round of claims tries again.
		r.Service.Events.ItemFailed(entry.Job, "", "", err)
	}
}
