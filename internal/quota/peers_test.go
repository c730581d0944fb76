package quota

import (
	"net"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// unconfirmedNode is a node with three peers and an unconfirmed session.
type unconfirmedNode struct{ pair }

func (unconfirmedNode) SinceConfirmed() time.Duration { return probeAfter }
func (unconfirmedNode) Peers() []Peer {
	return []Peer{{Node: "x", Address: "127.0.0.1:1"}, {Node: "y", Address: "127.0.0.1:2"}, {Node: "z", Address: "127.0.0.1:3"}}
}

// sentCounts counts sent messages by kind.
type sentCounts map[peer.Kind]int

func (s sentCounts) Send(_ *net.UDPAddr, kind peer.Kind, _ any) error {
	s[kind]++
	return nil
}

// TestCoordinator_ProbesOnlyIfCounting checks that a node with an unconfirmed session sends probes
// only if it counts for a tenant. Otherwise, in a large fleet that loses the store, every node
// would probe all others three times per second.
func TestCoordinator_ProbesOnlyIfCounting(t *testing.T) {
	sent := sentCounts{}
	node := NewCoordinator(tolerance, unconfirmedNode{pair{"b"}})
	node.Session, node.Sender = "b#1", sent
	now := time.Now()
	node.probeIfDue(now)
	if sent[peer.KindQuotaProbe] != 0 {
		t.Errorf("node without tenants sent %d probes, want 0", sent[peer.KindQuotaProbe])
	}
	node.Allocator.HandleReport("a#1", Report{Tenant: "t", Number: 1, Demand: 1}, Limit{Rate: 10, Burst: 10}, now)
	node.probeIfDue(now)
	if sent[peer.KindQuotaProbe] != 3 {
		t.Errorf("node that counts for a tenant sent %d probes, want 3", sent[peer.KindQuotaProbe])
	}
}
