package replica

import (
	"math"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica/division"
)

const (
	// initialHold is the assumed time that a request holds a slot until one is measured. It has the
	// weight of initialHoldCount requests.
	initialHold      = 500 * time.Millisecond
	initialHoldCount = 2
	// averageWeight is the weight of the newest request in moving averages.
	averageWeight = 0.05
	// holdMemory is the time constant of the average time that a slot is held.
	holdMemory = 5 * time.Second
	// minPatienceShare is the minimum part of the time left until its objective that a request
	// waits for a slot before it preempts an item. The rest allows for errors of the estimate.
	minPatienceShare = 0.5
)

// poolEstimates holds what a node has learned about a pool from its own requests. The zero value is
// empty. The set's lock guards it.
type poolEstimates struct {
	// open is the number of online requests in flight.
	open int
	// peak is the largest recent value of open, decayed up to peakAt.
	peak   float64
	peakAt time.Time
	// onlineHold is how long an online request holds a slot.
	onlineHold time.Duration
	// firstEvent is the mean time to the first event of a request that does not wait,
	// firstEventDeviation its mean deviation.
	firstEvent          time.Duration
	firstEventDeviation time.Duration
	// patience is how long an online request may usually wait for a slot.
	patience time.Duration
	// readingSlope is how the time to the first event grows with the length of the prompt.
	readingSlope slope
	// staleProbedAt is when ProbeStale last returned true.
	staleProbedAt time.Time
	// itemTokens is the mean length of items, prompt and answer.
	itemTokens float64
	// running is the number of requests and items in flight; busy, in slot seconds, and releases,
	// in slots, are decaying sums as of advancedAt.
	running    int
	busy       float64
	releases   float64
	advancedAt time.Time
}

// begin records that a request is sent.
func (p *poolEstimates) begin(req RequestInfo, now time.Time) {
	p.advance(now)
	p.running++
	if req.Batch {
		p.itemTokens += averageWeight * (float64(req.Tokens) - p.itemTokens)
		return
	}
	p.patience += time.Duration(averageWeight * float64(req.patience(p.firstEvent, minPatienceShare)-p.patience))
	p.peak, p.peakAt = max(p.level(now), float64(p.open+1)), now
	p.open++
}

// end records that a request has left its slot. countRelease is false if it was preempted.
func (p *poolEstimates) end(req RequestInfo, countRelease bool, result Result, took time.Duration, now time.Time) {
	p.advance(now)
	p.running--
	if countRelease {
		p.releases++
	}
	if req.Batch {
		return
	}
	p.peak, p.peakAt = p.level(now), now
	p.open--
	if result == Succeeded {
		updateAverage(&p.onlineHold, took)
	}
}

// observeFirstEvent records the first event of a request that did not wait for a slot.
func (p *poolEstimates) observeFirstEvent(req RequestInfo, took time.Duration) {
	if p.firstEvent == 0 {
		p.firstEventDeviation = took / 2
	}
	p.firstEventDeviation += time.Duration(averageWeight * float64((took-p.firstEvent).Abs()-p.firstEventDeviation))
	updateAverage(&p.firstEvent, took)
	p.readingSlope.add(float64(req.Tokens), took.Seconds())
}

// minFirstEventDeviations is the number of mean deviations below the mean at which the earliest first
// event is expected; some 5 in 100 come earlier if the times are normally distributed. TCP computes
// its retransmission timeout likewise, at four above the mean (Jacobson, 1988; RFC 6298).
const minFirstEventDeviations = 2

// minFirstEvent returns the least time to the first event that can be expected; 0 if nothing is
// measured or the times vary widely.
func (p *poolEstimates) minFirstEvent() time.Duration {
	return max(0, p.firstEvent-minFirstEventDeviations*p.firstEventDeviation)
}

// patienceShare returns the part of the time left until its objective that a request waits before it
// preempts an item. The prompt of a preempted item is processed again on another replica, which slows
// all requests there. If that costs more slot time than the request itself, the request waits longer.
func (p *poolEstimates) patienceShare(slots int) float64 {
	cost := p.itemTokens / p.prefillRate() * float64(slots)
	onlineHold := p.onlineHold
	if onlineHold == 0 {
		onlineHold = initialHold
	}
	return max(minPatienceShare, cost/(cost+onlineHold.Seconds()))
}

// prefillRate returns the prompt processing rate of replicas, in tokens per second.
func (p *poolEstimates) prefillRate() float64 {
	if seconds, ok := p.readingSlope.get(); ok && seconds > 0 {
		return 1 / seconds
	}
	return prefillRate
}

// updateAverage adds a sample to a moving average.
func updateAverage(average *time.Duration, sample time.Duration) {
	if *average == 0 {
		*average = sample
	}
	*average += time.Duration(averageWeight * float64(sample-*average))
}

// level returns the number of slots that online requests are expected to need: those that they hold,
// or held a moment ago, since bursts tend to continue.
func (p *poolEstimates) level(now time.Time) float64 {
	onlineHold := p.onlineHold
	if onlineHold == 0 {
		onlineHold = initialHold
	}
	decayed := p.peak * math.Exp(-float64(now.Sub(p.peakAt))/float64(onlineHold))
	return max(float64(p.open), decayed)
}

// advance updates the decaying sums to now.
func (p *poolEstimates) advance(now time.Time) {
	elapsed := now.Sub(p.advancedAt)
	if p.advancedAt.IsZero() || elapsed <= 0 {
		p.advancedAt = now
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(holdMemory))
	p.busy = p.busy*decay + float64(p.running)*elapsed.Seconds()
	p.releases *= decay
	p.advancedAt = now
}

// slotHold returns how long a slot is held on average, by requests and items together.
func (p *poolEstimates) slotHold() time.Duration {
	seconds := (p.busy + initialHoldCount*initialHold.Seconds()) / (p.releases + initialHoldCount)
	return time.Duration(seconds * float64(time.Second))
}

// estimatesFor returns the estimates for a pool. The caller holds mu.
func (s *Set) estimatesFor(pool string) *poolEstimates {
	estimates := s.estimates[pool]
	if estimates == nil {
		estimates = &poolEstimates{}
		s.estimates[pool] = estimates
	}
	return estimates
}

// PoolStats are the values on which this node bases its decisions about a pool.
type PoolStats struct {
	// Share is the number of this node's slots, Open that of its online requests, Items that of its
	// items in its own slots, Borrowed that of its items in slots of other nodes.
	Share, Open, Items, Borrowed int
	// Level is the number of slots that online requests of this node are expected to need,
	// FleetUsage the part of all slots that online requests of all nodes need, as reported.
	Level, FleetUsage float64
	// SlotHold is how long a slot is held on average, OnlineHold how long by an online request,
	// FirstEvent the time to the first event of a request that does not wait.
	SlotHold, OnlineHold, FirstEvent time.Duration
	// PatienceShare is the part of the time left until its objective that a request waits for a slot
	// before it preempts an item.
	PatienceShare float64
	// PrefillRate is the prompt processing rate, in tokens per second.
	PrefillRate float64
}

// PoolStats returns the statistics of each pool that has replicas.
func (s *Set) PoolStats(now time.Time) map[string]PoolStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateIndex()
	all := map[string]PoolStats{}
	for pool := range s.index.pools {
		list := s.active(pool)
		estimates := s.estimatesFor(pool)
		estimates.advance(now)
		share, items := s.sumShares(list, now)
		all[pool] = PoolStats{
			Share: share, Items: items, Borrowed: countBorrowed(list), Open: estimates.open, Level: estimates.level(now), FleetUsage: s.fleetUsage(pool, now), SlotHold: estimates.slotHold(), OnlineHold: estimates.onlineHold,
			FirstEvent: estimates.firstEvent, PatienceShare: estimates.patienceShare(s.pool(pool)[0].info.Slots), PrefillRate: estimates.prefillRate(),
		}
	}
	return all
}

// sumShares returns the number of this node's slots that accept items and the number of its items in
// them. Items that still run in evacuated zones, or in borrowed slots, hold none of these slots. The
// caller holds mu.
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

// FreeItemSlots returns how many more items of this node may run now: its slots less those that online
// requests hold or are expected to need.
func (s *Set) FreeItemSlots(pool string, now time.Time) int { return s.ItemCapacity(pool, now).Free() }

// ItemCapacity returns the values that determine how many items of this node may run.
func (s *Set) ItemCapacity(pool string, now time.Time) ItemCapacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	list := s.active(pool)
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

// rounding returns what this node adds, between 0 and 1, before it rounds its capacity down. If a node
// has two or three slots, rounding down alone would leave one of them unused. The offsets are evenly
// spread over the nodes, so that rounding loses no capacity in total. The caller holds mu.
func (s *Set) rounding(pool string) float64 {
	if len(s.nodes) == 0 {
		return 0
	}
	const fractionBits = 53
	return float64(division.Mix(Key(s.self)^Key(pool))>>(64-fractionBits)) / (1 << fractionBits)
}
