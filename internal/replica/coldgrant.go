package replica

import (
	"math/rand/v2"
	"time"
)

// If all replicas of a pool are cold, nodes that are not senders of any have no replica to use. They
// ask a sender for a grant, which uses up one send of the sender's own part of the rate, so the
// limit holds.

// ColdSender is a node that may send to a cold replica.
type ColdSender struct {
	Replica, Node string
	// StartedUnixMs identifies the start of the replica, Zone is its zone.
	StartedUnixMs int64
	Zone          string
	// Presumed is set if this node's only reason to consider it cold is that no current list shows that
	// it is warm, Ended if the only reason is that no replica of its pool accepted connections.
	Presumed, Ended bool
}

// ColdSenders returns the senders of the cold replicas that could serve a request, according to this
// node's view of the members. Ejected replicas are among them only if they count as cold for the end of
// their pool and there are no others: this node's failures then say nothing about which one is back.
func (s *Set) ColdSenders(pool string, criteria *Criteria, now time.Time) []ColdSender {
	s.mu.Lock()
	defer s.mu.Unlock()
	var senders, ofEjected []ColdSender
	for _, e := range s.allowed(s.pool(pool), criteria) {
		candidate := s.candidate(e, now)
		if e.info.Leaving || candidate.hardExclusion(criteria) != Cold || criteria.Trial && criteria.claims(&candidate) {
			continue
		}
		switch {
		case !candidate.Ejected:
			senders = s.appendSenders(senders, e, &candidate.Cold, now)
		case candidate.Cold.Ended:
			ofEjected = s.appendSenders(ofEjected, e, &candidate.Cold, now)
		}
	}
	if len(senders) == 0 {
		return ofEjected
	}
	return senders
}

// appendSenders appends the senders of an entry other than this node. The caller holds mu.
func (s *Set) appendSenders(senders []ColdSender, e *entry, view *ColdView, now time.Time) []ColdSender {
	// Called for its effect: it updates e.cold.senders.
	s.isColdSender(e, now)
	for _, i := range e.cold.senders {
		node := s.nodes[i].ID
		if node == s.self && (view.Presumed || view.Ended) {
			node = s.randomOtherNode()
		}
		if node != s.self {
			senders = append(senders, ColdSender{
				Replica: e.info.ID, Node: node, StartedUnixMs: e.info.StartedUnixMs, Zone: e.info.Zone, Presumed: view.Presumed, Ended: view.Ended,
			})
		}
	}
	return senders
}

// randomOtherNode returns a random other node, or this one if there is none. If this node is the
// sender of a replica that it only presumes to be cold, any other node may know that the replica is
// warm. The caller holds mu.
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

// GrantCold uses up one send of this node's part of a cold replica's rate for another node. It
// reports whether one was available.
func (s *Set) GrantCold(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok || s.evacuated[e.info.Zone] {
		return false
	}
	view := s.coldView(e, now)
	return s.grant(e, &view, now)
}

// grant uses up one send of this node's part of an entry's rate. It reports whether one was available.
// The caller holds mu.
func (s *Set) grant(e *entry, view *ColdView, now time.Time) bool {
	if view.Left == 0 || view.Blocks(false) {
		// Either this node's part of the rate is used up, or it considers the replica warm and the
		// asking node does not, until both have received the latest change.
		return false
	}
	e.own().cold.nextSend = now.Add(interval(view.Rate))
	return true
}

// CandidateByID returns the snapshot of a listed replica.
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
