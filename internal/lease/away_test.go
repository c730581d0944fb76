package lease

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// TestRoster_NodeIsAwayAfterItsSessionEnds: it may be serving, so it is
// remembered with its address, until it is back or awayKept has passed.
func TestRoster_NodeIsAwayAfterItsSessionEnds(t *testing.T) {
	f := newFleet(t, 4)
	f.dead[1], f.dead[2] = true, true
	f.advance(6)
	if got := f.rosters[0].Away(); !slices.Equal(got, []string{"n001", "n002"}) {
		t.Fatalf("away are %v", got)
	}
	f.dead[1] = false
	f.advance(3)
	if got := f.rosters[0].Away(); !slices.Equal(got, []string{"n002"}) {
		t.Fatalf("away are %v after one is back", got)
	}
	before := f.rosters[0].Generation()
	f.now = f.now.Add(awayRetention)
	if f.rosters[0].Generation() == before {
		t.Fatal("the nodes are the same after one was forgotten")
	}
	if got := f.rosters[0].Away(); len(got) > 0 {
		t.Fatalf("away are %v for ever", got)
	}
}

func TestRoster_KeepsAddressOfAwayNode(t *testing.T) {
	f := newFleet(t, 1)
	session := NewSession(f.shared, "other", rosterTiming)
	session.MemberPartition, session.Member = memberGroup, Member{Address: "10.0.0.1:1"}
	if err := session.Ensure(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.deliverChanges()
	if err := session.End(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.deliverChanges()
	if got := f.rosters[0].Address("other"); got != "10.0.0.1:1" {
		t.Fatalf("a node that is away is at %q", got)
	}
}

// TestSession_UnconfirmedIsNeverUnderestimated: others count from when a write was done, so it
// is counted here from before that, whatever answer is lost.
func TestSession_UnconfirmedIsNeverUnderestimated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := tabletest.New()
		session := NewSession(shared, "n", rosterTiming)
		if session.Unconfirmed() < time.Hour {
			t.Fatal("a session that was never written is confirmed")
		}
		check := func(fault tabletest.Fault, readFault error, want time.Duration) {
			t.Helper()
			time.Sleep(time.Second)
			shared.CommitFault = func([]table.Write) tabletest.Fault { return fault }
			shared.ReadFault = func() error { return readFault }
			err := session.Renew(t.Context())
			if (err == nil) != (fault == tabletest.None) {
				t.Fatalf("fault %d: %v", fault, err)
			}
			if got := session.Unconfirmed(); got != want {
				t.Fatalf("fault %d: unconfirmed for %s, want %s", fault, got, want)
			}
		}
		if err := session.Ensure(t.Context()); err != nil {
			t.Fatal(err)
		}
		check(tabletest.None, nil, 0)
		check(tabletest.Down, nil, time.Second)
		check(tabletest.None, nil, 0)
		check(tabletest.Lost, nil, 0)
		check(tabletest.Late, nil, time.Second)
		check(tabletest.None, nil, 0)
		// What is read back now may be the write of a second ago.
		check(tabletest.Lost, table.ErrUnavailable, time.Second)
		check(tabletest.Lost, nil, time.Second)
		check(tabletest.None, nil, 0)
	})
}
