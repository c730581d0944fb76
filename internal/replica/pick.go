package replica

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica/division"
)

var (
	// ErrNoReplica reports that no replica of the pool can take the request now.
	ErrNoReplica = errors.New("no replica can take the request now")
)

// Criteria states what a request requires of a replica.
type Criteria struct {
	// Zone and Region are those of this node.
	Zone   string
	Region string
	RequestInfo
	// Affinity is a hash that identifies the prompt prefix that requests share; 0 if there is none.
	Affinity uint64
	// SharedTokens is the length of that prefix.
	SharedTokens int
	// affinityReplica is the key of the replica that is expected to cache the prefix; Pick sets it.
	affinityReplica uint64
	// Reserve is the share of the slots, on the fastest replicas, that items leave to online
	// requests.
	Reserve float64
	// Version, if set, is the only version allowed. An answer that is resumed on another replica
	// requires the version that began it.
	Version string
	// SoftwareVersion, if set, points to the only software version allowed. A stream or text may be
	// continued only by the version that began it.
	SoftwareVersion *string
	// Adapter, if set, must be loaded.
	Adapter string
	// Exclude holds the replicas that failed or refused this request, by Incarnation for a
	// single start and by ID for all starts.
	Exclude map[string]bool
	// Claimed holds the IDs of replicas that run trials of quarantined work. Requests prefer others,
	// and items and trials use them only as a last resort.
	Claimed map[string]bool
	// Trial is set if the request is itself such a trial.
	Trial bool
	// NoRetry is set if the request cannot be sent again once it may have run.
	NoRetry bool
	// PreferStale prefers replicas that are not Fresh when asking for a reservation.
	PreferStale bool
	// Regions are where the request may be served.
	Regions place.Regions
	// OtherRegions is set if a replica outside this node's region is looked for.
	OtherRegions bool
}

// Weights are the settings for the cost of distance.
type Weights struct {
	// CrossZone is how much longer a request may wait to stay in its zone.
	CrossZone time.Duration
	// CrossRegion is the same for its region. Values below CrossZone count as CrossZone.
	CrossRegion time.Duration
}

// Cost returns the cost of a distance.
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

// Distance returns the distance from the node of the criteria to a candidate.
func (c *Criteria) Distance(candidate *Candidate) place.Distance {
	return place.Place{Zone: c.Zone, Region: c.Region}.DistanceTo(candidate.place())
}

const (
	// prefillRate is the assumed prompt processing rate, in tokens per second, of replicas that
	// report none.
	prefillRate = 50000.0
	// concurrencyCost is the cost of each concurrent request, which slows down the decoding steps.
	concurrencyCost = 4 * time.Millisecond
	// connectCost is the cost of asking for a reservation at a replica that is not Fresh: a new
	// connection takes 2 to 5 ms, and a replica of unknown load is likely as busy as the others.
	connectCost = 10 * time.Millisecond
	// refusalCost is the cost of asking for a reservation at a replica that is estimated to be
	// full: it likely refuses, which uses up one of the request's few attempts. It must not be less
	// than connectCost, so that a full replica ranks behind one that is not Fresh even if it has
	// few slots; otherwise this node would never learn the state of the latter.
	refusalCost = connectCost
	// claimCost is how much longer a request may wait elsewhere to leave a replica to the trial that has
	// claimed it.
	claimCost = 200 * time.Millisecond
	// usualSilence is a pause of a replica that is not unusual, as between the events of slow answers or
	// while it reads a prompt.
	usualSilence = 300 * time.Millisecond
	// preemptionCost is the cost of preempting an item.
	preemptionCost = 10 * time.Millisecond
)

// Pick returns the candidate with the lowest predicted time to the first event, among those that
// meet the criteria. Ties are broken by a hash of replica and affinity. The error is a
// *NoReplicaError.
func Pick(candidates []Candidate, criteria *Criteria, weights Weights) (*Candidate, error) {
	criteria.affinityReplica = affinityReplicaKey(candidates, criteria)
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

// noReplicaError returns an error that says what excludes each of the candidates.
func noReplicaError(candidates []Candidate, criteria *Criteria) error {
	failure := &NoReplicaError{RegionRestricted: criteria.Regions != nil, SoftwareRestricted: criteria.SoftwareVersion != nil}
	for i := range candidates {
		reason := candidates[i].hardExclusion(criteria)
		if reason == Usable {
			reason = candidates[i].softExclusion(criteria)
		}
		if reason == Usable {
			// Its slots are reserved for online requests.
			reason = Occupied
		}
		failure.count(&candidates[i], reason)
	}
	return failure
}

// unreserved returns the candidates without the fastest ones that hold the given share of the
// slots. Replicas of equal speed are ordered by key, so that all nodes reserve the same ones.
func unreserved(candidates []Candidate, share float64) []Candidate {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b Candidate) int {
		if bySpeed := cmp.Compare(a.PrefillRate, b.PrefillRate); bySpeed != 0 {
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

// claims reports whether a trial has claimed a candidate.
func (c *Criteria) claims(candidate *Candidate) bool {
	return len(c.Claimed) > 0 && c.Claimed[candidate.ID]
}

type filter func(*Candidate, *Criteria) bool

// serves reports whether a replica serves the kind of work, version and adapter that is asked for.
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

// softExclusion returns the reason that excludes a replica except as a last resort; Usable if none
// does.
func (c *Candidate) softExclusion(criteria *Criteria) Exclusion {
	switch {
	case c.Ejected:
		return Ejected
	case criteria.claims(c) && (criteria.Batch || criteria.Trial):
		return Claimed
	case criteria.Borrowed && c.Open >= c.Slots:
		return Occupied
	case criteria.Batch && !criteria.Borrowed && (c.Open >= c.Share || c.Free() < 1):
		return Occupied
	default:
		return Usable
	}
}

// available reports whether nothing excludes a candidate that has no hardExclusion.
func available(candidate *Candidate, criteria *Criteria) bool {
	return candidate.softExclusion(criteria) == Usable
}

// lastResort accepts replicas regardless of softExclusion.
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
		score += float64(division.Mix(candidate.Key^criteria.Affinity)>>40) * 1e-12
		if score < bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// affinityReplicaKey returns the key of the replica to which prompts with the same prefix are sent, so
// that it caches the prefix; 0 if there is none. It is chosen by rendezvous hashing (Thaler and
// Ravishankar, 1998), for each region separately, since crossing regions costs more than processing
// the prefix again.
func affinityReplicaKey(candidates []Candidate, criteria *Criteria) uint64 {
	var preferred, bestWeight uint64
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
		weight := division.Mix(candidate.Key ^ criteria.Affinity)
		if preferred == 0 || sameRegion && !foundSameRegion || sameRegion == foundSameRegion && weight > bestWeight {
			preferred, bestWeight, foundSameRegion = candidate.Key, weight, sameRegion
		}
	}
	return preferred
}

// uncachedTokens returns the number of prompt tokens that the replica has to process.
func uncachedTokens(candidate *Candidate, criteria *Criteria) int {
	if candidate.Key == criteria.affinityReplica {
		return criteria.Tokens - criteria.SharedTokens
	}
	return criteria.Tokens
}

// readingTime returns how long the replica takes to process a number of prompt tokens.
func (c *Candidate) readingTime(tokens int) time.Duration {
	rate := c.PrefillRate
	if rate <= 0 {
		rate = prefillRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// PickUnqueued returns the candidate to ask for a reservation: the one with the lowest predicted
// time to the first event if it has a free slot. It considers replicas of other regions if
// otherRegions is set, and those of this region otherwise. The error is a *NoReplicaError.
func PickUnqueued(candidates []Candidate, criteria *Criteria, weights Weights, otherRegions bool) (*Candidate, error) {
	criteria.affinityReplica = affinityReplicaKey(candidates, criteria)
	passes := func(candidate *Candidate, criteria *Criteria) bool {
		return (criteria.Distance(candidate) == place.OtherRegion) == otherRegions && available(candidate, criteria)
	}
	best := pickLowest(candidates, criteria, weights, passes, predictReservation)
	if best == nil {
		return nil, noReplicaError(candidates, criteria)
	}
	return best, nil
}

// predictReservation estimates the time to the first event at a candidate that is first asked for a
// reservation.
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

// predictUnqueued estimates the time to the first event given a free slot.
func predictUnqueued(candidate *Candidate, criteria *Criteria, weights Weights) time.Duration {
	total := candidate.readingTime(candidate.PendingTokens+uncachedTokens(candidate, criteria)) +
		time.Duration(candidate.Busy()*float64(concurrencyCost)) + weights.Cost(criteria.Distance(candidate))
	if criteria.claims(candidate) {
		total += claimCost
	}
	if candidate.Silence > usualSilence {
		// A replica that has been silent for some time is expected to be so for as long again.
		total += candidate.Silence
	}
	if criteria.NoRetry {
		total += time.Duration(candidate.FailureShare * float64(failingCost))
	}
	return total
}

// Predict estimates the time to the first event at a candidate, including the wait for a slot.
func Predict(candidate *Candidate, criteria *Criteria, weights Weights) time.Duration {
	total := predictUnqueued(candidate, criteria, weights)
	if wait := candidate.waitForSlot(); candidate.preempts(criteria.RequestInfo) {
		total += min(wait, preemptionCost)
	} else {
		total += wait
	}
	return total
}

// crowdedUsage is the usage at and above which another node is likely to have taken a slot of this
// node: nodes without a free slot of their own ask for any.
const crowdedUsage = 0.7

// HasSpareSlot reports whether one of this node's slots at the candidate is almost certainly free.
func (c *Candidate) HasSpareSlot() bool {
	return c.Open < c.Share && c.Waiting < 1 && c.FleetUsage < crowdedUsage
}

// waitForSlot estimates the wait for a slot. If this node has no free slot at the candidate, it assumes
// that other nodes use all of theirs.
func (c *Candidate) waitForSlot() time.Duration {
	waiting := c.Waiting
	if c.Open >= c.Share {
		waiting = max(waiting, 1-c.Free(), 1)
	}
	return time.Duration(waiting * float64(c.SlotTime))
}

// ExpectedFirstEvent returns the expected time to the first event of a request at the candidate.
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

// preempts reports whether a request would wait at the candidate longer than its objective permits, so
// that an item of this node is preempted for it.
func (c *Candidate) preempts(req RequestInfo) bool {
	return c.Batch > 0 && c.waitForSlot() > req.patience(c.FirstEvent, c.PatienceShare)
}
