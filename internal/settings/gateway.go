package settings

import (
	"net"
	"slices"
	"strconv"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/findings"
)

// Gateway holds the settings of a node that serves declared routes of opaque requests and keeps all
// durable state in the platform's store.
type Gateway struct {
	// Store is the host:port of the platform's store. Setting it makes the node a gateway.
	Store string `json:"store,omitempty"`
	// StoreWrites is the number of writes per second that the store takes from all nodes together; 0
	// means unknown.
	StoreWrites int `json:"storeWrites,omitempty"`
	// Readiness is the host:port at which the platform probes readiness.
	Readiness string `json:"readiness,omitempty"`
	// Metrics is the host:port at which metrics are served.
	Metrics string `json:"metrics,omitempty"`
	// Grace is the time from SIGTERM until the process is killed; default 8s.
	Grace v1.Duration `json:"grace,omitempty"`
	// KeepJobs is how long after its acceptance a completed job can be read; 0 keeps all jobs.
	KeepJobs v1.Duration `json:"keepJobs,omitempty"`
	// Settle is how long after a node returned a job's result another node may still answer that there
	// is none. Later it returns the result or answers 503. The default is 1s.
	Settle v1.Duration `json:"settle,omitempty"`
	// MemoryMegabytes is the memory that the process may use; 0 means unknown.
	MemoryMegabytes int `json:"memoryMegabytes,omitempty"`
	// Descriptors is the number of descriptors that the process may have open; 0 means the limit of the
	// process.
	Descriptors int `json:"descriptors,omitempty"`
	// Capacity holds the machine's resources other than memory; zero means unknown.
	Capacity Capacity `json:"capacity,omitempty"`
	Routing  Routing  `json:"routing,omitempty"`
	// Peers is the host:port at which this node receives datagrams of other nodes. Without it, the
	// node enforces an equal share of each tenant's limit.
	Peers string `json:"peers,omitempty"`
	// Seeds is a list of up to eight addresses of other nodes, as in their peers. A starting node asks
	// them for what it cannot read in the store yet. Addresses may be out of date or this node's own.
	Seeds []string `json:"seeds,omitempty"`
	// SeedPort is the port of peers on the machines of seeds, if the addresses in seeds have the port of
	// something else; 0 means that they have the right one.
	SeedPort int   `json:"seedPort,omitempty"`
	Quota    Quota `json:"quota,omitempty"`
	Cold     Cold  `json:"cold,omitempty"`
	// BootstrapAfter is how long a starting node waits for an answer of the store before it reads the
	// state of another node; default 700ms.
	BootstrapAfter v1.Duration `json:"bootstrapAfter,omitempty"`
	// RelayFrom is the number of nodes above which most nodes follow other nodes of their zone, the
	// relays, in place of the store; default 320.
	RelayFrom int `json:"relayFrom,omitempty"`
	// MaxConfigAge bounds how long callers are authenticated by a configuration whose source does not
	// answer; 0 means no bound. Keys revoked in the meantime are accepted until then.
	MaxConfigAge v1.Duration `json:"maxConfigAge,omitempty"`
}

// Capacity describes the resources of a machine.
type Capacity struct {
	// Cores is the number of cores that the process may use; it may be a fraction.
	Cores float64 `json:"cores,omitempty"`
	// LinkMbps is the bandwidth of the machine's link in Mbit/s.
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// Quota configures how tenants' request limits are enforced.
type Quota struct {
	// Window is the length of the window in which requests are counted; default 5s.
	Window v1.Duration `json:"window,omitempty"`
	// Over is the fraction of the limit that may be admitted beyond it in a window, because many nodes
	// enforce it together.
	Over float64 `json:"over,omitempty"`
	// Slack is the number of requests that may be admitted in addition to Over.
	Slack float64 `json:"slack,omitempty"`
}

// Cold configures the limit of requests to cold replicas. In any one second a cold replica may get
// Over times the rate that it sustains, plus Slack requests.
type Cold struct {
	// Over is the multiple of the sustained rate; default 1.
	Over float64 `json:"over,omitempty"`
	// Slack is the number of requests that are allowed in addition to Over.
	Slack float64 `json:"slack,omitempty"`
}

// maxSeeds bounds the seeds, each of which a starting node asks several times.
const maxSeeds = 8

// maxPort is the largest port number.
const maxPort = 1<<16 - 1

// DefaultRelayFrom is the default of RelayFrom.
const DefaultRelayFrom = 320

// DefaultBootstrapAfter is the default of BootstrapAfter. It exceeds the time to read a page of the
// initial state: about 50 ms, and some hundreds when a whole fleet starts at once.
const DefaultBootstrapAfter = v1.Duration(700 * time.Millisecond)

// DefaultQuotaWindow is the default of Quota.Window.
const DefaultQuotaWindow = v1.Duration(5 * time.Second)

// Routing weighs locality against waiting time in the choice of a replica.
type Routing struct {
	// CrossZone is how much longer a request may wait to stay in its zone.
	CrossZone v1.Duration `json:"crossZone,omitempty"`
	// CrossRegion is how much longer a request may wait to stay in its region. CrossZone applies if
	// it is larger.
	CrossRegion v1.Duration `json:"crossRegion,omitempty"`
}

// Enabled reports whether the node is a gateway.
func (g *Gateway) Enabled() bool { return g.Store != "" }

func (g *Gateway) validate(found *findings.List) {
	checkHostPort(found, "gateway.store", g.Store)
	if g.Readiness != "" {
		checkAddress(found, "gateway.readiness", g.Readiness)
	}
	if g.Metrics != "" {
		checkAddress(found, "gateway.metrics", g.Metrics)
	}
	if g.Peers != "" {
		checkAddress(found, "gateway.peers", g.Peers)
	}
	g.validateSeeds(found)
	if g.StoreWrites < 0 {
		found.Add("gateway.storeWrites", "must not be negative")
	}
	if g.RelayFrom < 0 {
		found.Add("gateway.relayFrom", "must not be negative")
	}
	if g.BootstrapAfter < 0 {
		found.Add("gateway.bootstrapAfter", "must not be negative")
	}
	if g.MaxConfigAge < 0 {
		found.Add("gateway.maxConfigAge", "must not be negative")
	}
	if g.Quota.Window < 0 {
		found.Add("gateway.quota.window", "must not be negative")
	}
	if g.Quota.Over < 0 || g.Quota.Over > 1 {
		found.Add("gateway.quota.over", "must be from 0 to 1")
	}
	if g.Quota.Slack < 0 {
		found.Add("gateway.quota.slack", "must not be negative")
	}
	if g.Cold.Over != 0 && !(g.Cold.Over >= 1) {
		found.Add("gateway.cold.over", "must be at least 1")
	}
	if !(g.Cold.Slack >= 0) {
		found.Add("gateway.cold.slack", "must not be negative")
	}
	if g.Grace < 0 {
		found.Add("gateway.grace", "must not be negative")
	}
	if g.KeepJobs < 0 {
		found.Add("gateway.keepJobs", "must not be negative")
	}
	if g.Settle < 0 {
		found.Add("gateway.settle", "must not be negative")
	}
	if g.MemoryMegabytes < 0 {
		found.Add("gateway.memoryMegabytes", "must not be negative")
	}
	if g.Descriptors < 0 {
		found.Add("gateway.descriptors", "must not be negative")
	}
	if g.Capacity.Cores < 0 || g.Capacity.LinkMbps < 0 {
		found.Add("gateway.capacity", "must not be negative")
	}
	if g.Routing.CrossZone < 0 {
		found.Add("gateway.routing.crossZone", "must not be negative")
	}
	if g.Routing.CrossRegion < 0 {
		found.Add("gateway.routing.crossRegion", "must not be negative")
	}
}

// validateSeeds checks the addresses of other nodes.
func (g *Gateway) validateSeeds(found *findings.List) {
	if len(g.Seeds) > maxSeeds {
		found.Add("gateway.seeds", "must not be more than %d", maxSeeds)
	}
	if len(g.Seeds) > 0 && g.Peers == "" {
		found.Add("gateway.seeds", "need gateway.peers")
	}
	for _, seed := range g.Seeds {
		checkAddress(found, "gateway.seeds", seed)
	}
	if g.SeedPort < 0 || g.SeedPort > maxPort {
		found.Add("gateway.seedPort", "must be from 0 to %d", maxPort)
	}
}

// SeedAddresses returns the peers addresses of the nodes that the seeds name, without this node's own.
func (g *Gateway) SeedAddresses() []string {
	var addresses []string
	for _, seed := range g.Seeds {
		host, port, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		if g.SeedPort > 0 {
			port = strconv.Itoa(g.SeedPort)
		}
		if address := net.JoinHostPort(host, port); address != g.Peers && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// checkHostPort reports an address that is not host:port. The host may be a name.
func checkHostPort(found *findings.List, path, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		found.Add(path, "must be host:port")
	}
}
