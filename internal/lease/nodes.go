package lease

import (
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// Nodes returns the nodes of the live sessions, each once.
func (r *Roster) Nodes() []string { return slices.Clone(r.nodesNow()) }

// Self returns this node.
func (r *Roster) Self() string { return Node(r.session.ID()) }

// Places returns the nodes of the live sessions with where they are, as far as they
// told: the place of those whose member row is of an earlier version is zero.
func (r *Roster) Places() []place.Node {
	nodes := r.nodesNow()
	placed := make([]place.Node, 0, len(nodes))
	for _, node := range nodes {
		told := r.Member(node)
		placed = append(placed, place.Node{ID: node, Place: place.Place{Zone: told.Zone, Region: told.Region}})
	}
	return placed
}

// Count returns the number of nodes of the live sessions.
func (r *Roster) Count() int { return len(r.nodesNow()) }

// nodesNow returns the nodes of the live sessions, which must not be changed.
func (r *Roster) nodesNow() []string {
	r.mu.Lock()
	sorted, generation := r.sorted, r.generation
	r.mu.Unlock()
	if sorted != nil {
		return sorted
	}
	sorted = nodesOf(r.Live())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.generation == generation {
		r.sorted = sorted
	}
	return sorted
}

// Joined reports whether this node's own session is among the members that are known, so that
// those are which came before it.
func (r *Roster) Joined() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, joined := r.members[r.session.ID()]
	return joined
}
