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
	s.self, s.nodes, s.here = self, nodes, place.Place{}
	if at := indexOf(nodes, self); at >= 0 {
		s.here = nodes[at].Place
	}
	s.division++
	s.index()
}

// divide sets the share of each entry. Those in zones that operators empty have none
// to divide. The caller holds mu.
func (s *Set) divide() {
	for _, list := range s.byPool {
		replicas := make([]Slots, len(list))
		for i, known := range list {
			replicas[i] = Slots{Key: known.key, Count: known.info.Slots, Place: known.info.place()}
			if s.evacuated[known.info.Zone] {
				replicas[i].Count = 0
			}
		}
		shares := Shares(s.self, s.nodes, replicas)
		for i, known := range list {
			known.share = shares[i]
		}
	}
}

// Slots are the slots of a replica.
type Slots struct {
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
func Shares(self string, nodes []place.Node, replicas []Slots) []int {
	shares := make([]int, len(replicas))
	at := indexOf(nodes, self)
	if at < 0 {
		for i, one := range replicas {
			shares[i] = one.Count
		}
		return shares
	}
	deal := newDealer(nodes, at)
	toAll := lend(nodes, replicas, byRegion, leastOfRegion)
	native := less(replicas, toAll)
	toRegion := make([]int, len(replicas))
	for region := range groups(native, byRegion) {
		addWithin(toRegion, region, nodes, native)
	}
	deal.level(less(native, toRegion), byZone, shares)
	deal.level(withCounts(replicas, toRegion), byRegion, shares)
	deal.level(withCounts(replicas, toAll), anywhere, shares)
	return shares
}

// indexOf returns the place of a node among others; -1 if it is not there.
func indexOf(nodes []place.Node, id string) int {
	return slices.IndexFunc(nodes, func(one place.Node) bool { return one.ID == id })
}

// addWithin adds the slots that zones of a region lend within it.
func addWithin(lent []int, region place.Place, nodes []place.Node, replicas []Slots) {
	var own []place.Node
	for _, node := range nodes {
		if byRegion(node.Place) == region {
			own = append(own, node)
		}
	}
	within := make([]Slots, len(replicas))
	for i, one := range replicas {
		within[i] = one
		if byRegion(one.Place) != region {
			within[i].Count = 0
		}
	}
	for i, count := range lend(own, within, byZone, leastOfZone) {
		lent[i] += count
	}
}

// dealer deals the slots of one replica after the other.
type dealer struct {
	nodes []place.Node
	self  int
	keys  []uint64
	dealt []int
	first []bid
}

// bid is a node's claim to a slot of a replica.
type bid struct {
	node, dealt int
	weight      uint64
}

func (b bid) before(other bid) bool {
	if b.dealt != other.dealt {
		return b.dealt < other.dealt
	}
	return b.weight > other.weight
}

func newDealer(nodes []place.Node, self int) *dealer {
	d := &dealer{nodes: nodes, self: self, keys: make([]uint64, len(nodes)), dealt: make([]int, len(nodes))}
	for i, node := range nodes {
		d.keys[i] = Key(node.ID)
	}
	return d
}

// level deals slots among the nodes of their own group and adds self's to its shares.
func (d *dealer) level(replicas []Slots, group grouping, shares []int) {
	members := map[place.Place][]int{}
	for i, node := range d.nodes {
		at := group(node.Place)
		members[at] = append(members[at], i)
	}
	for i, one := range replicas {
		shares[i] += d.replica(one, members[group(one.Place)])
	}
}

// replica deals the slots of a replica among some nodes and returns how many are
// self's. One after the other goes to the node that has the least.
func (d *dealer) replica(one Slots, among []int) (share int) {
	for left := one.Count; left > 0 && len(among) > 0; {
		d.choose(one.Key, min(left, len(among)), among)
		least := d.first[0].dealt
		for _, chosen := range d.first {
			if chosen.dealt > least {
				// Those that have less come first again.
				break
			}
			d.dealt[chosen.node]++
			left--
			if chosen.node == d.self {
				share++
			}
		}
	}
	return share
}

// choose finds the nodes that come first for a replica, in order.
func (d *dealer) choose(replica uint64, count int, among []int) {
	d.first = d.first[:0]
	for _, node := range among {
		claim := bid{node: node, dealt: d.dealt[node], weight: mix(d.keys[node] ^ replica)}
		if len(d.first) == count {
			if !claim.before(d.first[count-1]) {
				continue
			}
			d.first = d.first[:count-1]
		}
		at, _ := slices.BinarySearchFunc(d.first, claim, func(a, b bid) int {
			if a.before(b) {
				return -1
			}
			return 1
		})
		d.first = slices.Insert(d.first, at, claim)
	}
}
