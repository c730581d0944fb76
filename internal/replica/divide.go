package replica

import (
	"cmp"
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica/division"
)

// Divide divides the slots of all replicas among nodes, of which self is this one. In a large fleet
// this node computes the division of its shard only.
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
	s.shard = division.ShardOf(self, nodes)
	s.index.setShard(s.shard)
	s.generation++
	s.notifyChanged()
}

// DivideInBackground makes only UpdateDemand compute the division, so that no request waits for it,
// unless this node has no slots yet. Until then, replicas that were added have no slots of this node.
func (s *Set) DivideInBackground() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divideInBackground = true
}

// divide sets the share of each entry. The caller holds mu.
func (s *Set) divide() {
	s.index.divisionStale = false
	s.divisions++
	s.ownSlots = 0
	for _, p := range s.index.pools {
		replicas := make([]division.Replica, len(p.shard))
		for i, e := range p.shard {
			replicas[i] = e.slots()
		}
		shares := division.Shares(s.self, s.shard.Nodes, replicas)
		for i, e := range p.shard {
			e.share = shares[i]
			s.ownSlots += e.share
			if e.share > 0 {
				s.index.activate(e)
			}
		}
	}
	s.index.merge()
}

// Divisions returns how often this node has computed the division.
func (s *Set) Divisions() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.divisions
}

// slots returns the entry's slots for the division. Replicas in evacuated zones have none to divide.
func (e *entry) slots() division.Replica {
	replica := division.Replica{Key: e.key, Count: e.info.Slots, Place: e.info.place()}
	if e.evacuated {
		replica.Count = 0
	}
	return replica
}
