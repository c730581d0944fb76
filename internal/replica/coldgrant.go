package replica

import (
	"math/rand/v2"
	"time"
)

// Where all replicas of a pool are cold, nodes that feed none of them would have nothing
// to send their requests to. They ask a node that feeds one for a place; what it grants
// comes out of its own part of the rate, so the bound holds as before.

// Feeder is a node that feeds a cold replica.
type Feeder struct {
	Replica, Node string
	// Born is that of the replica's start, Zone where it stands.
	Born int64
	Zone string
	// Presumed is set if nothing told this node that the replica is cold but the age of its
	// list.
	Presumed bool
}

// Feeders returns the nodes that feed the cold replicas which a request could go to, as
// far as this node knows the members.
func (s *Set) Feeders(pool string, demand *Demand, now time.Time) []Feeder {
	s.mu.Lock()
	defer s.mu.Unlock()
	var feeders []Feeder
	for _, known := range s.allowed(s.pool(pool), demand) {
		candidate := s.candidate(known, now)
		if known.info.Leaving || candidate.Ejected || candidate.excluded(demand) != Cold {
			continue
		}
		// That brings its feeders up to date.
		s.feeds(known, now)
		for _, place := range known.cold.feeders {
			node := s.nodes[place].ID
			if node == s.self && candidate.Cold.Presumed {
				node = s.another()
			}
			if node != s.self {
				feeders = append(feeders, Feeder{
					Replica: known.info.ID, Node: node, Born: known.info.Born, Zone: known.info.Zone, Presumed: candidate.Cold.Presumed,
				})
			}
		}
	}
	return feeders
}

// another returns a random other node, or this one if there is none: where this node feeds
// a replica that it only presumes to be cold, any other may know better. The caller holds mu.
func (s *Set) another() string {
	others := len(s.nodes) - 1
	if others < 1 {
		return s.self
	}
	if chosen := s.nodes[rand.IntN(others)].ID; chosen != s.self {
		return chosen
	}
	return s.nodes[others].ID
}

// GrantCold takes a place in this node's part of a cold replica's rate for another node.
// It reports whether there was one.
func (s *Set) GrantCold(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[id]
	if !ok || s.evacuated[known.info.Zone] {
		return false
	}
	view := s.coldView(known, now)
	if view.Left == 0 || view.Holds(false) {
		// What the other node takes for cold and this one for warm has changed meanwhile;
		// one of them is yet to hear of it.
		return false
	}
	known.cold.next = now.Add(interval(view.Rate))
	return true
}

// Listed returns a replica as a choice sees it.
func (s *Set) Listed(id string, now time.Time) (*Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[id]
	if !ok {
		return nil, false
	}
	candidate := s.candidate(known, now)
	return &candidate, true
}
