// Package node assembles the other packages into a running node: [Node] with the product's own
// interface, and [Gateway], which serves declared routes on the users' platform.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/admission"
	"github.com/wheelhoist/wheelhoist/internal/batch"
	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/idempotency"
	"github.com/wheelhoist/wheelhoist/internal/ingress"
	"github.com/wheelhoist/wheelhoist/internal/inventory"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/placement"
	"github.com/wheelhoist/wheelhoist/internal/resource"
	"github.com/wheelhoist/wheelhoist/internal/server"
	"github.com/wheelhoist/wheelhoist/internal/settings"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/tlsfile"
	"github.com/wheelhoist/wheelhoist/internal/traffic"
)

const (
	headerTimeout = 5 * time.Second
	// spareConnections are those that may be open beside the ones of the permitted requests.
	spareConnections = 200
	// headsPollPerSession, times the number of live sessions, is the minimum time between two polls
	// of the table's heads. It bounds the calls of all nodes together in large fleets.
	headsPollPerSession = 1500 * time.Microsecond
	// commitInterval is how long finished items wait to be committed together: jobs last for
	// minutes, and table writes are billed each.
	commitInterval = 200 * time.Millisecond
)

// Options are the parts of a node that settings do not define.
type Options struct {
	Log zerolog.Logger
	// Cut, if set, makes calls to the table and the object store fail while it returns true. Only
	// the lab sets it.
	Cut func() bool
	// OnApplied, if set, is called with each configuration revision that comes into force.
	OnApplied func(revision uint64)
}

// Node is a running node with the product's own interface.
type Node struct {
	*core
	settings *settings.Settings
	options  Options

	listener   net.Listener
	httpServer *http.Server
	server     *server.Server
	engines    *engine.Client
	// control counts the traffic to the platform and to the engines for reports.
	control traffic.Counter

	table     *table.Logged
	heads     *table.Heads
	resources *resource.Store
	publisher *resource.Publisher
	inventory inventory.View
	observer  *inventory.Observer
	placement *placement.Controller
	admission *admission.Controller
	batches   *batch.Service
	feeder    *batch.Feeder
	machines  machineList

	// sessions are the sessions of all nodes. Each carries the configuration revision in force at
	// its node.
	sessions     *lease.Watcher
	configWatch  *table.Watcher
	replicaWatch *table.Watcher

	drainOnce      sync.Once
	drainRequested chan struct{}
	// applied wakes announceLoop after a configuration revision came into force.
	applied chan struct{}
	joined  atomic.Bool
	cancel  context.CancelFunc
}

// Start builds a node and starts it. It serves requests once it knows its configuration.
func Start(ctx context.Context, config *settings.Settings, options Options) (*Node, error) {
	log := options.Log.With().Str("node", config.Node.ID).Str("zone", config.Node.Zone).Logger()
	n := &Node{
		settings: config, options: options,
		drainRequested: make(chan struct{}), applied: make(chan struct{}, 1),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.build(log)
	if err := n.buildServer(); err != nil {
		return nil, Error.Wrap(errors.Join(err, n.listener.Close()))
	}
	if err := n.protect(); err != nil {
		return nil, Error.Wrap(errors.Join(err, n.listener.Close()))
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	n.cancel = cancel
	n.run(runCtx)
	n.log.Info().Str("listen", n.listener.Addr().String()).Msg("node started")
	return n, nil
}

func (n *Node) listen() error {
	listener, err := net.Listen("tcp", n.settings.Node.Listen)
	if err != nil {
		return Error.Wrap(err)
	}
	n.listener = listener
	return nil
}

// protect bounds what the clients of the listener make this node hold, and adds TLS to it.
func (n *Node) protect() error {
	n.clients.set(ingress.Machine{
		Megabytes: n.settings.Node.MemoryMegabytes, Requests: n.settings.Node.MaxStreams + spareConnections,
	}.Limits())
	files := n.settings.TLS.Serve
	guard := n.newGuard(n.clients.Connections)
	guard.Encrypted = files.Set()
	guard.Protect(n.httpServer)
	n.listener = guard.Listener(n.listener)
	if !files.Set() {
		return nil
	}
	loader, err := tlsfile.NewLoader(tlsfile.Files{Certificate: files.Certificate, Key: files.Key})
	if err != nil {
		return Error.Wrap(err)
	}
	n.listener = tls.NewListener(n.listener, loader.Server())
	return nil
}

// build creates the components of the node and connects them.
func (n *Node) build(log zerolog.Logger) {
	platform := n.settings.Platform
	client := &http.Client{Transport: n.transport()}
	n.table = &table.Logged{
		Groups: []string{resource.Group, inventory.Group, jobs.Group},
		Service: table.NewDynamo(table.DynamoConfig{
			Endpoint: platform.Table.Endpoint, Region: platform.Table.Region, Table: platform.Table.Table,
			AccessKey: platform.Table.AccessKey, SecretKey: platform.Table.SecretKey, HTTPClient: client,
		}),
	}
	objects := object.NewS3(object.S3Config{
		Endpoint: platform.Objects.Endpoint, Region: platform.Objects.Region, Bucket: platform.Objects.Bucket,
		AccessKey: platform.Objects.AccessKey, SecretKey: platform.Objects.SecretKey, HTTPClient: client,
	})
	n.engines = engine.NewClient(&n.control)
	n.machines.source = &machines.HTTPList{URL: platform.Machines.URL, Client: &http.Client{Transport: n.countedTransport()}}
	n.heads = table.NewHeads(n.table)
	n.sessions = lease.NewWatcher(n.table, clock.Now, fastTiming())
	n.core = newCore(log, newCoreMetrics(), dependencies{
		id: n.settings.Node.ID, zone: n.settings.Node.Zone, table: n.table, objects: objects,
		backend: engine.NewBackend(n.engines), jobFeed: n.feed(jobs.Group, jobPartitions()),
		timing: fastTiming(), sessions: func(*lease.Session) sessionView { return n.sessions }, weights: servingWeights(), commitInterval: commitInterval, quarantine: n.settings.Quarantine,
	})
	n.zoneOf = n.machines.zone
	n.heads.Interval = n.pollInterval
	n.heads.Unreadable, n.sessions.Unreadable = &n.unreadable, &n.unreadable
	n.buildConfiguration()
	n.buildBatch(objects)
}

func jobPartitions() []string {
	parts := jobs.Parts()
	for i := range parts {
		parts[i] = jobs.Group + "/" + parts[i]
	}
	return parts
}

func (n *Node) feed(group string, parts []string) table.Feed {
	return &table.HedgedFeed{Feed: table.PolledFeed{Heads: n.heads, Group: group, Parts: parts}}
}

func (n *Node) pollInterval() time.Duration {
	return max(table.DefaultPollInterval, time.Duration(len(n.owners.Live()))*headsPollPerSession)
}

func (n *Node) buildConfiguration() {
	n.resources = resource.NewStore(n.configApplied)
	n.resources.Unreadable = &n.unreadable
	n.session.Body = func() []byte { return resource.EncodeApplied(n.resources.Revision()) }
	n.configWatch = n.watch("configuration", n.feed(resource.Group, []string{resource.Group}), n.resources.Apply)
	n.replicaWatch = n.watchReplicas(n.feed(inventory.Group, []string{inventory.Group}), n.applyReplicas)
	n.publisher = &resource.Publisher{
		Writer: resource.NewWriter(n.table), Sessions: n.sessions, Listed: n.machines.listed,
	}
	n.observer = &inventory.Observer{
		Table: n.table, View: &n.inventory, Engines: n.engines, Machines: n.machines.current,
		Assigned: func(ids []string) map[string]bool { return n.sessions.Share(n.session.ID(), ids) }, Log: n.log,
	}
	n.placement = placement.NewController(placement.Options{
		Table: n.table, Session: n.session, Watcher: n.sessions, Store: n.resources,
		Orders: n.engines, Replicas: n.placementReplicas, Nodes: n.liveNodes, Log: n.log,
	})
	n.admission = admission.NewController(n.share)
}

func (n *Node) buildBatch(objects object.Store) {
	n.batches = &batch.Service{Table: n.table, Objects: objects, Work: n.jobs, Unreadable: &n.unreadable}
	n.feeder = &batch.Feeder{
		Service: n.batches, Sessions: n.sessions, Self: n.session.ID(), Weight: n.tenantWeight, Log: n.log,
	}
	n.batches.Accepted = n.feeder.Accept
}

func (n *Node) buildServer() error {
	n.metrics.registerViews(n.core)
	n.metrics.registerPools(n.core)
	n.metrics.registry.MustRegister(&groupWaitCollector{counts: n.feeder.WaitCounts, now: clock.Now})
	n.metrics.registerTraffic(&n.control)
	claims := idempotency.NewStore(n.table)
	claims.Unreadable = &n.unreadable
	handler, err := server.New(server.Options{
		NodeID: n.settings.Node.ID, Log: n.log, Store: n.resources, Resources: n.publisher,
		Current: n.configurationCurrent, Serving: n.hasConfiguration, Routes: n.routes.Load, Forward: n.forward,
		Predict: n.forwarder.Predict, Replicas: n.replicas, Engines: n.engines, Admission: n.admission,
		Claims: claims, Batch: n.batches, BatchWaits: n.batchWaits, Status: n.Status, Metrics: n.metrics.registry,
		OperatorKeySHA256: n.settings.Operator.KeySHA256, MaxStreams: n.settings.Node.MaxStreams,
		Drain: n.RequestDrain, Quarantine: n,
	})
	if err != nil {
		return err
	}
	n.server = handler
	n.httpServer = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: ingress.DefaultMaxHead}
	return nil
}

// share returns this node's share of a tenant's limits. All live nodes have equal shares.
func (n *Node) share(string) float64 { return 1 / float64(n.liveNodes()) }

func (n *Node) liveNodes() int { return max(1, len(n.owners.Live())) }

// preferred reports whether this node should perform a task that any node could perform.
func (n *Node) preferred(task string) bool { return n.owners.Preferred(task) == n.session.ID() }

func (n *Node) tenantWeight(name string) float64 {
	if entry, ok := n.resources.Snapshot().Get(v1.KindTenant, name); ok {
		if spec, ok := entry.Spec.(*v1.TenantSpec); ok {
			return spec.Weight
		}
	}
	return 1
}
