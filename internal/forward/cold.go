package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// errHeldBack reports that a replica must not get the request now, though it could when it
// was chosen. Nothing was sent.
var errHeldBack = errors.New("replica is cold and has been sent as much as it bears, or has started again")

// feederTimeout bounds the question for a place at a cold replica. A place is of use only
// so long after it was asked for: later it would fall into another second. A way there
// and back takes some 3 ms between zones.
const feederTimeout = 50 * time.Millisecond

// ColdFeeders are the nodes that feed cold replicas. It is safe for concurrent use.
type ColdFeeders interface {
	// Ask asks a node for a place at a replica that it feeds. It reports whether the
	// node gave one before the context ended.
	Ask(ctx context.Context, feeder replica.ColdSender) bool
}

// coldOnly returns the error of a choice that waits for cold replicas alone, or nil.
func coldOnly(err error) *replica.NoReplicaError {
	if none := (*replica.NoReplicaError)(nil); errors.As(err, &none) && none.WaitsForCold() {
		return none
	}
	return nil
}

// fedElsewhere reports whether a choice found none but cold replicas that other nodes
// feed, or that this one may send a request no sooner.
func (f *Forwarder) fedElsewhere(err error) bool {
	none := coldOnly(err)
	return none != nil && f.ColdFeeders != nil && none.ColdWait > coldLook
}

// askFeeder asks one of the nodes that feed cold replicas for a place. It returns the
// replica to send the request to, or nil.
func (c *call) askFeeder(ctx context.Context) *replica.Candidate {
	if c.forwarder.ColdFeeders == nil {
		return nil
	}
	feeders := c.forwarder.Replicas.ColdSenders(c.result.Pool, &c.demand, clock.Now())
	if len(feeders) == 0 {
		return nil
	}
	asked := chooseFeeder(feeders, c.forwarder.Zone)
	askCtx, cancel := context.WithTimeout(ctx, feederTimeout)
	defer cancel()
	began := clock.Now()
	granted := c.forwarder.ColdFeeders.Ask(askCtx, asked)
	// A process that was stopped, or slept, may find the answer before its timers go off.
	if !granted || askCtx.Err() != nil || clock.Since(began) >= feederTimeout {
		return nil
	}
	chosen, listed := c.forwarder.Replicas.CandidateByID(asked.Replica, clock.Now())
	if !listed || chosen.Evacuated {
		return nil
	}
	c.demand.Granted = true
	return chosen
}

// chooseFeeder chooses at random, half of the times among those of replicas in a zone: if
// the zone is cut off there is no way to others.
func chooseFeeder(feeders []replica.ColdSender, zone string) replica.ColdSender {
	var near []replica.ColdSender
	for _, one := range feeders {
		if one.Zone == zone {
			near = append(near, one)
		}
	}
	if len(near) > 0 && rand.IntN(2) == 0 {
		feeders = near
	}
	return feeders[rand.IntN(len(feeders))]
}

// waitForReplica waits until there may be a replica to choose, as long as the route
// allows.
func (c *call) waitForReplica(ctx context.Context, err error) error {
	if none := (*replica.NoReplicaError)(nil); errors.As(err, &none) && none.Persistent() {
		// Nothing that may happen in time helps.
		return err
	}
	room := waitForRoom
	if none := coldOnly(err); none != nil {
		c.forwarder.Replicas.NoteHeldBack()
		room = max(time.Millisecond, none.ColdWait)
		if c.forwarder.fedElsewhere(err) {
			room = coldLook
		}
	}
	if waitErr := c.waitForRoom(ctx, room); waitErr != nil {
		// The log tells why no replica could take it.
		return fmt.Errorf("%w: %w", waitErr, err)
	}
	return nil
}
