package forward

import (
	"context"
	"maps"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// claimTimeout bounds the time for which a trial looks for a replica on which no other trial runs. In a
// pool with fewer replicas than trials it then runs beside another one.
const claimTimeout = 5 * time.Second

// claimedReplicas returns the ids of the replicas that should be used only if there are no others; nil
// if there are none.
func (c *call) claimedReplicas() map[string]bool {
	if c.forwarder.Quarantine == nil {
		return nil
	}
	claimed := c.forwarder.Quarantine.ClaimedReplicas()
	if claimed == nil {
		return c.claimDenied
	}
	maps.Copy(claimed, c.claimDenied)
	return claimed
}

// claimReplica claims the chosen replica if the request is a trial, and waits until the trial may
// start there. It returns false if a replica must be chosen again.
func (c *call) claimReplica(ctx context.Context, chosen *replica.Candidate) bool {
	if c.trial == nil || clock.Since(c.trialSince) >= claimTimeout {
		return true
	}
	began := clock.Now()
	if !c.forwarder.Quarantine.ClaimReplica(ctx, *c.trial, chosen.ID) {
		c.recordDeniedClaim(chosen)
		retry.Sleep(ctx, capacityRetryInterval)
		return false
	}
	if c.criteria.Granted {
		// There is no time to wait: the grant counts against the cold replica's rate now.
		c.criteria.Granted = clock.Since(began) < coldGrantTimeout
		return c.criteria.Granted
	}
	retry.Sleep(ctx, quarantine.ClaimSettleTime)
	return true
}

// recordDeniedClaim makes the request prefer other replicas than one that another trial has claimed.
func (c *call) recordDeniedClaim(chosen *replica.Candidate) {
	if c.claimDenied == nil {
		c.claimDenied = map[string]bool{}
	}
	c.claimDenied[chosen.ID] = true
	c.criteria.Granted = false
	c.dropReservation()
}

// dropReservation forgets the slot that is reserved for the next attempt.
func (c *call) dropReservation() { c.reservation, c.criteria.Reserved = "", false }
