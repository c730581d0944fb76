package node

import (
	"slices"
	"sync"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/place"
)

// neighbours are the other nodes by where they are, remembered until the nodes change.
// The zero value with a roster is ready to use. It is safe for concurrent use.
type neighbours struct {
	roster *lease.Roster

	mu         sync.Mutex
	generation uint64
	here       place.Place
	// all are the others, sameZone those in this node's zone, byRegion those of each region.
	all      []string
	sameZone []string
	byRegion map[string][]string
}

// of returns the other nodes of a region, which must not be changed.
func (n *neighbours) of(region string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh()
	return n.byRegion[region]
}

// zone returns the other nodes of this node's zone, which must not be changed.
func (n *neighbours) zone() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh()
	return n.sameZone
}

// others returns the other nodes of all regions, which must not be changed.
func (n *neighbours) others() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh()
	return n.all
}

// region returns this node's own.
func (n *neighbours) region() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh()
	return n.here.Region
}

// refresh takes in a change of the nodes. The caller holds mu.
func (n *neighbours) refresh() {
	generation := n.roster.Generation()
	if n.byRegion != nil && n.generation == generation {
		return
	}
	n.generation = generation
	n.sort(n.roster.Self(), n.roster.Places())
}

// sort takes in the nodes. The caller holds mu.
func (n *neighbours) sort(self string, nodes []place.Node) {
	n.here, n.all, n.sameZone, n.byRegion = place.Place{}, nil, nil, map[string][]string{}
	if at := slices.IndexFunc(nodes, func(one place.Node) bool { return one.ID == self }); at >= 0 {
		n.here = nodes[at].Place
	}
	for _, one := range nodes {
		if one.ID == self {
			continue
		}
		n.all = append(n.all, one.ID)
		n.byRegion[one.Region] = append(n.byRegion[one.Region], one.ID)
		if one.Place == n.here {
			n.sameZone = append(n.sameZone, one.ID)
		}
	}
}
