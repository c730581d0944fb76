// Package division divides the slots of replicas among nodes. All functions are pure: nodes that know
// the same nodes and replicas compute the same division, whatever the order in which they learned of
// them, so each can keep to its own slots without coordination.
package division

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// Key returns the hash of a replica's or node's ID.
func Key(id string) uint64 { return xxhash.Sum64String(id) }

// Mix is the finalizer of SplitMix64. It spreads the bits of a hash.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Replica describes the slots of a replica.
type Replica struct {
	Key   uint64
	Count int
	Place place.Place
}

// Shares returns how many slots of each replica are allotted to self. Slots are allotted to nodes of
// their own zone, except for some that are lent to zones of the same region whose nodes have fewer
// slots than the mean, and to regions whose nodes have far fewer (see lendSlots). Among the eligible
// nodes, slots go to those with the fewest so far. Ties are broken by rendezvous hashing, so that few
// slots move when a node joins or leaves. If self is not among nodes, it gets all slots. The cost is
// proportional to nodes x replicas; see Shard.
func Shares(self string, nodes []place.Node, replicas []Replica) []int {
	shares, _ := countedShares(self, nodes, replicas)
	return shares
}

// countedShares implements Shares. It also returns the number of rendezvous weights that it computed.
func countedShares(self string, nodes []place.Node, replicas []Replica) (shares []int, weights int) {
	shares = make([]int, len(replicas))
	selfIndex := indexOf(nodes, self)
	if selfIndex < 0 {
		for i, r := range replicas {
			shares[i] = r.Count
		}
		return shares, 0
	}
	alloc := newAllocator(nodes, selfIndex)
	lentToAny := lendSlots(nodes, replicas, byRegion, minRegionPercent)
	regional := subtract(replicas, lentToAny)
	lentInRegion := make([]int, len(replicas))
	for region := range groups(regional, byRegion) {
		addLentInRegion(lentInRegion, region, nodes, regional)
	}
	alloc.allocateWithin(subtract(regional, lentInRegion), byZone, shares)
	alloc.allocateWithin(withCounts(replicas, lentInRegion), byRegion, shares)
	alloc.allocateWithin(withCounts(replicas, lentToAny), anywhere, shares)
	return shares, alloc.weights
}

// indexOf returns the index of the node with an ID; -1 if there is none.
func indexOf(nodes []place.Node, id string) int {
	return slices.IndexFunc(nodes, func(node place.Node) bool { return node.ID == id })
}

// addLentInRegion adds to lent the number of each replica's slots that zones of a region lend to other
// zones of the region.
func addLentInRegion(lent []int, region place.Place, nodes []place.Node, replicas []Replica) {
	var members []place.Node
	for _, node := range nodes {
		if byRegion(node.Place) == region {
			members = append(members, node)
		}
	}
	regional := make([]Replica, len(replicas))
	for i, r := range replicas {
		regional[i] = r
		if byRegion(r.Place) != region {
			regional[i].Count = 0
		}
	}
	for i, count := range lendSlots(members, regional, byZone, minZonePercent) {
		lent[i] += count
	}
}

// allocator allots the slots of one replica after the other and tracks how many each node has.
type allocator struct {
	nodes     []place.Node
	self      int
	keys      []uint64
	allocated []int
	ranked    []slotClaim
	// weights counts the rendezvous weights computed.
	weights int
}

// slotClaim holds what ranks a node for the next slot of a replica: the number of slots that it has so
// far, then its rendezvous weight.
type slotClaim struct {
	node, allocated int
	weight          uint64
}

// precedes reports whether c ranks before other.
func (c slotClaim) precedes(other slotClaim) bool {
	if c.allocated != other.allocated {
		return c.allocated < other.allocated
	}
	return c.weight > other.weight
}

func newAllocator(nodes []place.Node, self int) *allocator {
	a := &allocator{nodes: nodes, self: self, keys: make([]uint64, len(nodes)), allocated: make([]int, len(nodes))}
	for i, node := range nodes {
		a.keys[i] = Key(node.ID)
	}
	return a
}

// allocateWithin allots the slots of each replica to nodes of its group and adds those of self to
// shares.
func (a *allocator) allocateWithin(replicas []Replica, group grouping, shares []int) {
	members := map[place.Place][]int{}
	for i, node := range a.nodes {
		at := group(node.Place)
		members[at] = append(members[at], i)
	}
	for i, r := range replicas {
		shares[i] += a.allocateReplica(r, members[group(r.Place)])
	}
}

// allocateReplica allots the slots of a replica to the given nodes and returns the number that self
// gets. Each slot goes to the node with the fewest so far.
func (a *allocator) allocateReplica(r Replica, eligible []int) (share int) {
	for left := r.Count; left > 0 && len(eligible) > 0; {
		a.rank(r.Key, min(left, len(eligible)), eligible)
		least := a.ranked[0].allocated
		for _, chosen := range a.ranked {
			if chosen.allocated > least {
				// Ranked again, since nodes that just got a slot may still have fewer.
				break
			}
			a.allocated[chosen.node]++
			left--
			if chosen.node == a.self {
				share++
			}
		}
	}
	return share
}

// rank sets ranked to the claims of the count eligible nodes that come first for a replica, in order.
func (a *allocator) rank(replica uint64, count int, eligible []int) {
	a.ranked = a.ranked[:0]
	a.weights += len(eligible)
	for _, node := range eligible {
		claim := slotClaim{node: node, allocated: a.allocated[node], weight: Mix(a.keys[node] ^ replica)}
		if len(a.ranked) == count {
			if !claim.precedes(a.ranked[count-1]) {
				continue
			}
			a.ranked = a.ranked[:count-1]
		}
		pos, _ := slices.BinarySearchFunc(a.ranked, claim, func(x, y slotClaim) int {
			if x.precedes(y) {
				return -1
			}
			return 1
		})
		a.ranked = slices.Insert(a.ranked, pos, claim)
	}
}
