package division

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// regionNodes returns nodes of a region, alternately in its two zones.
func regionNodes(region string, count int) []place.Node {
	var nodes []place.Node
	for i := range count {
		nodes = append(nodes, place.Node{ID: fmt.Sprintf("%s-%03d", region, i), Place: placeInRegion(region, i)})
	}
	return nodes
}

// regionReplicas returns replicas of a region, alternately in its two zones.
func regionReplicas(region string, count, slots int) []Replica {
	var replicas []Replica
	for i := range count {
		replicas = append(replicas, Replica{Key: Key(fmt.Sprintf("r-%s-%d", region, i)), Count: slots, Place: placeInRegion(region, i)})
	}
	return replicas
}

// placeInRegion returns the first zone of a region for even i, the second for odd i.
func placeInRegion(region string, i int) place.Place {
	return place.Place{Zone: fmt.Sprintf("%s-%c", region, 'a'+i%2), Region: region}
}

// allShares returns the shares of each node by its ID.
func allShares(nodes []place.Node, replicas []Replica) map[string][]int {
	all := map[string][]int{}
	for _, node := range nodes {
		all[node.ID] = Shares(node.ID, nodes, replicas)
	}
	return all
}

func total(shares []int) int {
	sum := 0
	for _, share := range shares {
		sum += share
	}
	return sum
}

// slotsOutsideRegion returns the number of a node's slots in other regions.
func slotsOutsideRegion(node place.Node, replicas []Replica, shares []int) int {
	sum := 0
	for i, r := range replicas {
		if r.Place.Region != node.Region {
			sum += shares[i]
		}
	}
	return sum
}

// With regions of any size, some without nodes or replicas, each slot is allotted to exactly one
// node, and no node gets less than minRegionPercent of the mean.
func TestShares_EverySlotHasOneNodeAcrossRegions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var nodes []place.Node
		var replicas []Replica
		for _, region := range []string{"", "north", "south", "west"} {
			nodes = append(nodes, regionNodes(region, rapid.IntRange(0, 12).Draw(rt, "nodes of "+region))...)
			replicas = append(replicas, regionReplicas(region, rapid.IntRange(0, 12).Draw(rt, "replicas of "+region), rapid.IntRange(1, 12).Draw(rt, "slots"))...)
		}
		if len(nodes) == 0 {
			rt.Skip("no nodes")
		}
		allotted, slots := make([]int, len(replicas)), 0
		for _, r := range replicas {
			slots += r.Count
		}
		minShare := slots * minRegionPercent / (percent * len(nodes))
		for id, shares := range allShares(nodes, replicas) {
			for i, share := range shares {
				allotted[i] += share
			}
			if got := total(shares); got < minShare-2 {
				rt.Fatalf("%s has %d slots, want at least %d", id, got, minShare)
			}
		}
		for i, r := range replicas {
			if allotted[i] != r.Count {
				rt.Fatalf("%d of %d slots of a replica are allotted", allotted[i], r.Count)
			}
		}
	})
}

func TestShares_EqualRegionsKeepTheirSlots(t *testing.T) {
	nodes := append(regionNodes("north", 15), regionNodes("south", 14)...)
	replicas := append(regionReplicas("north", 10, 8), regionReplicas("south", 10, 8)...)
	shares := allShares(nodes, replicas)
	for _, node := range nodes {
		if count := slotsOutsideRegion(node, replicas, shares[node.ID]); count > 0 {
			t.Errorf("%s has %d slots in the other region, want none", node.ID, count)
		}
	}
}

// Crossing zones costs little, so the nodes of a region have equal shares even if one of its zones
// has most of the replicas.
func TestShares_EvenAcrossZonesOfRegion(t *testing.T) {
	nodes := regionNodes("north", 10)
	replicas := regionReplicas("north", 20, 8)
	for i := range replicas {
		if i >= 4 {
			replicas[i].Place.Zone = "north-a"
		}
	}
	for id, shares := range allShares(nodes, replicas) {
		if got := total(shares); got < 15 || got > 17 {
			t.Errorf("%s, one of 10 nodes, has %d of 160 slots, want 15 to 17", id, got)
		}
	}
}

// Nodes of a region without replicas get slots of other regions. Otherwise their items would never
// run.
func TestShares_RegionWithoutReplicasGetsSlots(t *testing.T) {
	nodes := append(regionNodes("north", 10), regionNodes("south", 10)...)
	replicas := regionReplicas("north", 20, 8)
	for id, shares := range allShares(nodes, replicas) {
		if got := total(shares); got < 4 {
			t.Errorf("%s has %d slots, want at least 4, half the mean", id, got)
		}
	}
}

func TestShares_RegionWithoutNodesLendsAllSlots(t *testing.T) {
	nodes := append(regionNodes("north", 4), regionNodes("south", 4)...)
	replicas := append(append(regionReplicas("north", 4, 8), regionReplicas("south", 4, 8)...), regionReplicas("west", 4, 8)...)
	for id, shares := range allShares(nodes, replicas) {
		if got := total(shares); got != 12 {
			t.Errorf("%s, one of 8 nodes, has %d of 96 slots, want 12", id, got)
		}
	}
}

// A node or replica that leaves moves few slots to other nodes. Each new pair of node and replica
// costs a connection.
func TestShares_ChangeMovesFewSlots(t *testing.T) {
	nodes, replicas := threeRegions(87, 60)
	withoutSouth := slices.DeleteFunc(slices.Clone(replicas), func(r Replica) bool { return r.Place.Region == "south" })
	for _, tc := range []struct {
		name                  string
		before, after         []Replica
		removedNode, maxMoved int
	}{
		{name: "node leaves", before: replicas, after: replicas, removedNode: 40, maxMoved: 40},
		{name: "replica leaves", before: replicas, after: replicas[1:], removedNode: -1, maxMoved: 60},
		{name: "node leaves, region without replicas", before: withoutSouth, after: withoutSouth, removedNode: 40, maxMoved: 60},
		{name: "replica leaves, region without replicas", before: withoutSouth, after: withoutSouth[1:], removedNode: -1, maxMoved: 80},
	} {
		remaining := slices.Clone(nodes)
		if tc.removedNode >= 0 {
			remaining = slices.Delete(remaining, tc.removedNode, tc.removedNode+1)
		}
		// The replica that leaves is the first; its shares become 0.
		after := allShares(remaining, tc.after)
		if removedReplicas := len(tc.before) - len(tc.after); removedReplicas > 0 {
			for id := range after {
				after[id] = append(make([]int, removedReplicas), after[id]...)
			}
		}
		moved, pairs := countMoves(allShares(nodes, tc.before), after)
		t.Logf("%s: %d slots moved, %d new pairs", tc.name, moved, pairs)
		if moved > tc.maxMoved {
			t.Errorf("%s: %d slots moved, want at most %d", tc.name, moved, tc.maxMoved)
		}
	}
}

// threeRegions returns nodes and replicas of three regions with two zones each.
func threeRegions(nodes, replicas int) (all []place.Node, slots []Replica) {
	for _, region := range []string{"east", "north", "south"} {
		all = append(all, regionNodes(region, nodes/3)...)
		slots = append(slots, regionReplicas(region, replicas/3, 8)...)
	}
	return all, slots
}

// countMoves returns the number of slots that nodes gained, and of pairs of a node and a replica
// where it had no slots before.
func countMoves(before, after map[string][]int) (slots, pairs int) {
	for node, shares := range after {
		for i, share := range shares {
			had := before[node][i]
			slots += max(0, share-had)
			if had == 0 && share > 0 {
				pairs++
			}
		}
	}
	return slots, pairs
}

// BenchmarkShares_Regions is BenchmarkShares with a third of the nodes and replicas in each of
// three regions.
func BenchmarkShares_Regions(b *testing.B) {
	nodes, replicas := threeRegions(318, 600)
	for b.Loop() {
		Shares(nodes[7].ID, nodes, replicas)
	}
}

// BenchmarkShares_Unequal is BenchmarkShares_Regions with all replicas in one of the regions.
func BenchmarkShares_Unequal(b *testing.B) {
	nodes, _ := threeRegions(318, 0)
	replicas := regionReplicas("north", 600, 8)
	for b.Loop() {
		Shares(nodes[7].ID, nodes, replicas)
	}
}
