package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// newRegionalSet returns the set of a node in the south with a replica in each of two regions.
func newRegionalSet() *Set {
	set := NewSet()
	set.Put(Info{ID: "home", Pool: testPool, Region: "south", Slots: 4})
	set.Put(Info{ID: "away", Pool: testPool, Region: "north", Slots: 4})
	set.Divide("a", []place.Node{{ID: "a", Place: place.Place{Region: "south"}}, {ID: "b", Place: place.Place{Region: "north"}}})
	return set
}

// Guards against items that wait beside idle slots of another region because their own region has none
// left: its online requests need all, or their node runs other items.
func TestMayBorrow_InARegionThatReportsIdleSlots(t *testing.T) {
	for name, fill := range map[string]func(set *Set, now time.Time){
		"fully used":  func(set *Set, now time.Time) { set.RecordDemand(testPool, 8, 4, now) },
		"runs others": func(set *Set, now time.Time) { set.Begin("home", RequestInfo{Batch: true}, now) },
	} {
		t.Run(name, func(t *testing.T) {
			set, now := newRegionalSet(), time.Unix(1000, 0)
			fill(set, now)
			if _, err := set.MayBorrow(testPool, BorrowAfter, now); err == nil {
				t.Fatal("an item may borrow without a report of idle slots")
			}
			set.RecordIdleElsewhere(testPool, 2, now)
			if scope, err := set.MayBorrow(testPool, BorrowAfter, now); scope != OtherRegions || err != nil {
				t.Fatalf("an item may borrow in %v: %v, want other regions alone", scope, err)
			}
			if _, err := set.MayBorrow(testPool, BorrowAfter-1, now); !errors.Is(err, ErrTooEarly) {
				t.Fatalf("an item that has waited less than %v is refused for %v", BorrowAfter, err)
			}
			now = now.Add(fleetMaxAge + 1)
			fill(set, now)
			if _, err := set.MayBorrow(testPool, BorrowAfter, now); err == nil {
				t.Fatal("an item may borrow because of an old report")
			}
		})
	}
}

// A node must not take more slots of another region than a node there reports idle, nor give them back
// because of online requests in its own region.
func TestMayBorrow_ElsewhereUpToReportedIdleSlots(t *testing.T) {
	set, now := newRegionalSet(), time.Unix(1000, 0)
	set.RecordDemand(testPool, 100, 4, now)
	for _, idle := range []int{1, 3, -4} {
		set.RecordIdleElsewhere(testPool, idle, now)
	}
	for borrowed := range 2 {
		if _, err := set.MayBorrow(testPool, BorrowAfter, now); err != nil {
			t.Fatalf("with %d items in slots of another region: %v", borrowed, err)
		}
		set.Begin("away", borrowedItem, now)
	}
	if _, err := set.MayBorrow(testPool, BorrowAfter, now); err == nil {
		t.Fatal("a third slot may be borrowed where nodes report 2 idle ones on average")
	}
	if demand := set.UpdateDemand(now)[0]; demand.BorrowedExcess != 0 || demand.Idle < 0 {
		t.Fatalf("%d items leave slots of another region, and %d own slots are idle, want 0 and at least 0", demand.BorrowedExcess, demand.Idle)
	}
	set.Begin("home", borrowedItem, now)
	if excess := set.UpdateDemand(now)[0].BorrowedExcess; excess != 1 {
		t.Fatalf("%d items leave borrowed slots of the own region, want 1", excess)
	}
}
