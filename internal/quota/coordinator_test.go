package quota

import (
	"math"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// pair is a fleet of the nodes "a" and "b", in which "b" owns all tenants.
type pair struct{ self string }

func (p pair) Self() string                  { return p.self }
func (p pair) Owner(string) (string, string) { return "b", "127.0.0.1:1" }
func (p pair) Count() int                    { return 2 }

func (p pair) Successor(tenant string) (string, string) { return p.Owner(tenant) }
func (p pair) SessionLost(string) bool                  { return false }
func (p pair) Peers() []Peer                            { return nil }
func (p pair) SinceConfirmed() time.Duration            { return 0 }

// encodedLink delivers messages from one coordinator to another and encodes them as on the wire.
type encodedLink struct {
	t    testing.TB
	from string
	to   *Coordinator
	// dropNext is the number of messages to drop.
	dropNext int
}

func (l *encodedLink) Send(_ *net.UDPAddr, kind peer.Kind, body any) error {
	if l.dropNext > 0 {
		l.dropNext--
		return nil
	}
	encoded, err := cbor.Marshal(body)
	if err != nil {
		l.t.Fatal(err)
	}
	switch kind {
	case peer.KindQuotaReport:
		l.to.HandleReports(l.from, &net.UDPAddr{}, encoded)
	case peer.KindQuotaGrant:
		l.to.HandleGrants(l.from, &net.UDPAddr{}, encoded)
	}
	return nil
}

// newPair returns the coordinator of "a" and its link to the owner.
func newPair(t testing.TB) (coordinator *Coordinator, link *encodedLink) {
	limit := Limit{Rate: 10, Burst: 10}
	a, b := NewCoordinator(tolerance, pair{"a"}), NewCoordinator(tolerance, pair{"b"})
	a.Session, b.Session = "a#1", "b#1"
	known := func(string) (Limit, bool) { return limit, true }
	a.Limit, b.Limit = known, known
	link = &encodedLink{t: t, from: "a#1", to: b}
	a.Sender, b.Sender = link, &encodedLink{t: t, from: "b#1", to: a}
	return a, link
}

func TestCoordinator_QueriesOwner(t *testing.T) {
	coordinator, _ := newPair(t)
	if err := coordinator.Admit(t.Context(), "t", Limit{Rate: 10, Burst: 10}); err != nil {
		t.Fatal(err)
	}
	if usage := coordinator.Limiter.Usage(time.Now())[0]; usage.GrantAge < 0 || usage.Share != 1 || usage.Admitted != 1 {
		t.Fatalf("usage after a grant: %+v", usage)
	}
}

// TestCoordinator_RetriesLostQuery checks that a query is sent again if the first datagram is lost.
func TestCoordinator_RetriesLostQuery(t *testing.T) {
	coordinator, link := newPair(t)
	link.dropNext = 1
	if err := coordinator.Admit(t.Context(), "t", Limit{Rate: 10, Burst: 10}); err != nil {
		t.Fatal(err)
	}
	if usage := coordinator.Limiter.Usage(time.Now())[0]; usage.GrantAge < 0 {
		t.Fatalf("no grant received: %+v", usage)
	}
}

// TestCoordinator_BacksOffFromSilentOwner checks that only one request waits for an owner that does
// not answer; the next ones are decided at once by this node's allowance.
func TestCoordinator_BacksOffFromSilentOwner(t *testing.T) {
	coordinator, link := newPair(t)
	link.dropNext = 1 << 30
	limit := Limit{Rate: 10, Burst: 10}
	if err := coordinator.Admit(t.Context(), "t", limit); err != nil {
		t.Fatalf("first request of a tenant refused: %v", err)
	}
	sent := 1<<30 - link.dropNext
	for range 5 {
		// The requests may be admitted or refused, but must not query the owner.
		_ = coordinator.Admit(t.Context(), "t", limit)
	}
	if more := 1<<30 - link.dropNext - sent; more > 0 {
		t.Fatalf("silent owner received %d more queries, want 0", more)
	}
}

// FuzzTakeReports checks that no received message leaves NaN or infinite values in the state.
func FuzzTakeReports(f *testing.F) {
	body, err := cbor.Marshal([]Report{{Tenant: "t", Number: 1, Admitted: 3, Recent: []uint32{3}, Demand: 1, Query: true}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte{0x81, 0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		coordinator, link := newPair(t)
		link.to.HandleReports("x#1", &net.UDPAddr{}, body)
		coordinator.HandleGrants("x#1", &net.UDPAddr{}, body)
		for tenant, entry := range link.to.Allocator.tenants {
			if share := entry.shareOf(&nodeUsage{}, time.Now()); math.IsNaN(share) || math.IsNaN(entry.inherited) || math.IsInf(entry.inherited, 0) {
				t.Fatalf("tenant %q has invalid state %+v", tenant, entry)
			}
		}
	})
}
