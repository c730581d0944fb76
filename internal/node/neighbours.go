package node

import (
	"sync"

	"github.com/wheelhoist/wheelhoist/internal/lease"
)

// neighbours are the other nodes by region, remembered until the nodes change. The zero
// value with a roster is ready to use. It is safe for concurrent use.
type neighbours struct {
	roster *lease.Roster

	mu         sync.Mutex
	generation uint64
	// own is this node's region, byRegion the other nodes of each.
	own      string
	byRegion map[string][]string
}

// of returns the other nodes of a region, which must not be changed.
func (n *neighbours) of(region string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh()
	return n.byRegion[region]
}

// region returns this node's own.
func (n *neighbours) region() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh()
	return n.own
}

// refresh takes in a change of the nodes. The caller holds mu.
func (n *neighbours) refresh() {
	generation := n.roster.Generation()
	if n.byRegion != nil && n.generation == generation {
		return
	}
	n.generation, n.byRegion = generation, map[string][]string{}
	self := n.roster.Self()
	for _, node := range n.roster.Places() {
		if node.ID == self {
			n.own = node.Region
			continue
		}
		n.byRegion[node.Region] = append(n.byRegion[node.Region], node.ID)
	}
}
