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

// reportedKeys collects the keys of rows reported as unreadable.
type reportedKeys struct {
	mu   sync.Mutex
	keys []table.Key
}

func (r *reportedKeys) reporter() *table.Unreadable {
	return &table.Unreadable{OnUnreadable: func(found *table.UnreadableError) {
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

// Guards against nodes that appear because of member rows that no node wrote: their sessions never
// expire, so work assigned to them would never be done.
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
		t.Errorf("nodes: %v", nodes)
	}
	if len(reported.keys) != 4 {
		t.Errorf("reported rows: %v, want 4", reported.keys)
	}
	fleet.rosters[0].Gone("ghost")
	fleet.advance(4)
	if !fleet.rosters[0].Gone("ghost") {
		t.Error("a node that never existed is not gone")
	}
}

// A known node whose member row is corrupted stays in the roster, and its session is ended once the
// node has failed.
func TestRoster_CorruptMemberRowKeepsKnownNode(t *testing.T) {
	fleet := newFleet(t, 3)
	id := fleet.rosters[1].session.ID()
	put(t, fleet.shared, memberKey(memberGroup, id), fleet.rosters[0].memberVersions[id], []byte{0xff})
	fleet.deliverChanges()
	if fleet.rosters[0].Count() != 3 {
		t.Fatalf("nodes: %v", fleet.rosters[0].Nodes())
	}
	fleet.dead[1] = true
	fleet.advance(12)
	if fleet.rosters[0].Count() != 2 || !fleet.rosters[0].Gone("n001") {
		t.Errorf("nodes: %v", fleet.rosters[0].Nodes())
	}
}

// Rows of other writers between those of the neighbours are skipped, and the neighbours are still
// watched.
func TestWatcher_SkipsRowsThatAreNotSessions(t *testing.T) {
	fleet := newFleet(t, 4)
	reported := &reportedKeys{}
	roster := fleet.rosters[0]
	roster.ReportUnreadableTo(reported.reporter())
	before := len(roster.watcher.Sessions())
	for number := range basePartitions {
		for _, sort := range []string{"", "0", "00000000x", "7fffffffforeign#1", "ffffffff"} {
			put(t, fleet.shared, table.Key{Partition: partitionName(number, basePartitions), Sort: "0" + sort}, table.Absent, []byte("x"))
			put(t, fleet.shared, table.Key{Partition: partitionName(number, basePartitions), Sort: "f" + sort}, table.Absent, []byte("x"))
		}
	}
	ended := 0
	roster.OnEnded = func(string, error) { ended++ }
	fleet.advance(2)
	if seen := roster.watcher.Sessions(); before != 0 || len(seen) != 3 {
		t.Errorf("watched sessions: %v", seen)
	}
	fleet.advance(10)
	if ended != 0 || roster.Count() != 4 {
		t.Errorf("%d sessions ended, nodes: %v", ended, roster.Nodes())
	}
	if len(reported.keys) != 10*basePartitions {
		t.Errorf("%d reports, want one per row", len(reported.keys))
	}
}

// An unreadable lease row can be taken over with a higher epoch, which fences the previous holder.
func TestAcquire_UnreadableLeaseIsFreeWithHigherEpoch(t *testing.T) {
	shared := tabletest.New()
	clock := &manualClock{now: time.Unix(100, 0)}
	reported := &reportedKeys{}
	watcher := NewWatcher(shared, clock.read, testTiming)
	watcher.Unreadable = reported.reporter()
	first, second := NewSession(shared, "a", testTiming), NewSession(shared, "b", testTiming)
	granted, err := Acquire(t.Context(), shared, first, watcher, "x")
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
	if err != nil || taken.Epoch <= granted.Epoch || len(reported.keys) != 1 {
		t.Fatalf("grant %+v after %+v, error %v, reported rows: %v", taken, granted, err, reported.keys)
	}
	if _, err := Acquire(t.Context(), shared, first, watcher, "x"); !errors.Is(err, ErrHeld) {
		t.Errorf("previous holder: %v", err)
	}
}

// FuzzDecodeMember checks that no member is decoded from an invalid ID or an empty body, and that
// every error is an UnreadableError.
func FuzzDecodeMember(f *testing.F) {
	f.Add("n#1", encodeMember(Member{Address: "10.0.0.1:1", Zone: "z"}))
	f.Add("n", []byte{})
	f.Add("#", []byte{0xff})
	f.Fuzz(func(t *testing.T, id string, body []byte) {
		member, err := decodeMember(id, table.Row{Body: body})
		if err == nil && (Node(id) == "" || (member != (Member{}) && len(body) == 0)) {
			t.Fatalf("%q decodes to %+v", id, member)
		}
		if found := (*table.UnreadableError)(nil); err != nil && !errors.As(err, &found) {
			t.Fatalf("error is not an UnreadableError: %v", err)
		}
	})
}
