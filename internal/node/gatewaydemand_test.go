package node

import (
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// Guards against idle slots of another region that are taken for slots of this one, or for a report on the
// demand of its online requests.
func TestHandleDemandReports_IdleSlotsOfAnotherRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := replica.NewSet()
		set.Put(replica.Info{ID: "r", Pool: "p", Region: "south", Slots: 4})
		set.Put(replica.Info{ID: "q", Pool: "p", Region: "north", Slots: 4})
		set.Divide("a", []place.Node{{ID: "a", Place: place.Place{Region: "south"}}, {ID: "b", Place: place.Place{Region: "north"}}})
		for range 4 {
			set.Begin("r", replica.RequestInfo{Batch: true}, clock.Now())
		}
		gateway := &Gateway{core: &core{replicas: set}}
		receive := func(report demandReport) {
			t.Helper()
			body, err := cbor.Marshal([]demandReport{report})
			if err != nil {
				t.Fatal(err)
			}
			gateway.handleDemandReports("b", nil, body)
		}
		set.UpdateDemand(clock.Now())
		receive(demandReport{Pool: "p", IdleElsewhere: 3})
		if capacity := set.ItemCapacity("p", clock.Now()); capacity.Idle != 0 || capacity.HasReports {
			t.Errorf("idle slots of another region count as a report of the own one: %v", capacity)
		}
		if scope, err := set.MayBorrow("p", replica.BorrowAfter, clock.Now()); scope != replica.OtherRegions || err != nil {
			t.Errorf("an item may borrow in %v: %v, want other regions alone", scope, err)
		}
		receive(demandReport{Pool: "p", Level: 2, Share: 4, Idle: 2})
		if scope, err := set.MayBorrow("p", replica.BorrowAfter, clock.Now()); scope != replica.AnyRegion || err != nil {
			t.Errorf("an item may borrow in %v: %v, want any region", scope, err)
		}
	})
}
