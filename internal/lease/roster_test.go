package lease

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

const memberGroup = "members"

// fleet is a set of nodes with a session and a roster each, on a simulated clock.
type fleet struct {
	t       *testing.T
	shared  *tabletest.Table
	now     time.Time
	rosters []*Roster
	// revisions holds, by node, the revision up to which the roster has received the feed.
	revisions []uint64
	dead      map[int]bool
}

var rosterTiming = Timing{TimeToLive: 3 * time.Second, RenewInterval: time.Second}

func newFleet(t *testing.T, nodes int) *fleet {
	t.Helper()
	f := &fleet{t: t, shared: tabletest.New(), now: time.Now(), dead: map[int]bool{}, revisions: make([]uint64, nodes)}
	for i := range nodes {
		session := NewSession(f.shared, fmt.Sprintf("n%03d", i), rosterTiming)
		roster := NewRoster(f.shared, session, memberGroup, func() time.Time { return f.now }, rosterTiming)
		f.rosters = append(f.rosters, roster)
		if err := session.Ensure(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	f.deliverChanges()
	return f
}

// deliverChanges applies the pending changes of the member rows to the rosters of all live nodes.
func (f *fleet) deliverChanges() {
	for i, roster := range f.rosters {
		if f.dead[i] {
			continue
		}
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		changes, err := f.shared.Feed(memberGroup).After(ctx, f.revisions[i], 0)
		cancel()
		if err != nil {
			f.t.Fatal(err)
		}
		roster.Apply(changes, false)
		f.revisions[i] = changes.Revision
	}
}

// advance moves the clock in steps of one second, in each of which the live nodes renew their
// sessions and refresh their rosters.
func (f *fleet) advance(seconds int) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		for i, roster := range f.rosters {
			if f.dead[i] {
				continue
			}
			if err := roster.session.Renew(f.t.Context()); err != nil {
				f.t.Logf("renewal of %d: %v", i, err)
			}
		}
		for i, roster := range f.rosters {
			if !f.dead[i] {
				// Tests may take the store down.
				_ = roster.Refresh(f.t.Context())
			}
		}
		f.deliverChanges()
	}
}

func (f *fleet) checkGone(want map[int]bool) {
	f.t.Helper()
	for i, roster := range f.rosters {
		if f.dead[i] {
			continue
		}
		for other := range f.rosters {
			node := fmt.Sprintf("n%03d", other)
			if roster.Gone(node) != want[other] {
				f.t.Fatalf("node %d reports node %d as gone: %v, want %v", i, other, !want[other], want[other])
			}
			if slices.Contains(roster.Nodes(), node) == want[other] {
				f.t.Fatalf("node %d lists node %d: %v", i, other, want[other])
			}
		}
	}
}

// Nodes fail in a fleet that is larger than the number of watched neighbours, among them a run of
// consecutive neighbours.
func TestRoster_AllNodesLearnOfDeadNodes(t *testing.T) {
	f := newFleet(t, 40)
	f.advance(2)
	f.checkGone(nil)
	for i := range 24 {
		f.dead[i] = true
	}
	// Nodes behind a run of failed neighbours are only watched once the neighbours have been ended.
	f.advance(12)
	f.checkGone(f.dead)
}

func TestRoster_RefreshCostIsIndependentOfFleetSize(t *testing.T) {
	f := newFleet(t, 40)
	f.advance(1)
	for i, roster := range f.rosters {
		if seen := len(roster.watcher.Sessions()); seen != watchedNeighbours {
			t.Fatalf("node %d watches %d sessions, want %d", i, seen, watchedNeighbours)
		}
	}
}

func TestRoster_SmallFleetsWatchEachOther(t *testing.T) {
	f := newFleet(t, 3)
	f.dead[0], f.dead[1] = true, true
	f.advance(5)
	f.checkGone(f.dead)
}

// A node that pauses until its session is ended creates its rows again at its next renewal.
func TestRoster_PausedNodeRejoins(t *testing.T) {
	f := newFleet(t, 12)
	f.dead[5] = true
	f.advance(6)
	f.checkGone(f.dead)
	f.dead[5] = false
	f.advance(3)
	f.checkGone(nil)
}

func TestRoster_StoreOutageEndsNoSession(t *testing.T) {
	f := newFleet(t, 12)
	f.advance(2)
	f.shared.ReadFault = func() error { return table.ErrUnavailable }
	f.shared.CommitFault = func([]table.Write) tabletest.Fault { return tabletest.Down }
	for range 6 {
		f.now = f.now.Add(time.Second)
		for _, roster := range f.rosters {
			if roster.Refresh(t.Context()) == nil {
				t.Fatal("a refresh succeeded while the store is down")
			}
		}
	}
	f.shared.ReadFault, f.shared.CommitFault = nil, nil
	f.advance(2)
	f.checkGone(nil)
}

func TestRoster_EndedSessionIsGoneImmediately(t *testing.T) {
	f := newFleet(t, 12)
	if err := f.rosters[3].session.End(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.dead[3] = true
	f.deliverChanges()
	f.checkGone(f.dead)
}

// The member row of an unknown node may not have been received yet.
func TestRoster_UnknownNodeIsNotGoneImmediately(t *testing.T) {
	f := newFleet(t, 2)
	if f.rosters[0].Gone("later") {
		t.Fatal("a node whose row may not have been received yet is gone")
	}
	f.now = f.now.Add(rosterTiming.TimeToLive)
	if !f.rosters[0].Gone("later") {
		t.Fatal("a node without a row for the time to live is not gone")
	}
}

// A member row written by an earlier version has no region.
func TestRoster_RegionIsEmptyIfNotInMemberRow(t *testing.T) {
	f := newFleet(t, 1)
	rows := table.Changes{Revision: 100}
	for id, member := range map[string]Member{"old#1": {Address: "a:1"}, "new#1": {Address: "b:1", Region: "north"}} {
		row := table.Row{Key: memberKey(memberGroup, id), Version: 99, Body: encodeMember(member)}
		rows.Changes = append(rows.Changes, table.Change{Row: row})
	}
	f.rosters[0].Apply(rows, false)
	for node, want := range map[string]string{"old": "", "new": "north", "unknown": ""} {
		if got := f.rosters[0].Region(node); got != want {
			t.Errorf("region of node %s is %q, want %q", node, got, want)
		}
	}
}

// Rows copied from another node, or read before this node's own session was written, may lack nodes
// that started at the same time, so a node that has only these has not joined.
func TestRoster_JoinedOnceOwnRowIsRead(t *testing.T) {
	f := newFleet(t, 2)
	if !f.rosters[0].Joined() {
		t.Error("a node that has received its own row has not joined")
	}
	session := NewSession(f.shared, "late", rosterTiming)
	late := NewRoster(f.shared, session, memberGroup, func() time.Time { return f.now }, rosterTiming)
	late.Apply(table.Changes{Changes: f.rosters[0].MemberRows()}, true)
	if late.Joined() || late.Count() != 3 {
		t.Errorf("after applying rows of another node: joined %v, %d nodes", late.Joined(), late.Count())
	}
}
