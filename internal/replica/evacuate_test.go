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
		t.Errorf("free slots fell from %d to %d when 4 of 8 slots were evacuated", before, after)
	}
	if share := set.PoolStats(now)[testPool].Share; share != 4 {
		t.Errorf("Share = %d, want 4", share)
	}
	set.SetEvacuated(map[string]bool{"n1": true, "s1": true})
	if free := set.FreeItemSlots(testPool, now); free > 0 {
		t.Errorf("%d free slots with all zones evacuated", free)
	}
	if demands := set.UpdateDemand(now); len(demands) != 1 || demands[0].Share != 0 || demands[0].Excess > 0 {
		t.Errorf("UpdateDemand = %+v with all zones evacuated, want no share and no excess", demands)
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
		t.Errorf("%d free slots with 4 items running in the evacuated zone, want at least 4", free)
	}
	if demands := set.UpdateDemand(now); demands[0].Excess > 0 {
		t.Errorf("Excess = %d for items in evacuated slots, want none", demands[0].Excess)
	}
	if !set.IsEvacuated("north") || set.IsEvacuated("south") || set.IsEvacuated("unknown") {
		t.Error("IsEvacuated is true for the wrong replicas")
	}
}

func TestPickUnqueued_ExcludesEvacuatedZones(t *testing.T) {
	set, now := newTwoZoneSet(), time.Now()
	set.SetEvacuated(map[string]bool{"n1": true})
	for range 20 {
		criteria := &Criteria{}
		if chosen, err := PickUnqueued(set.SnapshotFor(testPool, criteria, now), criteria, Weights{}, false); err != nil || chosen.ID != "south" {
			t.Fatalf("PickUnqueued = %v, %v, want south", chosen, err)
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
			t.Errorf("%+v: picked %s, want south", criteria, chosen.ID)
		}
	}
}

func TestNoReplicaError_MainReason(t *testing.T) {
	failure := &NoReplicaError{}
	if failure.MainReason() != Usable {
		t.Errorf("MainReason without exclusions = %s, want usable", failure.MainReason())
	}
	failure.Counts[Tried], failure.Counts[Evacuated] = 1, 3
	if failure.MainReason() != Evacuated {
		t.Errorf("MainReason = %s, want evacuated", failure.MainReason())
	}
}
