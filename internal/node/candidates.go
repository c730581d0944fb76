package node

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/membership"
)

// joinGrace is how long a listed node that has not been heard of counts as
// alive for the choice of stewards.
//
// A node that has just started knows few others. Without this it would take
// itself for the steward of all replicas; when 320 nodes start at once, that is
// hundreds of thousands of connections to the engines.
const joinGrace = 10 * time.Second

// candidateCache holds the last result of stewardCandidates.
type candidateCache struct {
	members []membership.Member
	listed  int
	merged  []membership.Member
	// changes counts the machine lists taken in.
	changes, of int
}

// stewardCandidates returns the members and, for a while after they are listed,
// the nodes on the machine list that have not been heard of. The same list is
// returned as long as nothing has changed.
func (n *Node) stewardCandidates() []membership.Member {
	members := n.agent.Members()
	state := &n.machineState
	state.mu.Lock()
	defer state.mu.Unlock()
	unheard := state.unheard(members, time.Now())
	cache := &state.candidates
	same := len(cache.members) == len(members) && len(members) > 0 && &cache.members[0] == &members[0]
	if same && cache.listed == len(unheard) && cache.of == cache.changes {
		return cache.merged
	}
	cache.members, cache.listed, cache.of = members, len(unheard), cache.changes
	cache.merged = append(append([]membership.Member(nil), members...), unheard...)
	return cache.merged
}

// unheard returns the listed nodes in their grace that are not members. The
// caller holds mu.
func (s *machineState) unheard(members []membership.Member, now time.Time) []membership.Member {
	if s.allHeardOf(now) {
		return nil
	}
	known := make(map[string]bool, len(members))
	for _, member := range members {
		known[member.ID] = true
	}
	var unheard []membership.Member
	for _, machine := range s.list {
		if machine.Role != machines.RoleNode || known[machine.ID] || now.Sub(s.firstListed[machine.ID]) > joinGrace {
			continue
		}
		unheard = append(unheard, membership.Member{
			ID: machine.ID, Zone: machine.Zone, Region: machine.Region, Address: machine.Address,
		})
	}
	return unheard
}

// allHeardOf reports whether every listed node's grace is over. The caller holds mu.
func (s *machineState) allHeardOf(now time.Time) bool { return now.Sub(s.lastListed) > joinGrace }
