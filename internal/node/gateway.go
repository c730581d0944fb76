package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/coalesce"
	"github.com/wheelhoist/wheelhoist/internal/ingress"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/poolsoftware"
	"github.com/wheelhoist/wheelhoist/internal/quota"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/settings"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/platform"
)

const (
	gatewayHeaderTimeout = 10 * time.Second
	// gatewayIdleTimeout is longer than callers keep a connection idle.
	gatewayIdleTimeout = 2 * time.Minute
	// gatewayHeaderBytes bounds the headers that net/http reads; routes set lower limits.
	gatewayHeaderBytes = 128 << 10
	// memoryLimitRatio is the part of the allowed memory that is set as the soft limit of the Go
	// runtime, above which garbage collection runs more often.
	memoryLimitRatio = 0.7
	// jobTimeout bounds how long a call about a job waits for the store.
	jobTimeout = 2500 * time.Millisecond
	// retryAfter is how long callers are asked to wait after a request that did not run.
	retryAfter = 100 * time.Millisecond
)

// Error is the class of all errors of this package.
var Error = errs.Class("node")

// Gateway is a node that serves declared routes of opaque requests on the users' platform.
type Gateway struct {
	*core
	settings *settings.Settings

	store   *platform.Store
	backend *platform.Backend

	// peers is nil if no address for other nodes is set.
	peers  *peer.Socket
	roster *lease.Roster
	nodes  *nodeIndex
	quota  *quota.Coordinator
	// streamOrigins finds where streams began that callers continue at this node.
	streamOrigins *streamOrigins
	// poolSoftware records the software versions that pools have run.
	poolSoftware *poolsoftware.Records
	// broadcastLimiter bounds how often all nodes are notified of changed rows.
	broadcastLimiter *rate.Limiter

	// hellos is nil if peers is.
	hellos *helloExchange
	// contacts are nodes that the table need not name yet.
	contacts contacts
	// startedAt is when this node started.
	startedAt time.Time

	// relays follows the store for this node, and for others.
	relays *relays
	// bootstrapServer sends this node's state to nodes that start.
	bootstrapServer *http.Server
	// bootstrapRequests counts the bootstrap requests in progress, crashRequests those for crashes.
	bootstrapRequests, crashRequests atomic.Int64

	configWatch  *table.Watcher
	replicaWatch *table.Watcher
	// listReads are reads of the replica list beside those of replicaWatch.
	listReads coalesce.Runs

	servers   []*http.Server
	listeners []net.Listener

	// crashesKnown is closed once requests may be sent; see awaitCrashes.
	crashesKnown     chan struct{}
	markCrashesKnown func()

	stopping atomic.Bool
	// requests is done once open requests must end; endRequests ends it.
	requests    context.Context
	endRequests context.CancelCauseFunc
	cancel      context.CancelFunc
}

// StartGateway builds a gateway and starts it. It serves requests once it knows its routes.
func StartGateway(ctx context.Context, config *settings.Settings, log zerolog.Logger) (*Gateway, error) {
	g := &Gateway{settings: config, broadcastLimiter: rate.NewLimiter(rate.Every(broadcastInterval), 1), startedAt: clock.Now()}
	g.requests, g.endRequests = context.WithCancelCause(context.Background())
	if config.Gateway.MemoryMegabytes > 0 {
		LimitMemory(config.Gateway.MemoryMegabytes)
	}
	g.build(log.With().Str("node", config.Node.ID).Logger())
	g.clients.set(ingress.Machine{Megabytes: config.Gateway.MemoryMegabytes, Descriptors: config.Gateway.Descriptors}.Limits())
	if err := g.listen(); err != nil {
		return nil, err
	}
	if err := g.listenPeers(); err != nil {
		g.closeListeners()
		return nil, err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	g.cancel = cancel
	g.start(runCtx)
	g.log.Info().Str("zone", config.Node.Zone).Str("listen", config.Node.Listen).
		Str("store", config.Gateway.Store).Msg("gateway started")
	return g, nil
}

// LimitMemory sets the soft memory limit of the Go runtime for a process that may use the given memory.
func LimitMemory(megabytes int) {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(megabytes) * (1 << 20)))
}

func (g *Gateway) build(log zerolog.Logger) {
	metrics := newCoreMetrics()
	g.store = platform.NewStore(g.settings.Gateway.Store, metrics.observeStoreCall)
	g.backend = platform.NewBackend(metrics.connections.Inc)
	rows := platform.Rows{Store: g.store}
	g.relays = newRelays(g.settings.Gateway.RelayFrom, metrics)
	var roster *lease.Roster
	g.core = newCore(log, metrics, dependencies{
		id: g.settings.Node.ID, zone: g.settings.Node.Zone, region: g.settings.Node.Region, places: g.settings.Node.Zones,
		table: rows, objects: platform.Objects{Store: g.store}, backend: g.backend,
		jobFeed: g.relays.feed(jobGroup, platform.JobFeed(g.store, jobs.Group, jobs.Parts())), timing: fastTiming(), weights: g.weights(), quarantine: g.settings.Quarantine, describePrompt: platform.DecodePrompt,
		sessions: func(own *lease.Session) sessionView {
			roster = lease.NewRoster(rows, own, jobs.MemberPartition(), clock.Now, fastTiming())
			roster.StoreWrites = g.settings.Gateway.StoreWrites
			return roster
		},
	})
	g.replicas.ColdTolerance = replica.ColdTolerance{Over: g.settings.Gateway.Cold.Over, Slack: g.settings.Gateway.Cold.Slack}
	g.roster, g.nodes, g.relays.roster = roster, &nodeIndex{roster: roster}, roster
	roster.OnEnded = g.logSessionEnded
	roster.OnMoveFailed = func(err error) { g.sampled.Warn().Err(err).Msg("session not moved to another partition yet") }
	roster.ReportUnreadableTo(&g.unreadable)
	g.zoneOf = func(node string) string { return roster.Member(node).Zone }
	g.session.Member = lease.Member{
		Address: g.settings.Gateway.Peers, Zone: g.settings.Node.Zone, Region: g.settings.Node.Region,
		Cores: g.settings.Gateway.Capacity.Cores, LinkMbps: g.settings.Gateway.Capacity.LinkMbps,
		MemoryMB: g.settings.Gateway.MemoryMegabytes,
	}
	g.jobs.MaxStaleness = time.Duration(g.settings.Gateway.Settle)
	g.buildQuota(roster)
	applyJobs := g.jobWatch.Apply
	g.jobWatch.Pace = g.jobPace
	g.jobWatch.Apply = g.relays.logged(jobGroup, func(changes table.Changes, whole bool) {
		// Members are updated first, so that a job is never known without the nodes that it names.
		roster.Apply(changes, whole)
		g.poolSoftware.Apply(changes, whole)
		g.replicas.SetJoined(roster.Joined())
		applyJobs(changes, whole)
		if whole {
			g.markCrashesKnown()
		}
	})
	g.replicas.SetJoined(false)
	g.forwarder.Reserver = g.backend
	g.crashesKnown = make(chan struct{})
	g.markCrashesKnown = sync.OnceFunc(func() { close(g.crashesKnown) })
	g.poolSoftware = g.newPoolSoftware(rows)
	g.streamOrigins = &streamOrigins{gateway: g}
	g.streamOrigins.archive = g.newArchive(rows, &g.streamOrigins.registry)
	g.forwarder.Origins = g.streamOrigins
	g.runner.Reserver = g.backend
	g.configWatch = g.watch("configuration", g.relays.feed(configGroup, platform.ConfigFeed(g.store)), nil)
	g.configWatch.Apply = g.relays.logged(configGroup, g.applyConfig)
	g.buildReplicaWatch(g.relays.feed(replicaGroup, platform.ServerFeed(g.store)))
	g.configWatch.KeepRows, g.replicaWatch.KeepRows = true, true
	metrics.registerViews(g.core)
	metrics.registerPools(g.core)
	metrics.registerCold(g.replicas)
	metrics.registerDivision(g.replicas)
	metrics.registerStreams(&g.streamOrigins.registry)
	metrics.registerAge("wheelhoist_gateway_config_age_seconds", "Time since the configuration's source last answered.", g.configWatch)
	metrics.registerAge("wheelhoist_gateway_replica_list_age_seconds", "Time since the replica list's source last answered.", g.replicaWatch)
	metrics.registerAge("wheelhoist_gateway_jobs_age_seconds", "Time since the jobs' source last answered.", g.jobWatch)
}

// fastTiming lets lost owners be detected within a few seconds, because items have short deadlines.
func fastTiming() lease.Timing {
	return lease.Timing{TimeToLive: 3 * time.Second, RenewInterval: time.Second}
}

// logSessionEnded logs that this node ended the expired session of a lost node, or failed to.
func (g *Gateway) logSessionEnded(session string, err error) {
	switch {
	case errors.Is(err, table.ErrConflict):
		// It was renewed, or another node was faster.
	case err != nil:
		g.log.Warn().Str("session", session).Err(err).Msg("expired session not ended yet")
	default:
		g.log.Info().Str("session", session).Msg("expired session ended")
		g.broadcastRowsChanged()
	}
}

func (g *Gateway) weights() replica.Weights {
	declared := g.settings.Gateway.Routing
	return replica.Weights{CrossZone: time.Duration(declared.CrossZone), CrossRegion: time.Duration(declared.CrossRegion)}
}

func (g *Gateway) listen() error {
	front := &platform.Front{Gateway: g, Jobs: &platform.JobFront{
		Service: g.jobs, Timeout: jobTimeout, RetryAfter: g.RetryAfter,
	}}
	callers := g.newGuard(g.clients.Connections)
	callers.MaxHead, callers.Timeouts = g.maxHead, g.clientTimeouts
	endpoints := []struct {
		address string
		handler http.Handler
		guard   *ingress.Guard
	}{
		{g.settings.Node.Listen, g.endWithStop(front), callers},
		{g.settings.Gateway.Readiness, front.ReadyHandler(), g.newGuard(ingress.ProbeConnections)},
		{g.settings.Gateway.Metrics, g.statusHandler(), g.newGuard(ingress.ProbeConnections)},
	}
	for _, endpoint := range endpoints {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			g.closeListeners()
			return Error.Wrap(err)
		}
		g.listeners = append(g.listeners, endpoint.guard.Listener(listener))
		server := &http.Server{
			Handler: endpoint.handler, ReadHeaderTimeout: gatewayHeaderTimeout, IdleTimeout: gatewayIdleTimeout,
			MaxHeaderBytes: gatewayHeaderBytes,
		}
		endpoint.guard.Protect(server)
		g.servers = append(g.servers, server)
	}
	return nil
}

func (g *Gateway) closeListeners() {
	for _, listener := range g.listeners {
		_ = listener.Close()
	}
}

func (g *Gateway) start(ctx context.Context) {
	time.AfterFunc(maxCrashWait, g.markCrashesKnown)
	for i, server := range g.servers {
		g.spawn(func() {
			err := server.Serve(g.listeners[i])
			if !errors.Is(err, http.ErrServerClosed) {
				g.log.Error().Err(err).Msg("listener failed")
			}
		})
	}
	g.runPeers(ctx)
	g.spawn(func() { g.configWatch.Run(ctx) })
	g.spawn(func() { g.replicaWatch.Run(ctx) })
	g.spawn(func() { g.runColdLog(ctx) })
	g.spawn(func() { g.runStoreTrafficLog(ctx) })
	g.spawn(func() { g.poolSoftware.Run(ctx) })
	g.spawn(func() { g.streamOrigins.archive.Run(ctx) })
	g.runJobs(ctx)
	g.spawn(func() { g.runner.RunSweeping(ctx, time.Duration(g.settings.Gateway.KeepJobs)) })
}
