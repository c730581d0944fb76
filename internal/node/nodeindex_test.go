package node

import (
	"slices"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// TestNeighbours_AreSortedByPlace: nodes whose rows tell no place are a region of
// their own, and no node is its own neighbour.
func TestNeighbours_AreSortedByPlace(t *testing.T) {
	var near nodeIndex
	near.index("b", []place.Node{
		{ID: "a", Place: place.Place{Zone: "n-a", Region: "north"}},
		{ID: "b", Place: place.Place{Zone: "n-a", Region: "north"}},
		{ID: "c", Place: place.Place{Zone: "n-b", Region: "north"}},
		{ID: "d", Place: place.Place{Zone: "s-a", Region: "south"}},
		{ID: "e"},
	})
	if !slices.Equal(near.sameZone, []string{"a"}) {
		t.Errorf("in the zone are %v", near.sameZone)
	}
	for region, want := range map[string][]string{"north": {"a", "c"}, "south": {"d"}, "": {"e"}} {
		if got := near.byRegion[region]; !slices.Equal(got, want) {
			t.Errorf("in %q are %v, want %v", region, got, want)
		}
	}
}

// TestGateway_NeedsAreToldWhereTheyAreFelt: the own region is told all, another one only
// of the requests that are guests there.
func TestGateway_NeedsAreToldWhereTheyAreFelt(t *testing.T) {
	told := map[string][]demandReport{}
	addDemand(told, "north", replica.PoolDemand{Pool: "p", Level: 5, Share: 8, Away: map[string]int{"south": 2}})
	if own := told["north"]; len(own) != 1 || own[0].Level != 5 || own[0].Share != 8 {
		t.Errorf("the own region is told %v", own)
	}
	if other := told["south"]; len(other) != 1 || other[0].Level != 2 || other[0].Share != 0 {
		t.Errorf("the other region is told %v", other)
	}
}
