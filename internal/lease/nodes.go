package lease

import (
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// Nodes returns the nodes of the live sessions, each once.
func (r *Roster) Nodes() []string { return slices.Clone(r.nodesShared()) }

// Self returns this node.
func (r *Roster) Self() string { return Node(r.session.ID()) }

// Places returns the nodes of the live sessions with where they are, as far as they
// told: the place of those whose member row is of an earlier version is zero.
func (r *Roster) Places() []place.Node {
	nodes := r.nodesShared()
	places := make([]place.Node, 0, len(nodes))
	for _, node := range nodes {
		member := r.Member(node)
		places = append(places, place.Node{ID: node, Place: place.Place{Zone: member.Zone, Region: member.Region}})
	}
	return places
}

// Count returns the number of nodes of the live sessions.
func (r *Roster) Count() int { return len(r.nodesShared()) }

// nodesShared returns the nodes of the live sessions, which must not be changed.
func (r *Roster) nodesShared() []string {
	r.mu.Lock()
	sorted, generation := r.sortedNodes, r.generation
	r.mu.Unlock()
	if sorted != nil {
		return sorted
	}
	sorted = nodesOf(r.Live())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.generation == generation {
		r.sortedNodes = sorted
	}
	return sorted
}

// Joined reports whether this node's own session is among the members that are known, so that
// those are which came before it.
func (r *Roster) Joined() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, joined := r.memberVersions[r.session.ID()]
	return joined
}
