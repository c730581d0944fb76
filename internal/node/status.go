package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wheelhoist/wheelhoist/internal/server"
)

// Status describes this node and what it sees of the others.
func (n *Node) Status() server.NodeStatus {
	status := server.NodeStatus{
		Node: n.settings.Node.ID, Zone: n.settings.Node.Zone, Revision: n.store.Revision(),
		Serving: n.Serving(), Draining: n.server.Draining(), Open: n.server.Open(),
		CutZones: n.agent.CutZones(), Batch: n.runner.Counters(),
		Members: []server.MemberStatus{}, Replicas: []server.ReplicaView{},
	}
	for _, member := range n.agent.Members() {
		status.Members = append(status.Members, server.MemberStatus{
			ID: member.ID, Zone: member.Zone, Status: member.Status.String(), Incarnation: member.Incarnation,
		})
	}
	for _, replica := range n.registry.Snapshot(time.Now()).Replicas {
		status.Replicas = append(status.Replicas, server.ReplicaView{
			ID: replica.ID, Zone: replica.Zone, Pool: replica.Pool, State: replica.State, Role: replica.Role,
			Version: replica.Version, Online: replica.Load.RunningOnline + replica.Load.WaitingOnline,
			Batch: replica.Load.RunningBatch, Ejected: replica.Ejected,
		})
	}
	return status
}

// registerMetrics publishes the counters of the parts, named by the Prometheus
// conventions.
func (n *Node) registerMetrics(registry *prometheus.Registry) {
	counter := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
	}
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("wheelhoist_config_revision", "Configuration revision in force.",
		func() float64 { return float64(n.store.Revision()) })
	gauge("wheelhoist_members_live", "Nodes taken to run.",
		func() float64 { return float64(n.liveNodes()) })
	counter("wheelhoist_peer_sent_bytes_total", "Bytes sent to other nodes.",
		func() float64 { return float64(n.transport.Stats().BytesSent) })
	counter("wheelhoist_peer_received_bytes_total", "Bytes received from other nodes.",
		func() float64 { return float64(n.transport.Stats().BytesReceived) })
	counter("wheelhoist_control_sent_bytes_total", "Bytes sent to the platform and to the engines for control.",
		func() float64 { return float64(n.control.Sent()) })
	counter("wheelhoist_control_received_bytes_total", "Bytes received from the platform and from the engines for control.",
		func() float64 { return float64(n.control.Received()) })
	counter("wheelhoist_membership_deaths_total", "Members declared dead by this node.",
		func() float64 { return float64(n.agent.Counters().Deaths) })
	counter("wheelhoist_membership_suspicions_total", "Members suspected by this node.",
		func() float64 { return float64(n.agent.Counters().Suspicions) })
	counter("wheelhoist_batch_items_total", "Batch items answered by replicas fed from this node.",
		func() float64 { return float64(n.runner.Counters().Items) })
	counter("wheelhoist_batch_yielded_total", "Batch items given up to let online work pass.",
		func() float64 { return float64(n.runner.Counters().Yielded) })
	counter("wheelhoist_batch_commits_total", "Batch chunks committed by this node.",
		func() float64 { return float64(n.runner.Counters().Commits) })
}
