package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// placed returns a set with a replica of 4 slots in each of two zones of two regions.
func placed() *Set {
	set := NewSet()
	set.Put(Info{ID: "north", Pool: testPool, Zone: "n1", Region: "n", Slots: 4})
	set.Put(Info{ID: "south", Pool: testPool, Zone: "s1", Region: "s", Slots: 4})
	return set
}

func pickFor(set *Set, demand *Criteria) (*Candidate, error) {
	return Pick(set.SnapshotFor(testPool, demand, time.Now()), demand, Weights{})
}

func TestPick_LeavesEvacuatedZonesOut(t *testing.T) {
	set := placed()
	set.SetEvacuated(map[string]bool{"n1": true})
	for range 20 {
		if chosen, err := pickFor(set, &Criteria{}); err != nil || chosen.ID != "south" {
			t.Fatalf("chose %v, %v", chosen, err)
		}
	}
	set.SetEvacuated(map[string]bool{"n1": true, "s1": true})
	_, err := pickFor(set, &Criteria{})
	if none := (*NoReplicaError)(nil); !errors.As(err, &none) || !none.Persistent() || none.Counts[Evacuated] != 2 {
		t.Errorf("all zones evacuated: %v", err)
	}
	set.SetEvacuated(nil)
	if _, err := pickFor(set, &Criteria{}); err != nil {
		t.Errorf("after the evacuations: %v", err)
	}
}

func TestPick_KeepsToTheRegionsOfARequest(t *testing.T) {
	set := placed()
	for range 20 {
		if chosen, err := pickFor(set, &Criteria{Regions: place.Regions{"s"}}); err != nil || chosen.ID != "south" {
			t.Fatalf("chose %v, %v", chosen, err)
		}
	}
	_, err := pickFor(set, &Criteria{Regions: place.Regions{}})
	if none := (*NoReplicaError)(nil); !errors.As(err, &none) || !none.Persistent() || none.Counts[Elsewhere] != 2 {
		t.Errorf("no region allowed: %v", err)
	}
}

func TestPick_NoReplicaThatMayComeBackDoesNotLast(t *testing.T) {
	set := placed()
	_, err := pickFor(set, &Criteria{Regions: place.Regions{"s"}, Exclude: map[string]bool{"south": true}})
	if none := (*NoReplicaError)(nil); !errors.As(err, &none) || none.Persistent() {
		t.Errorf("a replica that refused once lasts: %v", err)
	}
	_, err = Pick(nil, &Criteria{}, Weights{})
	if none := (*NoReplicaError)(nil); !errors.As(err, &none) || none.Persistent() || !errors.Is(err, ErrNoReplica) {
		t.Errorf("an empty list lasts: %v", err)
	}
}

func TestDivide_EvacuatedSlotsAreNobodys(t *testing.T) {
	set := placed()
	set.Divide("a", nowhere("a"))
	set.SetEvacuated(map[string]bool{"n1": true})
	for _, one := range set.List(time.Now()) {
		if want := map[string]int{"north": 0, "south": 4}[one.ID]; one.Share != want {
			t.Errorf("%s: share %d, want %d", one.ID, one.Share, want)
		}
	}
}
