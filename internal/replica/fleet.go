package replica

import (
	"math"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

// What a node sees of a pool's demand by itself is little: it has a few slots, and by
// chance many or few of the callers. Nodes tell each other what online requests need,
// so that those with few callers keep items out of slots that others want.

const (
	// fleetMemory is how far back what was told counts: a few words of 100 ms each, far
	// less than a pulse of some seconds.
	fleetMemory = 200 * time.Millisecond
	// fleetMaxAge is the age from which on nothing is known of the others.
	fleetMaxAge = time.Second
)

// fleetView sums up what nodes have told of a pool, fading. The zero value knows
// nothing.
type fleetView struct {
	level, share float64
	// idle sums up the slots for items that are not used, less those borrowed.
	idle float64
	at   time.Time
	// reportedAt is when another node last told.
	reportedAt time.Time
}

func (f *fleetView) add(level, share float64, now time.Time) {
	kept := math.Exp(-float64(max(0, now.Sub(f.at))) / float64(fleetMemory))
	f.level = f.level*kept + level
	f.share = f.share*kept + share
	f.idle *= kept
	f.at = now
}

// usage is the part of the slots that online requests need; 0 if nothing is known.
func (f *fleetView) usage(now time.Time) float64 {
	if f.share == 0 || now.Sub(f.at) > fleetMaxAge {
		return 0
	}
	return f.level / f.share
}

// RecordDemand takes in what online requests of a node need of a pool, beside its slots there.
// Without slots they are guests of this node's region, which add to what its own nodes
// told.
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

// PoolDemand is what online requests of this node need of a pool.
type PoolDemand struct {
	Pool string
	// Level is in slots, Share the number of this node's.
	Level float64
	Share int
	// FleetUsage is the part of all slots that online requests of all nodes need as far as
	// they told, Excess the number of this node's items that hold such slots.
	FleetUsage float64
	Excess     int
	// Idle is the number of slots that this node has for items and does not use, less those
	// that its items have borrowed; BorrowedExcess is how many of these are to be left.
	Idle           int
	BorrowedExcess int
	// Away counts the online requests under way in other regions, by region.
	Away map[string]int
}

// UpdateDemand takes in what this node needs itself, and returns what it is to tell others. It
// looks at each replica once.
func (s *Set) UpdateDemand(now time.Time) []PoolDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	if s.indexStale {
		s.rebuild()
	}
	demands := make([]PoolDemand, 0, len(s.byPool))
	for pool, list := range s.byPool {
		share, items := s.sumShares(list, now)
		level := s.estimatesFor(pool).level(now)
		if share > 0 {
			s.recordDemand(pool, level, share, now)
		}
		free := int(float64(share) - s.neededSlots(pool, share, now) + s.rounding(pool))
		demand := PoolDemand{
			Pool: pool, Level: level, Share: share, FleetUsage: s.fleetUsage(pool, now), Excess: min(items, items-free),
			Away: s.openByRegion(list), Idle: max(0, free-items) - countBorrowed(list),
		}
		if s.fullyUsed(pool, now) {
			demand.BorrowedExcess = countBorrowed(list) - countStarved(list)
		}
		if view := s.fleet[pool]; view != nil {
			view.idle += float64(demand.Idle)
		}
		demands = append(demands, demand)
	}
	return demands
}

// openByRegion counts this node's online requests in other regions; nil if there are none. The
// caller holds mu.
func (s *Set) openByRegion(list []*entry) map[string]int {
	var open map[string]int
	for _, e := range list {
		online := e.open - e.batch
		if online <= 0 || s.selfPlace.To(e.info.place()) != place.OtherRegion {
			continue
		}
		if open == nil {
			open = map[string]int{}
		}
		open[e.info.Region] += online
	}
	return open
}

// neededSlots is the number of this node's slots that online requests need: a fair part of
// what all nodes need, for those that find no slot of their node free ask for any; where
// nothing was told, what its own need. The caller holds mu.
func (s *Set) neededSlots(pool string, share int, now time.Time) float64 {
	if usage := s.fleetUsage(pool, now); usage > 0 {
		return usage * float64(share)
	}
	return s.estimatesFor(pool).level(now)
}

// fleetUsage is the part of a pool's slots that online requests of all nodes need. The
// caller holds mu.
func (s *Set) fleetUsage(pool string, now time.Time) float64 {
	if view := s.fleet[pool]; view != nil {
		return view.usage(now)
	}
	return 0
}
