package replica

import (
	"fmt"
	"testing"
	"time"
)

// newDividedSet returns a node's set of replicas with two slots each, divided among four nodes.
func newDividedSet(self string, replicas ...string) *Set {
	set := NewSet()
	for _, id := range replicas {
		set.Put(Info{ID: id, Pool: testPool, Slots: 2})
	}
	set.Divide(self, testNodes(4))
	return set
}

// sharesByID returns how many slots of each replica are a node's.
func sharesByID(set *Set, now time.Time) map[string]int {
	shares := map[string]int{}
	for _, candidate := range set.List(now) {
		shares[candidate.ID] = candidate.Share
	}
	return shares
}

// Replicas that left the list around an outage are divided no more once they are in doubt no
// more: a node that was cut off comes to the same division as those that were not, so that each
// slot is some node's.
func TestDivide_ExcludesReplicasAfterGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	expired := []string{"gone-0", "gone-1", "gone-2", "gone-3"}
	listed := []string{"r-0", "r-1", "r-2", "r-3"}
	for i := range 4 {
		self := fmt.Sprintf("node-%02d", i)
		set := newDividedSet(self, append(expired, listed...)...)
		set.OutageEnded(10*time.Second, now)
		for _, id := range expired {
			set.Remove(id, now)
		}
		later := now.Add(delistedGrace + time.Millisecond)
		set.UpdateDemand(later)
		want, got := sharesByID(newDividedSet(self, listed...), later), sharesByID(set, later)
		if fmt.Sprint(want) != fmt.Sprint(got) {
			t.Errorf("%s, which was cut off, has %v, others take it to have %v", self, got, want)
		}
		if count, _ := set.Count(later); count != len(listed) {
			t.Errorf("%d replicas are listed, want %d", count, len(listed))
		}
		if capacity := set.ItemCapacity(testPool, later); capacity.Share != newDividedSet(self, listed...).ItemCapacity(testPool, later).Share {
			t.Errorf("%s has room in slots that are gone: %+v", self, capacity)
		}
	}
}

// Until then they keep their slots: the division changes when it is known that they are gone.
func TestDivide_KeepsReplicasDuringGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newDividedSet("node-00", "r-0", "r-1")
	before := sharesByID(set, now)
	set.OutageEnded(10*time.Second, now)
	set.Remove("r-0", now)
	later := now.Add(delistedGrace)
	set.UpdateDemand(later)
	if after := sharesByID(set, later); fmt.Sprint(before) != fmt.Sprint(after) {
		t.Errorf("shares %v become %v", before, after)
	}
	set.Put(Info{ID: "r-0", Pool: testPool, Slots: 2})
	later = later.Add(time.Hour)
	set.UpdateDemand(later)
	if after := sharesByID(set, later); fmt.Sprint(before) != fmt.Sprint(after) {
		t.Errorf("one is listed again, and shares %v become %v", before, after)
	}
}
