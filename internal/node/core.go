package node

import (
	"context"
	"errors"
	"math"
	"net/http"
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
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/settings"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// jobPollInterval is the minimum time between two polls of the jobs' changes while a caller
	// waits for some. It bounds the number of calls while many results are committed. With many
	// sessions the time is jobPollPerSession for each live session, so that all nodes together stay
	// below 700 calls a second.
	jobPollInterval   = 120 * time.Millisecond
	jobPollPerSession = 1500 * time.Microsecond
	// idleJobPollInterval is the time between two polls while no caller waits here and other nodes
	// announce the changes that concern this one. If an announcement is lost, a requested stop of
	// an item or a new node is noticed this late; items must stop within 3 s.
	idleJobPollInterval = time.Second
	// sampleBurst and sampleEvery bound the number of log lines about routine events.
	sampleBurst = 20
	sampleEvery = 20
	// suspensionCheckInterval is the time between two checks for suspensions of the machine. Only
	// the log depends on these checks.
	suspensionCheckInterval = time.Second
	// retryRatio is the number of retries allowed for each request, on average.
	retryRatio = 0.3
)

// dependencies are the settings and services that a core is built from. Each kind of node provides
// its own.
type dependencies struct {
	id     string
	zone   string
	region string
	// places maps the zones of replicas to their regions.
	places  place.Map
	table   table.Service
	objects object.Store
	backend forward.Backend
	jobFeed table.Feed
	timing  lease.Timing
	// sessions returns the view of all nodes' sessions, given this node's own session.
	sessions func(own *lease.Session) sessionView
	weights  replica.Weights
	// commitInterval is how long finished items wait to be committed together.
	commitInterval time.Duration
	quarantine     settings.Quarantine
	// describePrompt, if set, returns the prompt that an item's headers describe.
	describePrompt func(http.Header) route.Prompt
}

// sessionView is a view of all nodes' sessions.
type sessionView interface {
	jobs.Owners
	Sessions() []lease.SessionState
}

// core serves requests and runs jobs, independently of the interface that accepts them. All durable
// state is in the table and the object store; the state in memory is a cache of them.
type core struct {
	log zerolog.Logger
	// sampled logs routine events: of more than sampleBurst lines a second it lets one in
	// sampleEvery pass.
	sampled zerolog.Logger
	clients clientBounds
	metrics *coreMetrics
	// unreadable reports rows that cannot be read.
	unreadable table.Unreadable

	places      place.Map
	evacuations evacuations
	// zoneOf returns the zone of another node; empty if unknown.
	zoneOf     func(node string) string
	routes     route.Current
	replicas   *replica.Set
	forwarder  *forward.Forwarder
	jobWatch   *table.Watcher
	session    *lease.Session
	owners     sessionView
	jobs       *jobs.Service
	runner     *jobs.Runner
	quarantine *quarantineState

	// open counts the requests being forwarded.
	open    atomic.Int64
	running sync.WaitGroup
}

func newCore(log zerolog.Logger, metrics *coreMetrics, deps dependencies) *core {
	c := &core{
		log: log, metrics: metrics, places: deps.places, replicas: replica.NewSet(),
		zoneOf: func(string) string { return "" },
	}
	c.sampled = log.Sample(&zerolog.BurstSampler{
		Burst: sampleBurst, Period: time.Second, NextSampler: &zerolog.BasicSampler{N: sampleEvery},
	})
	c.unreadable.OnUnreadable = c.logUnreadable
	c.replicas.OnEjected = c.logEjected
	c.replicas.Zone = deps.zone
	c.replicas.OnSharedEjection = c.logSharedEjection
	c.replicas.OnRestart = c.logRestarted
	c.forwarder = &forward.Forwarder{
		Replicas: c.replicas, Backend: deps.backend, Budget: retry.NewBudget(retryRatio),
		Weights: deps.weights, Zone: deps.zone, Region: deps.region,
		Observer: &requestLog{log: log, sampled: c.sampled, metrics: metrics, evacuated: c.evacuations.names},
	}
	c.session = lease.NewSession(deps.table, deps.id, deps.timing)
	c.owners = deps.sessions(c.session)
	c.buildQuarantine(deps.table, deps.quarantine)
	view := jobs.NewView()
	view.Unreadable = &c.unreadable
	c.jobWatch = c.watch("job table", deps.jobFeed, func(changes table.Changes, whole bool) {
		// The quarantine is updated first, so that no item of a new job is sent before the crashes
		// read with it are known.
		c.quarantine.rows.Apply(changes, whole)
		view.Apply(changes, whole)
	})
	c.jobWatch.Pace = c.jobPace
	c.jobs = &jobs.Service{
		Table: deps.table, Objects: deps.objects, View: view,
		Events: &jobLog{log: log, sampled: c.sampled, metrics: metrics}, Session: c.ownSession,
		Fleet: c.owners, Routes: c.routes.Load, Slots: c.replicas.RegionSlots, RequestUpdate: c.jobWatch.Announce,
	}
	c.runner = jobs.NewRunner(jobs.RunnerOptions{
		Service: c.jobs, Replicas: c.replicas, Backend: deps.backend, Routes: c.routes.Load, Owners: c.owners,
		Weights: deps.weights, Zone: deps.zone, Region: deps.region, ViewAge: c.viewAge, CommitInterval: deps.commitInterval,
		Quarantine: &c.quarantine.guard, DescribePrompt: deps.describePrompt,
	})
	c.replicas.OnPressure = c.runner.Preempt
	return c
}

// viewAge returns the age of the view of the jobs. A view from before a suspension of the machine
// has the maximum age: jobs that it assigns to this node may have been taken over or ended in the
// meantime.
func (c *core) viewAge() time.Duration {
	age := c.jobWatch.Age()
	if since, resumed := clock.SinceResume(); resumed && age > since {
		return math.MaxInt64
	}
	return age
}

// runSuspensionLog logs suspensions of the machine until the context ends.
func (c *core) runSuspensionLog(ctx context.Context) {
	if !clock.CountsSuspension() {
		c.log.Warn().Msg("this system has no clock that counts suspensions: leases are not safe on a machine that sleeps")
	}
	previous := clock.Suspended()
	for retry.Sleep(ctx, suspensionCheckInterval) {
		if suspended := clock.Suspended(); suspended > previous {
			c.log.Warn().Dur("for_ms", suspended-previous).Msg("machine was suspended")
			previous = suspended
		}
	}
}

// jobPace returns the minimum time between two polls of the jobs' changes.
func (c *core) jobPace() table.Pace {
	interval := max(jobPollInterval, time.Duration(len(c.owners.Live()))*jobPollPerSession)
	if c.jobs.Notify == nil || c.jobs.Waiters() > 0 {
		return table.Pace{AfterAnnouncement: interval, Default: interval}
	}
	return table.Pace{AfterAnnouncement: interval, Default: max(idleJobPollInterval, interval)}
}

// ownSession returns the ID of this node's session and ensures that the session exists in the
// table.
func (c *core) ownSession(ctx context.Context) (string, error) {
	return c.session.ID(), c.session.Ensure(ctx)
}

// watch returns a watcher of a feed. It logs when the source is lost, regained or read in full
// again.
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
			Dur("took_ms", read.Elapsed).Msg("full reread complete, the view was not updated meanwhile")
	}
	return watcher
}

// watchReplicas returns a watcher of the replica list. After an outage of the list, the set keeps
// replicas that are missing from it for a while.
func (c *core) watchReplicas(feed table.Feed, apply func(table.Changes, bool)) *table.Watcher {
	timestamped := &timestampedFeed{Feed: feed, replicas: c.replicas}
	watcher := c.watch("replica list", timestamped, timestamped.wrapApply(apply))
	onRegained := watcher.OnRegained
	watcher.OnRegained = func(outage time.Duration) {
		c.replicas.RecordOutageEnd(outage, clock.Now())
		onRegained(outage)
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

// runJobs starts the goroutines that run jobs.
func (c *core) runJobs(ctx context.Context) {
	c.spawn(func() { c.jobWatch.Run(ctx) })
	c.spawn(func() { c.session.Run(ctx) })
	c.spawn(func() { c.runner.Run(ctx) })
	c.spawn(func() { c.runner.RunClaims(ctx) })
	c.spawn(func() { c.runner.RunCheckpoints(ctx) })
	c.spawn(func() { c.quarantine.publisher.Run(ctx) })
	c.spawn(func() { c.runSuspensionLog(ctx) })
	c.spawn(func() { c.runOverdueItemLog(ctx) })
	c.spawn(func() { c.runSlowSendLog(ctx) })
}

// handBackJobs hands this node's jobs back and ends its session, so that other nodes take over
// before this one stops.
func (c *core) handBackJobs(ctx context.Context) {
	c.runner.Release(ctx)
	if err := c.session.End(ctx); err != nil {
		c.log.Warn().Err(err).Msg("session not ended, others wait for it to expire")
	}
}

// forward forwards a request, and logs and counts the result.
func (c *core) forward(ctx context.Context, target *route.Route, request *forward.Request, sink forward.Sink) (forward.Result, error) {
	c.open.Add(1)
	defer c.open.Add(-1)
	result, err := c.forwarder.Do(ctx, target, request, sink)
	c.metrics.observeForwarded(target, result, err)
	c.metrics.countExcluded(err)
	c.logRequest(target, request, result, err)
	return result, err
}

func (c *core) logRequest(target *route.Route, request *forward.Request, result forward.Result, err error) {
	entry := c.sampled.Info()
	if err != nil {
		entry = c.log.Warn().Err(err).Stringer("ran", outcome.Of(err))
		if noReplicaErr := (*replica.NoReplicaError)(nil); errors.As(err, &noReplicaErr) {
			entry = entry.Str("excluded", noReplicaErr.Reasons()).Strs("homes", target.Regions.Intersect(request.Regions))
		}
		if refusal := (*quarantine.RefusalError)(nil); errors.As(err, &refusal) {
			entry = entry.Stringer("work", refusal.Work)
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

// logRestarted counts and logs that a replica has restarted under the same ID. The lines are
// sampled because many replicas may restart at once, such as at the end of an outage.
func (c *core) logRestarted(restart replica.Restart) {
	c.metrics.restarts.Inc()
	c.sampled.Warn().Str("replica", restart.Replica.ID).Str("address", restart.Replica.Address).Str("zone", restart.Replica.Zone).
		Int64("born", restart.Replica.StartedUnixMs).Int64("born_before", restart.PreviousStartedUnixMs).
		Int("open", restart.Open).Int("items", restart.Batch).Int("moved", restart.Moved).Msg("replica started again")
}

// putReplica adds or updates a listed replica, given the version of its row. New replicas of a full
// read are only counted in the summary that logReplicaList writes, others are sampled: otherwise
// every node would log every replica when a fleet starts.
func (c *core) putReplica(info replica.Info, version uint64, whole bool) {
	info.Region = c.places.Region(info.Zone)
	added := c.replicas.Put(info)
	log := &c.sampled
	if info.Leaving {
		log = &c.log
	}
	if info.Leaving || (added && !whole) {
		log.Info().Str("replica", info.ID).Str("pool", info.Pool).Str("address", info.Address).
			Str("zone", info.Zone).Str("software", info.SoftwareVersion).Bool("leaving", info.Leaving).Uint64("row_version", version).Msg("replica listed")
	}
}

// logReplicaList logs that a full read of the replica list has been applied.
func (c *core) logReplicaList(revision uint64) {
	listed, ejected := c.replicas.Count(clock.Now())
	c.log.Info().Int("replicas", listed).Int("ejected", ejected).Uint64("revision", revision).Msg("replica list read")
}

// removeReplica removes a replica that is no longer listed.
func (c *core) removeReplica(id string, version uint64, whole bool) {
	c.replicas.Remove(id, clock.Now())
	c.log.Info().Str("replica", id).Uint64("row_version", version).Bool("whole_read", whole).Msg("replica gone from list")
}

// replaceRoutes puts a configuration of routes in force unless a newer one already is.
func (c *core) replaceRoutes(config *route.Config, version uint64) {
	next := route.NewTable(config)
	if c.routes.Replace(next) {
		c.replicas.SetColdLimits(coldLimits(config))
		c.log.Info().Uint64("version", config.Version).Uint64("row_version", version).
			Int("routes", next.Len()).Msg("configuration in force")
		c.logRegionFindings(config)
	}
}

// logRegionFindings logs problems with the allowed regions of a configuration in force.
func (c *core) logRegionFindings(config *route.Config) {
	for _, finding := range config.RegionFindings(c.places) {
		c.log.Warn().Uint64("version", config.Version).Str("path", finding.Path).
			Str("finding", finding.Message).Msg("problem with the allowed regions of the configuration")
	}
}

// LogDropped counts log lines dropped because output was slow.
func (c *core) LogDropped(lines int) { c.metrics.droppedLogs.Add(float64(lines)) }
