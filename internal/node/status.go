package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/server"
	"github.com/wheelhoist/wheelhoist/internal/traffic"
)

// Status describes this node and what it sees of the others.
func (n *Node) Status() server.NodeStatus {
	status := server.NodeStatus{
		Node: n.settings.Node.ID, Zone: n.settings.Node.Zone, Revision: n.resources.Revision(),
		Serving: n.Serving(), Draining: n.server.Draining(), Open: n.server.Open(),
		ConfigAge: n.configWatch.Age().Seconds(), Members: []server.MemberStatus{}, Replicas: []server.ReplicaView{},
	}
	for _, session := range n.owners.Sessions() {
		state := server.MemberAlive
		if session.Expired {
			state = server.MemberExpired
		}
		status.Members = append(status.Members, server.MemberStatus{ID: session.Node(), Status: state})
	}
	reports := map[string]engine.State{}
	roles := map[string]engine.Role{}
	for _, listed := range n.inventory.List() {
		reports[listed.ID], roles[listed.ID] = listed.State, listed.Role
	}
	for _, known := range n.replicas.List(time.Now()) {
		status.Replicas = append(status.Replicas, server.ReplicaView{
			ID: known.ID, Zone: known.Zone, Pool: known.Pool, State: reports[known.ID], Role: roles[known.ID],
			Version: known.Version, Open: known.Open, Batch: known.Batch, Ejected: known.Ejected,
		})
	}
	return status
}

// ItemsCompleted returns the number of batch items that this node has completed.
func (n *Node) ItemsCompleted() uint64 { return n.metrics.completed.Load() }

// registerTraffic adds the bytes that control costs.
func (m *coreMetrics) registerTraffic(control *traffic.Counter) {
	m.gauge("wheelhoist_control_sent_bytes", "Bytes sent to the platform and to the engines for control.",
		func() float64 { return float64(control.Sent()) })
	m.gauge("wheelhoist_control_received_bytes", "Bytes received from the platform and the engines for control.",
		func() float64 { return float64(control.Received()) })
}

// errCut is what calls fail with that the lab has cut off.
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

// counted returns a transport whose bytes count as control traffic.
func (n *Node) counted() http.RoundTripper {
	dialer := &net.Dialer{Timeout: callTimeout}
	return &http.Transport{
		DialContext: n.control.Dial(func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		}),
		MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Minute,
	}
}

// transport returns the transport to the table and the object store.
func (n *Node) transport() http.RoundTripper {
	if n.options.Cut == nil {
		return n.counted()
	}
	return cutTransport{RoundTripper: n.counted(), cut: n.options.Cut}
}
