package node

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/settings"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// jobSpacing is the least time between two looks at the jobs' changes while somebody
	// waits for some; it bounds the calls while many results are listed. It grows with
	// the number of sessions, so that all nodes together stay below 700 calls a second.
	jobSpacing           = 120 * time.Millisecond
	jobSpacingPerSession = 1500 * time.Microsecond
	// jobSpacingUsual is the time between two looks while nobody waits here and other
	// nodes tell of what concerns this one: an item that is to be stopped, and a node
	// that has joined, is noticed as late where that word is lost. The users' deployments
	// ask for items to be stopped within 3 s.
	jobSpacingUsual = time.Second
	// sampleBurst and sampleEvery bound the lines about what goes well.
	sampleBurst = 20
	sampleEvery = 20
	// wakeLook is the time between two looks whether the machine was suspended, for the log.
	wakeLook = time.Second
	// retryShare bounds repeated attempts.
	retryShare = 0.3
)

// ports are the outside as a core needs it: one set for each interface.
type ports struct {
	id     string
	zone   string
	region string
	// places tells the regions of the zones of replicas.
	places  place.Map
	table   table.Service
	objects object.Store
	backend forward.Backend
	jobFeed table.Feed
	timing  lease.Timing
	// sessions returns the view of all sessions, given this node's own.
	sessions func(own *lease.Session) sessionView
	weights  replica.Weights
	// commitInterval is how long finished items wait to be listed together.
	commitInterval time.Duration
	quarantine     settings.Quarantine
	// endQuarantined has items end that are quarantined.
	endQuarantined bool
}

// sessionView tells which nodes are there.
type sessionView interface {
	jobs.Owners
	Sessions() []lease.SessionState
}

// core is what serves requests and runs jobs, whichever interface they come by.
// All of its lasting state is in the table and the object store; its memory is
// a cache of them.
type core struct {
	log zerolog.Logger
	// sampled is for what goes well: of more than sampleBurst lines a second it
	// lets one in sampleEvery through.
	sampled zerolog.Logger
	metrics *coreMetrics
	// unreadable tells of rows that cannot be read.
	unreadable table.Unreadable

	places      place.Map
	evacuations evacuations
	// zoneOf tells the zone of another node; empty if it is not known.
	zoneOf    func(node string) string
	routes    route.Current
	replicas  *replica.Set
	forwarder *forward.Forwarder
	jobWatch  *table.Watcher
	session   *lease.Session
	owners    sessionView
	jobs      *jobs.Service
	runner    *jobs.Runner
	harm      *harm

	// open counts the requests being forwarded.
	open    atomic.Int64
	running sync.WaitGroup
}

func newCore(log zerolog.Logger, metrics *coreMetrics, outside ports) *core {
	c := &core{
		log: log, metrics: metrics, places: outside.places, replicas: replica.NewSet(),
		zoneOf: func(string) string { return "" },
	}
	c.sampled = log.Sample(&zerolog.BurstSampler{
		Burst: sampleBurst, Period: time.Second, NextSampler: &zerolog.BasicSampler{N: sampleEvery},
	})
	c.unreadable.OnUnreadable = c.logUnreadable
	c.replicas.Ejected = c.logEjected
	c.replicas.Zone = outside.zone
	c.replicas.EjectedByMany = c.logEjectedByMany
	c.replicas.Restarted = c.logRestarted
	c.forwarder = &forward.Forwarder{
		Replicas: c.replicas, Backend: outside.backend, Budget: retry.NewBudget(retryShare),
		Weights: outside.weights, Zone: outside.zone, Region: outside.region,
		Observer: &requestLog{log: log, sampled: c.sampled, metrics: metrics, evacuated: c.evacuations.names},
	}
	c.session = lease.NewSession(outside.table, outside.id, outside.timing)
	c.owners = outside.sessions(c.session)
	c.buildQuarantine(outside.table, outside.quarantine)
	view := jobs.NewView()
	view.Unreadable = &c.unreadable
	c.jobWatch = c.watch("job table", outside.jobFeed, func(changes table.Changes, whole bool) {
		// No item is sent by what is known of jobs before what is known of harm.
		c.harm.rows.Apply(changes, whole)
		view.Apply(changes, whole)
	})
	c.jobWatch.Pace = c.jobPace
	c.jobs = &jobs.Service{
		Table: outside.table, Objects: outside.objects, View: view,
		Events: &jobLog{log: log, sampled: c.sampled, metrics: metrics}, Session: c.ownSession,
		Fleet: c.owners, Routes: c.routes.Load, Slots: c.replicas.RegionSlots, RequestUpdate: c.jobWatch.Announce,
	}
	c.runner = jobs.NewRunner(jobs.RunnerOptions{
		Service: c.jobs, Replicas: c.replicas, Backend: outside.backend, Routes: c.routes.Load, Owners: c.owners,
		Weights: outside.weights, Zone: outside.zone, Region: outside.region, ViewAge: c.viewAge, CommitInterval: outside.commitInterval,
		Quarantine: &c.harm.guard, EndQuarantined: outside.endQuarantined,
	})
	c.replicas.Pressed = c.runner.Preempt
	return c
}

// viewAge is the age of the view of the jobs. One from before a suspension is as old as can
// be: what it says is this node's may have been taken over, or ended, meanwhile.
func (c *core) viewAge() time.Duration {
	age := c.jobWatch.Age()
	if since, woke := clock.SinceResume(); woke && age > since {
		return math.MaxInt64
	}
	return age
}

// runWakeLog logs suspensions of the machine until the context ends.
func (c *core) runWakeLog(ctx context.Context) {
	if !clock.CountsSuspension() {
		c.log.Warn().Msg("this system has no clock that counts suspensions: leases are not safe on a machine that sleeps")
	}
	known := clock.Suspended()
	for retry.Sleep(ctx, wakeLook) {
		if slept := clock.Suspended(); slept > known {
			c.log.Warn().Dur("for_ms", slept-known).Msg("machine was suspended")
			known = slept
		}
	}
}

// jobPace returns the least time between two looks at the jobs' changes.
func (c *core) jobPace() table.Pace {
	spacing := max(jobSpacing, time.Duration(len(c.owners.Live()))*jobSpacingPerSession)
	if c.jobs.Notify == nil || c.jobs.Waiters() > 0 {
		return table.Pace{AfterAnnouncement: spacing, Default: spacing}
	}
	return table.Pace{AfterAnnouncement: spacing, Default: max(jobSpacingUsual, spacing)}
}

// ownSession returns this node's session, which exists in the store.
func (c *core) ownSession(ctx context.Context) (string, error) {
	return c.session.ID(), c.session.Ensure(ctx)
}

// watch returns a watcher of a feed that logs when its source is lost and regained.
func (c *core) watch(name string, feed table.Feed, apply func(table.Changes, bool)) *table.Watcher {
	watcher := table.NewWatcher(feed, apply)
	watcher.OnLost = func(err error) {
		c.log.Warn().Str("dependency", name).Err(err).Msg("dependency lost")
	}
	watcher.OnRegained = func(outage time.Duration) {
		c.log.Info().Str("dependency", name).Dur("outage_ms", outage).Msg("dependency regained")
	}
	watcher.OnReread = func(read table.WholeRead) {
		c.log.Info().Str("dependency", name).Int("pages", read.Pages).Int("failures", read.Failures).
			Dur("took_ms", read.Elapsed).Msg("read whole again, what was known stood still meanwhile")
	}
	return watcher
}

// watchReplicas returns a watcher of the list of replicas, which may lack some just
// after an outage of its own.
func (c *core) watchReplicas(feed table.Feed, apply func(table.Changes, bool)) *table.Watcher {
	list := &datedList{Feed: feed, replicas: c.replicas}
	watcher := c.watch("replica list", list, list.applied(apply))
	regained := watcher.OnRegained
	watcher.OnRegained = func(outage time.Duration) {
		c.replicas.Outage(outage, clock.Now())
		regained(outage)
	}
	return watcher
}

func (c *core) spawn(run func()) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		run()
	}()
}

// runJobs runs the loops about jobs.
func (c *core) runJobs(ctx context.Context) {
	c.spawn(func() { c.jobWatch.Run(ctx) })
	c.spawn(func() { c.session.Run(ctx) })
	c.spawn(func() { c.runner.Run(ctx) })
	c.spawn(func() { c.runner.RunClaims(ctx) })
	c.spawn(func() { c.runner.RunCheckpoints(ctx) })
	c.spawn(func() { c.harm.publisher.Run(ctx) })
	c.spawn(func() { c.runWakeLog(ctx) })
	c.spawn(func() { c.runWaitLog(ctx) })
}

// handBackJobs gives this node's jobs to others before it stops.
func (c *core) handBackJobs(ctx context.Context) {
	c.runner.Release(ctx)
	if err := c.session.End(ctx); err != nil {
		c.log.Warn().Err(err).Msg("session not ended, others wait for it to expire")
	}
}

// forward carries out a request, and logs and counts how it ended.
func (c *core) forward(ctx context.Context, target *route.Route, request *forward.Request, sink forward.Sink) (forward.Result, error) {
	c.open.Add(1)
	defer c.open.Add(-1)
	result, err := c.forwarder.Do(ctx, target, request, sink)
	c.metrics.forwarded(target, result, err)
	c.metrics.excluded(err)
	c.logRequest(target, request, result, err)
	return result, err
}

func (c *core) logRequest(target *route.Route, request *forward.Request, result forward.Result, err error) {
	entry := c.sampled.Info()
	if err != nil {
		entry = c.log.Warn().Err(err).Stringer("ran", outcome.Of(err))
		if none := (*replica.NoReplicaError)(nil); errors.As(err, &none) {
			entry = entry.Str("excluded", none.Reasons()).Strs("homes", target.Regions.And(request.Regions))
		}
	}
	entry.Str("request", request.ID).Str("route", target.Name).Str("pool", result.Pool).
		Str("replica", result.Replica).Str("region", result.Region).Stringer("distance", result.Distance).Int("status", result.Status).Int("attempts", result.Attempts).
		Int("refusals", result.Refusals).Int("events", result.Events).Bool("started", result.HeadSent).
		Dur("first_ms", result.TimeToFirstByte).Dur("max_gap_ms", result.MaxGap).
		Dur("took_ms", clock.Since(request.Received)).Msg("request ended")
}

func (c *core) logEjected(info replica.Info, result replica.Result) {
	c.log.Warn().Str("replica", info.ID).Str("address", info.Address).Stringer("result", result).Msg("replica ejected")
}

// logRestarted counts and logs that a replica has started again under its id. When many do at
// once, as at the end of an outage, the lines are sampled.
func (c *core) logRestarted(restart replica.Restart) {
	c.metrics.restarts.Inc()
	c.sampled.Warn().Str("replica", restart.Replica.ID).Str("address", restart.Replica.Address).Str("zone", restart.Replica.Zone).
		Int64("born", restart.Replica.Born).Int64("born_before", restart.Before).
		Int("open", restart.Open).Int("items", restart.Batch).Int("moved", restart.Moved).Msg("replica started again")
}

// listReplica takes in that a replica is listed, with the version of its row. New ones
// of a whole read are summed up by listedReplicas, others are sampled: a line for each
// would be nodes times replicas when a fleet starts.
func (c *core) listReplica(info replica.Info, version uint64, whole bool) {
	info.Region = c.places.Region(info.Zone)
	added := c.replicas.Put(info)
	log := &c.sampled
	if info.Leaving {
		log = &c.log
	}
	if info.Leaving || (added && !whole) {
		log.Info().Str("replica", info.ID).Str("pool", info.Pool).Str("address", info.Address).
			Str("zone", info.Zone).Bool("leaving", info.Leaving).Uint64("row_version", version).Msg("replica listed")
	}
}

// listedReplicas logs that a whole read of the list has been taken in.
func (c *core) listedReplicas(revision uint64) {
	listed, ejected := c.replicas.Count(clock.Now())
	c.log.Info().Int("replicas", listed).Int("ejected", ejected).Uint64("revision", revision).Msg("replica list read")
}

// dropReplica takes in that a replica is listed no more.
func (c *core) dropReplica(id string, version uint64, whole bool) {
	c.replicas.Remove(id, clock.Now())
	c.log.Info().Str("replica", id).Uint64("row_version", version).Bool("whole_read", whole).Msg("replica gone from list")
}

// replaceRoutes puts a configuration of routes in force unless a newer one is.
func (c *core) replaceRoutes(config *route.Config, version uint64) {
	next := route.NewTable(config)
	if c.routes.Replace(next) {
		c.replicas.LimitCold(coldLimits(config))
		c.log.Info().Uint64("version", config.Version).Uint64("row_version", version).
			Int("routes", next.Len()).Msg("configuration in force")
		c.logPlaceFindings(config)
	}
}

// logPlaceFindings logs what is wrong with the homes of a configuration in force.
func (c *core) logPlaceFindings(config *route.Config) {
	for _, found := range config.RegionFindings(c.places) {
		c.log.Warn().Uint64("version", config.Version).Str("path", found.Path).
			Str("finding", found.Message).Msg("homes of the configuration")
	}
}

// LogDropped counts log lines that were dropped.
func (c *core) LogDropped(lines int) { c.metrics.droppedLogs.Add(float64(lines)) }
