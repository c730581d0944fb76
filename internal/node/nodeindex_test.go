package node

import (
	"slices"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// TestNodeIndex_GroupsByPlace: nodes whose rows tell no place are a region of
// their own, and no node is its own neighbour.
func TestNodeIndex_GroupsByPlace(t *testing.T) {
	var nodes nodeIndex
	nodes.index("b", []place.Node{
		{ID: "a", Place: place.Place{Zone: "n-a", Region: "north"}},
		{ID: "b", Place: place.Place{Zone: "n-a", Region: "north"}},
		{ID: "c", Place: place.Place{Zone: "n-b", Region: "north"}},
		{ID: "d", Place: place.Place{Zone: "s-a", Region: "south"}},
		{ID: "e"},
	})
	if !slices.Equal(nodes.sameZone, []string{"a"}) {
		t.Errorf("in the zone are %v", nodes.sameZone)
	}
	for region, want := range map[string][]string{"north": {"a", "c"}, "south": {"d"}, "": {"e"}} {
		if got := nodes.byRegion[region]; !slices.Equal(got, want) {
			t.Errorf("in %q are %v, want %v", region, got, want)
		}
	}
}

// TestAddDemand_ReportsPerRegion: the own region is told all, another one only
// of the requests that are guests there.
func TestAddDemand_ReportsPerRegion(t *testing.T) {
	reports := map[string][]demandReport{}
	addDemand(reports, "north", replica.PoolDemand{Pool: "p", Level: 5, Share: 8, Away: map[string]int{"south": 2}})
	if own := reports["north"]; len(own) != 1 || own[0].Level != 5 || own[0].Share != 8 {
		t.Errorf("the own region is told %v", own)
	}
	if other := reports["south"]; len(other) != 1 || other[0].Level != 2 || other[0].Share != 0 {
		t.Errorf("the other region is told %v", other)
	}
}
