package replica

import (
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica/division"
)

const (
	// maxColdSenders is the maximum number of senders of a cold replica. With a single sender, the
	// replica would be idle until other nodes notice that the sender is gone; with many, their
	// first requests alone would use up most of the rate.
	maxColdSenders = 3
	// membershipViews is the number of disjoint sets of senders that may be active at once, due to
	// different views of the members: the set before a change, which nodes that are cut off still
	// use, and the set after it.
	membershipViews = 2
	// minSenderRate is the minimum rate per sender, in requests per second, to add a sender.
	minSenderRate = 4
	// newSenderDelay is how long a node that becomes a sender by a change of the members waits before
	// its first send. It equals the period over which requests are limited, since the previous
	// sender may have used up its rate just before the change.
	newSenderDelay = time.Second
)

// ColdTolerance bounds the requests that a cold replica may get in any one second, at
// rate x Over + Slack. A zero Over counts as 1.
type ColdTolerance struct {
	Over, Slack float64
}

// bound returns the maximum number of requests to a cold replica in any one second.
func (t ColdTolerance) bound(rate float64) float64 {
	if t.Over == 0 {
		return rate + t.Slack
	}
	return rate*t.Over + t.Slack
}

// split returns the number of senders of a cold replica and the rate of each. In any one second a
// sender sends at most its rate plus one request.
func (t ColdTolerance) split(rate float64) (senders int, part float64) {
	bound := t.bound(rate)
	each := bound / membershipViews
	senders = min(max(int(each/minSenderRate), 1), maxColdSenders)
	part = min(each/float64(senders)-1, rate/float64(senders))
	if part > 0 {
		return senders, part
	}
	if bound < 1 {
		return 0, 0
	}
	// The bound is too small for two disjoint sets of senders. One request in slightly more than
	// a second keeps to the bound while the nodes have the same view of the members.
	return 1, min(slowSenderRate, rate)
}

// slowSenderRate, in requests per second, spaces requests by slightly more than the one-second period
// over which they are limited.
const slowSenderRate = 0.9

// isColdSender reports whether this node is a sender of an entry, which is cold. A node that becomes
// a sender by a change of the members first waits newSenderDelay. The caller holds mu.
func (s *Set) isColdSender(e *entry, now time.Time) bool {
	if e.cold.generation == s.generation {
		return e.cold.isSender
	}
	// If this node's previous view had no members, there is no previous sender to wait for.
	replaces := !e.cold.isSender && len(e.cold.senders) > 0
	s.chooseSenders(e)
	if earliest := now.Add(newSenderDelay); replaces && e.cold.isSender && earliest.After(e.cold.nextSend) {
		e.own().cold.nextSend = earliest
	}
	return e.cold.isSender
}

// chooseSenders chooses the senders of an entry: one of its zone, which can reach it when the zone is
// cut off, then those with the highest weights, which usually remain available when the zone fails
// and recovers. A node that is not among the members may not know all of them and is not chosen. The
// caller holds mu.
func (s *Set) chooseSenders(e *entry) {
	count, _ := s.ColdTolerance.split(s.coldLimits[e.info.Pool].Rate)
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
	e.own()
	e.cold.senders, e.cold.isSender, e.cold.generation = chosen, slices.Contains(chosen, self), s.generation
}

// senderNode is a node that may become a sender.
type senderNode struct {
	key  uint64
	zone string
	// notMember is set for this node while it is not among the members that it knows.
	notMember bool
}

// highestWeight returns the index of the eligible node with the highest rendezvous weight for an
// entry; -1 if there is none.
func highestWeight(nodes []senderNode, e *entry, eligible func(i int) bool) int {
	best, bestWeight := -1, uint64(0)
	for i := range nodes {
		if nodes[i].notMember {
			continue
		}
		if weight := division.Mix(nodes[i].key ^ e.key); eligible(i) && (best < 0 || weight > bestWeight) {
			best, bestWeight = i, weight
		}
	}
	return best
}

// SetJoined sets whether this node is among the members that it knows. Until it is, it sends to no
// cold replica: it may not know the nodes that started earlier, and each of several nodes that start
// together would consider itself the only one of its zone.
func (s *Set) SetJoined(joined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.notJoined == !joined {
		return
	}
	s.notJoined = !joined
	s.generation++
	s.notifyChanged()
}

// senderNodes returns the nodes that may become senders and this node's index among them, or -1. The
// result is cached until the generation changes. The caller holds mu.
func (s *Set) senderNodes() (nodes []senderNode, self int) {
	if s.generation == 0 {
		return nil, -1
	}
	if s.senderGeneration == s.generation {
		return s.senderList, s.senderSelf
	}
	s.senderList, s.senderSelf, s.senderGeneration = s.senderList[:0], -1, s.generation
	for i, node := range s.nodes {
		if node.ID == s.self {
			s.senderSelf = i
		}
		absent := s.notJoined && node.ID == s.self
		s.senderList = append(s.senderList, senderNode{key: Key(node.ID), zone: node.Zone, notMember: absent})
	}
	return s.senderList, s.senderSelf
}

// shareOf returns the number of an entry's slots that are allotted to this node. While the entry is
// cold, its senders share all of them. The caller holds mu.
func (s *Set) shareOf(e *entry, now time.Time) int {
	limit, cold := s.coldLimit(e, now)
	if !cold {
		return e.share
	}
	senders, rate := s.ColdTolerance.split(limit.Rate)
	if rate <= 0 || !s.isColdSender(e, now) {
		return 0
	}
	return (e.info.Slots + senders - 1) / senders
}
