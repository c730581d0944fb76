package replica

import (
	"math/rand/v2"
	"time"
)

// Where all replicas of a pool are cold, nodes that feed none of them would have nothing
// to send their requests to. They ask a node that feeds one for a place; what it grants
// comes out of its own part of the rate, so the bound holds as before.

// ColdSender is a node that feeds a cold replica.
type ColdSender struct {
	Replica, Node string
	// StartedUnixMs is that of the replica's start, Zone where it stands.
	StartedUnixMs int64
	Zone          string
	// Presumed is set if nothing told this node that the replica is cold but the age of its
	// list.
	Presumed bool
}

// ColdSenders returns the nodes that feed the cold replicas which a request could go to, as
// far as this node knows the members.
func (s *Set) ColdSenders(pool string, criteria *Criteria, now time.Time) []ColdSender {
	s.mu.Lock()
	defer s.mu.Unlock()
	var senders []ColdSender
	for _, e := range s.allowed(s.pool(pool), criteria) {
		candidate := s.candidate(e, now)
		if e.info.Leaving || candidate.Ejected || candidate.hardExclusion(criteria) != Cold {
			continue
		}
		// That brings its feeders up to date.
		s.isColdSender(e, now)
		for _, i := range e.cold.senders {
			node := s.nodes[i].ID
			if node == s.self && candidate.Cold.Presumed {
				node = s.randomOtherNode()
			}
			if node != s.self {
				senders = append(senders, ColdSender{
					Replica: e.info.ID, Node: node, StartedUnixMs: e.info.StartedUnixMs, Zone: e.info.Zone, Presumed: candidate.Cold.Presumed,
				})
			}
		}
	}
	return senders
}

// randomOtherNode returns a random other node, or this one if there is none: where this node feeds
// a replica that it only presumes to be cold, any other may know better. The caller holds mu.
func (s *Set) randomOtherNode() string {
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
	e, ok := s.entries[id]
	if !ok || s.evacuated[e.info.Zone] {
		return false
	}
	view := s.coldView(e, now)
	if view.Left == 0 || view.Blocks(false) {
		// What the other node takes for cold and this one for warm has changed meanwhile;
		// one of them is yet to hear of it.
		return false
	}
	e.cold.nextSend = now.Add(interval(view.Rate))
	return true
}

// CandidateByID returns a replica as a choice sees it.
func (s *Set) CandidateByID(id string, now time.Time) (*Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return nil, false
	}
	candidate := s.candidate(e, now)
	return &candidate, true
}
