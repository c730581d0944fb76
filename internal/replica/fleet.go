package replica

import (
	"math"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// A single node sees only a small part of a pool's demand: it has a few slots and, by chance, many or
// few of the callers. Nodes report to each other what their online requests need, so that a node with
// few callers keeps its items out of slots that other nodes need.

const (
	// fleetMemory is the time constant by which reports decay: a few reports at intervals of
	// 100 ms, much less than a burst of some seconds.
	fleetMemory = 200 * time.Millisecond
	// fleetMaxAge is the age beyond which reports of other nodes are ignored.
	fleetMaxAge = time.Second
)

// fleetView sums up the reports of all nodes on a pool, with exponential decay. The zero value is
// empty.
type fleetView struct {
	// level is the sum of the slots that online requests need, share that of the slots.
	level, share float64
	// idle is the sum of slots for items that are not used, less the borrowed ones.
	idle float64
	// at is the time up to which the sums have decayed.
	at time.Time
	// reportedAt is when another node last reported.
	reportedAt time.Time
}

func (f *fleetView) add(level, share float64, now time.Time) {
	decay := math.Exp(-float64(max(0, now.Sub(f.at))) / float64(fleetMemory))
	f.level = f.level*decay + level
	f.share = f.share*decay + share
	f.idle *= decay
	f.at = now
}

// usage returns the part of the slots that online requests need; 0 if unknown.
func (f *fleetView) usage(now time.Time) float64 {
	if f.share == 0 || now.Sub(f.at) > fleetMaxAge {
		return 0
	}
	return f.level / f.share
}

// RecordDemand records another node's report of the slots that its online requests need in a pool
// (level) and of its own slots there (share). A share of 0 stands for requests from another region,
// which add to the demand of this region's nodes.
func (s *Set) RecordDemand(pool string, level float64, share int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pool(pool)) == 0 || share < 0 || level < 0 || math.IsNaN(level) || math.IsInf(level, 0) {
		return
	}
	if share == 0 && s.fleet[pool] == nil {
		return
	}
	s.recordDemand(pool, level, share, now)
	s.fleet[pool].reportedAt = now
}

func (s *Set) recordDemand(pool string, level float64, share int, now time.Time) {
	view := s.fleet[pool]
	if view == nil {
		view = &fleetView{}
		s.fleet[pool] = view
	}
	view.add(level, float64(share), now)
}

// PoolDemand is what online requests of this node need of a pool, as reported to other nodes.
type PoolDemand struct {
	Pool string
	// Level is in slots. Share is the number of this node's slots.
	Level float64
	Share int
	// FleetUsage is the part of all slots that online requests of all nodes need, as reported.
	// Excess is the number of this node's items in slots that online requests need.
	FleetUsage float64
	Excess     int
	// Idle is the number of slots that this node has for items and does not use, less those that
	// its items have borrowed in its region. BorrowedExcess is the number of the latter to release.
	Idle           int
	BorrowedExcess int
	// OtherRegions is the number of online requests in flight in each other region.
	OtherRegions map[string]int
}

// UpdateDemand records this node's own demand and returns what it reports to others. It visits the
// active replicas.
func (s *Set) UpdateDemand(now time.Time) []PoolDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	s.updateIndex()
	if s.index.divisionStale {
		s.divide()
	}
	demands := make([]PoolDemand, 0, len(s.index.pools))
	s.deactivateUnused(now)
	for pool := range s.index.pools {
		list := s.active(pool)
		share, items := s.sumShares(list, now)
		level := s.estimatesFor(pool).level(now)
		if share > 0 {
			s.recordDemand(pool, level, share, now)
		}
		free := int(float64(share) - s.neededSlots(pool, share, now) + s.rounding(pool))
		demand := PoolDemand{
			Pool: pool, Level: level, Share: share, FleetUsage: s.fleetUsage(pool, now), Excess: min(items, items-free),
			OtherRegions: s.openByRegion(list), Idle: max(0, free-items) - s.countBorrowedInRegion(list),
		}
		if s.fullyUsed(pool, now) {
			demand.BorrowedExcess = s.countBorrowedInRegion(list) - s.countStarvedInRegion(list)
		}
		if view := s.fleet[pool]; view != nil {
			view.idle += float64(demand.Idle)
		}
		demands = append(demands, demand)
	}
	return demands
}

// openByRegion returns the number of this node's online requests in each other region; nil if there
// are none. The caller holds mu.
func (s *Set) openByRegion(list []*entry) map[string]int {
	var open map[string]int
	for _, e := range list {
		online := e.open - e.batch
		if online <= 0 || s.selfPlace.DistanceTo(e.info.place()) != place.OtherRegion {
			continue
		}
		if open == nil {
			open = map[string]int{}
		}
		open[e.info.Region] += online
	}
	return open
}

// neededSlots returns the number of this node's slots that online requests need: its share of what all
// nodes need, since requests that find no free slot of their node use slots of any. Without reports
// it is what this node's own requests need. The caller holds mu.
func (s *Set) neededSlots(pool string, share int, now time.Time) float64 {
	if usage := s.fleetUsage(pool, now); usage > 0 {
		return usage * float64(share)
	}
	return s.estimatesFor(pool).level(now)
}

// fleetUsage returns the part of a pool's slots that online requests of all nodes need; 0 if unknown.
// The caller holds mu.
func (s *Set) fleetUsage(pool string, now time.Time) float64 {
	if view := s.fleet[pool]; view != nil {
		return view.usage(now)
	}
	return 0
}
