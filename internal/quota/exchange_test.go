package quota

import (
	"math"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// pair is a fleet of two nodes, of which "b" owns all tenants.
type pair struct{ self string }

func (p pair) Self() string                  { return p.self }
func (p pair) Owner(string) (string, string) { return "b", "127.0.0.1:1" }
func (p pair) Count() int                    { return 2 }

func (p pair) Successor(tenant string) (string, string) { return p.Owner(tenant) }
func (p pair) Away(string) bool                         { return false }
func (p pair) Others() []Other                          { return nil }
func (p pair) Unconfirmed() time.Duration               { return 0 }

// wire carries messages between two exchanges through their encoding.
type wire struct {
	t    testing.TB
	from string
	to   *Exchange
	lost int
}

func (w *wire) Send(_ *net.UDPAddr, kind peer.Kind, body any) error {
	if w.lost > 0 {
		w.lost--
		return nil
	}
	encoded, err := cbor.Marshal(body)
	if err != nil {
		w.t.Fatal(err)
	}
	switch kind {
	case peer.KindQuotaReport:
		w.to.TakeReports(w.from, &net.UDPAddr{}, encoded)
	case peer.KindQuotaGrant:
		w.to.TakeGrants(w.from, &net.UDPAddr{}, encoded)
	}
	return nil
}

func newPair(t testing.TB) (asker *Exchange, way *wire) {
	limit := Limit{Rate: 10, Burst: 10}
	a, b := NewExchange(tolerance, pair{"a"}), NewExchange(tolerance, pair{"b"})
	a.Session, b.Session = "a#1", "b#1"
	known := func(string) (Limit, bool) { return limit, true }
	a.Limit, b.Limit = known, known
	way = &wire{t: t, from: "a#1", to: b}
	a.Sender, b.Sender = way, &wire{t: t, from: "b#1", to: a}
	return a, way
}

func TestExchange_AsksTheOwner(t *testing.T) {
	asker, _ := newPair(t)
	if err := asker.Admit(t.Context(), "t", Limit{Rate: 10, Burst: 10}); err != nil {
		t.Fatal(err)
	}
	if use := asker.Gate.Uses(time.Now())[0]; use.ToldAge < 0 || use.Part != 1 || use.Admitted != 1 {
		t.Fatalf("after an answer: %+v", use)
	}
}

// TestExchange_ALostQuestionIsAskedAgain loses the first datagram.
func TestExchange_ALostQuestionIsAskedAgain(t *testing.T) {
	asker, way := newPair(t)
	way.lost = 1
	if err := asker.Admit(t.Context(), "t", Limit{Rate: 10, Burst: 10}); err != nil {
		t.Fatal(err)
	}
	if use := asker.Gate.Uses(time.Now())[0]; use.ToldAge < 0 {
		t.Fatalf("the owner was not heard: %+v", use)
	}
}

// TestExchange_ASilentOwnerIsNotWaitedForTwice: one request waits for it, the next ones
// are decided at once by this node's own part.
func TestExchange_ASilentOwnerIsNotWaitedForTwice(t *testing.T) {
	asker, way := newPair(t)
	way.lost = 1 << 30
	limit := Limit{Rate: 10, Burst: 10}
	if err := asker.Admit(t.Context(), "t", limit); err != nil {
		t.Fatalf("the first request of a tenant: %v", err)
	}
	asked := 1<<30 - way.lost
	for range 5 {
		// Whether these fit is for the model to show; here they must ask nobody.
		_ = asker.Admit(t.Context(), "t", limit)
	}
	if more := 1<<30 - way.lost - asked; more > 0 {
		t.Fatalf("a silent owner was asked %d times more", more)
	}
}

func FuzzTakeReports(f *testing.F) {
	body, err := cbor.Marshal([]Report{{Tenant: "t", Number: 1, Admitted: 3, Recent: []uint32{3}, Demand: 1, Asks: true}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte{0x81, 0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		asker, way := newPair(t)
		way.to.TakeReports("x#1", &net.UDPAddr{}, body)
		asker.TakeGrants("x#1", &net.UDPAddr{}, body)
		for tenant, entry := range way.to.Ledger.tenants {
			if part := entry.part(&usage{}, time.Now()); math.IsNaN(part) || math.IsNaN(entry.inherited) || math.IsInf(entry.inherited, 0) {
				t.Fatalf("tenant %q is counted as %+v", tenant, entry)
			}
		}
	})
}
