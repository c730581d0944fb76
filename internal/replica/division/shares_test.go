package division

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

func testNodes(count int) []place.Node {
	var nodes []place.Node
	for i := range count {
		nodes = append(nodes, place.Node{ID: fmt.Sprintf("node-%02d", i)})
	}
	return nodes
}

func testReplicas(count, slots int) []Replica {
	var replicas []Replica
	for i := range count {
		replicas = append(replicas, Replica{Key: Key(fmt.Sprintf("replica-%d", i)), Count: slots})
	}
	return replicas
}

// The shares that all nodes compute allot each slot to exactly one node, and the numbers of slots
// per node differ by at most one.
func TestShares_EverySlotHasOneNode(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := testNodes(rapid.IntRange(1, 40).Draw(rt, "nodes"))
		replicas := testReplicas(rapid.IntRange(1, 30).Draw(rt, "replicas"), rapid.IntRange(1, 12).Draw(rt, "slots"))
		allotted := make([]int, len(replicas))
		least, most := 1<<30, 0
		for _, node := range nodes {
			total := 0
			for i, share := range Shares(node.ID, nodes, replicas) {
				allotted[i] += share
				total += share
			}
			least, most = min(least, total), max(most, total)
		}
		for i, r := range replicas {
			if allotted[i] != r.Count {
				rt.Fatalf("%d of %d slots of a replica are allotted", allotted[i], r.Count)
			}
		}
		if most-least > 1 {
			rt.Fatalf("nodes have %d to %d slots, want a difference of at most one", least, most)
		}
	})
}

func TestShares_UnknownNodeGetsAllSlots(t *testing.T) {
	for _, share := range Shares("new", testNodes(3), testReplicas(4, 8)) {
		if share != 8 {
			t.Fatalf("share = %d, want 8", share)
		}
	}
}

// BenchmarkShares measures the division of 600 replicas among 320 nodes, which each node repeats
// whenever a node or a replica joins or leaves.
func BenchmarkShares(b *testing.B) {
	nodes, replicas := testNodes(320), testReplicas(600, 8)
	for b.Loop() {
		Shares(nodes[7].ID, nodes, replicas)
	}
}
