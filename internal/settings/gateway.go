package settings

import (
	"net"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/findings"
)

// Gateway are the settings of a node that serves declared routes of opaque
// requests, with all lasting state in the store of the platform it runs on.
type Gateway struct {
	// Store is host:port of the platform's store. Setting it makes the node a gateway.
	Store string `json:"store,omitempty"`
	// Readiness is host:port where the platform asks whether callers should come.
	Readiness string `json:"readiness,omitempty"`
	// Metrics is host:port where metrics are served.
	Metrics string `json:"metrics,omitempty"`
	// Grace is the time from SIGTERM until the process is killed; default 8s.
	Grace v1.Duration `json:"grace,omitempty"`
	// KeepJobs is how long after its acceptance a job that is done can be read;
	// 0 keeps all jobs.
	KeepJobs v1.Duration `json:"keepJobs,omitempty"`
	// Settle is how long after a result of a job was read at any node all others show it, or
	// answer 503; default 1s.
	Settle v1.Duration `json:"settle,omitempty"`
	// MemoryMegabytes is the memory that the process may use; 0 means unknown.
	MemoryMegabytes int `json:"memoryMegabytes,omitempty"`
	// Capacity is what the machine has beside its memory; zero means unknown.
	Capacity Capacity `json:"capacity,omitempty"`
	Routing  Routing  `json:"routing,omitempty"`
	// Peers is host:port where other nodes reach this one, by datagrams. Without it the
	// node keeps tenants' limits by an equal part of them.
	Peers string `json:"peers,omitempty"`
	Quota Quota  `json:"quota,omitempty"`
	Cold  Cold   `json:"cold,omitempty"`
	// BootstrapAfter is how long the store answers nothing until a node that starts asks
	// another one for what that knows; default 700ms.
	BootstrapAfter v1.Duration `json:"bootstrapAfter,omitempty"`
	// MaxConfigAge bounds how long callers are told apart by a configuration whose
	// source does not answer; 0 means no bound. Keys that were taken away meanwhile are
	// served up to then.
	MaxConfigAge v1.Duration `json:"maxConfigAge,omitempty"`
}

// Capacity is what a machine has.
type Capacity struct {
	// Cores is the share of a core that the process may use.
	Cores float64 `json:"cores,omitempty"`
	// LinkMbps is the bandwidth of the machine's link in Mbit/s.
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// Quota says how tenants' limits of requests are judged.
type Quota struct {
	// Window is the length of the windows that count; default 5s.
	Window v1.Duration `json:"window,omitempty"`
	// Over is the share of a limit, and Slack the number of requests, that may be let
	// through beyond it in a window, for it is kept by many nodes.
	Over  float64 `json:"over,omitempty"`
	Slack float64 `json:"slack,omitempty"`
}

// Cold says how cold replicas are judged: in any one second one may get the rate that it
// bears x Over + Slack requests.
type Cold struct {
	// Over is 1 at least; default 1.
	Over float64 `json:"over,omitempty"`
	// Slack is in requests.
	Slack float64 `json:"slack,omitempty"`
}

// DefaultBootstrapAfter: a page of a first read takes some 50 ms on the users' platform, and
// some hundreds when a whole fleet starts.
const DefaultBootstrapAfter = v1.Duration(700 * time.Millisecond)

// DefaultQuotaWindow is what the users' deployments state.
const DefaultQuotaWindow = v1.Duration(5 * time.Second)

// Routing weighs what the choice of a replica gives up for what.
type Routing struct {
	// CrossZone is how much longer a request may wait to stay in its zone.
	CrossZone v1.Duration `json:"crossZone,omitempty"`
	// CrossRegion is how much longer a request may wait to stay in its region; that
	// of a zone if it is less.
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

func checkHostPort(found *findings.List, path, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		found.Add(path, "must be host:port")
	}
}
