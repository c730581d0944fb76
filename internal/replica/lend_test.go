package replica

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// placedNodes returns nodes of a region, in two zones by turns.
func placedNodes(region string, count int) []place.Node {
	var nodes []place.Node
	for i := range count {
		nodes = append(nodes, place.Node{ID: fmt.Sprintf("%s-%03d", region, i), Place: twoZones(region, i)})
	}
	return nodes
}

// placedReplicas returns replicas of a region, in two zones by turns.
func placedReplicas(region string, count, slots int) []ReplicaSlots {
	var replicas []ReplicaSlots
	for i := range count {
		replicas = append(replicas, ReplicaSlots{Key: Key(fmt.Sprintf("r-%s-%d", region, i)), Count: slots, Place: twoZones(region, i)})
	}
	return replicas
}

func twoZones(region string, i int) place.Place {
	return place.Place{Zone: fmt.Sprintf("%s-%c", region, 'a'+i%2), Region: region}
}

// sharesOf returns the shares of all nodes.
func sharesOf(nodes []place.Node, replicas []ReplicaSlots) map[string][]int {
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

// away counts a node's slots in other regions.
func away(node place.Node, replicas []ReplicaSlots, shares []int) int {
	sum := 0
	for i, one := range replicas {
		if one.Place.Region != node.Region {
			sum += shares[i]
		}
	}
	return sum
}

// TestShares_EachSlotIsOneNodesWhereverItIs divides among regions of any sizes, some
// without nodes or replicas: no slot is lost or counted twice, and no node is left with
// less than its least part of the mean.
func TestShares_EachSlotIsOneNodesWhereverItIs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var nodes []place.Node
		var replicas []ReplicaSlots
		for _, region := range []string{"", "north", "south", "west"} {
			nodes = append(nodes, placedNodes(region, rapid.IntRange(0, 12).Draw(rt, "nodes of "+region))...)
			replicas = append(replicas, placedReplicas(region, rapid.IntRange(0, 12).Draw(rt, "replicas of "+region), rapid.IntRange(1, 12).Draw(rt, "slots"))...)
		}
		if len(nodes) == 0 {
			rt.Skip("no nodes")
		}
		dealt, slots := make([]int, len(replicas)), 0
		for _, one := range replicas {
			slots += one.Count
		}
		least := slots * minRegionPercent / (percent * len(nodes))
		for id, shares := range sharesOf(nodes, replicas) {
			for i, share := range shares {
				dealt[i] += share
			}
			if has := total(shares); has < least-2 {
				rt.Fatalf("%s has %d slots, the least is %d", id, has, least)
			}
		}
		for i, one := range replicas {
			if dealt[i] != one.Count {
				rt.Fatalf("%d of %d slots of a replica are dealt", dealt[i], one.Count)
			}
		}
	})
}

func TestShares_RegionsAlikeKeepToTheirOwn(t *testing.T) {
	nodes := append(placedNodes("north", 15), placedNodes("south", 14)...)
	replicas := append(placedReplicas("north", 10, 8), placedReplicas("south", 10, 8)...)
	shares := sharesOf(nodes, replicas)
	for _, node := range nodes {
		if count := away(node, replicas, shares[node.ID]); count > 0 {
			t.Errorf("%s has %d slots in the other region", node.ID, count)
		}
	}
}

// TestShares_ZonesOfARegionAreLevel: crossing to the next zone costs little, so the
// nodes of a region have alike though one of its zones has most replicas.
func TestShares_ZonesOfARegionAreLevel(t *testing.T) {
	nodes := placedNodes("north", 10)
	replicas := placedReplicas("north", 20, 8)
	for i := range replicas {
		if i >= 4 {
			replicas[i].Place.Zone = "north-a"
		}
	}
	for id, shares := range sharesOf(nodes, replicas) {
		if has := total(shares); has < 15 || has > 17 {
			t.Errorf("%s has %d of 160 slots, one of 10 nodes", id, has)
		}
	}
}

// TestShares_ARegionWithoutReplicasHasSlotsElsewhere: items that its nodes are given
// would never run otherwise.
func TestShares_ARegionWithoutReplicasHasSlotsElsewhere(t *testing.T) {
	nodes := append(placedNodes("north", 10), placedNodes("south", 10)...)
	replicas := placedReplicas("north", 20, 8)
	for id, shares := range sharesOf(nodes, replicas) {
		if has := total(shares); has < 4 {
			t.Errorf("%s has %d slots; half the mean is 4", id, has)
		}
	}
}

func TestShares_SlotsOfARegionWithoutNodesGoToTheOthers(t *testing.T) {
	nodes := append(placedNodes("north", 4), placedNodes("south", 4)...)
	replicas := append(append(placedReplicas("north", 4, 8), placedReplicas("south", 4, 8)...), placedReplicas("west", 4, 8)...)
	for id, shares := range sharesOf(nodes, replicas) {
		if has := total(shares); has != 12 {
			t.Errorf("%s has %d of 96 slots, one of 8 nodes", id, has)
		}
	}
}

// TestShares_AChangeMovesFewSlots counts the slots that change their node, and the pairs
// of node and replica that are new, for each of them costs a connection.
func TestShares_AChangeMovesFewSlots(t *testing.T) {
	nodes, replicas := threeRegions(87, 60)
	poor := slices.DeleteFunc(slices.Clone(replicas), func(one ReplicaSlots) bool { return one.Place.Region == "south" })
	for _, one := range []struct {
		name          string
		before, after []ReplicaSlots
		gone, most    int
	}{
		{name: "a node goes", before: replicas, after: replicas, gone: 40, most: 40},
		{name: "a replica goes", before: replicas, after: replicas[1:], gone: -1, most: 60},
		{name: "a node goes, one region has no replicas", before: poor, after: poor, gone: 40, most: 60},
		{name: "a replica goes, one region has no replicas", before: poor, after: poor[1:], gone: -1, most: 80},
	} {
		left := slices.Clone(nodes)
		if one.gone >= 0 {
			left = slices.Delete(left, one.gone, one.gone+1)
		}
		// The first replica is the one that goes.
		after := sharesOf(left, one.after)
		if cut := len(one.before) - len(one.after); cut > 0 {
			for id := range after {
				after[id] = append(make([]int, cut), after[id]...)
			}
		}
		moved, pairs := moves(sharesOf(nodes, one.before), after)
		t.Logf("%s: %d slots move, %d pairs are new", one.name, moved, pairs)
		if moved > one.most {
			t.Errorf("%s: %d slots move, at most %d should", one.name, moved, one.most)
		}
	}
}

// threeRegions returns nodes and replicas of three regions with two zones each.
func threeRegions(nodes, replicas int) (all []place.Node, slots []ReplicaSlots) {
	for _, region := range []string{"east", "north", "south"} {
		all = append(all, placedNodes(region, nodes/3)...)
		slots = append(slots, placedReplicas(region, replicas/3, 8)...)
	}
	return all, slots
}

// moves counts the slots that nodes have gained, and the replicas where a node had none.
func moves(before, after map[string][]int) (slots, pairs int) {
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

// BenchmarkShares_Regions is BenchmarkShares with places: a third of the nodes in each
// of three regions.
func BenchmarkShares_Regions(b *testing.B) {
	nodes, replicas := threeRegions(318, 600)
	for b.Loop() {
		Shares(nodes[7].ID, nodes, replicas)
	}
}

// BenchmarkShares_Unequal is the same with replicas in one of the regions only.
func BenchmarkShares_Unequal(b *testing.B) {
	nodes, _ := threeRegions(318, 0)
	replicas := placedReplicas("north", 600, 8)
	for b.Loop() {
		Shares(nodes[7].ID, nodes, replicas)
	}
}
