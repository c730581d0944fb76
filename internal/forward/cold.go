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

// errNotAdmitted reports that a replica that was eligible when picked must not receive the request
// now. Nothing was sent.
var errNotAdmitted = errors.New("replica is at its cold-start rate limit or has restarted")

// coldGrantTimeout bounds a request for a grant. A grant counts against the rate in the second in
// which it was requested, so a late one is useless. A round trip between zones takes about 3 ms.
const coldGrantTimeout = 50 * time.Millisecond

// ColdGranter requests grants from the nodes that pace requests to cold replicas. It is safe for
// concurrent use.
type ColdGranter interface {
	// RequestGrant asks sender.Node for permission to send one request to the cold replica
	// sender.Replica. The request then counts against the sender's part of the replica's rate
	// limit. RequestGrant reports whether the node granted it before the context ended.
	RequestGrant(ctx context.Context, sender replica.ColdSender) bool
}

// coldOnly returns err as a NoReplicaError if no replica was available only because cold replicas may
// not receive another request yet, and otherwise nil.
func coldOnly(err error) *replica.NoReplicaError {
	if noReplicaErr := (*replica.NoReplicaError)(nil); errors.As(err, &noReplicaErr) && noReplicaErr.WaitsForCold() {
		return noReplicaErr
	}
	return nil
}

// needsColdGrant reports whether a pick found only cold replicas to which this node may not send,
// or not soon.
func (f *Forwarder) needsColdGrant(err error) bool {
	noReplicaErr := coldOnly(err)
	return noReplicaErr != nil && f.ColdGranter != nil && noReplicaErr.ColdWait > coldRecheckInterval
}

// requestColdGrant asks one of the nodes that pace cold replicas for a grant. It returns the
// replica to send the request to, or nil.
func (c *call) requestColdGrant(ctx context.Context) *replica.Candidate {
	if c.forwarder.ColdGranter == nil {
		return nil
	}
	senders := c.forwarder.Replicas.ColdSenders(c.result.Pool, &c.criteria, clock.Now())
	if len(senders) == 0 {
		return nil
	}
	granter := chooseGranter(senders, c.forwarder.Zone)
	if granter.Ended {
		if !c.forwarder.grantGate.tryAsk(c.result.Pool, clock.Now()) {
			return nil
		}
		defer func() { c.forwarder.grantGate.record(c.result.Pool, c.criteria.Granted, clock.Now()) }()
	}
	grantCtx, cancel := context.WithTimeout(ctx, coldGrantTimeout)
	defer cancel()
	began := clock.Now()
	granted := c.forwarder.ColdGranter.RequestGrant(grantCtx, granter)
	// A process that was suspended may see the answer before its timers fire.
	if !granted || grantCtx.Err() != nil || clock.Since(began) >= coldGrantTimeout {
		return nil
	}
	chosen, listed := c.forwarder.Replicas.CandidateByID(granter.Replica, clock.Now())
	if !listed || chosen.Evacuated {
		return nil
	}
	c.criteria.Granted = true
	return chosen
}

// chooseGranter picks a sender at random, half of the time among the senders to replicas in this
// zone: if the zone is cut off, replicas in other zones are unreachable.
func chooseGranter(senders []replica.ColdSender, zone string) replica.ColdSender {
	var near []replica.ColdSender
	for _, sender := range senders {
		if sender.Zone == zone {
			near = append(near, sender)
		}
	}
	if len(near) > 0 && rand.IntN(2) == 0 {
		senders = near
	}
	return senders[rand.IntN(len(senders))]
}

// waitForReplica waits until a replica may be available, within the limits of the route.
func (c *call) waitForReplica(ctx context.Context, err error) error {
	if noReplicaErr := (*replica.NoReplicaError)(nil); errors.As(err, &noReplicaErr) && noReplicaErr.Persistent() {
		// No change before the deadline can help.
		return err
	}
	wait := capacityRetryInterval
	if noReplicaErr := coldOnly(err); noReplicaErr != nil {
		c.forwarder.Replicas.RecordHeldBack()
		wait = max(time.Millisecond, noReplicaErr.ColdWait)
		switch {
		case c.forwarder.needsColdGrant(err) && noReplicaErr.ColdEnded:
			// A replica that was only out of reach may serve the request as soon as it can be reached.
			wait = capacityRetryInterval
		case c.forwarder.needsColdGrant(err):
			wait = coldRecheckInterval
		}
	}
	if waitErr := c.waitForCapacity(ctx, wait); waitErr != nil {
		// The log shows why no replica could serve the request.
		return fmt.Errorf("%w: %w", waitErr, err)
	}
	return nil
}
