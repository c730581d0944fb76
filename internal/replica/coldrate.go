package replica

import (
	"slices"
	"time"
)

const (
	// maxColdSenders is the most nodes that feed a cold replica: with one, a cold replica
	// would stand idle for as long as that node is gone unnoticed; with many, the first
	// request of each would leave little of the rate.
	maxColdSenders = 3
	// membershipViews is the number of choices of nodes that may be in force at once, in views
	// of the members that share none of the chosen ones: that of before a change, also
	// at nodes which are cut off, and that of after it.
	membershipViews = 2
	// minSenderRate is the least that is worth a node of its own, in requests a second.
	minSenderRate = 4
	// newSenderDelay is how long a node that has become a feeder by a change of the members
	// waits: the second that is judged, in which the feeder before it may have sent.
	newSenderDelay = time.Second
)

// ColdTolerance is how far beyond its rate a cold replica may get requests in any one
// second: rate x Over + Slack. A zero Over counts as 1.
type ColdTolerance struct {
	Over, Slack float64
}

// bound is the number of requests that a cold replica may get in any one second.
func (t ColdTolerance) bound(rate float64) float64 {
	if t.Over == 0 {
		return rate + t.Slack
	}
	return rate*t.Over + t.Slack
}

// parts returns how many nodes feed a cold replica and the rate of each. In any one
// second a node sends at most its rate and one request more.
func (t ColdTolerance) parts(rate float64) (nodes int, part float64) {
	bound := t.bound(rate)
	each := bound / membershipViews
	nodes = min(max(int(each/minSenderRate), 1), maxColdSenders)
	part = min(each/float64(nodes)-1, rate/float64(nodes))
	if part > 0 {
		return nodes, part
	}
	if bound < 1 {
		return 0, 0
	}
	// The bound is too small for two views: one request in somewhat over a second, which
	// holds while nodes agree.
	return 1, min(slowSenderRate, rate)
}

// slowSenderRate spaces requests by somewhat more than the second that is judged.
const slowSenderRate = 0.9

// isColdSender reports whether this node is one of those that feed an entry, which is cold. One
// that becomes so by a change of the members waits first. The caller holds mu.
func (s *Set) isColdSender(e *entry, now time.Time) bool {
	if e.cold.division == s.division {
		return e.cold.isSender
	}
	// A node that did not know the members takes nobody's place in its own view.
	replaces := !e.cold.isSender && len(e.cold.senders) > 0
	s.chooseSenders(e)
	if held := now.Add(newSenderDelay); replaces && e.cold.isSender && held.After(e.cold.nextSend) {
		e.cold.nextSend = held
	}
	return e.cold.isSender
}

// chooseSenders works out which nodes feed an entry: one of its zone, which reaches it when
// the zone is cut off, then those with the largest weights, which are there when its zone
// was lost and comes back. A node that is not
// among the nodes does not know them all, and feeds nothing. The caller holds mu.
func (s *Set) chooseSenders(e *entry) {
	count, _ := s.ColdTolerance.parts(s.coldLimits[e.info.Pool].Rate)
	nodes, self := s.senderNodes()
	var chosen []int
	if sameZone := highestWeight(nodes, e, func(i int) bool { return nodes[i].zone == e.info.Zone }); sameZone >= 0 && count > 0 {
		chosen = append(chosen, sameZone)
	}
	for len(chosen) < count {
		next := highestWeight(nodes, e, func(i int) bool { return !slices.Contains(chosen, i) })
		if next < 0 {
			break
		}
		chosen = append(chosen, next)
	}
	e.cold.senders, e.cold.isSender, e.cold.division = chosen, slices.Contains(chosen, self), s.division
}

// senderNode is a node that may feed replicas.
type senderNode struct {
	key  uint64
	zone string
	// notMember is set if it is among the nodes only because it is this one.
	notMember bool
}

// highestWeight returns the place of the node with the largest weight for an entry, of those that
// are eligible; -1 if there is none.
func highestWeight(nodes []senderNode, e *entry, eligible func(i int) bool) int {
	found, most := -1, uint64(0)
	for i := range nodes {
		if nodes[i].notMember {
			continue
		}
		if weight := mix(nodes[i].key ^ e.key); eligible(i) && (found < 0 || weight > most) {
			found, most = i, weight
		}
	}
	return found
}

// SetJoined tells whether this node is among the members that it knows, and not only there because
// it is this one. Until it is, it feeds nothing: those that started before it may be missing, too,
// and of nodes that start together each would be the only one of its zone in its own view.
func (s *Set) SetJoined(joined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.notJoined == !joined {
		return
	}
	s.notJoined = !joined
	s.division++
	s.notifyChanged()
}

// senderNodes returns the nodes that may feed replicas, and this node's place among them; -1
// if it is not there. They are worked out once for each division. The caller holds mu.
func (s *Set) senderNodes() (nodes []senderNode, self int) {
	if s.division == 0 {
		return nil, -1
	}
	if s.senderDivision == s.division {
		return s.senderList, s.senderSelf
	}
	s.senderList, s.senderSelf, s.senderDivision = s.senderList[:0], -1, s.division
	for i, node := range s.nodes {
		if node.ID == s.self {
			s.senderSelf = i
		}
		absent := s.notJoined && node.ID == s.self
		s.senderList = append(s.senderList, senderNode{key: Key(node.ID), zone: node.Zone, notMember: absent})
	}
	return s.senderList, s.senderSelf
}

// shareOf is the number of an entry's slots that are this node's: while it is cold, the
// nodes that feed it have them all. The caller holds mu.
func (s *Set) shareOf(e *entry, now time.Time) int {
	limit, cold := s.coldLimit(e, now)
	if !cold {
		return e.share
	}
	nodes, rate := s.ColdTolerance.parts(limit.Rate)
	if rate <= 0 || !s.isColdSender(e, now) {
		return 0
	}
	return (e.info.Slots + nodes - 1) / nodes
}
