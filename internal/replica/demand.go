package replica

import (
	"math"
	"time"
)

const (
	// initialHold stands in until it is learned how long requests hold a slot, and
	// counts as so many requests.
	initialHold      = 500 * time.Millisecond
	initialHoldCount = 2
	// averageWeight is the weight of the newest request in what is learned of all.
	averageWeight = 0.05
	// holdMemory is how far back the turnover of slots is looked at.
	holdMemory = 5 * time.Second
	// minPatienceShare is the part of the time that is left to the objective which a
	// request waits for a slot at least before an item gives way; the rest is for
	// what the estimate misses.
	minPatienceShare = 0.5
)

// poolEstimates is what a node has learned of a pool from its own requests. The zero
// value knows nothing. The set's lock guards it.
type poolEstimates struct {
	// open counts the online requests under way.
	open int
	// peak is the largest number of late, as of peakAt; it decays.
	peak   float64
	peakAt time.Time
	// onlineHold is how long an online request holds a slot.
	onlineHold time.Duration
	// firstEvent is the time to the firstEvent event of a request that need not wait, spread its
	// mean deviation.
	firstEvent          time.Duration
	firstEventDeviation time.Duration
	// patience is how long an online request may usually wait for a slot.
	patience time.Duration
	// running counts requests and items; busy, in slot seconds, and ends are what
	// they came to of late, as of turnoverAt.
	// readingSlope is how the time to the first event grows with the prompt.
	readingSlope slope
	// staleProbedAt is when a replica was last to be asked that nothing was heard from.
	staleProbedAt time.Time
	// itemTokens is the length of items, prompt and answer.
	itemTokens float64
	running    int
	busy       float64
	releases   float64
	advancedAt time.Time
}

// begin takes in that a request was sent.
func (d *poolEstimates) begin(req RequestInfo, now time.Time) {
	d.advance(now)
	d.running++
	if req.Batch {
		d.itemTokens += averageWeight * (float64(req.Tokens) - d.itemTokens)
		return
	}
	d.patience += time.Duration(averageWeight * float64(req.patience(d.firstEvent, minPatienceShare)-d.patience))
	d.peak, d.peakAt = max(d.level(now), float64(d.open+1)), now
	d.open++
}

// end takes in that a request has left its slot, of its own accord or not.
func (d *poolEstimates) end(req RequestInfo, countRelease bool, result Result, took time.Duration, now time.Time) {
	d.advance(now)
	d.running--
	if countRelease {
		d.releases++
	}
	if req.Batch {
		return
	}
	d.peak, d.peakAt = d.level(now), now
	d.open--
	if result == Succeeded {
		updateAverage(&d.onlineHold, took)
	}
}

// observeFirstEvent takes in the first event of a request that did not have to wait.
func (d *poolEstimates) observeFirstEvent(req RequestInfo, took time.Duration) {
	if d.firstEvent == 0 {
		d.firstEventDeviation = took / 2
	}
	d.firstEventDeviation += time.Duration(averageWeight * float64((took-d.firstEvent).Abs()-d.firstEventDeviation))
	updateAverage(&d.firstEvent, took)
	d.readingSlope.add(float64(req.Tokens), took.Seconds())
}

// minFirstEventDeviations is the number of mean deviations below the mean where the soonest first
// event is looked for: some 5 in 100 come sooner if their times are normal. A sender's
// time-out is found in the same way, four above the mean (Jacobson, 1988; RFC 6298).
const minFirstEventDeviations = 2

// minFirstEvent is the least time to the first event that is to be expected; 0 where nothing is
// learned, or times differ widely.
func (d *poolEstimates) minFirstEvent() time.Duration {
	return max(0, d.firstEvent-minFirstEventDeviations*d.firstEventDeviation)
}

// patienceShare is the part of the time that is left which a request waits before
// an item gives way. An item that goes on elsewhere is read again, which holds up
// all that run there; where this costs more slot time than the request itself
// takes, the request waits longer.
func (d *poolEstimates) patienceShare(slots int) float64 {
	cost := d.itemTokens / d.readingRate() * float64(slots)
	onlineHold := d.onlineHold
	if onlineHold == 0 {
		onlineHold = initialHold
	}
	return max(minPatienceShare, cost/(cost+onlineHold.Seconds()))
}

// readingRate is how fast replicas read prompts, in tokens a second.
func (d *poolEstimates) readingRate() float64 {
	if seconds, ok := d.readingSlope.get(); ok && seconds > 0 {
		return 1 / seconds
	}
	return readingRate
}

// updateAverage moves what is known towards what was seen.
func updateAverage(average *time.Duration, sample time.Duration) {
	if *average == 0 {
		*average = sample
	}
	*average += time.Duration(averageWeight * float64(sample-*average))
}

// level is the number of slots that online requests are expected to need: those
// that they hold, or held a moment ago, for what comes in a burst comes on.
func (d *poolEstimates) level(now time.Time) float64 {
	onlineHold := d.onlineHold
	if onlineHold == 0 {
		onlineHold = initialHold
	}
	faded := d.peak * math.Exp(-float64(now.Sub(d.peakAt))/float64(onlineHold))
	return max(float64(d.open), faded)
}

// advance brings the sums up to now.
func (d *poolEstimates) advance(now time.Time) {
	passed := now.Sub(d.advancedAt)
	if d.advancedAt.IsZero() || passed <= 0 {
		d.advancedAt = now
		return
	}
	kept := math.Exp(-float64(passed) / float64(holdMemory))
	d.busy = d.busy*kept + float64(d.running)*passed.Seconds()
	d.releases *= kept
	d.advancedAt = now
}

// slotHold is how long a slot is held at a time, by requests and items together.
func (d *poolEstimates) slotHold() time.Duration {
	seconds := (d.busy + initialHoldCount*initialHold.Seconds()) / (d.releases + initialHoldCount)
	return time.Duration(seconds * float64(time.Second))
}

// estimatesFor returns what is known of a pool. The caller holds mu.
func (s *Set) estimatesFor(pool string) *poolEstimates {
	estimates := s.estimates[pool]
	if estimates == nil {
		estimates = &poolEstimates{}
		s.estimates[pool] = estimates
	}
	return estimates
}

// PoolStats is what decisions about a pool go by at this node.
type PoolStats struct {
	// Share counts this node's slots, Open its online requests, Items its items in these,
	// Borrowed those in slots of others.
	Share, Open, Items, Borrowed int
	// Level is the number of slots that online requests are expected to need, FleetUsage the
	// part of all slots that online requests of all nodes need as far as they told.
	Level, FleetUsage float64
	// SlotHold is how long a slot is held at a time, OnlineHold how long by an online
	// request, FirstEvent the time to a first event that waits for no slot.
	SlotHold, OnlineHold, FirstEvent time.Duration
	// PatienceShare is the part of the time left that a request waits for a slot.
	PatienceShare float64
	// ReadingRate is how fast prompts are read, in tokens a second.
	ReadingRate float64
}

// PoolStats returns what is known of each pool that has replicas.
func (s *Set) PoolStats(now time.Time) map[string]PoolStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.indexStale {
		s.rebuild()
	}
	all := map[string]PoolStats{}
	for pool, list := range s.byPool {
		estimates := s.estimatesFor(pool)
		estimates.advance(now)
		share, items := s.sumShares(list, now)
		all[pool] = PoolStats{
			Share: share, Items: items, Borrowed: countBorrowed(list), Open: estimates.open, Level: estimates.level(now), FleetUsage: s.fleetUsage(pool, now), SlotHold: estimates.slotHold(), OnlineHold: estimates.onlineHold,
			FirstEvent: estimates.firstEvent, PatienceShare: estimates.patienceShare(list[0].info.Slots), ReadingRate: estimates.readingRate(),
		}
	}
	return all
}

// sumShares returns the slots of this node that take items, and its items there. Items
// that run on where operators empty the zone, or in borrowed slots, hold none of them.
func (s *Set) sumShares(list []*entry, now time.Time) (share, items int) {
	for _, e := range list {
		if !e.info.Leaving && !e.info.NoBatch {
			share += s.shareOf(e, now)
		}
		if !e.evacuated {
			items += e.batch - e.preempted - e.borrowed
		}
	}
	return share, items
}

// FreeItemSlots returns how many more items of this node may run now: its slots less
// what online requests hold or are expected to need.
func (s *Set) FreeItemSlots(pool string, now time.Time) int { return s.ItemCapacity(pool, now).Free() }

// ItemCapacity returns what decides how many items of this node may run.
func (s *Set) ItemCapacity(pool string, now time.Time) ItemCapacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	list := s.pool(pool)
	share, items := s.sumShares(list, now)
	capacity := ItemCapacity{
		Share: share, Items: items, Borrowed: countBorrowed(list), Needed: s.neededSlots(pool, share, now),
		Rounding: s.rounding(pool), FleetUsage: s.fleetUsage(pool, now), HasReports: s.hasReports(pool, now),
	}
	if view := s.fleet[pool]; view != nil {
		capacity.Idle = view.idleSlots(now)
	}
	return capacity
}

// rounding is what this node adds before it rounds its room down, between 0 and 1.
// Where a node has two or three slots, rounding down alone would leave one of them
// empty; spread evenly over the nodes, it loses nothing in sum.
func (s *Set) rounding(pool string) float64 {
	if len(s.nodes) == 0 {
		return 0
	}
	const fractionBits = 53
	return float64(mix(Key(s.self)^Key(pool))>>(64-fractionBits)) / (1 << fractionBits)
}
