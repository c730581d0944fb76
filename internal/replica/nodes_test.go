package replica

import (
	"fmt"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// nodesWithoutPlace returns nodes of unknown zone and region.
func nodesWithoutPlace(ids ...string) []place.Node {
	var nodes []place.Node
	for _, id := range ids {
		nodes = append(nodes, place.Node{ID: id})
	}
	return nodes
}

func testNodes(count int) []place.Node {
	var nodes []place.Node
	for i := range count {
		nodes = append(nodes, place.Node{ID: fmt.Sprintf("node-%02d", i)})
	}
	return nodes
}
