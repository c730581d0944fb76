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
	s.index()
}

// divide sets the share of each entry. The caller holds mu.
func (s *Set) divide() {
	for _, list := range s.byPool {
		replicas := make([]Slots, len(list))
		for i, known := range list {
			replicas[i] = Slots{Key: known.key, Count: known.info.Slots}
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

// Shares returns how many slots of each replica are self's. Each slot goes to
// the node that has the least so far, ties are broken by rendezvous hashing, so
// all nodes get alike and a node that comes or goes moves few slots. A node that
// is not among the nodes, or alone, has all.
func Shares(self string, nodes []string, replicas []Slots) []int {
	shares := make([]int, len(replicas))
	place := slices.Index(nodes, self)
	if place < 0 {
		for i, one := range replicas {
			shares[i] = one.Count
		}
		return shares
	}
	keys := make([]uint64, len(nodes))
	for i, node := range nodes {
		keys[i] = Key(node)
	}
	dealt := make([]int, len(nodes))
	weights := make([]uint64, len(nodes))
	for i, one := range replicas {
		for n, key := range keys {
			weights[n] = mix(key ^ one.Key)
		}
		taken := make([]int, len(nodes))
		for range one.Count {
			best := 0
			for n := range nodes {
				if less(dealt[n], taken[n], weights[n], dealt[best], taken[best], weights[best]) {
					best = n
				}
			}
			dealt[best]++
			taken[best]++
		}
		shares[i] = taken[place]
	}
	return shares
}

func less(dealtA, takenA int, weightA uint64, dealtB, takenB int, weightB uint64) bool {
	if dealtA != dealtB {
		return dealtA < dealtB
	}
	if takenA != takenB {
		return takenA < takenB
	}
	return weightA > weightB
}
