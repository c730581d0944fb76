package forward

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// A node owns only a share of a pool's slots, so it may have none free while other nodes do. The
// replicas know their free slots: a few of them are asked to reserve one for a moment, and the
// request follows. A few suffice, since each has a free slot with independent probability
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001). Answers are not
// cached.

const (
	// reserveTries is the number of replicas in this node's region that are asked for a slot.
	reserveTries = 3
	// crossRegionTries is the number of replicas in other regions that are asked after those.
	crossRegionTries = 2
	// reserveTimeout bounds one reservation call; a round trip takes about 2 ms.
	reserveTimeout = 40 * time.Millisecond
	// crossRegionRoundTrips is the number of round trips of a reservation call to another region:
	// one for a new connection and one for the call.
	crossRegionRoundTrips = 2
	// reserveHold is how long a slot is reserved. The request follows at once, but a node with a
	// small share of a core may be delayed by a few hundred milliseconds.
	reserveHold = 400 * time.Millisecond
)

// reserve tries to reserve a free slot at another replica if this node has none at the chosen one.
// It returns the replica to send the request to.
func (c *call) reserve(ctx context.Context, chosen *replica.Candidate) *replica.Candidate {
	if c.forwarder.Reserver == nil || c.request.Prompt.TotalTokens() == 0 || chosen.HasSpareSlot() || chosen.Cold.Left > 0 {
		// Requests to cold replicas are rate-limited already.
		return chosen
	}
	criteria := c.criteria
	criteria.Exclude = maps.Clone(c.criteria.Exclude)
	criteria.PreferStale = c.forwarder.Replicas.ProbeStale(c.result.Pool, clock.Now())
	if criteria.Affinity == 0 {
		// Equivalent replicas must be asked equally often. In a fixed order, all nodes would ask
		// the same ones first, and never reach the last while the first do not report that they are
		// full.
		criteria.Affinity = rand.Uint64()
	}
	if reserved := c.reserveAny(ctx, &criteria, reserveTries, false); reserved != nil {
		return reserved
	}
	if c.hasTimeForCrossRegion(chosen) {
		if reserved := c.reserveAny(ctx, &criteria, crossRegionTries, true); reserved != nil {
			return reserved
		}
	}
	if granted := c.requestColdGrant(ctx); granted != nil {
		return granted
	}
	return chosen
}

// reserveAny asks up to the given number of replicas, one after the other, for a slot. It returns
// the one that reserved a slot, or nil.
func (c *call) reserveAny(ctx context.Context, criteria *replica.Criteria, tries int, crossRegion bool) *replica.Candidate {
	for range tries {
		candidate := c.pickUnqueued(criteria, crossRegion)
		if candidate == nil {
			return nil
		}
		if c.reserveAt(ctx, candidate) {
			return candidate
		}
		criteria.Exclude[candidate.Incarnation()] = true
		criteria.PreferStale = false
	}
	return nil
}

// hasTimeForCrossRegion reports whether a request without a free slot in its region can still meet
// its objective in another one, after the reservation call and its own transmission.
func (c *call) hasTimeForCrossRegion(chosen *replica.Candidate) bool {
	left := c.route.Objective - clock.Since(c.request.Received)
	return left > chosen.FirstEvent+(crossRegionRoundTrips+1)*c.forwarder.Weights.Cost(place.OtherRegion)
}

// pickUnqueued returns the next replica to ask for a slot, or nil.
func (c *call) pickUnqueued(criteria *replica.Criteria, crossRegion bool) *replica.Candidate {
	candidates := c.forwarder.Replicas.SnapshotFor(c.result.Pool, criteria, clock.Now())
	best, err := replica.PickUnqueued(candidates, criteria, c.forwarder.Weights, crossRegion)
	if err != nil {
		// No candidate is left to ask.
		return nil
	}
	return best
}

// reservationTimeout bounds a reservation call to a replica.
func (c *call) reservationTimeout(candidate *replica.Candidate) time.Duration {
	if c.criteria.Distance(candidate) != place.OtherRegion {
		return reserveTimeout
	}
	return reserveTimeout + crossRegionRoundTrips*c.forwarder.Weights.Cost(place.OtherRegion)
}

// reserveAt asks a replica for a slot. It reports whether one was reserved.
func (c *call) reserveAt(ctx context.Context, candidate *replica.Candidate) bool {
	began := clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, c.reservationTimeout(candidate))
	defer cancel()
	id, err := c.forwarder.Reserver.Reserve(callCtx, candidate.Info, c.request.Prompt.TotalTokens(), reserveHold)
	if c.forwarder.Observer != nil {
		c.forwarder.Observer.Reserved(c.request, candidate, clock.Since(began), err)
	}
	switch {
	case err == nil:
		c.reservation, c.criteria.Reserved = id, true
		return true
	case errors.Is(err, ErrRefused):
		c.forwarder.Replicas.MarkFull(candidate.Info, began)
	case IsNotListening(err):
		c.forwarder.Replicas.MarkNotListening(candidate.Info, clock.Now())
	}
	return false
}
