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

// Criteria is what a request asks of a replica.
type Criteria struct {
	// Zone and Region are where this node is.
	Zone   string
	Region string
	RequestInfo
	// Affinity spreads prompts that share a prefix; 0 if there is none.
	Affinity uint64
	// SharedTokens is the length of that prefix.
	SharedTokens int
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
	// NoRetry requests cannot be sent again once they may have run.
	NoRetry bool
	// PreferStale has a replica asked for a slot first that this node has not heard from lately.
	PreferStale bool
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
func (d *Criteria) Distance(candidate *Candidate) place.Distance {
	return place.Place{Zone: d.Zone, Region: d.Region}.To(candidate.place())
}

const (
	// readingRate is the assumed rate of reading prompts, in tokens a second, of
	// replicas that do not tell theirs.
	readingRate = 50000.0
	// concurrencyCost is the cost of each request that runs beside, for it slows the steps.
	concurrencyCost = 4 * time.Millisecond
	// connectCost is the cost of asking a replica for a slot that this node has not
	// heard from lately: a new connection takes 2 to 5 ms, and one that nothing is known
	// of is likely as busy as others.
	connectCost = 10 * time.Millisecond
	// refusalCost is the cost of asking a replica for a slot that is believed to have none free:
	// most likely it refuses, and the few questions that a request has are used up. It is no
	// less than connectCost, so that a full replica is asked after one that this node has not
	// heard from, however few slots the full one has: nothing would ever be heard of the other.
	refusalCost = connectCost
	// preemptionCost is the cost of an item that gives way.
	preemptionCost = 10 * time.Millisecond
)

// Pick returns the candidate with the least predicted time to the first event.
// Filters come first, the score decides, and the order of the ids, turned by
// the affinity, breaks ties.
func Pick(candidates []Candidate, criteria *Criteria, weights Weights) (*Candidate, error) {
	criteria.home = affinityHome(candidates, criteria)
	eligible := candidates
	if criteria.Batch && criteria.Reserve > 0 {
		eligible = unreserved(candidates, criteria.Reserve)
	}
	best := pickLowest(eligible, criteria, weights, available, Predict)
	if best == nil && !criteria.Batch {
		best = pickLowest(eligible, criteria, weights, lastResort, Predict)
	}
	if best == nil {
		return nil, noReplicaError(candidates, criteria)
	}
	return best, nil
}

// noReplicaError tells what keeps a request from each of the candidates.
func noReplicaError(candidates []Candidate, criteria *Criteria) error {
	failure := &NoReplicaError{RegionRestricted: criteria.Regions != nil}
	for i := range candidates {
		why := candidates[i].hardExclusion(criteria)
		if why == Usable {
			why = candidates[i].softExclusion(criteria)
		}
		if why == Usable {
			// Its slots are left to online requests.
			why = Occupied
		}
		failure.count(&candidates[i], why)
	}
	return failure
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
	remaining := (1 - share) * float64(total)
	for i := range ordered {
		remaining -= float64(ordered[i].Slots)
		if remaining < 0 {
			return ordered[:i]
		}
	}
	return ordered
}

type filter func(*Candidate, *Criteria) bool

// serves reports whether a replica serves what is asked for at all.
func serves(candidate *Candidate, criteria *Criteria) bool {
	switch {
	case criteria.Batch && candidate.NoBatch, !criteria.Batch && candidate.NoOnline:
		return false
	case criteria.Version != "" && candidate.Version != "" && candidate.Version != criteria.Version:
		return false
	default:
		return criteria.Adapter == "" || slices.Contains(candidate.Adapters, criteria.Adapter)
	}
}

// softExclusion reports what speaks against a replica for now.
func (c *Candidate) softExclusion(criteria *Criteria) Exclusion {
	switch {
	case c.Ejected:
		return Ejected
	case criteria.Borrowed && c.Open >= c.Slots:
		return Occupied
	case criteria.Batch && !criteria.Borrowed && (c.Open >= c.Share || c.Free() < 1):
		return Occupied
	default:
		return Usable
	}
}

func available(candidate *Candidate, criteria *Criteria) bool {
	return candidate.softExclusion(criteria) == Usable
}

// lastResort takes ejected replicas rather than none.
func lastResort(*Candidate, *Criteria) bool { return true }

// predictor estimates the time to the first event at a candidate.
type predictor func(*Candidate, *Criteria, Weights) time.Duration

func pickLowest(candidates []Candidate, criteria *Criteria, weights Weights, passes filter, predict predictor) *Candidate {
	var best *Candidate
	bestScore := math.Inf(1)
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.hardExclusion(criteria) != Usable || !passes(candidate, criteria) {
			continue
		}
		score := predict(candidate, criteria, weights).Seconds()
		score += float64(mix(candidate.Key^criteria.Affinity)>>40) * 1e-12
		if score < bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// affinityHome returns the key of the replica where prompts with the same prefix meet
// (rendezvous hashing, Thaler and Ravishankar, 1998), so that it stays cached there.
// Each region has its own: the way to another costs more than reading the prefix.
func affinityHome(candidates []Candidate, criteria *Criteria) uint64 {
	var home, best uint64
	if criteria.Affinity == 0 {
		return 0
	}
	foundSameRegion := false
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Ejected || candidate.placeExclusion(criteria) != Usable || !serves(candidate, criteria) {
			continue
		}
		sameRegion := criteria.Distance(candidate) != place.OtherRegion
		weight := mix(candidate.Key ^ criteria.Affinity)
		if home == 0 || sameRegion && !foundSameRegion || sameRegion == foundSameRegion && weight > best {
			home, best, foundSameRegion = candidate.Key, weight, sameRegion
		}
	}
	return home
}

// uncachedTokens counts the tokens of a prompt that the replica is not believed to keep.
func uncachedTokens(candidate *Candidate, criteria *Criteria) int {
	if candidate.Key == criteria.home {
		return criteria.Tokens - criteria.SharedTokens
	}
	return criteria.Tokens
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
func PickUnqueued(candidates []Candidate, criteria *Criteria, weights Weights, otherRegions bool) (*Candidate, error) {
	criteria.home = affinityHome(candidates, criteria)
	passes := func(candidate *Candidate, criteria *Criteria) bool {
		return (criteria.Distance(candidate) == place.OtherRegion) == otherRegions && available(candidate, criteria)
	}
	best := pickLowest(candidates, criteria, weights, passes, predictReservation)
	if best == nil {
		return nil, noReplicaError(candidates, criteria)
	}
	return best, nil
}

// predictReservation estimates the time to the first event where a slot is asked for.
func predictReservation(candidate *Candidate, criteria *Criteria, weights Weights) time.Duration {
	total := predictUnqueued(candidate, criteria, weights)
	if candidate.Fresh == criteria.PreferStale {
		total += connectCost
	}
	if candidate.Free() < 1 {
		total += refusalCost
	}
	return total
}

// predictUnqueued estimates the time to the first event where a slot is free.
func predictUnqueued(candidate *Candidate, criteria *Criteria, weights Weights) time.Duration {
	total := candidate.readingTime(candidate.PendingTokens+uncachedTokens(candidate, criteria)) +
		time.Duration(candidate.Busy()*float64(concurrencyCost)) + weights.Cost(criteria.Distance(candidate))
	if criteria.NoRetry {
		total += time.Duration(candidate.FailureShare * float64(failingCost))
	}
	return total
}

// Predict estimates the time to the first event at a candidate.
func Predict(candidate *Candidate, criteria *Criteria, weights Weights) time.Duration {
	total := predictUnqueued(candidate, criteria, weights)
	if wait := candidate.waitForSlot(); candidate.preempts(criteria.RequestInfo) {
		total += min(wait, preemptionCost)
	} else {
		total += wait
	}
	return total
}

// crowdedUsage is the part of all slots that online requests need from which on a slot of
// this node may well be taken by another's: those who find none of their own free ask
// for any.
const crowdedUsage = 0.7

// HasSpareSlot reports whether one of this node's slots there is surely free.
func (c *Candidate) HasSpareSlot() bool {
	return c.Open < c.Share && c.Waiting < 1 && c.FleetUsage < crowdedUsage
}

// waitForSlot estimates the wait for a slot. Where this node has none to spare,
// the others are taken to use theirs.
func (c *Candidate) waitForSlot() time.Duration {
	waiting := c.Waiting
	if c.Open >= c.Share {
		waiting = max(waiting, 1-c.Free(), 1)
	}
	return time.Duration(waiting * float64(c.SlotTime))
}

// ExpectedFirstEvent is the time to the first event of a request there, by what is learned.
func (c *Candidate) ExpectedFirstEvent(req RequestInfo) time.Duration {
	switch {
	case req.Reserved:
		return c.FirstEvent
	case c.preempts(req):
		return c.FirstEvent + preemptionCost
	default:
		return c.FirstEvent + c.waitForSlot()
	}
}

// preempts reports whether an item of this node gives way there to a request that
// would wait there for longer than it has time.
func (c *Candidate) preempts(req RequestInfo) bool {
	return c.Batch > 0 && c.waitForSlot() > req.patience(c.FirstEvent, c.PatienceShare)
}

// mix spreads a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
