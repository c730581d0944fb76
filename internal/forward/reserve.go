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

// A node keeps to its own part of a pool's slots, so by chance it may have none free
// while others do. A replica itself knows: it is asked to set a free slot aside for
// a moment, and the request follows. A few replicas suffice, for each of them has a
// free slot with some chance of its own (the power of a few choices, Mitzenmacher,
// 2001), asked afresh and not remembered.

const (
	// reserveTries is the number of replicas of the own region that are asked for a
	// slot.
	reserveTries = 3
	// reserveAway is the number of those of other regions that are asked after them.
	reserveAway = 2
	// reserveTimeout bounds one question; a way there and back takes some 2 ms.
	reserveTimeout = 40 * time.Millisecond
	// reserveWays is how often a question to a replica far away takes the way there
	// and back: a new connection, and the question itself.
	reserveWays = 2
	// reserveHold is how long a slot is set aside: the request follows at once, but a
	// node with a small share of a core may be held up for a few times 100 ms.
	reserveHold = 400 * time.Millisecond
)

// reserve asks other replicas for a free slot if this node has none at the chosen one.
// It returns the replica to send the request to.
func (c *call) reserve(ctx context.Context, chosen *replica.Candidate) *replica.Candidate {
	if c.forwarder.Reserver == nil || c.request.Prompt.Total() == 0 || chosen.HasSpareSlot() || chosen.Cold.Left > 0 {
		// What is sent to a cold replica is bounded already.
		return chosen
	}
	demand := c.demand
	demand.Exclude = maps.Clone(c.demand.Exclude)
	demand.PreferStale = c.forwarder.Replicas.ProbeStale(c.result.Pool, clock.Now())
	if demand.Affinity == 0 {
		// Replicas that look alike are asked alike often: in one order, all nodes would ask the
		// same one first, and the last of them never while the first do not say that they are full.
		demand.Affinity = rand.Uint64()
	}
	if asked := c.reserveAny(ctx, &demand, reserveTries, false); asked != nil {
		return asked
	}
	if c.hasTimeForAway(chosen) {
		if asked := c.reserveAny(ctx, &demand, reserveAway, true); asked != nil {
			return asked
		}
	}
	if granted := c.askFeeder(ctx); granted != nil {
		return granted
	}
	return chosen
}

// reserveAny asks up to so many replicas, one after the other, for a slot. It returns
// the one that set a slot aside, or nil.
func (c *call) reserveAny(ctx context.Context, demand *replica.Criteria, tries int, away bool) *replica.Candidate {
	for range tries {
		asked := c.pickUnqueued(demand, away)
		if asked == nil {
			return nil
		}
		if c.reserveAt(ctx, asked) {
			return asked
		}
		demand.Exclude[asked.Incarnation()] = true
		demand.PreferStale = false
	}
	return nil
}

// hasTimeForAway reports whether a request that found no free slot in its region can
// still be in time elsewhere, after a question there and the way of the request itself.
func (c *call) hasTimeForAway(chosen *replica.Candidate) bool {
	left := c.route.Objective - clock.Since(c.request.Received)
	return left > chosen.FirstEvent+(reserveWays+1)*c.forwarder.Weights.Cost(place.OtherRegion)
}

// pickUnqueued returns the replica to be asked for a slot, or nil.
func (c *call) pickUnqueued(demand *replica.Criteria, away bool) *replica.Candidate {
	candidates := c.forwarder.Replicas.SnapshotFor(c.result.Pool, demand, clock.Now())
	best, err := replica.PickUnqueued(candidates, demand, c.forwarder.Weights, away)
	if err != nil {
		// None is left to ask.
		return nil
	}
	return best
}

// reserveTimeout bounds a question to a replica.
func (c *call) reserveTimeout(asked *replica.Candidate) time.Duration {
	if c.demand.Distance(asked) != place.OtherRegion {
		return reserveTimeout
	}
	return reserveTimeout + reserveWays*c.forwarder.Weights.Cost(place.OtherRegion)
}

// reserveAt asks a replica for a slot. It reports whether one was set aside.
func (c *call) reserveAt(ctx context.Context, asked *replica.Candidate) bool {
	began := clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, c.reserveTimeout(asked))
	defer cancel()
	id, err := c.forwarder.Reserver.Reserve(callCtx, asked.Info, c.request.Prompt.Total(), reserveHold)
	if c.forwarder.Notice != nil {
		c.forwarder.Notice.Reserved(c.request, asked, clock.Since(began), err)
	}
	switch {
	case err == nil:
		c.reservation, c.demand.Reserved = id, true
		return true
	case errors.Is(err, ErrRefused):
		c.forwarder.Replicas.MarkFull(asked.Info, began)
	}
	return false
}
