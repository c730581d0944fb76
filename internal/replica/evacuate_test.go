package replica

import (
	"testing"
	"time"
)

func TestItemRoom_ShrinksWithTheZone(t *testing.T) {
	set, now := placed(), time.Now()
	set.Divide("a", nowhere("a"))
	before := set.ItemRoom(testPool, now)
	set.Evacuate(map[string]bool{"n1": true})
	if after := set.ItemRoom(testPool, now); before < 8 || after > before-4 {
		t.Errorf("room of %d slots fell to %d as 4 of 8 went", before, after)
	}
	if share := set.Learned(now)[testPool].Share; share != 4 {
		t.Errorf("%d slots are told to others", share)
	}
	set.Evacuate(map[string]bool{"n1": true, "s1": true})
	if room := set.ItemRoom(testPool, now); room > 0 {
		t.Errorf("room for %d items with all zones evacuated", room)
	}
	if needs := set.Needs(now); len(needs) != 1 || needs[0].Share != 0 || needs[0].Excess > 0 {
		t.Errorf("needs %+v with all zones evacuated", needs)
	}
}

func TestItemRoom_ItemsThatRunOnHoldNoSlotElsewhere(t *testing.T) {
	set, now := placed(), time.Now()
	set.Divide("a", nowhere("a"))
	for range 4 {
		set.Begin("north", Ask{Batch: true, Tokens: 10}, now)
	}
	set.Evacuate(map[string]bool{"n1": true})
	if room := set.ItemRoom(testPool, now); room < 4 {
		t.Errorf("room for %d items beside 4 that run on in the evacuated zone", room)
	}
	if needs := set.Needs(now); needs[0].Excess > 0 {
		t.Errorf("%d items are to leave slots that nobody may use", needs[0].Excess)
	}
	if !set.IsEvacuated("north") || set.IsEvacuated("south") || set.IsEvacuated("unknown") {
		t.Error("wrong replicas are emptied")
	}
}

func TestPickUnqueued_LeavesEvacuatedZonesOut(t *testing.T) {
	set, now := placed(), time.Now()
	set.Evacuate(map[string]bool{"n1": true})
	for range 20 {
		demand := &Demand{}
		if asked, err := PickUnqueued(set.SnapshotFor(testPool, demand, now), demand, Weights{}, false); err != nil || asked.ID != "south" {
			t.Fatalf("asked %v, %v for a slot", asked, err)
		}
	}
}

func TestPick_OnAnAnswerThatGoesOnElsewhere(t *testing.T) {
	set := placed()
	set.Evacuate(map[string]bool{"n1": true})
	for _, demand := range []*Demand{
		{Affinity: 7, Shared: 3}, {Version: "v1"}, {Ask: Ask{Batch: true}, Reserve: 0.35},
		{Exclude: map[string]bool{"south": true}},
	} {
		if chosen, err := pickFor(set, demand); err == nil && chosen.ID != "south" {
			t.Errorf("%+v chose %s", demand, chosen.ID)
		}
	}
}

func TestNoReplicaError_Main(t *testing.T) {
	failed := &NoReplicaError{}
	if failed.Main() != Usable {
		t.Errorf("nothing excluded, yet %s", failed.Main())
	}
	failed.Counts[Tried], failed.Counts[Evacuated] = 1, 3
	if failed.Main() != Evacuated {
		t.Errorf("%s excluded most", failed.Main())
	}
}
