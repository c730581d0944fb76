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

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/settings"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/platform"
)

const (
	gatewayHeaderTimeout = 10 * time.Second
	// gatewayIdleTimeout is longer than any caller rests a connection.
	gatewayIdleTimeout = 2 * time.Minute
	// gatewayHeaderBytes is what net/http reads at most; routes bound it further.
	gatewayHeaderBytes = 128 << 10
	// memoryShare of the allowed memory is where collection becomes eager.
	memoryShare = 0.7
	// gatewayRetryShare and gatewayRetryReserve bound repeated attempts.
	gatewayRetryShare = 0.3
	// comeBack is how long callers wait after a request that did not run.
	comeBack = 100 * time.Millisecond
)

// Gateway is a node that serves declared routes of opaque requests. All of its
// lasting state is in the platform's store; its memory is a cache of it.
type Gateway struct {
	settings *settings.Settings
	log      zerolog.Logger

	store     *platform.Store
	backend   *platform.Backend
	routes    route.Current
	replicas  *replica.Set
	forwarder *forward.Forwarder
	metrics   *gatewayMetrics

	configWatch  *table.Watcher
	replicaWatch *table.Watcher
	jobWatch     *table.Watcher
	session      *lease.Session
	owners       *lease.Watcher
	jobs         *jobs.Service
	runner       *jobs.Runner

	servers   []*http.Server
	listeners []net.Listener

	stopping atomic.Bool
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// StartGateway builds a gateway and makes it serve as soon as it knows routes.
func StartGateway(ctx context.Context, config *settings.Settings, log zerolog.Logger) (*Gateway, error) {
	g := &Gateway{settings: config, log: log.With().Str("node", config.Node.ID).Logger()}
	if config.Gateway.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(config.Gateway.MemoryMegabytes) * (1 << 20)))
	}
	g.build()
	if err := g.listen(); err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	g.cancel = cancel
	g.start(runCtx)
	g.log.Info().Str("zone", config.Node.Zone).Str("listen", config.Node.Listen).
		Str("store", config.Gateway.Store).Msg("gateway started")
	return g, nil
}

func (g *Gateway) build() {
	g.metrics = newGatewayMetrics(g)
	g.store = platform.NewStore(g.settings.Gateway.Store, g.metrics.storeCall)
	g.backend = platform.NewBackend(g.metrics.connections.Inc)
	g.replicas = replica.NewSet()
	g.replicas.Ejected = g.logEjected
	g.forwarder = &forward.Forwarder{
		Replicas: g.replicas, Backend: g.backend, Budget: retry.NewBudget(gatewayRetryShare),
		Weights: g.weights(), Zone: g.settings.Node.Zone, Notice: &requestLog{log: g.log},
	}
	g.configWatch = g.watch("configuration", platform.ConfigFeed(g.store), g.applyConfig)
	g.buildJobs()
	g.replicaWatch = g.watch("replica list", platform.ServerFeed(g.store), g.applyReplicas)
}

func (g *Gateway) weights() replica.Weights {
	return replica.Weights{
		CrossZone:  time.Duration(g.settings.Gateway.Routing.CrossZone),
		BatchFill:  g.settings.Gateway.Routing.BatchFill,
		UrgentFill: g.settings.Gateway.Routing.UrgentFill,
	}
}

func (g *Gateway) listen() error {
	front := &platform.Front{Gateway: g, Jobs: &platform.JobFront{
		Service: g.jobs, Patience: jobPatience, ComeBack: g.ComeBack,
	}}
	served := []struct {
		address string
		handler http.Handler
	}{
		{g.settings.Node.Listen, front},
		{g.settings.Gateway.Readiness, front.ReadyHandler()},
		{g.settings.Gateway.Metrics, g.metrics.handler()},
	}
	for _, one := range served {
		if one.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			g.closeListeners()
			return Error.Wrap(err)
		}
		g.listeners = append(g.listeners, listener)
		g.servers = append(g.servers, &http.Server{
			Handler: one.handler, ReadHeaderTimeout: gatewayHeaderTimeout, IdleTimeout: gatewayIdleTimeout,
			MaxHeaderBytes: gatewayHeaderBytes,
		})
	}
	return nil
}

func (g *Gateway) closeListeners() {
	for _, listener := range g.listeners {
		_ = listener.Close()
	}
}

func (g *Gateway) start(ctx context.Context) {
	for i, server := range g.servers {
		g.spawn(func() {
			err := server.Serve(g.listeners[i])
			if !errors.Is(err, http.ErrServerClosed) {
				g.log.Error().Err(err).Msg("listener failed")
			}
		})
	}
	g.spawn(func() { g.configWatch.Run(ctx) })
	g.spawn(func() { g.replicaWatch.Run(ctx) })
	g.runJobs(ctx)
}

func (g *Gateway) spawn(run func()) {
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		run()
	}()
}

// LogDropped counts log lines that were dropped.
func (g *Gateway) LogDropped(lines int) { g.metrics.droppedLogs.Add(float64(lines)) }
