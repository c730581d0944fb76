package replica

import (
	"errors"
	"math"
	"time"
)

// Items normally run in slots of their own node. A node may have none left, if there are fewer slots
// than nodes or online requests need nearly all of its slots, while slots of other nodes are idle. An
// item may then borrow a slot: the replica itself reserves a free one, so no two nodes count on the
// same slot, and nodes need not agree on slots or return them to each other.

const (
	// BorrowAfter is how long an item must have waited before it borrows. A node that lacks
	// capacity only during a burst of requests, about 2.4 s, regains it without borrowing.
	// The value must leave time for an item to reach a replica within 5 s of its arrival.
	BorrowAfter = 3 * time.Second
	// borrowWithOwnItems is the same for a node that runs items of the pool. It applies without
	// reports of idle slots, as when the slots are in another region or the reports are lost.
	borrowWithOwnItems = 15 * time.Second
	// StarvedAfter is how long an item must have waited before it borrows although online requests
	// are reported to need all slots. The item is then exempt from preemption. The reported need
	// is a sum of peaks of many nodes, which exceeds the actual use at any time, so some slots
	// might stay idle forever. The replica still decides, and a node has one such item at a time.
	StarvedAfter = 30 * time.Second
	// borrowReducedFrom is the usage by online requests above which the number of nodes without
	// running items that may borrow decreases with the usage. Below it all of them may.
	borrowReducedFrom = 0.5
	// maxBorrowUsage caps the usage that is compared with a node's limit, so that each node asks a
	// replica now and then: the replica decides whether a slot is free.
	maxBorrowUsage = 0.9
	// borrowLimitPeriod is how long a node's limit stays the same. The limit changes so that no node
	// is excluded forever where online requests need most slots.
	borrowLimitPeriod = time.Second
	// goldenRatioFraction is the fractional part of the golden ratio. The fractional parts of its
	// multiples are evenly spread, so a node's limit exceeds maxBorrowUsage at least once in 13
	// periods.
	goldenRatioFraction = 0.6180339887498949
)

// Reasons why an item may not borrow a slot.
var (
	ErrTooEarly       = errors.New("the item has not waited long enough")
	ErrBorrowsAlready = errors.New("an item is in a borrowed slot, and no idle ones are reported")
	ErrFullyUsed      = errors.New("online requests are reported to need all slots")
	ErrRunsOthers     = errors.New("other items of this node run, and no idle slots are reported")
	ErrNotInTurn      = errors.New("online requests need most slots, and other nodes have their turn to borrow")
)

// MayBorrow returns whether and where an item that has waited for a slot of this node may ask the
// replicas of a pool for a slot of other nodes. It may if nodes report more idle slots than are borrowed;
// without such a report, one item at a time may if online requests do not need the slots. The error says
// why it may not.
func (s *Set) MayBorrow(pool string, waited time.Duration, now time.Time) (BorrowScope, error) {
	if waited < BorrowAfter {
		return AnyRegion, ErrTooEarly
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.active(pool)
	err := s.borrowRefusal(pool, list, waited, now)
	if err != nil && s.mayBorrowElsewhere(pool, list, now) {
		return OtherRegions, nil
	}
	return AnyRegion, err
}

// borrowRefusal returns why an item may not borrow a slot in any region; nil if it may. The caller holds
// mu.
func (s *Set) borrowRefusal(pool string, list []*entry, waited time.Duration, now time.Time) error {
	if view := s.fleet[pool]; view != nil && view.idleSlots(now) > 0 {
		return nil
	}
	share, items := s.sumShares(list, now)
	usage := s.borrowingUsage(pool, share, now)
	switch {
	case countBorrowed(list) > 0:
		return ErrBorrowsAlready
	case waited >= StarvedAfter:
		return nil
	case s.fullyUsed(pool, now):
		return ErrFullyUsed
	case items > 0 && (waited < borrowWithOwnItems || usage >= borrowReducedFrom):
		return ErrRunsOthers
	case items == 0 && usage >= s.borrowLimit(pool, now):
		return ErrNotInTurn
	default:
		return nil
	}
}

// borrowingUsage returns the usage by online requests that decides on borrowing, as reported by
// other nodes. Without reports it is the usage of this node's slots, which may differ much from that
// of the others. The caller holds mu.
func (s *Set) borrowingUsage(pool string, share int, now time.Time) float64 {
	usage := s.fleetUsage(pool, now)
	if share > 0 && !s.hasReports(pool, now) {
		usage = s.neededSlots(pool, share, now) / float64(share)
	}
	return min(usage, maxBorrowUsage)
}

// fullyUsed reports whether other nodes report that online requests need all slots of a pool, so that
// borrowed slots have to be released. The caller holds mu.
func (s *Set) fullyUsed(pool string, now time.Time) bool {
	return s.hasReports(pool, now) && s.fleetUsage(pool, now) >= fullUsage
}

// hasReports reports whether other nodes reported on a pool within fleetMaxAge. The caller holds mu.
func (s *Set) hasReports(pool string, now time.Time) bool {
	view := s.fleet[pool]
	return view != nil && now.Sub(view.reportedAt) <= fleetMaxAge
}

// borrowLimit returns the usage by online requests up to which this node may borrow. It lies between
// borrowReducedFrom and fullUsage, evenly spread over nodes and periods. The caller holds mu.
func (s *Set) borrowLimit(pool string, now time.Time) float64 {
	periods := float64(now.UnixNano() / int64(borrowLimitPeriod) % (1 << 20))
	_, fraction := math.Modf(s.rounding(pool) + periods*goldenRatioFraction)
	return borrowReducedFrom + (fullUsage-borrowReducedFrom)*fraction
}

// addBorrowed adjusts the counts for an item that starts (1) or leaves (-1) a borrowed slot.
func (e *entry) addBorrowed(req RequestInfo, count int) {
	if req.Batch && req.Borrowed {
		e.borrowed += count
		if req.Starved {
			e.starved += count
		}
	}
}

// countBorrowed returns the number of items in borrowed slots. The caller holds the set's lock.
func countBorrowed(list []*entry) int {
	borrowed := 0
	for _, e := range list {
		borrowed += e.borrowed
	}
	return borrowed
}

// PickIdle returns the replica to ask for a reservation for an item: the least busy one, of other
// regions if otherRegions is set. The estimated load of other nodes excludes none: a replica with few
// slots that refused once would otherwise be skipped for seconds.
func PickIdle(candidates []Candidate, criteria *Criteria, weights Weights, otherRegions bool) (*Candidate, error) {
	if criteria.Reserve > 0 {
		candidates = unreserved(candidates, criteria.Reserve)
	}
	return PickUnqueued(candidates, criteria, weights, otherRegions)
}

// RecordIdle records the number of slots that a node has for items and does not use, less those that
// its items have borrowed.
func (s *Set) RecordIdle(pool string, idle float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view := s.fleet[pool]; view != nil && !math.IsNaN(idle) && !math.IsInf(idle, 0) {
		view.idle += idle
	}
}

// idleSlots returns the number of idle slots, less the borrowed ones, among the nodes that reported
// within fleetMaxAge; 0 if unknown.
func (f *fleetView) idleSlots(now time.Time) float64 {
	if now.Sub(f.at) > fleetMaxAge {
		return 0
	}
	return f.idle
}
