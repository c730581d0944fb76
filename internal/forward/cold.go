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

// errNotAdmitted reports that a replica must not get the request now, though it could when it
// was chosen. Nothing was sent.
var errNotAdmitted = errors.New("replica is cold and has been sent as much as it bears, or has started again")

// coldGrantTimeout bounds the question for a place at a cold replica. A place is of use only
// so long after it was asked for: later it would fall into another second. A way there
// and back takes some 3 ms between zones.
const coldGrantTimeout = 50 * time.Millisecond

// ColdGranter are the nodes that feed cold replicas. It is safe for concurrent use.
type ColdGranter interface {
	// RequestGrant asks a node for a place at a replica that it feeds. It reports whether the
	// node gave one before the context ended.
	RequestGrant(ctx context.Context, feeder replica.Feeder) bool
}

// coldOnly returns the error of a choice that waits for cold replicas alone, or nil.
func coldOnly(err error) *replica.NoReplicaError {
	if none := (*replica.NoReplicaError)(nil); errors.As(err, &none) && none.Cold() {
		return none
	}
	return nil
}

// needsColdGrant reports whether a choice found none but cold replicas that other nodes
// feed, or that this one may send a request no sooner.
func (f *Forwarder) needsColdGrant(err error) bool {
	none := coldOnly(err)
	return none != nil && f.ColdGranter != nil && none.ColdWait > coldRecheckInterval
}

// requestColdGrant asks one of the nodes that feed cold replicas for a place. It returns the
// replica to send the request to, or nil.
func (c *call) requestColdGrant(ctx context.Context) *replica.Candidate {
	if c.forwarder.ColdGranter == nil {
		return nil
	}
	feeders := c.forwarder.Replicas.Feeders(c.result.Pool, &c.demand, clock.Now())
	if len(feeders) == 0 {
		return nil
	}
	granter := chooseGranter(feeders, c.forwarder.Zone)
	askCtx, cancel := context.WithTimeout(ctx, coldGrantTimeout)
	defer cancel()
	began := clock.Now()
	granted := c.forwarder.ColdGranter.RequestGrant(askCtx, granter)
	// A process that was stopped, or slept, may find the answer before its timers go off.
	if !granted || askCtx.Err() != nil || clock.Since(began) >= coldGrantTimeout {
		return nil
	}
	chosen, listed := c.forwarder.Replicas.Listed(granter.Replica, clock.Now())
	if !listed || chosen.Evacuated {
		return nil
	}
	c.demand.Granted = true
	return chosen
}

// chooseGranter chooses at random, half of the times among those of replicas in a zone: if
// the zone is cut off there is no way to others.
func chooseGranter(feeders []replica.Feeder, zone string) replica.Feeder {
	var near []replica.Feeder
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
	if none := (*replica.NoReplicaError)(nil); errors.As(err, &none) && none.Lasts() {
		// Nothing that may happen in time helps.
		return err
	}
	wait := capacityRetryInterval
	if none := coldOnly(err); none != nil {
		c.forwarder.Replicas.HeldBack()
		wait = max(time.Millisecond, none.ColdWait)
		if c.forwarder.needsColdGrant(err) {
			wait = coldRecheckInterval
		}
	}
	if waitErr := c.waitForCapacity(ctx, wait); waitErr != nil {
		// The log tells why no replica could take it.
		return fmt.Errorf("%w: %w", waitErr, err)
	}
	return nil
}
