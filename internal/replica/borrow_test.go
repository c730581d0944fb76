package replica

import (
	"fmt"
	"testing"
	"time"
)

// newSlotless returns the set of a node that has none of the slots of one replica.
func newSlotless(t *testing.T) *Set {
	t.Helper()
	for i := range 20 {
		set := NewSet()
		set.Put(Info{ID: "r", Pool: testPool, Slots: 4})
		set.Divide(fmt.Sprintf("node-%02d", i), testNodes(20))
		if set.Learned(time.Unix(1000, 0))[testPool].Share == 0 {
			return set
		}
	}
	t.Fatal("20 nodes all have one of 4 slots")
	return nil
}

var borrowed = Ask{Batch: true, Borrowed: true, Reserved: true}

func TestBorrow_NotBeforeTheNodeHadItsChance(t *testing.T) {
	set, now := newSlotless(t), time.Unix(1000, 0)
	if set.MayBorrow(testPool, BorrowAfter-1, now) || !set.MayBorrow(testPool, BorrowAfter, now) {
		t.Fatalf("an item is to borrow after %v and not before", BorrowAfter)
	}
}

// Without a word of idle room a node borrows one slot at a time.
func TestBorrow_OneAtATime(t *testing.T) {
	set, now := newSlotless(t), time.Unix(1000, 0)
	use := set.Begin("r", borrowed, now)
	if set.MayBorrow(testPool, time.Hour, now) {
		t.Fatal("a second slot is borrowed")
	}
	use.End(Succeeded, now)
	if !set.MayBorrow(testPool, time.Hour, now) {
		t.Fatal("a slot that was given back counts as borrowed")
	}
	use = set.Begin("r", borrowed, now)
	use.MarkPreempted()
	use.End(Abandoned, now)
	if !set.MayBorrow(testPool, time.Hour, now) {
		t.Fatal("a slot that was left counts as borrowed")
	}
}

func TestBorrow_MoreWhereNodesTellOfIdleRoom(t *testing.T) {
	set, now := newSlotless(t), time.Unix(1000, 0)
	set.Begin("r", borrowed, now)
	set.Told(testPool, 0, 2, now)
	set.ToldIdle(testPool, 2, now)
	if !set.MayBorrow(testPool, BorrowAfter, now) {
		t.Fatal("idle room is not used")
	}
	if needs := set.Needs(now); needs[0].Idle != -1 {
		t.Fatalf("tells of %d idle slots, one is borrowed", needs[0].Idle)
	}
	set.ToldIdle(testPool, -1, now)
	if set.MayBorrow(testPool, BorrowAfter, now) {
		t.Fatal("more is borrowed than is idle")
	}
	set.ToldIdle(testPool, 5, now)
	if set.MayBorrow(testPool, BorrowAfter, now.Add(2*fleetStale)) {
		t.Fatal("borrows by words that are old")
	}
}

// A node tells of the slots that its items leave idle, and counts those itself.
func TestBorrow_NodesTellOfTheirIdleRoom(t *testing.T) {
	set, now := newHalf(), time.Unix(1000, 0)
	set.Begin("r", Ask{Batch: true}, now)
	if idle := set.Needs(now)[0].Idle; idle != 3 {
		t.Fatalf("tells of %d idle slots of 4, one of them with an item", idle)
	}
	if known := set.fleet[testPool]; known == nil || known.idleNow(now) != 3 {
		t.Fatalf("knows of %+v", known)
	}
}

func TestBorrow_BorrowedSlotsAreNotOwnOnes(t *testing.T) {
	set, now := newHalf(), time.Unix(1000, 0)
	before := set.ItemRoom(testPool, now)
	use := set.Begin("r", borrowed, now)
	if room := set.ItemRoom(testPool, now); room != before {
		t.Fatalf("room for %d items, %d before one was borrowed", room, before)
	}
	use.MarkPreempted()
	if room := set.ItemRoom(testPool, now); room != before {
		t.Fatalf("room for %d items while the borrowed slot is left, %d before", room, before)
	}
	use.End(Abandoned, now)
	if room := set.ItemRoom(testPool, now); room != before {
		t.Fatalf("room for %d items after a loan, %d before", room, before)
	}
}

// A node that runs items itself borrows beside them only after long, and not where online
// requests need half of the slots.
func TestBorrow_BesideOwnItems(t *testing.T) {
	set, now := newHalf(), time.Unix(1000, 0)
	for range 4 {
		set.Begin("r", Ask{Batch: true}, now)
	}
	if set.MayBorrow(testPool, borrowBeside-1, now) || !set.MayBorrow(testPool, borrowBeside, now) {
		t.Fatalf("an item beside others is to borrow after %v and not before", borrowBeside)
	}
	set.Told(testPool, 2, 4, now)
	if set.MayBorrow(testPool, borrowBeside, now) {
		t.Fatal("borrows beside own items where half of the slots are needed")
	}
}

// Where online requests need most slots each node has its turn, within 13 turns.
func TestBorrow_EachNodeHasItsTurn(t *testing.T) {
	for _, needed := range []float64{0.6, 0.8, 0.99} {
		set, now := newSlotless(t), time.Unix(1000, 0)
		turns, last, longest := 0, -1, 0
		for turn := range 200 {
			set.Told(testPool, 100*needed, 100, now)
			if set.MayBorrow(testPool, BorrowAfter, now) {
				turns, longest, last = turns+1, max(longest, turn-last), turn
			}
			now = now.Add(borrowTurn)
		}
		if longest > 13 || turns == 0 {
			t.Errorf("at %v it is the node's turn %d times in 200, with up to %d between", needed, turns, longest)
		}
		if turns > 180 {
			t.Errorf("at %v it is the node's turn %d times in 200: all nodes borrow at once", needed, turns)
		}
	}
}

func TestBorrow_NothingWhereOnlineRequestsNeedAll(t *testing.T) {
	set, now := newSlotless(t), time.Unix(1000, 0)
	set.Begin("r", borrowed, now)
	for range 100 {
		set.Told(testPool, 8, 4, now)
		if set.MayBorrow(testPool, BorrowStarved-1, now) {
			t.Fatal("borrows where all slots are needed")
		}
		if excess := set.Needs(now)[0].BorrowedExcess; excess != 1 {
			t.Fatalf("%d items are to leave, want the one that borrowed", excess)
		}
		now = now.Add(borrowTurn)
	}
}

// A node whose own callers need all its slots does not know what others need: while none
// tells, it asks now and then, and replicas decide.
func TestBorrow_OwnCallersAreNotTheFleet(t *testing.T) {
	set, now := newHalf(), time.Unix(1000, 0)
	for range 6 {
		set.Begin("r", Ask{}, now)
	}
	may := 0
	for range 50 {
		set.Needs(now)
		if set.MayBorrow(testPool, BorrowAfter, now) {
			may++
		}
		now = now.Add(borrowTurn)
	}
	if may < 3 {
		t.Fatalf("may borrow in %d of 50 turns", may)
	}
	if excess := set.Needs(now)[0].BorrowedExcess; excess != 0 {
		t.Fatalf("%d borrowed items leave though nobody told of a need", excess)
	}
}

// Where online requests are said to need all slots for good, an item that has waited for long
// borrows, one at a time, and keeps the slot.
func TestBorrow_StarvedItemsKeepTheirSlots(t *testing.T) {
	set, now := newSlotless(t), time.Unix(1000, 0)
	set.Told(testPool, 8, 4, now)
	if set.MayBorrow(testPool, BorrowStarved-1, now) || !set.MayBorrow(testPool, BorrowStarved, now) {
		t.Fatalf("an item is to borrow after %v and not before", BorrowStarved)
	}
	starved := borrowed
	starved.Starved = true
	use := set.Begin("r", starved, now)
	if set.MayBorrow(testPool, BorrowStarved, now) {
		t.Fatal("a second slot is borrowed")
	}
	set.Told(testPool, 8, 4, now)
	if excess := set.Needs(now)[0].BorrowedExcess; excess != 0 {
		t.Fatalf("%d items are to leave, want none: it was starved", excess)
	}
	use.End(Succeeded, now)
	set.Begin("r", borrowed, now)
	if excess := set.Needs(now)[0].BorrowedExcess; excess != 1 {
		t.Fatalf("%d items are to leave after the starved one ended, want the other", excess)
	}
}
