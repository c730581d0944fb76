package replica

import (
	"math"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// The slots of another region may be idle while this node's own region has none left. Nodes report their
// idle slots to other regions too. These reports are rarer than those within a region, and say nothing of
// items of other regions in the slots: the replicas decide.

// BorrowScope is where an item may borrow a slot.
type BorrowScope int

const (
	// AnyRegion is this node's own region, and then the others.
	AnyRegion BorrowScope = iota
	// OtherRegions are the regions other than this node's own.
	OtherRegions
)

// idleElsewhereMemory is the time constant by which reports from other regions decay: a node of a region
// with as many nodes as another receives one from there each 100 ms.
const idleElsewhereMemory = time.Second

// idleElsewhere is the mean number of idle slots of the nodes in other regions that reported some, with
// exponential decay. The zero value is empty.
type idleElsewhere struct {
	sum, reports float64
	at           time.Time
}

func (i *idleElsewhere) add(idle float64, now time.Time) {
	decay := math.Exp(-float64(max(0, now.Sub(i.at))) / float64(idleElsewhereMemory))
	i.sum, i.reports, i.at = i.sum*decay+idle, i.reports*decay+1, now
}

// mean returns the mean of the reports; 0 if the last one is older than fleetMaxAge.
func (i *idleElsewhere) mean(now time.Time) float64 {
	if i == nil || i.reports == 0 || now.Sub(i.at) > fleetMaxAge {
		return 0
	}
	return i.sum / i.reports
}

// RecordIdleElsewhere records the number of idle slots that a node of another region reports.
func (s *Set) RecordIdleElsewhere(pool string, idle int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if idle <= 0 || len(s.pool(pool)) == 0 {
		return
	}
	reported := s.elsewhere[pool]
	if reported == nil {
		reported = &idleElsewhere{}
		s.elsewhere[pool] = reported
	}
	reported.add(float64(idle), now)
}

// mayBorrowElsewhere reports whether fewer items of this node are in slots of other regions than a node
// there reports idle. The caller holds mu.
func (s *Set) mayBorrowElsewhere(pool string, list []*entry, now time.Time) bool {
	borrowed := countBorrowed(list) - s.countBorrowedInRegion(list)
	return float64(borrowed) < s.elsewhere[pool].mean(now)
}

// isElsewhere reports whether a replica is in another region than this node. The caller holds mu.
func (s *Set) isElsewhere(e *entry) bool {
	return s.selfPlace.DistanceTo(e.info.place()) == place.OtherRegion
}

// countBorrowedInRegion returns the number of items in borrowed slots of this node's own region. The caller
// holds mu.
func (s *Set) countBorrowedInRegion(list []*entry) int {
	borrowed := 0
	for _, e := range list {
		if !s.isElsewhere(e) {
			borrowed += e.borrowed
		}
	}
	return borrowed
}

// countStarvedInRegion returns the number of these that are exempt from preemption. The caller holds mu.
func (s *Set) countStarvedInRegion(list []*entry) int {
	starved := 0
	for _, e := range list {
		if !s.isElsewhere(e) {
			starved += e.starved
		}
	}
	return starved
}
