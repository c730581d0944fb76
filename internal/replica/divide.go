package replica

import (
	"cmp"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica/division"
)

// Divide divides the slots of all replicas among nodes, of which self is this one. Nodes that know the
// same nodes and replicas compute the same division, so each can keep to its own slots without
// coordination.
func (s *Set) Divide(self string, nodes []place.Node) {
	nodes = slices.SortedFunc(slices.Values(nodes), func(a, b place.Node) int { return cmp.Compare(a.ID, b.ID) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.self == self && slices.Equal(s.nodes, nodes) {
		return
	}
	s.self, s.nodes, s.selfPlace = self, nodes, place.Place{}
	if i := slices.IndexFunc(nodes, func(node place.Node) bool { return node.ID == self }); i >= 0 {
		s.selfPlace = nodes[i].Place
	}
	s.generation++
	s.invalidateIndex()
}

// divide sets the share of each entry. Replicas in evacuated zones have no slots to divide. The caller
// holds mu.
func (s *Set) divide() {
	for _, list := range s.byPool {
		replicas := make([]division.Replica, len(list))
		for i, e := range list {
			replicas[i] = division.Replica{Key: e.key, Count: e.info.Slots, Place: e.info.place()}
			if s.evacuated[e.info.Zone] {
				replicas[i].Count = 0
			}
		}
		shares := division.Shares(s.self, s.nodes, replicas)
		for i, e := range list {
			e.share = shares[i]
		}
	}
}
