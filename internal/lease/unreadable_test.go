package lease

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// reportedKeys collects the rows that are reported.
type reportedKeys struct {
	mu   sync.Mutex
	keys []table.Key
}

func (r *reportedKeys) reporter() *table.Unreadable {
	return &table.Unreadable{Tell: func(found *table.UnreadableError) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.keys = append(r.keys, found.Key)
	}}
}

func put(t *testing.T, shared *tabletest.Table, key table.Key, expect uint64, body []byte) {
	t.Helper()
	if _, err := shared.Commit(t.Context(), "other", table.Write{Key: key, Expect: expect, Body: body}); err != nil {
		t.Fatal(err)
	}
}

// TestRoster_ForeignMemberRowAddsNoNode leaves rows that no node wrote: work given
// to such a node would lie for good, for no session of it ever expires.
func TestRoster_ForeignMemberRowAddsNoNode(t *testing.T) {
	fleet := newFleet(t, 3)
	reported := &reportedKeys{}
	fleet.rosters[0].ReportUnreadableTo(reported.reporter())
	for _, id := range []string{"ghost#000000000000", "no-session", "#1", "ghost#"} {
		body := []byte("\xff not ours")
		if id == "no-session" {
			body = nil
		}
		put(t, fleet.shared, memberKey(memberGroup, id), table.Absent, body)
	}
	for range 3 {
		fleet.advance(1)
	}
	if nodes := fleet.rosters[0].Nodes(); !slices.Equal(nodes, []string{"n000", "n001", "n002"}) {
		t.Errorf("the nodes are %v", nodes)
	}
	if len(reported.keys) != 4 {
		t.Errorf("told of %v", reported.keys)
	}
	fleet.rosters[0].Gone("ghost")
	fleet.advance(4)
	if !fleet.rosters[0].Gone("ghost") {
		t.Error("the work of a node that never was cannot be taken over")
	}
}

// TestRoster_CorruptMemberRowKeepsKnownNode damages the row of a node that is known: it is
// there, as it told before, and its session is ended once the node is gone.
func TestRoster_CorruptMemberRowKeepsKnownNode(t *testing.T) {
	fleet := newFleet(t, 3)
	id := fleet.rosters[1].session.ID()
	put(t, fleet.shared, memberKey(memberGroup, id), fleet.rosters[0].memberVersions[id], []byte{0xff})
	fleet.deliverChanges()
	if fleet.rosters[0].Count() != 3 {
		t.Fatalf("the nodes are %v", fleet.rosters[0].Nodes())
	}
	fleet.dead[1] = true
	fleet.advance(12)
	if fleet.rosters[0].Count() != 2 || !fleet.rosters[0].Gone("n001") {
		t.Errorf("the nodes are %v", fleet.rosters[0].Nodes())
	}
}

// TestWatcher_SkipsRowsThatAreNotSessions puts rows of another writer between those of
// the neighbours: the neighbours are watched all the same.
func TestWatcher_SkipsRowsThatAreNotSessions(t *testing.T) {
	fleet := newFleet(t, 4)
	reported := &reportedKeys{}
	roster := fleet.rosters[0]
	roster.ReportUnreadableTo(reported.reporter())
	before := len(roster.watcher.Sessions())
	for number := range partitionCount {
		for _, sort := range []string{"", "0", "00000000x", "7fffffffforeign#1", "ffffffff"} {
			put(t, fleet.shared, table.Key{Partition: partitionName(number), Sort: "0" + sort}, table.Absent, []byte("x"))
			put(t, fleet.shared, table.Key{Partition: partitionName(number), Sort: "f" + sort}, table.Absent, []byte("x"))
		}
	}
	ended := 0
	roster.OnEnded = func(string, error) { ended++ }
	fleet.advance(2)
	if seen := roster.watcher.Sessions(); before != 0 || len(seen) != 3 {
		t.Errorf("sees %v", seen)
	}
	fleet.advance(10)
	if ended != 0 || roster.Count() != 4 {
		t.Errorf("%d sessions ended, %v are there", ended, roster.Nodes())
	}
	if len(reported.keys) != 10*partitionCount {
		t.Errorf("told of %d rows, want each once", len(reported.keys))
	}
}

// TestAcquire_UnreadableLeaseIsFreeWithHigherEpoch damages the row of a lease.
func TestAcquire_UnreadableLeaseIsFreeWithHigherEpoch(t *testing.T) {
	shared := tabletest.New()
	clock := &manualClock{now: time.Unix(100, 0)}
	reported := &reportedKeys{}
	watcher := NewWatcher(shared, clock.read, testTiming)
	watcher.Unreadable = reported.reporter()
	first, second := NewSession(shared, "a", testTiming), NewSession(shared, "b", testTiming)
	held, err := Acquire(t.Context(), shared, first, watcher, "x")
	if err != nil {
		t.Fatal(err)
	}
	key := table.Key{Partition: namedPartition, Sort: "x"}
	row, err := shared.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	put(t, shared, key, row.Version, []byte{0xff, 0xff})
	taken, err := Acquire(t.Context(), shared, second, watcher, "x")
	if err != nil || taken.Epoch <= held.Epoch || len(reported.keys) != 1 {
		t.Fatalf("%+v after %+v, %v, told of %v", taken, held, err, reported.keys)
	}
	if _, err := Acquire(t.Context(), shared, first, watcher, "x"); !errors.Is(err, ErrHeld) {
		t.Errorf("the holder before: %v", err)
	}
}

// FuzzDecodeMember takes no node from a row that cannot be read.
func FuzzDecodeMember(f *testing.F) {
	f.Add("n#1", encodeMember(Member{Address: "10.0.0.1:1", Zone: "z"}))
	f.Add("n", []byte{})
	f.Add("#", []byte{0xff})
	f.Fuzz(func(t *testing.T, id string, body []byte) {
		member, err := decodeMember(id, table.Row{Body: body})
		if err == nil && (Node(id) == "" || (member != (Member{}) && len(body) == 0)) {
			t.Fatalf("%q tells %+v", id, member)
		}
		if found := (*table.UnreadableError)(nil); err != nil && !errors.As(err, &found) {
			t.Fatalf("refused as %v", err)
		}
	})
}
