package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// newTwoZoneSet returns a set with one replica of 4 slots in each of two zones in different
// regions.
func newTwoZoneSet() *Set {
	set := NewSet()
	set.Put(Info{ID: "north", Pool: testPool, Zone: "n1", Region: "n", Slots: 4})
	set.Put(Info{ID: "south", Pool: testPool, Zone: "s1", Region: "s", Slots: 4})
	return set
}

// pickFor picks a replica of a set's pool.
func pickFor(set *Set, criteria *Criteria) (*Candidate, error) {
	return Pick(set.SnapshotFor(testPool, criteria, time.Now()), criteria, Weights{})
}

func TestPick_ExcludesEvacuatedZones(t *testing.T) {
	set := newTwoZoneSet()
	set.SetEvacuated(map[string]bool{"n1": true})
	for range 20 {
		if chosen, err := pickFor(set, &Criteria{}); err != nil || chosen.ID != "south" {
			t.Fatalf("Pick = %v, %v, want south", chosen, err)
		}
	}
	set.SetEvacuated(map[string]bool{"n1": true, "s1": true})
	_, err := pickFor(set, &Criteria{})
	if noReplica := (*NoReplicaError)(nil); !errors.As(err, &noReplica) || !noReplica.Persistent() || noReplica.Counts[Evacuated] != 2 {
		t.Errorf("Pick with all zones evacuated: %v, want a persistent NoReplicaError", err)
	}
	set.SetEvacuated(nil)
	if _, err := pickFor(set, &Criteria{}); err != nil {
		t.Errorf("Pick after the evacuations: %v", err)
	}
}

func TestPick_KeepsToAllowedRegions(t *testing.T) {
	set := newTwoZoneSet()
	for range 20 {
		if chosen, err := pickFor(set, &Criteria{Regions: place.Regions{"s"}}); err != nil || chosen.ID != "south" {
			t.Fatalf("Pick = %v, %v, want south", chosen, err)
		}
	}
	_, err := pickFor(set, &Criteria{Regions: place.Regions{}})
	if noReplica := (*NoReplicaError)(nil); !errors.As(err, &noReplica) || !noReplica.Persistent() || noReplica.Counts[Elsewhere] != 2 {
		t.Errorf("Pick without allowed regions: %v, want a persistent NoReplicaError", err)
	}
}

func TestNoReplicaError_NotPersistentIfReplicaMayReturn(t *testing.T) {
	set := newTwoZoneSet()
	_, err := pickFor(set, &Criteria{Regions: place.Regions{"s"}, Exclude: map[string]bool{"south": true}})
	if noReplica := (*NoReplicaError)(nil); !errors.As(err, &noReplica) || noReplica.Persistent() {
		t.Errorf("the exclusion of a replica that refused the request is persistent: %v", err)
	}
	_, err = Pick(nil, &Criteria{}, Weights{})
	if noReplica := (*NoReplicaError)(nil); !errors.As(err, &noReplica) || noReplica.Persistent() || !errors.Is(err, ErrNoReplica) {
		t.Errorf("the error for an empty list is persistent or does not wrap ErrNoReplica: %v", err)
	}
}

func TestDivide_EvacuatedSlotsAreNotAllotted(t *testing.T) {
	set := newTwoZoneSet()
	set.Divide("a", nodesWithoutPlace("a"))
	set.SetEvacuated(map[string]bool{"n1": true})
	for _, candidate := range set.List(time.Now()) {
		if want := map[string]int{"north": 0, "south": 4}[candidate.ID]; candidate.Share != want {
			t.Errorf("%s: share %d, want %d", candidate.ID, candidate.Share, want)
		}
	}
}
