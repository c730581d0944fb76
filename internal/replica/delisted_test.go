package replica

import (
	"fmt"
	"testing"
	"time"
)

// newDivided returns a node's set of replicas with two slots each, divided among four nodes.
func newDivided(self string, replicas ...string) *Set {
	set := NewSet()
	for _, id := range replicas {
		set.Put(Info{ID: id, Pool: testPool, Slots: 2})
	}
	set.Divide(self, testNodes(4))
	return set
}

// listedShares returns how many slots of each replica are a node's.
func listedShares(set *Set, now time.Time) map[string]int {
	shares := map[string]int{}
	for _, one := range set.List(now) {
		shares[one.ID] = one.Share
	}
	return shares
}

// Replicas that left the list around an outage are divided no more once they are in doubt no
// more: a node that was cut off comes to the same division as those that were not, so that each
// slot is some node's.
func TestDivide_LeavesOutWhatLapsedInAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	gone := []string{"gone-0", "gone-1", "gone-2", "gone-3"}
	listed := []string{"r-0", "r-1", "r-2", "r-3"}
	for number := range 4 {
		self := fmt.Sprintf("node-%02d", number)
		cut := newDivided(self, append(gone, listed...)...)
		cut.OutageEnded(10*time.Second, now)
		for _, id := range gone {
			cut.Remove(id, now)
		}
		later := now.Add(delistedGrace + time.Millisecond)
		cut.UpdateDemand(later)
		want, got := listedShares(newDivided(self, listed...), later), listedShares(cut, later)
		if fmt.Sprint(want) != fmt.Sprint(got) {
			t.Errorf("%s, which was cut off, has %v, others take it to have %v", self, got, want)
		}
		if count, _ := cut.Count(later); count != len(listed) {
			t.Errorf("%d replicas are listed, want %d", count, len(listed))
		}
		if room := cut.ItemCapacity(testPool, later); room.Share != newDivided(self, listed...).ItemCapacity(testPool, later).Share {
			t.Errorf("%s has room in slots that are gone: %+v", self, room)
		}
	}
}

// Until then they keep their slots: the division changes when it is known that they are gone.
func TestDivide_KeepsWhatIsInDoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	set := newDivided("node-00", "r-0", "r-1")
	before := listedShares(set, now)
	set.OutageEnded(10*time.Second, now)
	set.Remove("r-0", now)
	later := now.Add(delistedGrace)
	set.UpdateDemand(later)
	if after := listedShares(set, later); fmt.Sprint(before) != fmt.Sprint(after) {
		t.Errorf("shares %v become %v", before, after)
	}
	set.Put(Info{ID: "r-0", Pool: testPool, Slots: 2})
	later = later.Add(time.Hour)
	set.UpdateDemand(later)
	if after := listedShares(set, later); fmt.Sprint(before) != fmt.Sprint(after) {
		t.Errorf("one is listed again, and shares %v become %v", before, after)
	}
}
