package forward

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// A node keeps to its own part of a pool's slots, so by chance it may have none free
// while others do. A replica itself knows: it is asked to set a free slot aside for
// a moment, and the request follows. A few replicas suffice, for each of them has a
// free slot with some chance of its own (the power of a few choices, Mitzenmacher,
// 2001), asked afresh and not remembered.

const (
	// reserveTries is the number of replicas that are asked for a slot.
	reserveTries = 3
	// reserveTimeout bounds one question; a way there and back takes some 2 ms.
	reserveTimeout = 40 * time.Millisecond
	// reserveHold is how long a slot is set aside: the request follows at once, but a
	// node with a small share of a core may be held up for a few times 100 ms.
	reserveHold = 400 * time.Millisecond
)

// reserve asks other replicas for a free slot if this node has none at the chosen one.
// It returns the replica to send the request to.
func (c *call) reserve(ctx context.Context, chosen *replica.Candidate) *replica.Candidate {
	if c.forwarder.Reserver == nil || c.request.Prompt.Total() == 0 || chosen.Spare() || chosen.Cold.Left > 0 {
		// What is sent to a cold replica is bounded already.
		return chosen
	}
	demand := c.demand
	demand.Exclude = maps.Clone(c.demand.Exclude)
	for range reserveTries {
		asked := c.pickUnqueued(&demand)
		if asked == nil {
			break
		}
		if c.reserveAt(ctx, asked) {
			return asked
		}
		demand.Exclude[asked.ID] = true
	}
	if granted := c.askFeeder(ctx); granted != nil {
		return granted
	}
	return chosen
}

// pickUnqueued returns the replica to be asked for a slot, or nil.
func (c *call) pickUnqueued(demand *replica.Demand) *replica.Candidate {
	candidates := c.forwarder.Replicas.SnapshotFor(c.result.Pool, demand, time.Now())
	best, err := replica.PickUnqueued(candidates, demand, c.forwarder.Weights)
	if err != nil {
		// None is left to ask.
		return nil
	}
	return best
}

// reserveAt asks a replica for a slot. It reports whether one was set aside.
func (c *call) reserveAt(ctx context.Context, asked *replica.Candidate) bool {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	id, err := c.forwarder.Reserver.Reserve(callCtx, asked.Info, c.request.Prompt.Total(), reserveHold)
	if c.forwarder.Notice != nil {
		c.forwarder.Notice.Reserved(c.request, asked, time.Since(began), err)
	}
	switch {
	case err == nil:
		c.reservation, c.demand.Reserved = id, true
		return true
	case errors.Is(err, ErrRefused):
		c.forwarder.Replicas.Full(asked.ID, began)
	}
	return false
}
