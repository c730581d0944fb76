package division

import (
	"fmt"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// BenchmarkShares_300Nodes divides 3,000 replicas in six zones of three regions among 300 nodes.
func BenchmarkShares_300Nodes(b *testing.B) {
	at := func(i int) place.Place {
		return place.Place{Zone: fmt.Sprintf("z%d", i%6), Region: fmt.Sprintf("r%d", i%6/2)}
	}
	var nodes []place.Node
	for i := range 300 {
		nodes = append(nodes, place.Node{ID: fmt.Sprintf("node-%d", i), Place: at(i)})
	}
	var replicas []Replica
	for i := range 3000 {
		replicas = append(replicas, Replica{Key: Key(fmt.Sprintf("i-%d", i)), Count: 8, Place: at(i)})
	}
	for b.Loop() {
		Shares("node-7", nodes, replicas)
	}
}

// BenchmarkShares_Shard divides the slots of one shard of a large fleet, which a node repeats when a
// node or replica of its shard comes or goes.
func BenchmarkShares_Shard(b *testing.B) {
	for _, size := range []int{985, 1970} {
		nodes, replicas := testFleet(size, 10*size, 5)
		shard := ShardOf(nodes[7].ID, nodes)
		own := shardReplicas(shard, replicas)
		b.Run(fmt.Sprintf("%d nodes", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Shares(nodes[7].ID, shard.Nodes, own)
			}
		})
	}
}

// BenchmarkShares_Whole divides the slots of a large fleet as a whole, for comparison.
func BenchmarkShares_Whole(b *testing.B) {
	for _, size := range []int{985, 1970} {
		nodes, replicas := testFleet(size, 10*size, 5)
		b.Run(fmt.Sprintf("%d nodes", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Shares(nodes[7].ID, nodes, replicas)
			}
		})
	}
}
