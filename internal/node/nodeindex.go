package node

import (
	"slices"
	"sync"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/streams"
)

// nodeIndex groups the other nodes by zone and region and caches the result until the nodes change.
// It is ready to use once roster is set, and safe for concurrent use.
type nodeIndex struct {
	roster *lease.Roster

	mu         sync.Mutex
	generation uint64
	ownPlace   place.Place
	// all are the other nodes, sameZone those in this node's zone, byRegion those of each region.
	all      []string
	sameZone []string
	byRegion map[string][]string
	// streamRanking ranks all nodes, including this one, as holders of stream origins.
	streamRanking *streams.Ranking
	// writers are the nodes that write the origins of streams to the table, by a hash of the stream; nil until they
	// are needed.
	writers []string
}

// nodesPerOriginWriter is the number of nodes for which one writes the origins of streams to the table. All writers
// share what the table takes, so each waits the longer between two writes the more of them there are.
const nodesPerOriginWriter = 32

// originWriter returns the node that writes the origin of a stream to the table.
func (n *nodeIndex) originWriter(id streams.ID) string {
	writers := n.originWriters()
	return writers[int(id[0])%len(writers)]
}

// originWriters returns the nodes that write origins, by a hash of the stream; at least one. The caller must not
// modify the slice.
func (n *nodeIndex) originWriters() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh()
	if n.writers == nil {
		n.writers = n.chooseWriters()
	}
	return n.writers
}

// chooseWriters chooses the nodes that write origins. A node that knows no members yet is its own writer. The caller
// holds mu.
func (n *nodeIndex) chooseWriters() []string {
	writers := make([]string, len(n.all)/nodesPerOriginWriter+1)
	for i := range writers {
		writers[i] = n.roster.Self()
		if holders := n.streamRanking.Holders(streams.ID{byte(i)}, 1); len(holders) > 0 {
			writers[i] = holders[0]
		}
	}
	return writers
}

// streamHolders returns the first count nodes, which may include this one, to hold the origin of a
// stream.
func (n *nodeIndex) streamHolders(id streams.ID, count int) []string {
	n.mu.Lock()
	n.refresh()
	ranking := n.streamRanking
	n.mu.Unlock()
	return ranking.Holders(id, count)
}

// inRegion returns the other nodes of a region. The caller must not modify the slice.
func (n *nodeIndex) inRegion(region string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh()
	return n.byRegion[region]
}

// otherRegions returns the regions of other nodes without this node's own; none if that is unknown.
func (n *nodeIndex) otherRegions() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh()
	var regions []string
	for region := range n.byRegion {
		if region != "" && n.ownPlace.Region != "" && region != n.ownPlace.Region {
			regions = append(regions, region)
		}
	}
	return regions
}

// inOwnZone returns the other nodes in this node's zone. The caller must not modify the slice.
func (n *nodeIndex) inOwnZone() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh()
	return n.sameZone
}

// others returns the other nodes of all regions. The caller must not modify the slice.
func (n *nodeIndex) others() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh()
	return n.all
}

// ownRegion returns this node's region.
func (n *nodeIndex) ownRegion() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh()
	return n.ownPlace.Region
}

// refresh rebuilds the index if the nodes have changed. The caller holds mu.
func (n *nodeIndex) refresh() {
	generation := n.roster.Generation()
	if n.byRegion != nil && n.generation == generation {
		return
	}
	n.generation = generation
	n.index(n.roster.Self(), n.roster.Places())
}

// index rebuilds the index from nodes. The caller holds mu.
func (n *nodeIndex) index(self string, nodes []place.Node) {
	n.ownPlace, n.all, n.sameZone, n.byRegion = place.Place{}, nil, nil, map[string][]string{}
	if i := slices.IndexFunc(nodes, func(node place.Node) bool { return node.ID == self }); i >= 0 {
		n.ownPlace = nodes[i].Place
	}
	n.streamRanking, n.writers = streams.NewRanking(nodes), nil
	for _, node := range nodes {
		if node.ID == self {
			continue
		}
		n.all = append(n.all, node.ID)
		n.byRegion[node.Region] = append(n.byRegion[node.Region], node.ID)
		if node.Place == n.ownPlace {
			n.sameZone = append(n.sameZone, node.ID)
		}
	}
}
