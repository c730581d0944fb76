package replica

import (
	"testing"
	"time"
)

func TestFreeItemSlots_ExcludesEvacuatedZones(t *testing.T) {
	set, now := newTwoZoneSet(), time.Now()
	set.Divide("a", nodesWithoutPlace("a"))
	before := set.FreeItemSlots(testPool, now)
	set.SetEvacuated(map[string]bool{"n1": true})
	if after := set.FreeItemSlots(testPool, now); before < 8 || after > before-4 {
		t.Errorf("room of %d slots fell to %d as 4 of 8 went", before, after)
	}
	if share := set.PoolStats(now)[testPool].Share; share != 4 {
		t.Errorf("%d slots are told to others", share)
	}
	set.SetEvacuated(map[string]bool{"n1": true, "s1": true})
	if free := set.FreeItemSlots(testPool, now); free > 0 {
		t.Errorf("room for %d items with all zones evacuated", free)
	}
	if demands := set.UpdateDemand(now); len(demands) != 1 || demands[0].Share != 0 || demands[0].Excess > 0 {
		t.Errorf("needs %+v with all zones evacuated", demands)
	}
}

func TestFreeItemSlots_IgnoresItemsInEvacuatedZones(t *testing.T) {
	set, now := newTwoZoneSet(), time.Now()
	set.Divide("a", nodesWithoutPlace("a"))
	for range 4 {
		set.Begin("north", RequestInfo{Batch: true, Tokens: 10}, now)
	}
	set.SetEvacuated(map[string]bool{"n1": true})
	if free := set.FreeItemSlots(testPool, now); free < 4 {
		t.Errorf("room for %d items beside 4 that run on in the evacuated zone", free)
	}
	if demands := set.UpdateDemand(now); demands[0].Excess > 0 {
		t.Errorf("%d items are to leave slots that nobody may use", demands[0].Excess)
	}
	if !set.IsEvacuated("north") || set.IsEvacuated("south") || set.IsEvacuated("unknown") {
		t.Error("wrong replicas are emptied")
	}
}

func TestPickUnqueued_ExcludesEvacuatedZones(t *testing.T) {
	set, now := newTwoZoneSet(), time.Now()
	set.SetEvacuated(map[string]bool{"n1": true})
	for range 20 {
		criteria := &Criteria{}
		if chosen, err := PickUnqueued(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}, false); err != nil || chosen.ID != "south" {
			t.Fatalf("asked %v, %v for a slot", chosen, err)
		}
	}
}

func TestPick_ExcludesEvacuatedZonesForAllCriteria(t *testing.T) {
	set := newTwoZoneSet()
	set.SetEvacuated(map[string]bool{"n1": true})
	for _, criteria := range []*Criteria{
		{Affinity: 7, SharedTokens: 3}, {Version: "v1"}, {RequestInfo: RequestInfo{Batch: true}, Reserve: 0.35},
		{Exclude: map[string]bool{"south": true}},
	} {
		if chosen, err := pickFor(set, criteria); err == nil && chosen.ID != "south" {
			t.Errorf("%+v chose %s", criteria, chosen.ID)
		}
	}
}

func TestNoReplicaError_MainReason(t *testing.T) {
	failure := &NoReplicaError{}
	if failure.MainReason() != Usable {
		t.Errorf("nothing excluded, yet %s", failure.MainReason())
	}
	failure.Counts[Tried], failure.Counts[Evacuated] = 1, 3
	if failure.MainReason() != Evacuated {
		t.Errorf("%s excluded most", failure.MainReason())
	}
}
