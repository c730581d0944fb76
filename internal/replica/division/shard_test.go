package division

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// testFleet returns nodes and replicas in zones of one region, alternately.
func testFleet(nodeCount, replicaCount, zones int) ([]place.Node, []Replica) {
	at := func(i int) place.Place { return place.Place{Zone: fmt.Sprintf("z%d", i%zones), Region: "r"} }
	var nodes []place.Node
	for i := range nodeCount {
		nodes = append(nodes, place.Node{ID: fmt.Sprintf("node-%04d", i), Place: at(i)})
	}
	var replicas []Replica
	for i := range replicaCount {
		replicas = append(replicas, Replica{Key: Key(fmt.Sprintf("i-%d", i)), Count: 8, Place: at(i)})
	}
	return nodes, replicas
}

// shardReplicas returns the replicas that belong to a shard.
func shardReplicas(shard Shard, replicas []Replica) []Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(r Replica) bool { return !shard.Contains(r) })
}

// shards returns the different shards of a fleet.
func shards(nodes []place.Node) []Shard {
	var all []Shard
	for _, node := range nodes {
		known := slices.ContainsFunc(all, func(s Shard) bool { return slices.Contains(s.Nodes, node) })
		if !known {
			all = append(all, ShardOf(node.ID, nodes))
		}
	}
	return all
}

// pair identifies a node's slots at a replica.
type pair struct {
	node    string
	replica uint64
}

// fleetShares returns the number of slots of each pair of node and replica of a fleet.
func fleetShares(nodes []place.Node, replicas []Replica) map[pair]int {
	all := map[pair]int{}
	for _, shard := range shards(nodes) {
		own := shardReplicas(shard, replicas)
		for _, node := range shard.Nodes {
			for i, share := range Shares(node.ID, shard.Nodes, own) {
				if share > 0 {
					all[pair{node.ID, own[i].Key}] = share
				}
			}
		}
	}
	return all
}

// Guards against a node or replica that belongs to no shard, or to two: its slots would be unused, or
// used twice.
func TestShardOf_EveryNodeAndReplicaHasOneShard(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes, replicas := testFleet(rapid.IntRange(1, 1400).Draw(rt, "nodes"), rapid.IntRange(1, 2000).Draw(rt, "replicas"), rapid.IntRange(1, 7).Draw(rt, "zones"))
		// Some zones may have replicas and no nodes.
		for i := range replicas {
			if rapid.IntRange(0, 20).Draw(rt, "move") == 0 {
				replicas[i].Place.Zone = "empty"
			}
		}
		nodeCount, counts := 0, make([]int, len(replicas))
		for _, shard := range shards(nodes) {
			nodeCount += len(shard.Nodes)
			for i, r := range replicas {
				if shard.Contains(r) {
					counts[i]++
				}
			}
		}
		if nodeCount != len(nodes) {
			rt.Fatalf("%d nodes are in shards, want %d", nodeCount, len(nodes))
		}
		for i, count := range counts {
			if count != 1 {
				rt.Fatalf("replica %d is in %d shards, want 1", i, count)
			}
		}
	})
}

// Guards against shards in which a node has far more or fewer slots than in others.
func TestShardOf_SlotsPerNodeAreEven(t *testing.T) {
	for _, size := range []int{321, 985, 1970} {
		nodes, replicas := testFleet(size, 10*size, 5)
		for _, shard := range shards(nodes) {
			slots := 8 * float64(len(shardReplicas(shard, replicas))) / float64(len(shard.Nodes))
			if slots < 60 || slots > 105 {
				t.Errorf("%d nodes: %d nodes of a shard have %.1f slots each, want about 80", size, len(shard.Nodes), slots)
			}
		}
	}
}

// Guards against a division whose cost grows with nodes x replicas: with twice as many of both, a node
// computes no more weights.
func TestShares_WeightsDoNotGrowWithFleet(t *testing.T) {
	// As many as if each replica of a shard were ranked among all of the shard's nodes.
	const maxWeights = maxShardNodes * 10 * maxShardNodes
	for _, size := range []int{985, 1970, 3940} {
		nodes, replicas := testFleet(size, 10*size, 5)
		for _, shard := range shards(nodes)[:2] {
			_, weights := countedShares(shard.Nodes[0].ID, shard.Nodes, shardReplicas(shard, replicas))
			if weights > maxWeights {
				t.Errorf("%d nodes: %d weights computed, want at most %d", size, weights, maxWeights)
			}
		}
	}
}

// Guards against a change of one node or replica that reassigns slots of the whole fleet.
func TestShares_OneChangeMovesFewSlots(t *testing.T) {
	const maxMovedPercent, size = 6, 400
	nodes, replicas := testFleet(size, 5*size, 5)
	slots := 8 * len(replicas)
	before := fleetShares(nodes, replicas)
	moved := func(after map[pair]int) int {
		count := 0
		for of, share := range after {
			count += max(0, share-before[of])
		}
		return count
	}
	changes := map[string]map[pair]int{
		"replica gone": fleetShares(nodes, replicas[1:]),
		"node gone":    fleetShares(nodes[1:], replicas),
	}
	for change, after := range changes {
		count := moved(after)
		t.Logf("%s: %d of %d slots moved", change, count, slots)
		if count > slots*maxMovedPercent/100 {
			t.Errorf("%s: %d of %d slots moved, want at most %d%%", change, count, slots, maxMovedPercent)
		}
	}
}

// Nodes that hold opinions about the fleet's size on either side of a doubling of the shards still
// serve: each has slots, and most slots have an owner.
func TestShardOf_FleetGrowsAcrossDoubling(t *testing.T) {
	nodes, replicas := testFleet(1030, 10300, 5)
	smaller := nodes[:1020]
	if shardBits(len(nodes)) == shardBits(len(smaller)) {
		t.Fatal("the fleets have equally many shards")
	}
	for _, view := range [][]place.Node{nodes, smaller} {
		shard := ShardOf(nodes[5].ID, view)
		slots := total(Shares(nodes[5].ID, shard.Nodes, shardReplicas(shard, replicas)))
		if slots < 55 || slots > 110 {
			t.Errorf("with %d nodes this node has %d slots, want about 80", len(view), slots)
		}
	}
}
