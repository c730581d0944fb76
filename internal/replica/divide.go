package replica

import (
	"cmp"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// Divide divides the slots of all replicas among nodes, this one being self.
// All nodes that know the same nodes and replicas divide alike, so each keeps
// to its own slots without a word between them.
func (s *Set) Divide(self string, nodes []place.Node) {
	nodes = slices.SortedFunc(slices.Values(nodes), func(a, b place.Node) int { return cmp.Compare(a.ID, b.ID) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.self == self && slices.Equal(s.nodes, nodes) {
		return
	}
	s.self, s.nodes, s.selfPlace = self, nodes, place.Place{}
	if at := indexOf(nodes, self); at >= 0 {
		s.selfPlace = nodes[at].Place
	}
	s.division++
	s.invalidateIndex()
}

// divide sets the share of each entry. Those in zones that operators empty have none
// to divide. The caller holds mu.
func (s *Set) divide() {
	for _, list := range s.byPool {
		replicas := make([]ReplicaSlots, len(list))
		for i, e := range list {
			replicas[i] = ReplicaSlots{Key: e.key, Count: e.info.Slots, Place: e.info.place()}
			if s.evacuated[e.info.Zone] {
				replicas[i].Count = 0
			}
		}
		shares := Shares(s.self, s.nodes, replicas)
		for i, e := range list {
			e.share = shares[i]
		}
	}
}

// ReplicaSlots are the slots of a replica.
type ReplicaSlots struct {
	Key   uint64
	Count int
	Place place.Place
}

// Shares returns how many slots of each replica are self's. Slots go to the nodes of
// their zone; where these have less than their part of the region's, to others of the
// region; where those of a region have much less than others, to others at all (see
// lend). Among nodes, the slots of a replica go to those that have the least so far and
// ties are broken by rendezvous hashing, so a node that comes or goes moves few. A node
// that is not among the nodes has all. It takes time in proportion to nodes x replicas.
func Shares(self string, nodes []place.Node, replicas []ReplicaSlots) []int {
	shares := make([]int, len(replicas))
	at := indexOf(nodes, self)
	if at < 0 {
		for i, one := range replicas {
			shares[i] = one.Count
		}
		return shares
	}
	alloc := newAllocator(nodes, at)
	toAny := lendSlots(nodes, replicas, byRegion, minRegionPercent)
	native := subtract(replicas, toAny)
	toRegion := make([]int, len(replicas))
	for region := range groups(native, byRegion) {
		addWithin(toRegion, region, nodes, native)
	}
	alloc.allocateWithin(subtract(native, toRegion), byZone, shares)
	alloc.allocateWithin(withCounts(replicas, toRegion), byRegion, shares)
	alloc.allocateWithin(withCounts(replicas, toAny), anywhere, shares)
	return shares
}

// indexOf returns the place of a node among others; -1 if it is not there.
func indexOf(nodes []place.Node, id string) int {
	return slices.IndexFunc(nodes, func(one place.Node) bool { return one.ID == id })
}

// addWithin adds the slots that zones of a region lend within it.
func addWithin(lent []int, region place.Place, nodes []place.Node, replicas []ReplicaSlots) {
	var own []place.Node
	for _, node := range nodes {
		if byRegion(node.Place) == region {
			own = append(own, node)
		}
	}
	within := make([]ReplicaSlots, len(replicas))
	for i, one := range replicas {
		within[i] = one
		if byRegion(one.Place) != region {
			within[i].Count = 0
		}
	}
	for i, count := range lendSlots(own, within, byZone, minZonePercent) {
		lent[i] += count
	}
}

// allocator deals the slots of one replica after the other.
type allocator struct {
	nodes     []place.Node
	self      int
	keys      []uint64
	allocated []int
	ranked    []slotClaim
}

// slotClaim is a node's claim to a slot of a replica.
type slotClaim struct {
	node, allocated int
	weight          uint64
}

func (b slotClaim) precedes(other slotClaim) bool {
	if b.allocated != other.allocated {
		return b.allocated < other.allocated
	}
	return b.weight > other.weight
}

func newAllocator(nodes []place.Node, self int) *allocator {
	d := &allocator{nodes: nodes, self: self, keys: make([]uint64, len(nodes)), allocated: make([]int, len(nodes))}
	for i, node := range nodes {
		d.keys[i] = Key(node.ID)
	}
	return d
}

// allocateWithin deals slots among the nodes of their own group and adds self's to its shares.
func (d *allocator) allocateWithin(replicas []ReplicaSlots, group grouping, shares []int) {
	members := map[place.Place][]int{}
	for i, node := range d.nodes {
		at := group(node.Place)
		members[at] = append(members[at], i)
	}
	for i, one := range replicas {
		shares[i] += d.allocateReplica(one, members[group(one.Place)])
	}
}

// allocateReplica deals the slots of a allocateReplica among some nodes and returns how many are
// self's. One after the other goes to the node that has the least.
func (d *allocator) allocateReplica(one ReplicaSlots, among []int) (share int) {
	for left := one.Count; left > 0 && len(among) > 0; {
		d.rank(one.Key, min(left, len(among)), among)
		least := d.ranked[0].allocated
		for _, chosen := range d.ranked {
			if chosen.allocated > least {
				// Those that have less come first again.
				break
			}
			d.allocated[chosen.node]++
			left--
			if chosen.node == d.self {
				share++
			}
		}
	}
	return share
}

// rank finds the nodes that come first for a replica, in order.
func (d *allocator) rank(replica uint64, count int, among []int) {
	d.ranked = d.ranked[:0]
	for _, node := range among {
		claim := slotClaim{node: node, allocated: d.allocated[node], weight: mix(d.keys[node] ^ replica)}
		if len(d.ranked) == count {
			if !claim.precedes(d.ranked[count-1]) {
				continue
			}
			d.ranked = d.ranked[:count-1]
		}
		at, _ := slices.BinarySearchFunc(d.ranked, claim, func(a, b slotClaim) int {
			if a.precedes(b) {
				return -1
			}
			return 1
		})
		d.ranked = slices.Insert(d.ranked, at, claim)
	}
}
