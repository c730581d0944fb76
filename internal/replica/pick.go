package replica

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
)

var (
	// ErrNoReplica reports that no replica of the pool can take the request now.
	ErrNoReplica = errors.New("no replica can take the request now")
)

// Demand is what a request asks of a replica.
type Demand struct {
	// Zone and Region are where this node is.
	Zone   string
	Region string
	Ask
	// Affinity spreads prompts that share a prefix; 0 if there is none.
	Affinity uint64
	// Shared is the length of that prefix.
	Shared int
	// home is the replica that is believed to keep the prefix; Pick sets it.
	home uint64
	// Reserve is the share of the slots, those of the fastest replicas, that items
	// leave to online requests.
	Reserve float64
	// Version, if set, is the only version allowed; an answer that goes on
	// elsewhere needs the one that began it.
	Version string
	// Adapter, if set, must be loaded.
	Adapter string
	// Exclude are the replicas that have failed or refused this request: an Incarnation
	// for one start, an ID for all starts.
	Exclude map[string]bool
	// Single requests cannot be sent again once they may have run.
	Single bool
	// Unheard has a replica asked for a slot first that this node has not heard from lately.
	Unheard bool
	// Regions are where the request may be served.
	Regions place.Regions
}

// Weights say what a picker gives up for what. They come from settings.
type Weights struct {
	// CrossZone is the time that a request may wait longer to stay in its zone.
	CrossZone time.Duration
	// CrossRegion is the same for its region; never less than CrossZone.
	CrossRegion time.Duration
}

// Cost is what a distance costs a request.
func (w Weights) Cost(distance place.Distance) time.Duration {
	switch distance {
	case place.SameZone:
		return 0
	case place.SameRegion:
		return w.CrossZone
	default:
		return max(w.CrossZone, w.CrossRegion)
	}
}

// Distance is how far a candidate is from the node that a request came to.
func (d *Demand) Distance(candidate *Candidate) place.Distance {
	return place.Place{Zone: d.Zone, Region: d.Region}.To(candidate.place())
}

const (
	// readingRate is the assumed rate of reading prompts, in tokens a second, of
	// replicas that do not tell theirs.
	readingRate = 50000.0
	// busyCost is the cost of each request that runs beside, for it slows the steps.
	busyCost = 4 * time.Millisecond
	// connectCost is the cost of asking a replica for a slot that this node has not
	// heard from lately: a new connection takes 2 to 5 ms, and one that nothing is known
	// of is likely as busy as others.
	connectCost = 10 * time.Millisecond
	// refusalCost is the cost of asking a replica for a slot that is believed to have none free:
	// most likely it refuses, and the few questions that a request has are used up. It is no
	// less than connectCost, so that a full replica is asked after one that this node has not
	// heard from, however few slots the full one has: nothing would ever be heard of the other.
	refusalCost = connectCost
	// swapCost is the cost of an item that gives way.
	swapCost = 10 * time.Millisecond
)

// Pick returns the candidate with the least predicted time to the first event.
// Filters come first, the score decides, and the order of the ids, turned by
// the affinity, breaks ties.
func Pick(candidates []Candidate, demand *Demand, weights Weights) (*Candidate, error) {
	demand.home = homeOf(candidates, demand)
	open := candidates
	if demand.Batch && demand.Reserve > 0 {
		open = unreserved(candidates, demand.Reserve)
	}
	best := pickLeast(open, demand, weights, sound, Predict)
	if best == nil && !demand.Batch {
		best = pickLeast(open, demand, weights, lastResort, Predict)
	}
	if best == nil {
		return nil, noReplica(candidates, demand)
	}
	return best, nil
}

// noReplica tells what keeps a request from each of the candidates.
func noReplica(candidates []Candidate, demand *Demand) error {
	failed := &NoReplicaError{Bound: demand.Regions != nil}
	for i := range candidates {
		why := candidates[i].excluded(demand)
		if why == Usable {
			why = candidates[i].unsound(demand)
		}
		if why == Usable {
			// Its slots are left to online requests.
			why = Occupied
		}
		failed.count(&candidates[i], why)
	}
	return failed
}

// unreserved returns the candidates without the fastest ones that hold a share
// of the slots. Replicas that do not tell their speed go by their keys, so that
// all nodes reserve the same.
func unreserved(candidates []Candidate, share float64) []Candidate {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b Candidate) int {
		if bySpeed := cmp.Compare(a.ReadingRate, b.ReadingRate); bySpeed != 0 {
			return bySpeed
		}
		return cmp.Compare(a.Key, b.Key)
	})
	total := 0
	for i := range ordered {
		total += ordered[i].Slots
	}
	open := (1 - share) * float64(total)
	for i := range ordered {
		open -= float64(ordered[i].Slots)
		if open < 0 {
			return ordered[:i]
		}
	}
	return ordered
}

type filter func(*Candidate, *Demand) bool

// serves reports whether a replica serves what is asked for at all.
func serves(candidate *Candidate, demand *Demand) bool {
	switch {
	case demand.Batch && candidate.NoBatch, !demand.Batch && candidate.NoOnline:
		return false
	case demand.Version != "" && candidate.Version != "" && candidate.Version != demand.Version:
		return false
	default:
		return demand.Adapter == "" || slices.Contains(candidate.Adapters, demand.Adapter)
	}
}

// unsound reports what speaks against a replica for now.
func (c *Candidate) unsound(demand *Demand) Exclusion {
	switch {
	case c.Ejected:
		return Ejected
	case demand.Borrowed && c.Open >= c.Slots:
		return Occupied
	case demand.Batch && !demand.Borrowed && (c.Open >= c.Share || c.Free() < 1):
		return Occupied
	default:
		return Usable
	}
}

func sound(candidate *Candidate, demand *Demand) bool { return candidate.unsound(demand) == Usable }

// lastResort takes ejected replicas rather than none.
func lastResort(*Candidate, *Demand) bool { return true }

// predictor estimates the time to the first event at a candidate.
type predictor func(*Candidate, *Demand, Weights) time.Duration

func pickLeast(candidates []Candidate, demand *Demand, weights Weights, passes filter, predict predictor) *Candidate {
	var best *Candidate
	bestScore := math.Inf(1)
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.excluded(demand) != Usable || !passes(candidate, demand) {
			continue
		}
		score := predict(candidate, demand, weights).Seconds()
		score += float64(mix(candidate.Key^demand.Affinity)>>40) * 1e-12
		if score < bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// homeOf returns the key of the replica where prompts with the same prefix meet
// (rendezvous hashing, Thaler and Ravishankar, 1998), so that it stays cached there.
// Each region has its own: the way to another costs more than reading the prefix.
func homeOf(candidates []Candidate, demand *Demand) uint64 {
	var home, best uint64
	if demand.Affinity == 0 {
		return 0
	}
	near := false
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Ejected || candidate.excludedByPlace(demand) != Usable || !serves(candidate, demand) {
			continue
		}
		own := demand.Distance(candidate) != place.OtherRegion
		weight := mix(candidate.Key ^ demand.Affinity)
		if home == 0 || own && !near || own == near && weight > best {
			home, best, near = candidate.Key, weight, own
		}
	}
	return home
}

// uncached counts the tokens of a prompt that the replica is not believed to keep.
func uncached(candidate *Candidate, demand *Demand) int {
	if candidate.Key == demand.home {
		return demand.Tokens - demand.Shared
	}
	return demand.Tokens
}

// readingTime is how long the replica takes to read so many tokens.
func (c *Candidate) readingTime(tokens int) time.Duration {
	rate := c.ReadingRate
	if rate <= 0 {
		rate = readingRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// PickUnqueued returns the candidate with the least predicted time to the first
// event if a slot is free there: the one to ask for a slot. It looks at those of other
// regions if away is set, and at the others otherwise.
func PickUnqueued(candidates []Candidate, demand *Demand, weights Weights, away bool) (*Candidate, error) {
	demand.home = homeOf(candidates, demand)
	passes := func(candidate *Candidate, demand *Demand) bool {
		return (demand.Distance(candidate) == place.OtherRegion) == away && sound(candidate, demand)
	}
	best := pickLeast(candidates, demand, weights, passes, predictAsked)
	if best == nil {
		return nil, noReplica(candidates, demand)
	}
	return best, nil
}

// predictAsked estimates the time to the first event where a slot is asked for.
func predictAsked(candidate *Candidate, demand *Demand, weights Weights) time.Duration {
	total := predictUnqueued(candidate, demand, weights)
	if candidate.Fresh == demand.Unheard {
		total += connectCost
	}
	if candidate.Free() < 1 {
		total += refusalCost
	}
	return total
}

// predictUnqueued estimates the time to the first event where a slot is free.
func predictUnqueued(candidate *Candidate, demand *Demand, weights Weights) time.Duration {
	total := candidate.readingTime(candidate.PendingTokens+uncached(candidate, demand)) +
		time.Duration(candidate.Busy()*float64(busyCost)) + weights.Cost(demand.Distance(candidate))
	if demand.Single {
		total += time.Duration(candidate.Failing * float64(failingCost))
	}
	return total
}

// Predict estimates the time to the first event at a candidate.
func Predict(candidate *Candidate, demand *Demand, weights Weights) time.Duration {
	total := predictUnqueued(candidate, demand, weights)
	if wait := candidate.waitForSlot(); candidate.swaps(demand.Ask) {
		total += min(wait, swapCost)
	} else {
		total += wait
	}
	return total
}

// crowded is the part of all slots that online requests need from which on a slot of
// this node may well be taken by another's: those who find none of their own free ask
// for any.
const crowded = 0.7

// Spare reports whether one of this node's slots there is surely free.
func (c *Candidate) Spare() bool { return c.Open < c.Share && c.Waiting < 1 && c.Fleet < crowded }

// waitForSlot estimates the wait for a slot. Where this node has none to spare,
// the others are taken to use theirs.
func (c *Candidate) waitForSlot() time.Duration {
	waiting := c.Waiting
	if c.Open >= c.Share {
		waiting = max(waiting, 1-c.Free(), 1)
	}
	return time.Duration(waiting * float64(c.SlotTime))
}

// Expected is the time to the first event of a request there, by what is learned.
func (c *Candidate) Expected(ask Ask) time.Duration {
	switch {
	case ask.Reserved:
		return c.First
	case c.swaps(ask):
		return c.First + swapCost
	default:
		return c.First + c.waitForSlot()
	}
}

// swaps reports whether an item of this node gives way there to a request that
// would wait there for longer than it has time.
func (c *Candidate) swaps(ask Ask) bool {
	return c.Batch > 0 && c.waitForSlot() > ask.patience(c.First, c.PatienceShare)
}

// mix spreads a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
