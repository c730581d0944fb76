package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// sessionsByPartition returns the number of session rows in each partition that has any.
func (f *fleet) sessionsByPartition() map[string]int {
	counts := map[string]int{}
	for _, partitions := range []int{2, 4, 8, 16, 32} {
		for index := range partitions {
			name := partitionName(index, partitions)
			rows, err := table.ListAll(f.t.Context(), f.shared, name)
			if err != nil {
				f.t.Fatal(err)
			}
			if len(rows) > 0 {
				counts[name] = len(rows)
			}
		}
	}
	return counts
}

// settle lets all sessions move.
func (f *fleet) settle() {
	f.t.Helper()
	for range 3 {
		f.now = f.now.Add(time.Minute)
		for i, roster := range f.rosters {
			if !f.dead[i] {
				roster.moveSession(f.t.Context())
			}
		}
		f.deliverChanges()
	}
}

// Guards against partitions that get more renewals than the store takes: their number follows the
// number of nodes, and the reads that each node makes to watch its neighbours do not grow.
func TestRoster_PartitionsFollowFleetSize(t *testing.T) {
	for _, tc := range []struct{ nodes, partitions int }{{9, 2}, {295, 2}, {500, 4}, {700, 8}} {
		t.Run(fmt.Sprintf("%d nodes", tc.nodes), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, tc.nodes)
			f.settle()
			counts := f.sessionsByPartition()
			if len(counts) != tc.partitions {
				t.Errorf("sessions are in %d partitions, want %d: %v", len(counts), tc.partitions, counts)
			}
			for name, count := range counts {
				if count > maxPartitionSessions*5/4 {
					t.Errorf("%s holds %d sessions", name, count)
				}
			}
			for _, roster := range f.rosters[:min(tc.nodes, 20)] {
				if layouts := roster.layouts(); len(layouts) != 1 {
					t.Errorf("a node reads the partitions of %v layouts, want one", layouts)
				}
			}
		})
	}
}

// Nodes of two opinions about the number of partitions find each other's rows, and end the sessions
// of failed nodes whichever layout these are in.
func TestRoster_TwoLayoutsWatchEachOther(t *testing.T) {
	f := newFleet(t, 30)
	for i, roster := range f.rosters {
		if i%2 == 0 {
			if err := roster.session.move(t.Context(), 8); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.deliverChanges()
	for i, roster := range f.rosters {
		if err := roster.watcher.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		want := map[string]bool{}
		for _, other := range f.rosters {
			want[other.session.ID()] = true
		}
		for _, session := range roster.watcher.Sessions() {
			delete(want, session.ID)
		}
		if seen := len(f.rosters) - len(want); seen != watchedNeighbours {
			t.Errorf("node %d watches %d sessions, want %d", i, seen, watchedNeighbours)
		}
	}
	for i := range 10 {
		f.dead[i] = true
	}
	f.advance(14)
	f.checkGone(f.dead)
	left := 0
	for _, count := range f.sessionsByPartition() {
		left += count
	}
	if left != 20 {
		t.Errorf("%d session rows are left, want 20", left)
	}
}

// A session stays alive through a move whose answer is lost, whether the store makes the move at once,
// later or never: the node finds its row again, and no other node ends it.
func TestSession_MoveWithLostAnswer(t *testing.T) {
	for name, fault := range map[string]tabletest.Fault{"applied": tabletest.Lost, "late": tabletest.Late, "too late": tabletest.Late, "refused": tabletest.Down} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.advance(1)
			session := f.rosters[0].session
			f.shared.CommitFault = func([]table.Write) tabletest.Fault { return fault }
			if err := session.move(t.Context(), 8); err == nil {
				t.Fatal("a move without an answer succeeded")
			}
			f.shared.CommitFault = nil
			if name == "late" {
				f.shared.ApplyLate()
			}
			f.advance(1)
			f.shared.ApplyLate()
			f.advance(5)
			f.checkGone(nil)
			if err := session.move(t.Context(), 8); err != nil {
				t.Fatal(err)
			}
			if session.placedAmong() != 8 {
				t.Errorf("the session is placed among %d partitions", session.placedAmong())
			}
			f.advance(6)
			f.checkGone(nil)
			rows := 0
			for _, count := range f.sessionsByPartition() {
				rows += count
			}
			if rows != 3 {
				t.Errorf("%d rows of 3 sessions", rows)
			}
			if err := session.End(t.Context()); err != nil {
				t.Errorf("the session cannot be ended: %v", err)
			}
		})
	}
}

// The session of an earlier run of a node is ended, although the new run is in another layout.
func TestRoster_EndsPreviousRunInOtherLayout(t *testing.T) {
	f := newFleet(t, 4)
	previous := f.rosters[0].session
	f.dead[0] = true
	next := NewSession(f.shared, "n000", rosterTiming)
	roster := NewRoster(f.shared, next, memberGroup, func() time.Time { return f.now }, rosterTiming)
	next.initialPartitions = func() int { return 8 }
	if err := next.Ensure(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.rosters, f.revisions = append(f.rosters, roster), append(f.revisions, 0)
	f.deliverChanges()
	f.advance(8)
	for _, other := range f.rosters[1:] {
		if !other.Expired(previous.ID()) || other.Gone("n000") {
			t.Errorf("%s: previous run expired %t, node gone %t", other.Self(), other.Expired(previous.ID()), other.Gone("n000"))
		}
	}
}

// Guards against a fleet whose nodes all start at the same time, know no others, and all renew in two
// partitions; and against small fleets that spread over more than they need.
func TestInitialPartitions(t *testing.T) {
	for _, tc := range []struct{ nodes, storeWrites, want int }{
		{1, 0, 2}, {1, 800, 2}, {1, 1500, 2}, {1, 4000, 8}, {1, 8000, 16}, {985, 0, 8}, {985, 4000, 8},
	} {
		if got := initialPartitions(tc.nodes, tc.storeWrites); got != tc.want {
			t.Errorf("initialPartitions(%d, %d) = %d, want %d", tc.nodes, tc.storeWrites, got, tc.want)
		}
	}
}

// Guards against a starting fleet that moves its sessions into few partitions because it knows few
// nodes yet.
func TestRoster_StartingFleetKeepsPartitions(t *testing.T) {
	f := newFleet(t, 20)
	for _, roster := range f.rosters {
		if err := roster.session.move(t.Context(), 8); err != nil {
			t.Fatal(err)
		}
	}
	f.advance(20)
	if counts := f.sessionsByPartition(); len(counts) <= 2 {
		t.Errorf("sessions moved within 20 s: %v", counts)
	}
	f.settle()
	if counts := f.sessionsByPartition(); len(counts) > 2 {
		t.Errorf("sessions are in %d partitions after minutes", len(counts))
	}
}

func TestWantedPartitions(t *testing.T) {
	for _, tc := range []struct{ current, sessions, want int }{
		{2, 0, 2}, {2, 300, 2}, {2, 301, 4}, {4, 300, 4}, {4, 199, 2}, {2, 985, 8}, {8, 1970, 16}, {8, 985, 8}, {16, 985, 16}, {16, 700, 8},
	} {
		if got := wantedPartitions(tc.current, tc.sessions); got != tc.want {
			t.Errorf("wantedPartitions(%d, %d) = %d, want %d", tc.current, tc.sessions, got, tc.want)
		}
	}
}

// Guards against a fleet that takes longer to end the sessions of nodes lost at one moment the larger
// it is: each is watched by eight others, so a tenth of the nodes is ended in the time of a few looks.
func TestRoster_ManyNodesLostAtOnce(t *testing.T) {
	const maxSeconds = 8
	for _, nodes := range []int{200, 400} {
		f := newFleet(t, nodes)
		f.advance(2)
		for i := range nodes / 10 {
			f.dead[i*10] = true
		}
		seconds := 0
		for gone := 0; gone < nodes/10 && seconds < 60; seconds++ {
			f.advance(1)
			gone = 0
			for i := range nodes / 10 {
				if f.rosters[1].Gone(fmt.Sprintf("n%03d", i*10)) {
					gone++
				}
			}
		}
		t.Logf("%d of %d nodes lost at once are ended after %d s", nodes/10, nodes, seconds)
		if seconds > maxSeconds {
			t.Errorf("%d of %d nodes lost at once are ended after %d s, want at most %d", nodes/10, nodes, seconds, maxSeconds)
		}
	}
}
