package lease

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// A node whose session has ended may still be serving, so it is remembered until it rejoins or
// sessionLostRetention has passed.
func TestRoster_SessionLostAfterSessionEnds(t *testing.T) {
	f := newFleet(t, 4)
	f.dead[1], f.dead[2] = true, true
	f.advance(6)
	if got := f.rosters[0].SessionLost(); !slices.Equal(got, []string{"n001", "n002"}) {
		t.Fatalf("nodes without a session: %v", got)
	}
	f.dead[1] = false
	f.advance(3)
	if got := f.rosters[0].SessionLost(); !slices.Equal(got, []string{"n002"}) {
		t.Fatalf("nodes without a session after one has rejoined: %v", got)
	}
	before := f.rosters[0].Generation()
	f.now = f.now.Add(sessionLostRetention)
	if f.rosters[0].Generation() == before {
		t.Fatal("the generation is unchanged after a node was forgotten")
	}
	if got := f.rosters[0].SessionLost(); len(got) > 0 {
		t.Fatalf("nodes without a session after sessionLostRetention: %v", got)
	}
}

func TestRoster_KeepsAddressAfterSessionEnds(t *testing.T) {
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
		t.Fatalf("address of the node without a session is %q", got)
	}
}

// Other nodes measure from the completion of a write. SinceConfirmed must measure from an earlier
// time, whichever responses are lost.
func TestSession_SinceConfirmedIsNeverUnderestimated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := tabletest.New()
		session := NewSession(shared, "n", rosterTiming)
		if session.SinceConfirmed() < time.Hour {
			t.Fatal("a session that was never written counts as confirmed")
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
			if got := session.SinceConfirmed(); got != want {
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
		// The version read back may be that of the write one second ago.
		check(tabletest.Lost, table.ErrUnavailable, time.Second)
		check(tabletest.Lost, nil, time.Second)
		check(tabletest.None, nil, 0)
	})
}
