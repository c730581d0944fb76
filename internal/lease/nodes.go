package lease

import (
	"slices"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// Nodes returns the distinct nodes of the live sessions, sorted.
func (r *Roster) Nodes() []string { return slices.Clone(r.nodesShared()) }

// Self returns the ID of this node.
func (r *Roster) Self() string { return Node(r.session.ID()) }

// Places returns the nodes of the live sessions with their locations. The location is zero if a
// node's member row was written by an earlier version of the program.
func (r *Roster) Places() []place.Node {
	nodes := r.nodesShared()
	places := make([]place.Node, 0, len(nodes))
	for _, node := range nodes {
		member := r.Member(node)
		places = append(places, place.Node{ID: node, Place: place.Place{Zone: member.Zone, Region: member.Region}})
	}
	return places
}

// Count returns the number of nodes with live sessions.
func (r *Roster) Count() int { return len(r.nodesShared()) }

// nodesShared returns the nodes of the live sessions. The slice is shared and must not be modified.
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

// Joined reports whether this node's own member row has been received. All rows that were written
// before it have then been received too.
func (r *Roster) Joined() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, joined := r.memberVersions[r.session.ID()]
	return joined
}
