package node

import (
	"slices"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// TestNodeIndex_GroupsByPlace checks that nodes without a place form a region of their own, and
// that a node is not in its own index.
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
		t.Errorf("nodes of the zone are %v", nodes.sameZone)
	}
	for region, want := range map[string][]string{"north": {"a", "c"}, "south": {"d"}, "": {"e"}} {
		if got := nodes.byRegion[region]; !slices.Equal(got, want) {
			t.Errorf("nodes of region %q are %v, want %v", region, got, want)
		}
	}
}

// TestAddDemand_ReportsPerRegion checks that a node's own region gets its whole demand, and another
// region only the requests that run there as guests.
func TestAddDemand_ReportsPerRegion(t *testing.T) {
	reports := map[string][]demandReport{}
	addDemand(reports, "north", replica.PoolDemand{Pool: "p", Level: 5, Share: 8, OtherRegions: map[string]int{"south": 2}})
	if own := reports["north"]; len(own) != 1 || own[0].Level != 5 || own[0].Share != 8 {
		t.Errorf("reports for the own region are %v", own)
	}
	addIdle(reports, []string{"south", "west"}, replica.PoolDemand{Pool: "p", Idle: 3})
	if idle := reports["west"]; len(idle) != 1 || idle[0].IdleElsewhere != 3 || idle[0].hasDemand() {
		t.Errorf("reports for a region without requests are %v, want 3 idle slots alone", idle)
	}
	if other := reports["south"]; len(other) != 1 || other[0].IdleElsewhere != 3 {
		t.Errorf("reports for the region with guests are %v, want one with 3 idle slots", other)
	}
	addIdle(reports, []string{"east"}, replica.PoolDemand{Pool: "p", Idle: -1})
	if len(reports["east"]) > 0 {
		t.Errorf("reports without an idle slot are %v", reports["east"])
	}
	if other := reports["south"]; len(other) != 1 || other[0].Level != 2 || other[0].Share != 0 {
		t.Errorf("reports for the other region are %v", other)
	}
}
