package replica

import (
	"fmt"
	"testing"
	"time"
)

// newSetWithoutShare returns the set of a node to which no slot of the only replica is allotted.
func newSetWithoutShare(t *testing.T) *Set {
	t.Helper()
	for i := range 20 {
		set := NewSet()
		set.Put(Info{ID: "r", Pool: testPool, Slots: 4})
		set.Divide(fmt.Sprintf("node-%02d", i), testNodes(20))
		if set.PoolStats(time.Unix(1000, 0))[testPool].Share == 0 {
			return set
		}
	}
	t.Fatal("each of 20 nodes has one of 4 slots")
	return nil
}

// mayBorrow reports whether an item may borrow a slot in its own region.
func mayBorrow(set *Set, waited time.Duration, now time.Time) bool {
	scope, err := set.MayBorrow(testPool, waited, now)
	return scope == AnyRegion && err == nil
}

var borrowedItem = RequestInfo{Batch: true, Borrowed: true, Reserved: true}

func TestMayBorrow_OnlyAfterBorrowAfter(t *testing.T) {
	set, now := newSetWithoutShare(t), time.Unix(1000, 0)
	if mayBorrow(set, BorrowAfter-1, now) || !mayBorrow(set, BorrowAfter, now) {
		t.Fatalf("an item should be able to borrow after %v and not before", BorrowAfter)
	}
}

// Without reports of idle slots, a node borrows one slot at a time.
func TestMayBorrow_OneAtATimeWithoutReports(t *testing.T) {
	set, now := newSetWithoutShare(t), time.Unix(1000, 0)
	use := set.Begin("r", borrowedItem, now)
	if mayBorrow(set, time.Hour, now) {
		t.Fatal("a second slot may be borrowed")
	}
	use.End(Succeeded, now)
	if !mayBorrow(set, time.Hour, now) {
		t.Fatal("a slot counts as borrowed after its item completed")
	}
	use = set.Begin("r", borrowedItem, now)
	use.MarkPreempted()
	use.End(Abandoned, now)
	if !mayBorrow(set, time.Hour, now) {
		t.Fatal("a slot counts as borrowed after its item was preempted")
	}
}

func TestMayBorrow_UpToReportedIdleSlots(t *testing.T) {
	set, now := newSetWithoutShare(t), time.Unix(1000, 0)
	set.Begin("r", borrowedItem, now)
	set.RecordDemand(testPool, 0, 2, now)
	set.RecordIdle(testPool, 2, now)
	if !mayBorrow(set, BorrowAfter, now) {
		t.Fatal("an item may not borrow although other nodes report idle slots")
	}
	if demands := set.UpdateDemand(now); demands[0].Idle != -1 {
		t.Fatalf("Idle = %d with one borrowed slot, want -1", demands[0].Idle)
	}
	set.RecordIdle(testPool, -1, now)
	if mayBorrow(set, BorrowAfter, now) {
		t.Fatal("more slots may be borrowed than are idle")
	}
	set.RecordIdle(testPool, 5, now)
	if mayBorrow(set, BorrowAfter, now.Add(2*fleetMaxAge)) {
		t.Fatal("an item may borrow because of expired reports")
	}
}

// A node reports its slots that items leave idle, and includes them in its own view.
func TestUpdateDemand_ReportsIdleSlots(t *testing.T) {
	set, now := newSetWithHalfShare(), time.Unix(1000, 0)
	set.Begin("r", RequestInfo{Batch: true}, now)
	if idle := set.UpdateDemand(now)[0].Idle; idle != 3 {
		t.Fatalf("Idle = %d with one item in 4 slots, want 3", idle)
	}
	if view := set.fleet[testPool]; view == nil || view.idleSlots(now) != 3 {
		t.Fatalf("own view is %+v, want 3 idle slots", view)
	}
}

func TestFreeItemSlots_IgnoresBorrowedSlots(t *testing.T) {
	set, now := newSetWithHalfShare(), time.Unix(1000, 0)
	before := set.FreeItemSlots(testPool, now)
	use := set.Begin("r", borrowedItem, now)
	if free := set.FreeItemSlots(testPool, now); free != before {
		t.Fatalf("%d free slots with a borrowed slot in use, %d before", free, before)
	}
	use.MarkPreempted()
	if free := set.FreeItemSlots(testPool, now); free != before {
		t.Fatalf("%d free slots while the item in the borrowed slot is preempted, %d before", free, before)
	}
	use.End(Abandoned, now)
	if free := set.FreeItemSlots(testPool, now); free != before {
		t.Fatalf("%d free slots after the borrowed slot was released, %d before", free, before)
	}
}

// A node that runs items in its own slots borrows only after a longer wait, and not if online
// requests need half of the slots.
func TestMayBorrow_WithOwnItems(t *testing.T) {
	set, now := newSetWithHalfShare(), time.Unix(1000, 0)
	for range 4 {
		set.Begin("r", RequestInfo{Batch: true}, now)
	}
	if mayBorrow(set, borrowWithOwnItems-1, now) || !mayBorrow(set, borrowWithOwnItems, now) {
		t.Fatalf("an item of a node with running items should be able to borrow after %v and not before", borrowWithOwnItems)
	}
	set.RecordDemand(testPool, 2, 4, now)
	if mayBorrow(set, borrowWithOwnItems, now) {
		t.Fatal("a node with running items may borrow although half of the slots are needed")
	}
}

// If online requests need most slots, each node may still borrow at least once in 13 periods, but
// not all nodes may at once.
func TestMayBorrow_EveryNodeWithin13Periods(t *testing.T) {
	for _, needed := range []float64{0.6, 0.8, 0.99} {
		set, now := newSetWithoutShare(t), time.Unix(1000, 0)
		allowed, last, longestGap := 0, -1, 0
		for period := range 200 {
			set.RecordDemand(testPool, 100*needed, 100, now)
			if mayBorrow(set, BorrowAfter, now) {
				allowed, longestGap, last = allowed+1, max(longestGap, period-last), period
			}
			now = now.Add(borrowLimitPeriod)
		}
		if longestGap > 13 || allowed == 0 {
			t.Errorf("usage %v: the node may borrow in %d of 200 periods, with gaps of up to %d periods", needed, allowed, longestGap)
		}
		if allowed > 180 {
			t.Errorf("usage %v: the node may borrow in %d of 200 periods, so all nodes may at once", needed, allowed)
		}
	}
}

func TestMayBorrow_NotWhenFullyUsed(t *testing.T) {
	set, now := newSetWithoutShare(t), time.Unix(1000, 0)
	set.Begin("r", borrowedItem, now)
	for range 100 {
		set.RecordDemand(testPool, 8, 4, now)
		if mayBorrow(set, StarvedAfter-1, now) {
			t.Fatal("an item may borrow although all slots are needed")
		}
		if excess := set.UpdateDemand(now)[0].BorrowedExcess; excess != 1 {
			t.Fatalf("BorrowedExcess = %d, want 1", excess)
		}
		now = now.Add(borrowLimitPeriod)
	}
}

// A node whose own requests need all of its slots does not know what other nodes need. Without
// reports it still asks replicas for a slot from time to time.
func TestMayBorrow_OccasionallyWithoutReports(t *testing.T) {
	set, now := newSetWithHalfShare(), time.Unix(1000, 0)
	for range 6 {
		set.Begin("r", RequestInfo{}, now)
	}
	allowed := 0
	for range 50 {
		set.UpdateDemand(now)
		if mayBorrow(set, BorrowAfter, now) {
			allowed++
		}
		now = now.Add(borrowLimitPeriod)
	}
	if allowed < 3 {
		t.Fatalf("may borrow in %d of 50 periods, want at least 3", allowed)
	}
	if excess := set.UpdateDemand(now)[0].BorrowedExcess; excess != 0 {
		t.Fatalf("BorrowedExcess = %d without reports of other nodes, want 0", excess)
	}
}

// If online requests are always reported to need all slots, one starved item at a time borrows and
// is not preempted.
func TestMayBorrow_StarvedItemsKeepTheirSlots(t *testing.T) {
	set, now := newSetWithoutShare(t), time.Unix(1000, 0)
	set.RecordDemand(testPool, 8, 4, now)
	if mayBorrow(set, StarvedAfter-1, now) || !mayBorrow(set, StarvedAfter, now) {
		t.Fatalf("a starved item should be able to borrow after %v and not before", StarvedAfter)
	}
	starved := borrowedItem
	starved.Starved = true
	use := set.Begin("r", starved, now)
	if mayBorrow(set, StarvedAfter, now) {
		t.Fatal("a second slot may be borrowed")
	}
	set.RecordDemand(testPool, 8, 4, now)
	if excess := set.UpdateDemand(now)[0].BorrowedExcess; excess != 0 {
		t.Fatalf("BorrowedExcess = %d with a starved item, want 0", excess)
	}
	use.End(Succeeded, now)
	set.Begin("r", borrowedItem, now)
	if excess := set.UpdateDemand(now)[0].BorrowedExcess; excess != 1 {
		t.Fatalf("BorrowedExcess = %d after the starved item ended and another began, want 1", excess)
	}
}
