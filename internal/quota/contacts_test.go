package quota

import (
	"net"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// lostNode is a node whose session is in doubt, with three others.
type lostNode struct{ pair }

func (lostNode) Unconfirmed() time.Duration { return probeFrom }
func (lostNode) Others() []Other {
	return []Other{{Node: "x", Address: "127.0.0.1:1"}, {Node: "y", Address: "127.0.0.1:2"}, {Node: "z", Address: "127.0.0.1:3"}}
}

// sentKinds counts messages by kind.
type sentKinds map[peer.Kind]int

func (s sentKinds) Send(_ *net.UDPAddr, kind peer.Kind, _ any) error {
	s[kind]++
	return nil
}

// TestExchange_ProbesOnlyWhereItCounts has a node's session in doubt. In a sweep of 300
// machines without tenants each probed all others three times a second.
func TestExchange_ProbesOnlyWhereItCounts(t *testing.T) {
	sent := sentKinds{}
	node := NewExchange(tolerance, lostNode{pair{"b"}})
	node.Session, node.Sender = "b#1", sent
	now := time.Now()
	node.probeDue(now)
	if sent[peer.KindQuotaProbe] != 0 {
		t.Errorf("%d probes of a node that counts for nobody", sent[peer.KindQuotaProbe])
	}
	node.Ledger.Report("a#1", Report{Tenant: "t", Number: 1, Demand: 1}, Limit{Rate: 10, Burst: 10}, now)
	node.probeDue(now)
	if sent[peer.KindQuotaProbe] != 3 {
		t.Errorf("%d probes of a node that counts for a tenant, want 3", sent[peer.KindQuotaProbe])
	}
}
