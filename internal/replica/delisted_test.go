package replica

import (
	"fmt"
	"testing"
	"time"
)

// newDividedSet returns the set of a node with replicas of two slots each, which are divided among
// four nodes.
func newDividedSet(self string, replicas ...string) *Set {
	set := NewSet()
	for _, id := range replicas {
		set.Put(Info{ID: id, Pool: testPool, Slots: 2})
	}
	set.Divide(self, testNodes(4))
	return set
}

// sharesByID returns the number of slots of each replica that are allotted to the node.
func sharesByID(set *Set, now time.Time) map[string]int {
	shares := map[string]int{}
	for _, candidate := range set.List(now) {
		shares[candidate.ID] = candidate.Share
	}
	return shares
}

// After the grace period, slots of replicas that were delisted around an outage are no longer
// divided. Otherwise the division of a node that was cut off would differ from that of the others.
func TestDivide_ExcludesReplicasAfterGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	expired := []string{"gone-0", "gone-1", "gone-2", "gone-3"}
	listed := []string{"r-0", "r-1", "r-2", "r-3"}
	for i := range 4 {
		self := fmt.Sprintf("node-%02d", i)
		set := newDividedSet(self, append(expired, listed...)...)
		set.RecordOutageEnd(10*time.Second, now)
		for _, id := range expired {
			set.Remove(id, now)
		}
		later := now.Add(delistedGrace + time.Millisecond)
		set.UpdateDemand(later)
		want, got := sharesByID(newDividedSet(self, listed...), later), sharesByID(set, later)
		if fmt.Sprint(want) != fmt.Sprint(got) {
			t.Errorf("%s, which was cut off, has shares %v, want %v as other nodes compute them", self, got, want)
		}
		if count, _ := set.Count(later); count != len(listed) {
			t.Errorf("%d replicas listed, want %d", count, len(listed))
		}
		if capacity := set.ItemCapacity(testPool, later); capacity.Share != newDividedSet(self, listed...).ItemCapacity(testPool, later).Share {
			t.Errorf("%s has capacity in slots of expired replicas: %+v", self, capacity)
		}
	}
}

// During the grace period the slots of delisted replicas remain divided.
func TestDivide_KeepsReplicasDuringGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newDividedSet("node-00", "r-0", "r-1")
	before := sharesByID(set, now)
	set.RecordOutageEnd(10*time.Second, now)
	set.Remove("r-0", now)
	later := now.Add(delistedGrace)
	set.UpdateDemand(later)
	if after := sharesByID(set, later); fmt.Sprint(before) != fmt.Sprint(after) {
		t.Errorf("shares changed from %v to %v in the grace period", before, after)
	}
	set.Put(Info{ID: "r-0", Pool: testPool, Slots: 2})
	later = later.Add(time.Hour)
	set.UpdateDemand(later)
	if after := sharesByID(set, later); fmt.Sprint(before) != fmt.Sprint(after) {
		t.Errorf("shares changed from %v to %v after the replica was listed again", before, after)
	}
}
