package replica

import (
	"math"
	"time"
)

// Items run in their node's own slots. A node may have none, where there are fewer slots
// than nodes or online requests need nearly all of its part, while slots of other nodes
// stay free because these have nothing to run. Then an item borrows a slot: the replica
// itself sets a free one aside, so no two nodes count on the same, and nothing has to be
// agreed on or given back between nodes.

const (
	// BorrowAfter is how long an item finds no room before it borrows. Nodes without room
	// for the length of a pulse of requests, some 2.4 s on the users' deployments, get it
	// back by themselves; the users ask for items to be had by a replica within 5 s.
	BorrowAfter = 3 * time.Second
	// borrowWithOwnItems is the same at a node that runs items of the pool meanwhile. It is for
	// nodes that hear of no idle room: in another region, or told by words that are lost.
	borrowWithOwnItems = 15 * time.Second
	// StarvedAfter is how long an item finds no room before it borrows though online requests
	// are said to need all slots, and keeps the slot then: what they need is told as the
	// peaks of many nodes, which is more than they hold at any time, and some slots may stand
	// empty for good. The replica still decides, and a node has one such item at a time.
	StarvedAfter = 30 * time.Second
	// borrowReducedFrom is the part of a pool's slots that online requests need from which on
	// fewer and fewer of the nodes that run no item borrow. Below it the replicas are half
	// empty and all may.
	borrowReducedFrom = 0.5
	// maxBorrowUsage is the most that online requests count as needing: a replica has the last
	// word on whether a slot is free, so each node asks now and then.
	maxBorrowUsage = 0.9
	// borrowLimitPeriod is how long a node's limit stays the same. Then it is another, so that the
	// same nodes do not go without for good where online requests need most slots.
	borrowLimitPeriod = time.Second
	// goldenRatioFraction less one: its multiples, less their whole part, are spread evenly however
	// many there are, so a node's limit is above borrowUsage once in 13 turns at the least.
	goldenRatioFraction = 0.6180339887498949
)

// MayBorrow reports whether an item that has found no room among this node's own slots for
// some time may ask replicas of a pool for a slot of others: where the nodes of the region
// tell of more idle room than is borrowed; and, without such a word, one at a time where
// online requests do not need the slots.
func (s *Set) MayBorrow(pool string, waited time.Duration, now time.Time) bool {
	if waited < BorrowAfter {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.pool(pool)
	if view := s.fleet[pool]; view != nil && view.idleSlots(now) > 0 {
		return true
	}
	share, items := s.sumShares(list, now)
	usage := s.borrowingUsage(pool, share, now)
	switch {
	case countBorrowed(list) > 0:
		return false
	case waited >= StarvedAfter:
		return true
	case s.fullyUsed(pool, now):
		return false
	case items > 0:
		return waited >= borrowWithOwnItems && usage < borrowReducedFrom
	default:
		return usage < s.borrowLimit(pool, now)
	}
}

// borrowingUsage is the part of the slots that online requests need, as far as borrowing goes: as
// other nodes told; where none did, of this node's own, which says little of the others'.
// The caller holds mu.
func (s *Set) borrowingUsage(pool string, share int, now time.Time) float64 {
	usage := s.fleetUsage(pool, now)
	if share > 0 && !s.hasReports(pool, now) {
		usage = s.neededSlots(pool, share, now) / float64(share)
	}
	return min(usage, maxBorrowUsage)
}

// fullyUsed reports whether online requests need all slots of a pool by what other nodes told,
// so that borrowed ones are to be left. The caller holds mu.
func (s *Set) fullyUsed(pool string, now time.Time) bool {
	return s.hasReports(pool, now) && s.fleetUsage(pool, now) >= fullUsage
}

// hasReports reports whether other nodes told of a pool a moment ago. The caller holds mu.
func (s *Set) hasReports(pool string, now time.Time) bool {
	view := s.fleet[pool]
	return view != nil && now.Sub(view.reportedAt) <= fleetMaxAge
}

// borrowLimit is the part of the slots that online requests may need at most for this node
// to borrow, between borrowFrom and fullPool, evenly spread over nodes and turns. The caller
// holds mu.
func (s *Set) borrowLimit(pool string, now time.Time) float64 {
	periods := float64(now.UnixNano() / int64(borrowLimitPeriod) % (1 << 20))
	_, fraction := math.Modf(s.rounding(pool) + periods*goldenRatioFraction)
	return borrowReducedFrom + (fullUsage-borrowReducedFrom)*fraction
}

// addBorrowed counts an item that begins or leaves (-1) a slot of others.
func (e *entry) addBorrowed(req RequestInfo, count int) {
	if req.Batch && req.Borrowed {
		e.borrowed += count
		if req.Starved {
			e.starved += count
		}
	}
}

// countStarved counts those of these items that keep their slots. The caller holds the set's
// lock.
func countStarved(list []*entry) int {
	starved := 0
	for _, e := range list {
		starved += e.starved
	}
	return starved
}

// countBorrowed counts this node's items in slots of others. The caller holds the set's lock.
func countBorrowed(list []*entry) int {
	borrowed := 0
	for _, e := range list {
		borrowed += e.borrowed
	}
	return borrowed
}

// PickIdle returns the replica to be asked for a slot for an item: the least busy one, of
// other regions if away is set. What is believed of the requests of others leaves none out: a
// replica with few slots that refused once would be passed over for seconds.
func PickIdle(candidates []Candidate, demand *Criteria, weights Weights, otherRegions bool) (*Candidate, error) {
	if demand.Reserve > 0 {
		candidates = unreserved(candidates, demand.Reserve)
	}
	return PickUnqueued(candidates, demand, weights, otherRegions)
}

// RecordIdle takes in how many slots a node has for items that it does not use, less those that
// its items have borrowed.
func (s *Set) RecordIdle(pool string, idle float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view := s.fleet[pool]; view != nil && !math.IsNaN(idle) && !math.IsInf(idle, 0) {
		view.idle += idle
	}
}

// idleSlots is the number of idle slots, less those borrowed, among the nodes that told of
// late; 0 if nothing is known.
func (f *fleetView) idleSlots(now time.Time) float64 {
	if now.Sub(f.at) > fleetMaxAge {
		return 0
	}
	return f.idle
}
