package node

import (
	"errors"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/dialer"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/httphead"
	"github.com/wheelhoist/wheelhoist/internal/inventory"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/server"
	"github.com/wheelhoist/wheelhoist/internal/traffic"
)

// Status returns the status of this node and its view of the fleet.
func (n *Node) Status() server.NodeStatus {
	status := n.core.status()
	status.Node, status.Zone, status.Revision = n.settings.Node.ID, n.settings.Node.Zone, n.resources.Revision()
	status.Serving, status.Draining, status.Open = n.Serving(), n.server.Draining(), n.server.Open()
	status.ConfigAge = n.configWatch.Age().Seconds()
	reported := map[string]inventory.Listed{}
	for _, listed := range n.inventory.List() {
		reported[listed.ID] = listed
	}
	for i := range status.Replicas {
		entry := reported[status.Replicas[i].ID]
		status.Replicas[i].State, status.Replicas[i].Role = entry.State, entry.Role
	}
	return status
}

// status returns the other nodes and the replicas as this node sees them.
func (c *core) status() server.NodeStatus {
	status := server.NodeStatus{Members: []server.MemberStatus{}, Replicas: []server.ReplicaStatus{}}
	for _, session := range c.owners.Sessions() {
		state := server.MemberAlive
		if session.Expired {
			state = server.MemberExpired
		}
		status.Members = append(status.Members, server.MemberStatus{ID: session.Node(), Zone: c.zoneOf(session.Node()), Status: state})
	}
	for _, candidate := range c.replicas.List(clock.Now()) {
		status.Replicas = append(status.Replicas, server.ReplicaStatus{
			ID: candidate.ID, Zone: candidate.Zone, Pool: candidate.Pool, Version: candidate.Version,
			State: replicaState(&candidate), Open: candidate.Open, Batch: candidate.Batch, Ejected: candidate.Ejected,
			ColdLeft: candidate.Cold.Left.Seconds(), ColdRate: candidate.Cold.Rate,
		})
	}
	status.Zones = c.zoneStatus(&status, clock.Now())
	status.Items = c.waitCounts()
	return status
}

func replicaState(candidate *replica.Candidate) engine.State {
	if candidate.Leaving {
		return engine.StateLeaving
	}
	return engine.StateReady
}

// ItemsCompleted returns the number of batch items that this node has completed.
func (n *Node) ItemsCompleted() uint64 { return n.metrics.completed.Load() }

// registerTraffic registers the gauges of control traffic.
func (m *coreMetrics) registerTraffic(control *traffic.Counter) {
	m.gauge("wheelhoist_control_sent_bytes", "Bytes sent to the platform and to the engines for control.",
		func() float64 { return float64(control.Sent()) })
	m.gauge("wheelhoist_control_received_bytes", "Bytes received from the platform and the engines for control.",
		func() float64 { return float64(control.Received()) })
}

// errCut is the error of calls made while the lab cuts the node off.
var errCut = errors.New("cut off by the lab")

// cutTransport fails calls while the node is cut off.
type cutTransport struct {
	http.RoundTripper
	cut func() bool
}

// RoundTrip implements http.RoundTripper.
func (t cutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.cut() {
		return nil, errCut
	}
	return t.RoundTripper.RoundTrip(r)
}

// countedTransport returns a transport whose bytes count as control traffic.
func (n *Node) countedTransport() http.RoundTripper {
	return httphead.Transport{Transport: &http.Transport{
		DialContext:         n.control.Dial(dialer.ReportResets(dialer.New(callTimeout).DialContext)),
		MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Minute,
	}}
}

// transport returns the transport to the table and the object store.
func (n *Node) transport() http.RoundTripper {
	if n.options.Cut == nil {
		return n.countedTransport()
	}
	return cutTransport{RoundTripper: n.countedTransport(), cut: n.options.Cut}
}
