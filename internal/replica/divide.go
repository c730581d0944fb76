package replica

import "slices"

// Divide divides the slots of all replicas among nodes, this one being self.
// All nodes that know the same nodes and replicas divide alike, so each keeps
// to its own slots without a word between them.
func (s *Set) Divide(self string, nodes []string) {
	nodes = slices.Sorted(slices.Values(nodes))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.self == self && slices.Equal(s.nodes, nodes) {
		return
	}
	s.self, s.nodes = self, nodes
	s.division++
	s.index()
}

// divide sets the share of each entry. Those in zones that operators empty have none
// to divide. The caller holds mu.
func (s *Set) divide() {
	for _, list := range s.byPool {
		replicas := make([]Slots, len(list))
		for i, known := range list {
			replicas[i] = Slots{Key: known.key, Count: known.info.Slots}
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
}

// Shares returns how many slots of each replica are self's. The slots of a replica
// go to the nodes that have the least so far, ties are broken by rendezvous hashing,
// so all nodes get alike and a node that comes or goes moves few slots. A node that
// is not among the nodes has all. It takes time in proportion to nodes x replicas.
func Shares(self string, nodes []string, replicas []Slots) []int {
	shares := make([]int, len(replicas))
	place := slices.Index(nodes, self)
	if place < 0 {
		for i, one := range replicas {
			shares[i] = one.Count
		}
		return shares
	}
	deal := newDealer(nodes)
	for i, one := range replicas {
		shares[i] = deal.replica(one, place)
	}
	return shares
}

// dealer deals the slots of one replica after the other.
type dealer struct {
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

func newDealer(nodes []string) *dealer {
	d := &dealer{keys: make([]uint64, len(nodes)), dealt: make([]int, len(nodes))}
	for i, node := range nodes {
		d.keys[i] = Key(node)
	}
	return d
}

// replica deals the slots of a replica and returns how many a node gets: each as
// many, and one more to those that come first.
func (d *dealer) replica(one Slots, node int) int {
	all, rest := one.Count/len(d.keys), one.Count%len(d.keys)
	d.choose(one.Key, rest)
	share := all
	for i := range d.dealt {
		d.dealt[i] += all
	}
	for _, chosen := range d.first {
		d.dealt[chosen.node]++
		if chosen.node == node {
			share++
		}
	}
	return share
}

// choose finds the nodes that come first for a replica, in order.
func (d *dealer) choose(replica uint64, count int) {
	d.first = d.first[:0]
	if count == 0 {
		return
	}
	for node, key := range d.keys {
		claim := bid{node: node, dealt: d.dealt[node], weight: mix(key ^ replica)}
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
