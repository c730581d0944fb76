package replica

import (
	"fmt"
	"testing"
	"time"
)

// newSetWithStaleReplica returns a set with the given number of full replicas that just answered
// this node, and the idle replica "returned", from which it received no data, as after an
// evacuation of its zone.
func newSetWithStaleReplica(slots, full int, now time.Time) *Set {
	set := NewSet()
	set.Put(Info{ID: "returned", Pool: testPool, Slots: slots})
	for i := range full {
		id := fmt.Sprintf("full-%d", i)
		set.Put(Info{ID: id, Pool: testPool, Slots: slots})
		use := set.Begin(id, RequestInfo{}, now)
		use.Received(now)
		use.End(Succeeded, now)
		set.MarkFull(Info{ID: id}, now)
	}
	return set
}

// A stale replica is asked for a reservation before replicas that are known to be full, however few
// slots they have. Otherwise it would get no requests, and stay stale, while others answer.
func TestPickUnqueued_StaleBeforeFull(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, slots := range []int{1, 2, 8} {
		set := newSetWithStaleReplica(slots, 4, now)
		for _, req := range []RequestInfo{{}, {Batch: true, Borrowed: true}} {
			criteria := &Criteria{RequestInfo: req}
			chosen, err := PickUnqueued(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}, false)
			if err != nil || chosen.ID != "returned" {
				t.Errorf("replicas of %d slots, batch %v: PickUnqueued = %+v, %v, want returned", slots, req.Batch, chosen, err)
			}
		}
	}
}

// A replica that just answered and has a free slot is asked before a stale one, since its
// connection is open.
func TestPickUnqueued_FreeBeforeStale(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newSetWithStaleReplica(2, 0, now)
	set.Put(Info{ID: "free", Pool: testPool, Slots: 2})
	set.Begin("free", RequestInfo{}, now).Received(now)
	criteria := &Criteria{}
	chosen, err := PickUnqueued(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}, false)
	if err != nil || chosen.ID != "free" {
		t.Fatalf("PickUnqueued = %+v, %v, want free", chosen, err)
	}
}

// A stale replica is asked once per staleProbeInterval although others seem to have free slots.
// Otherwise it would stay unused: replicas need not report their load, and a node knows little of
// the requests of other nodes, so the others seem nearly idle while they are full.
func TestPickUnqueued_ProbesStaleReplica(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newSetWithStaleReplica(2, 0, now)
	var answering []*Use
	for i := range 4 {
		id := fmt.Sprintf("free-%d", i)
		set.Put(Info{ID: id, Pool: testPool, Slots: 2})
		answering = append(answering, set.Begin(id, RequestInfo{}, now))
	}
	counts := map[string]int{}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		for _, use := range answering {
			use.Received(now)
		}
		criteria := &Criteria{PreferStale: set.ProbeStale(testPool, now)}
		chosen, err := PickUnqueued(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}, false)
		if err != nil {
			t.Fatal(err)
		}
		counts[chosen.ID]++
	}
	if counts["returned"] != 2 {
		t.Errorf("replicas asked in 2 s: %v, want returned twice", counts)
	}
}
