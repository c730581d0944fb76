package replica

import (
	"fmt"
	"testing"
	"time"
)

// newSetWithStaleReplica returns a set of replicas with so many slots each, all of which answered this node
// a moment ago and were full then, but for "returned": that has stood empty for a while, as one
// in a zone that was evacuated, so nothing came from it lately.
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

// A replica that nothing is known of is asked for a slot before those that are known to have
// none, however few slots they have: else nobody sends it anything, so nothing comes from it, and
// it is left aside as long as others answer.
func TestPickUnqueued_StaleBeforeFull(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, slots := range []int{1, 2, 8} {
		set := newSetWithStaleReplica(slots, 4, now)
		for _, req := range []RequestInfo{{}, {Batch: true, Borrowed: true}} {
			criteria := &Criteria{RequestInfo: req}
			chosen, err := PickUnqueued(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}, false)
			if err != nil || chosen.ID != "returned" {
				t.Errorf("replicas of %d slots, batch %v: asked %+v, %v", slots, req.Batch, chosen, err)
			}
		}
	}
}

// A replica that answered a moment ago and has a free slot is asked first: the connection to it
// is there.
func TestPickUnqueued_FreeBeforeStale(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newSetWithStaleReplica(2, 0, now)
	set.Put(Info{ID: "free", Pool: testPool, Slots: 2})
	set.Begin("free", RequestInfo{}, now).Received(now)
	criteria := &Criteria{}
	chosen, err := PickUnqueued(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}, false)
	if err != nil || chosen.ID != "free" {
		t.Fatalf("asked %+v, %v", chosen, err)
	}
}

// A replica that nobody sends anything, as after an evacuation of its zone, is asked for a slot now
// and then though others seem to have room. A new connection was always the dearer choice, for the
// others were believed nearly idle: replicas need not tell their load, and what a node knows by
// itself of the requests of others is little.
//
// Seen in a soak (--overcommit --seed 6005, servers that always tell of one running request):
// "evacuation ended" for zone-b at 16.474 s of the minute and "taken as warm" for its three servers
// at 19.677 s; "attempt sent" by the eight nodes from 20 to 26 s: 0 to 2 a second to zone-b, all of
// one node, beside 19 to 30 a second to each of the other two zones, whose servers held more
// requests than slots. Items, which leave slots to online requests, waited 5.25 s in calm.
func TestPickUnqueued_ProbesStaleReplica(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newSetWithStaleReplica(2, 0, now)
	for i := range 4 {
		id := fmt.Sprintf("free-%d", i)
		set.Put(Info{ID: id, Pool: testPool, Slots: 2})
		set.Begin(id, RequestInfo{}, now).Received(now)
	}
	counts := map[string]int{}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		criteria := &Criteria{PreferStale: set.ProbeStale(testPool, now)}
		chosen, err := PickUnqueued(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}, false)
		if err != nil {
			t.Fatal(err)
		}
		counts[chosen.ID]++
	}
	if counts["returned"] != 2 {
		t.Errorf("asked within 2 s: %v, the one not heard from should be twice", counts)
	}
}
