package replica

import (
	"slices"
	"time"
)

const (
	// coldFeeders is the most nodes that feed a cold replica: with one, a cold replica
	// would stand idle for as long as that node is gone unnoticed; with many, the first
	// request of each would leave little of the rate.
	coldFeeders = 3
	// coldViews is the number of choices of nodes that may be in force at once, in views
	// of the members that share none of the chosen ones: that of before a change, also
	// at nodes which are cut off, and that of after it.
	coldViews = 2
	// leastPart is the least that is worth a node of its own, in requests a second.
	leastPart = 4
	// feedHold is how long a node that has become a feeder by a change of the members
	// waits: the second that is judged, in which the feeder before it may have sent.
	feedHold = time.Second
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
	each := bound / coldViews
	nodes = min(max(int(each/leastPart), 1), coldFeeders)
	part = min(each/float64(nodes)-1, rate/float64(nodes))
	if part > 0 {
		return nodes, part
	}
	if bound < 1 {
		return 0, 0
	}
	// The bound is too small for two views: one request in somewhat over a second, which
	// holds while nodes agree.
	return 1, min(slowestPart, rate)
}

// slowestPart spaces requests by somewhat more than the second that is judged.
const slowestPart = 0.9

// feeds reports whether this node is one of those that feed an entry, which is cold. One
// that becomes so by a change of the members waits first. The caller holds mu.
func (s *Set) feeds(e *entry, now time.Time) bool {
	if e.cold.division == s.division {
		return e.cold.feeds
	}
	// A node that did not know the members takes nobody's place in its own view.
	others := !e.cold.feeds && len(e.cold.feeders) > 0
	s.chooseFeeders(e)
	if held := now.Add(feedHold); others && e.cold.feeds && held.After(e.cold.next) {
		e.cold.next = held
	}
	return e.cold.feeds
}

// chooseFeeders works out which nodes feed an entry: one of its zone, which reaches it when
// the zone is cut off, then those with the largest weights, which are there when its zone
// was lost and comes back. A node that is not
// among the nodes does not know them all, and feeds nothing. The caller holds mu.
func (s *Set) chooseFeeders(e *entry) {
	places, _ := s.ColdTolerance.parts(s.coldLimits[e.info.Pool].Rate)
	nodes, self := s.feedNodes()
	var chosen []int
	if near := best(nodes, e, func(i int) bool { return nodes[i].zone == e.info.Zone }); near >= 0 && places > 0 {
		chosen = append(chosen, near)
	}
	for len(chosen) < places {
		next := best(nodes, e, func(i int) bool { return !slices.Contains(chosen, i) })
		if next < 0 {
			break
		}
		chosen = append(chosen, next)
	}
	e.cold.feeders, e.cold.feeds, e.cold.division = chosen, slices.Contains(chosen, self), s.division
}

// feedNode is a node that may feed replicas.
type feedNode struct {
	key  uint64
	zone string
	// absent is set if it is among the nodes only because it is this one.
	absent bool
}

// best returns the place of the node with the largest weight for an entry, of those that
// are eligible; -1 if there is none.
func best(nodes []feedNode, e *entry, eligible func(i int) bool) int {
	found, most := -1, uint64(0)
	for i := range nodes {
		if nodes[i].absent {
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
	s.wake()
}

// feedNodes returns the nodes that may feed replicas, and this node's place among them; -1
// if it is not there. They are worked out once for each division. The caller holds mu.
func (s *Set) feedNodes() (nodes []feedNode, self int) {
	if s.division == 0 {
		return nil, -1
	}
	if s.feedDivision == s.division {
		return s.feedList, s.feedSelf
	}
	s.feedList, s.feedSelf, s.feedDivision = s.feedList[:0], -1, s.division
	for i, node := range s.nodes {
		if node.ID == s.self {
			s.feedSelf = i
		}
		absent := s.notJoined && node.ID == s.self
		s.feedList = append(s.feedList, feedNode{key: Key(node.ID), zone: node.Zone, absent: absent})
	}
	return s.feedList, s.feedSelf
}

// shareOf is the number of an entry's slots that are this node's: while it is cold, the
// nodes that feed it have them all. The caller holds mu.
func (s *Set) shareOf(e *entry, now time.Time) int {
	limit, cold := s.coldLimit(e, now)
	if !cold {
		return e.share
	}
	nodes, rate := s.ColdTolerance.parts(limit.Rate)
	if rate <= 0 || !s.feeds(e, now) {
		return 0
	}
	return (e.info.Slots + nodes - 1) / nodes
}
