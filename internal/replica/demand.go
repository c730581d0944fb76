package replica

import (
	"math"
	"time"
)

const (
	// stayFirst stands in until it is learned how long requests hold a slot, and
	// counts as so many requests.
	stayFirst      = 500 * time.Millisecond
	stayFirstCount = 2
	// learnWeight is the weight of the newest request in what is learned of all.
	learnWeight = 0.05
	// turnoverMemory is how far back the turnover of slots is looked at.
	turnoverMemory = 5 * time.Second
	// patienceLeast is the part of the time that is left to the objective which a
	// request waits for a slot at least before an item gives way; the rest is for
	// what the estimate misses.
	patienceLeast = 0.5
)

// demand is what a node has learned of a pool from its own requests. The zero
// value knows nothing. The set's lock guards it.
type demand struct {
	// open counts the online requests under way.
	open int
	// peak is the largest number of late, as of peakAt; it decays.
	peak   float64
	peakAt time.Time
	// stay is how long an online request holds a slot.
	stay time.Duration
	// first is the time to the first event of a request that need not wait, spread its
	// mean deviation.
	first  time.Duration
	spread time.Duration
	// patience is how long an online request may usually wait for a slot.
	patience time.Duration
	// running counts requests and items; busy, in slot seconds, and ends are what
	// they came to of late, as of turnoverAt.
	// reading is how the time to the first event grows with the prompt.
	reading slope
	// unheardAsked is when a replica was last to be asked that nothing was heard from.
	unheardAsked time.Time
	// itemTokens is the length of items, prompt and answer.
	itemTokens float64
	running    int
	busy       float64
	ends       float64
	turnoverAt time.Time
}

// begin takes in that a request was sent.
func (d *demand) begin(ask Ask, now time.Time) {
	d.turnover(now)
	d.running++
	if ask.Batch {
		d.itemTokens += learnWeight * (float64(ask.Tokens) - d.itemTokens)
		return
	}
	d.patience += time.Duration(learnWeight * float64(ask.patience(d.first, patienceLeast)-d.patience))
	d.peak, d.peakAt = max(d.level(now), float64(d.open+1)), now
	d.open++
}

// end takes in that a request has left its slot, of its own accord or not.
func (d *demand) end(ask Ask, own bool, result Result, took time.Duration, now time.Time) {
	d.turnover(now)
	d.running--
	if own {
		d.ends++
	}
	if ask.Batch {
		return
	}
	d.peak, d.peakAt = d.level(now), now
	d.open--
	if result == Succeeded {
		learn(&d.stay, took)
	}
}

// begun takes in the first event of a request that did not have to wait.
func (d *demand) begun(ask Ask, took time.Duration) {
	if d.first == 0 {
		d.spread = took / 2
	}
	d.spread += time.Duration(learnWeight * float64((took-d.first).Abs()-d.spread))
	learn(&d.first, took)
	d.reading.add(float64(ask.Tokens), took.Seconds())
}

// soonestSpread is the number of mean deviations below the mean where the soonest first
// event is looked for: some 5 in 100 come sooner if their times are normal. A sender's
// time-out is found in the same way, four above the mean (Jacobson, 1988; RFC 6298).
const soonestSpread = 2

// soonest is the least time to the first event that is to be expected; 0 where nothing is
// learned, or times differ widely.
func (d *demand) soonest() time.Duration { return max(0, d.first-soonestSpread*d.spread) }

// patienceShare is the part of the time that is left which a request waits before
// an item gives way. An item that goes on elsewhere is read again, which holds up
// all that run there; where this costs more slot time than the request itself
// takes, the request waits longer.
func (d *demand) patienceShare(slots int) float64 {
	cost := d.itemTokens / d.readingRate() * float64(slots)
	stay := d.stay
	if stay == 0 {
		stay = stayFirst
	}
	return max(patienceLeast, cost/(cost+stay.Seconds()))
}

// readingRate is how fast replicas read prompts, in tokens a second.
func (d *demand) readingRate() float64 {
	if seconds, ok := d.reading.get(); ok && seconds > 0 {
		return 1 / seconds
	}
	return readingRate
}

// learn moves what is known towards what was seen.
func learn(known *time.Duration, seen time.Duration) {
	if *known == 0 {
		*known = seen
	}
	*known += time.Duration(learnWeight * float64(seen-*known))
}

// level is the number of slots that online requests are expected to need: those
// that they hold, or held a moment ago, for what comes in a burst comes on.
func (d *demand) level(now time.Time) float64 {
	stay := d.stay
	if stay == 0 {
		stay = stayFirst
	}
	faded := d.peak * math.Exp(-float64(now.Sub(d.peakAt))/float64(stay))
	return max(float64(d.open), faded)
}

// turnover brings the sums up to now.
func (d *demand) turnover(now time.Time) {
	passed := now.Sub(d.turnoverAt)
	if d.turnoverAt.IsZero() || passed <= 0 {
		d.turnoverAt = now
		return
	}
	kept := math.Exp(-float64(passed) / float64(turnoverMemory))
	d.busy = d.busy*kept + float64(d.running)*passed.Seconds()
	d.ends *= kept
	d.turnoverAt = now
}

// hold is how long a slot is held at a time, by requests and items together.
func (d *demand) hold() time.Duration {
	seconds := (d.busy + stayFirstCount*stayFirst.Seconds()) / (d.ends + stayFirstCount)
	return time.Duration(seconds * float64(time.Second))
}

// demandOf returns what is known of a pool. The caller holds mu.
func (s *Set) demandOf(pool string) *demand {
	known := s.demand[pool]
	if known == nil {
		known = &demand{}
		s.demand[pool] = known
	}
	return known
}

// Learned is what decisions about a pool go by at this node.
type Learned struct {
	// Share counts this node's slots, Open its online requests, Items its items in these,
	// Borrowed those in slots of others.
	Share, Open, Items, Borrowed int
	// Level is the number of slots that online requests are expected to need, Fleet the
	// part of all slots that online requests of all nodes need as far as they told.
	Level, Fleet float64
	// Hold is how long a slot is held at a time, Stay how long by an online
	// request, First the time to a first event that waits for no slot.
	Hold, Stay, First time.Duration
	// PatienceShare is the part of the time left that a request waits for a slot.
	PatienceShare float64
	// ReadingRate is how fast prompts are read, in tokens a second.
	ReadingRate float64
}

// Learned returns what is known of each pool that has replicas.
func (s *Set) Learned(now time.Time) map[string]Learned {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale {
		s.rebuild()
	}
	all := map[string]Learned{}
	for pool, list := range s.byPool {
		known := s.demandOf(pool)
		known.turnover(now)
		share, items := s.sumShares(list, now)
		all[pool] = Learned{
			Share: share, Items: items, Borrowed: borrowedOf(list), Open: known.open, Level: known.level(now), Fleet: s.fleetUsage(pool, now), Hold: known.hold(), Stay: known.stay,
			First: known.first, PatienceShare: known.patienceShare(list[0].info.Slots), ReadingRate: known.readingRate(),
		}
	}
	return all
}

// sumShares returns the slots of this node that take items, and its items there. Items
// that run on where operators empty the zone, or in borrowed slots, hold none of them.
func (s *Set) sumShares(list []*entry, now time.Time) (share, items int) {
	for _, known := range list {
		if !known.info.Leaving && !known.info.NoBatch {
			share += s.shareOf(known, now)
		}
		if !known.evacuated {
			items += known.batch - known.leaving - known.borrowed
		}
	}
	return share, items
}

// ItemRoom returns how many more items of this node may run now: its slots less
// what online requests hold or are expected to need.
func (s *Set) ItemRoom(pool string, now time.Time) int { return s.RoomForItems(pool, now).Free() }

// RoomForItems returns what decides how many items of this node may run.
func (s *Set) RoomForItems(pool string, now time.Time) ItemRoom {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	list := s.pool(pool)
	share, items := s.sumShares(list, now)
	room := ItemRoom{
		Share: share, Items: items, Borrowed: borrowedOf(list), Needed: s.needed(pool, share, now),
		Rounding: s.rounding(pool), Fleet: s.fleetUsage(pool, now), Heard: s.heardOf(pool, now),
	}
	if known := s.fleet[pool]; known != nil {
		room.Idle = known.idleNow(now)
	}
	return room
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
