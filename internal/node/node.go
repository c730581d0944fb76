// Package node wires the parts of a node together and runs them. It is the
// only package that knows all of them.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/admission"
	"github.com/wheelhoist/wheelhoist/internal/batch"
	"github.com/wheelhoist/wheelhoist/internal/dispatch"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/fleet"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/membership"
	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/placement"
	"github.com/wheelhoist/wheelhoist/internal/resource"
	"github.com/wheelhoist/wheelhoist/internal/server"
	"github.com/wheelhoist/wheelhoist/internal/settings"
	"github.com/wheelhoist/wheelhoist/internal/steward"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/traffic"
)

// Error is the class of all errors of this package.
var Error = errs.Class("node")

// Options are what a node needs beside its settings.
type Options struct {
	Log zerolog.Logger
	// Drop cuts the traffic to peers; only the lab sets it.
	Drop func(address string) bool
	// Applied is told of every configuration change that comes into force.
	Applied func(resource.Change)
}

// Node is one running node.
type Node struct {
	settings *settings.Settings
	options  Options
	log      zerolog.Logger

	transport  *peer.Transport
	listener   net.Listener
	httpServer *http.Server
	table      table.Service
	objects    object.Store
	machines   machines.List
	engines    *engine.Client
	// control counts the traffic with the platform and the engines' watches.
	control traffic.Counter

	store      *resource.Store
	fence      *resource.Fence
	propagator *resource.Propagator
	agent      *membership.Agent
	registry   *fleet.Registry
	index      *fleet.PrefixIndex
	admission  *admission.Controller
	shares     *admission.Shares
	session    *lease.Session
	watcher    *lease.Watcher
	batch      *batch.Service
	runner     *batch.Runner
	steward    *steward.Steward
	placement  *placement.Controller
	dispatcher *dispatch.Dispatcher
	server     *server.Server

	confirmations chan membership.Confirmation
	drainOnce     sync.Once
	drainAsked    chan struct{}
	machineState  machineState

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Start builds a node, brings it up to date and makes it serve.
func Start(ctx context.Context, config *settings.Settings, options Options) (*Node, error) {
	n := &Node{
		settings: config, options: options,
		log:           options.Log.With().Str("node", config.Node.ID).Str("zone", config.Node.Zone).Logger(),
		confirmations: make(chan membership.Confirmation, 64),
		drainAsked:    make(chan struct{}),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.buildPlatform()
	n.buildCoordination()
	n.buildOnline()
	n.buildBatch()
	if err := n.buildServer(); err != nil {
		return nil, Error.Wrap(errors.Join(err, n.transport.Close(), n.listener.Close()))
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	n.cancel = cancel
	n.transport.Serve()
	n.run(runCtx)
	n.log.Info().Str("listen", n.listener.Addr().String()).Str("peer", n.transport.Address()).Msg("node started")
	return n, nil
}

func (n *Node) listen() error {
	peerTLS, err := n.peerTLS()
	if err != nil {
		return err
	}
	datagramKey, err := n.datagramKey()
	if err != nil {
		return err
	}
	n.transport, err = peer.Listen(peer.Options{
		Address: n.settings.Node.PeerListen, Advertise: n.settings.Node.PeerAdvertise,
		Cluster: peer.ClusterID(n.settings.Platform.Table.Endpoint, n.settings.Platform.Table.Table),
		TLS:     peerTLS, DatagramKey: datagramKey, Drop: n.options.Drop,
		Refused: func(address string, err error) {
			n.log.Warn().Str("peer", address).Err(err).Msg("peer refused")
		},
	})
	if err != nil {
		return Error.Wrap(err)
	}
	n.listener, err = net.Listen("tcp", n.settings.Node.Listen)
	if err != nil {
		return Error.Wrap(errors.Join(err, n.transport.Close()))
	}
	return n.secureListener()
}

func (n *Node) buildPlatform() {
	platform := n.settings.Platform
	client := platformClient(&n.control)
	n.table = table.NewDynamo(table.DynamoConfig{
		Endpoint: platform.Table.Endpoint, Region: platform.Table.Region, Table: platform.Table.Table,
		AccessKey: platform.Table.AccessKey, SecretKey: platform.Table.SecretKey, HTTPClient: client,
	})
	n.objects = object.NewS3(object.S3Config{
		Endpoint: platform.Objects.Endpoint, Region: platform.Objects.Region, Bucket: platform.Objects.Bucket,
		AccessKey: platform.Objects.AccessKey, SecretKey: platform.Objects.SecretKey, HTTPClient: client,
	})
	n.machines = &machines.HTTPList{URL: platform.Machines.URL, Client: client}
	n.engines = engine.NewClient(&n.control)
}

// platformClient bounds every call to the platform, so that a hung service
// looks like one that is down.
func platformClient(counter *traffic.Counter) *http.Client {
	const callTimeout = 5 * time.Second
	transport := &http.Transport{
		DialContext:         counter.Dial((&net.Dialer{Timeout: time.Second}).DialContext),
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,
	}
	return &http.Client{Transport: transport, Timeout: callTimeout}
}

func (n *Node) buildCoordination() {
	seed := xxhash.Sum64String(n.settings.Node.ID) ^ uint64(time.Now().UnixNano())
	n.agent = membership.NewAgent(membership.AgentOptions{
		Config: membership.DefaultConfig(),
		Self: membership.Member{
			ID: n.settings.Node.ID, Zone: n.settings.Node.Zone, Region: n.settings.Node.Region,
			Address: n.transport.Address(), HTTP: n.listener.Addr().String(),
		},
		Transport: n.transport, Seeds: n.seeds, Confirmed: n.confirmed, Seed: seed,
	})
	n.store = resource.NewStore(func(change resource.Change) {
		n.agent.SetApplied(change.Revision)
		if n.options.Applied != nil {
			n.options.Applied(change)
		}
	})
	n.fence = resource.NewFence(resource.SelfFenceAfter)
	n.propagator = resource.NewPropagator(n.store, resource.NewWriter(n.table), n.fence, &configPeers{node: n}, n.transport.Address())
	n.propagator.Register(n.transport)
	n.session = lease.NewSession(n.table, n.settings.Node.ID, lease.DefaultTiming())
	n.watcher = lease.NewWatcher(n.table, time.Now, lease.DefaultTiming())
}

// confirmed hands a probe's answer to the configuration without blocking the
// membership protocol.
func (n *Node) confirmed(confirmation membership.Confirmation) {
	select {
	case n.confirmations <- confirmation:
	default:
	}
}

// URL returns the base URL for callers.
func (n *Node) URL() string {
	scheme := "http://"
	if n.settings.TLS.Serve.Set() {
		scheme = "https://"
	}
	return scheme + n.listener.Addr().String()
}

// ID returns the node's id.
func (n *Node) ID() string { return n.settings.Node.ID }

// PeerAddress returns the address for other nodes.
func (n *Node) PeerAddress() string { return n.transport.Address() }

// Revision returns the configuration revision in force.
func (n *Node) Revision() uint64 { return n.store.Revision() }

// PeerStats returns the traffic with other nodes.
func (n *Node) PeerStats() peer.Stats { return n.transport.Stats() }

// MembershipCounters returns the judgements of the membership protocol.
func (n *Node) MembershipCounters() membership.Counters { return n.agent.Counters() }

// BatchCounters returns the counters of the batch runner.
func (n *Node) BatchCounters() batch.Counters { return n.runner.Counters() }

// Serving reports whether the node admits work.
func (n *Node) Serving() bool { return !n.server.Draining() && n.fence.Open(time.Now()) }

// newMetricsRegistry returns a registry of this node alone, so that several
// nodes can share a process in the lab.
func newMetricsRegistry() *prometheus.Registry { return prometheus.NewRegistry() }
