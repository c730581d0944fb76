package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// newTwoRegionSet returns a set with the given numbers of replicas in two regions.
func newTwoRegionSet(north, south int) *Set {
	set := NewSet()
	for i := range north {
		set.Put(Info{ID: fmt.Sprintf("north-%d", i), Pool: testPool, Zone: "n", Region: "north", Slots: 4})
	}
	for i := range south {
		set.Put(Info{ID: fmt.Sprintf("south-%d", i), Pool: testPool, Zone: "s", Region: "south", Slots: 4})
	}
	return set
}

var testWeights = Weights{CrossZone: 6 * time.Millisecond, CrossRegion: 40 * time.Millisecond}

// pickNorth picks a replica for a request of a node in the region "north".
func pickNorth(t *testing.T, set *Set, affinity uint64) *Candidate {
	t.Helper()
	criteria := &Criteria{Zone: "n", Region: "north", Affinity: affinity, SharedTokens: 200, RequestInfo: RequestInfo{Tokens: 450}}
	best, err := Pick(set.SnapshotFor(testPool, criteria, time.Now()), criteria, testWeights)
	if err != nil {
		t.Fatal(err)
	}
	return best
}

func TestPick_PrefersOwnRegionUnlessWaitIsLonger(t *testing.T) {
	set, now := newTwoRegionSet(1, 1), time.Now()
	for range 3 {
		set.Begin("north-0", RequestInfo{}, now)
	}
	if best := pickNorth(t, set, 0); best.Region != "north" {
		t.Fatalf("picked %s although a slot in the own region is free", best.ID)
	}
	for range 9 {
		set.Begin("north-0", RequestInfo{}, now)
	}
	if best := pickNorth(t, set, 0); best.Region != "south" {
		t.Fatalf("picked %s although the wait there exceeds the cost of crossing regions", best.ID)
	}
}

// Each region has its own affinity replica for a prefix. A single one would be too far away for the
// other regions, whose requests would then process the prefix at any replica.
func TestPick_AffinityReplicaPerRegion(t *testing.T) {
	set, now := newTwoRegionSet(6, 60), time.Now()
	for affinity := range uint64(20) {
		want := affinityEntry(nearby(set.pool(testPool), "north"), affinity+1, now)
		for range 5 {
			if best := pickNorth(t, set, affinity+1); best.ID != want.info.ID {
				t.Fatalf("prefix %d: picked %s, want its affinity replica in the region, %s", affinity, best.ID, want.info.ID)
			}
		}
	}
}

// Settings without CrossRegion use CrossZone as the cost of crossing regions.
func TestPick_CrossZoneCostAppliesToRegions(t *testing.T) {
	set := newTwoRegionSet(1, 1)
	criteria := &Criteria{Zone: "n", Region: "north"}
	best, err := Pick(set.SnapshotFor(testPool, criteria, time.Now()), criteria, Weights{CrossZone: time.Millisecond})
	if err != nil || best.Region != "north" {
		t.Fatalf("Pick = %v, %v, want a replica in the north", best, err)
	}
}

// A node without slots in a pool samples random replicas of its own region and at most
// sampleOtherRegion of other regions.
func TestSnapshotFor_SamplesMostlyOwnRegion(t *testing.T) {
	set, now := newTwoRegionSet(30, 300), time.Now()
	set.Divide("elsewhere", nodesWithoutPlace("elsewhere"))
	for _, e := range set.pool(testPool) {
		e.share = 0
	}
	south := 0
	for range 50 {
		for _, candidate := range set.SnapshotFor(testPool, &Criteria{Zone: "n", Region: "north"}, now) {
			if candidate.Region == "south" {
				south++
			}
		}
	}
	if south == 0 || south > 50*sampleOtherRegion {
		t.Fatalf("%d replicas of the other region in 50 samples, want 1 to %d", south, 50*sampleOtherRegion)
	}
}

// Guards against a request that looks for a replica of another region and is shown none, as chance picked one of
// its own.
func TestSnapshotFor_LooksElsewhere(t *testing.T) {
	set, now := newTwoRegionSet(30, 1), time.Now()
	for range 50 {
		candidates := set.SnapshotFor(testPool, &Criteria{Zone: "n", Region: "north", OtherRegions: true}, now)
		if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Region == "south" }) {
			t.Fatalf("no replica of the other region among %d", len(candidates))
		}
	}
	for _, criteria := range []Criteria{{Region: "", OtherRegions: true}, {Region: "south", Regions: place.Regions{"south"}, OtherRegions: true}} {
		if len(set.SnapshotFor(testPool, &criteria, now)) == 0 {
			t.Errorf("no replica for %+v", criteria)
		}
	}
}
