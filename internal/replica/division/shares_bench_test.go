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
