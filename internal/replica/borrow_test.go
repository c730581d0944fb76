package replica

import (
	"fmt"
	"testing"
	"time"
)

// newSetWithoutShare returns the set of a node that has none of the slots of one replica.
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
	t.Fatal("20 nodes all have one of 4 slots")
	return nil
}

var borrowedItem = RequestInfo{Batch: true, Borrowed: true, Reserved: true}

func TestMayBorrow_OnlyAfterBorrowAfter(t *testing.T) {
	set, now := newSetWithoutShare(t), time.Unix(1000, 0)
	if set.MayBorrow(testPool, BorrowAfter-1, now) || !set.MayBorrow(testPool, BorrowAfter, now) {
		t.Fatalf("an item is to borrow after %v and not before", BorrowAfter)
	}
}

// Without a word of idle room a node borrows one slot at a time.
func TestMayBorrow_OneAtATimeWithoutReports(t *testing.T) {
	set, now := newSetWithoutShare(t), time.Unix(1000, 0)
	use := set.Begin("r", borrowedItem, now)
	if set.MayBorrow(testPool, time.Hour, now) {
		t.Fatal("a second slot is borrowed")
	}
	use.End(Succeeded, now)
	if !set.MayBorrow(testPool, time.Hour, now) {
		t.Fatal("a slot that was given back counts as borrowed")
	}
	use = set.Begin("r", borrowedItem, now)
	use.MarkPreempted()
	use.End(Abandoned, now)
	if !set.MayBorrow(testPool, time.Hour, now) {
		t.Fatal("a slot that was left counts as borrowed")
	}
}

func TestMayBorrow_UpToReportedIdleSlots(t *testing.T) {
	set, now := newSetWithoutShare(t), time.Unix(1000, 0)
	set.Begin("r", borrowedItem, now)
	set.RecordDemand(testPool, 0, 2, now)
	set.RecordIdle(testPool, 2, now)
	if !set.MayBorrow(testPool, BorrowAfter, now) {
		t.Fatal("idle room is not used")
	}
	if demands := set.UpdateDemand(now); demands[0].Idle != -1 {
		t.Fatalf("tells of %d idle slots, one is borrowed", demands[0].Idle)
	}
	set.RecordIdle(testPool, -1, now)
	if set.MayBorrow(testPool, BorrowAfter, now) {
		t.Fatal("more is borrowed than is idle")
	}
	set.RecordIdle(testPool, 5, now)
	if set.MayBorrow(testPool, BorrowAfter, now.Add(2*fleetMaxAge)) {
		t.Fatal("borrows by words that are old")
	}
}

// A node tells of the slots that its items leave idle, and counts those itself.
func TestUpdateDemand_ReportsIdleSlots(t *testing.T) {
	set, now := newSetWithHalfShare(), time.Unix(1000, 0)
	set.Begin("r", RequestInfo{Batch: true}, now)
	if idle := set.UpdateDemand(now)[0].Idle; idle != 3 {
		t.Fatalf("tells of %d idle slots of 4, one of them with an item", idle)
	}
	if view := set.fleet[testPool]; view == nil || view.idleSlots(now) != 3 {
		t.Fatalf("knows of %+v", view)
	}
}

func TestFreeItemSlots_IgnoresBorrowedSlots(t *testing.T) {
	set, now := newSetWithHalfShare(), time.Unix(1000, 0)
	before := set.FreeItemSlots(testPool, now)
	use := set.Begin("r", borrowedItem, now)
	if free := set.FreeItemSlots(testPool, now); free != before {
		t.Fatalf("room for %d items, %d before one was borrowed", free, before)
	}
	use.MarkPreempted()
	if free := set.FreeItemSlots(testPool, now); free != before {
		t.Fatalf("room for %d items while the borrowed slot is left, %d before", free, before)
	}
	use.End(Abandoned, now)
	if free := set.FreeItemSlots(testPool, now); free != before {
		t.Fatalf("room for %d items after a loan, %d before", free, before)
	}
}

// A node that runs items itself borrows beside them only after long, and not where online
// requests need half of the slots.
func TestMayBorrow_WithOwnItems(t *testing.T) {
	set, now := newSetWithHalfShare(), time.Unix(1000, 0)
	for range 4 {
		set.Begin("r", RequestInfo{Batch: true}, now)
	}
	if set.MayBorrow(testPool, borrowWithOwnItems-1, now) || !set.MayBorrow(testPool, borrowWithOwnItems, now) {
		t.Fatalf("an item beside others is to borrow after %v and not before", borrowWithOwnItems)
	}
	set.RecordDemand(testPool, 2, 4, now)
	if set.MayBorrow(testPool, borrowWithOwnItems, now) {
		t.Fatal("borrows beside own items where half of the slots are needed")
	}
}

// Where online requests need most slots each node has its turn, within 13 turns.
func TestMayBorrow_EveryNodeWithin13Periods(t *testing.T) {
	for _, needed := range []float64{0.6, 0.8, 0.99} {
		set, now := newSetWithoutShare(t), time.Unix(1000, 0)
		allowed, last, longestGap := 0, -1, 0
		for period := range 200 {
			set.RecordDemand(testPool, 100*needed, 100, now)
			if set.MayBorrow(testPool, BorrowAfter, now) {
				allowed, longestGap, last = allowed+1, max(longestGap, period-last), period
			}
			now = now.Add(borrowLimitPeriod)
		}
		if longestGap > 13 || allowed == 0 {
			t.Errorf("at %v it is the node's turn %d times in 200, with up to %d between", needed, allowed, longestGap)
		}
		if allowed > 180 {
			t.Errorf("at %v it is the node's turn %d times in 200: all nodes borrow at once", needed, allowed)
		}
	}
}

func TestMayBorrow_NotWhenFullyUsed(t *testing.T) {
	set, now := newSetWithoutShare(t), time.Unix(1000, 0)
	set.Begin("r", borrowedItem, now)
	for range 100 {
		set.RecordDemand(testPool, 8, 4, now)
		if set.MayBorrow(testPool, StarvedAfter-1, now) {
			t.Fatal("borrows where all slots are needed")
		}
		if excess := set.UpdateDemand(now)[0].BorrowedExcess; excess != 1 {
			t.Fatalf("%d items are to leave, want the one that borrowed", excess)
		}
		now = now.Add(borrowLimitPeriod)
	}
}

// A node whose own callers need all its slots does not know what others need: while none
// tells, it asks now and then, and replicas decide.
func TestMayBorrow_OccasionallyWithoutReports(t *testing.T) {
	set, now := newSetWithHalfShare(), time.Unix(1000, 0)
	for range 6 {
		set.Begin("r", RequestInfo{}, now)
	}
	allowed := 0
	for range 50 {
		set.UpdateDemand(now)
		if set.MayBorrow(testPool, BorrowAfter, now) {
			allowed++
		}
		now = now.Add(borrowLimitPeriod)
	}
	if allowed < 3 {
		t.Fatalf("may borrow in %d of 50 turns", allowed)
	}
	if excess := set.UpdateDemand(now)[0].BorrowedExcess; excess != 0 {
		t.Fatalf("%d borrowed items leave though nobody told of a need", excess)
	}
}

// Where online requests are said to need all slots for good, an item that has waited for long
// borrows, one at a time, and keeps the slot.
func TestMayBorrow_StarvedItemsKeepTheirSlots(t *testing.T) {
	set, now := newSetWithoutShare(t), time.Unix(1000, 0)
	set.RecordDemand(testPool, 8, 4, now)
	if set.MayBorrow(testPool, StarvedAfter-1, now) || !set.MayBorrow(testPool, StarvedAfter, now) {
		t.Fatalf("an item is to borrow after %v and not before", StarvedAfter)
	}
	starved := borrowedItem
	starved.Starved = true
	use := set.Begin("r", starved, now)
	if set.MayBorrow(testPool, StarvedAfter, now) {
		t.Fatal("a second slot is borrowed")
	}
	set.RecordDemand(testPool, 8, 4, now)
	if excess := set.UpdateDemand(now)[0].BorrowedExcess; excess != 0 {
		t.Fatalf("%d items are to leave, want none: it was starved", excess)
	}
	use.End(Succeeded, now)
	set.Begin("r", borrowedItem, now)
	if excess := set.UpdateDemand(now)[0].BorrowedExcess; excess != 1 {
		t.Fatalf("%d items are to leave after the starved one ended, want the other", excess)
	}
}
