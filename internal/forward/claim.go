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

const (
	// claimTimeout is how long a trial looks for a replica on which no other trial runs. In a pool with
	// fewer replicas than trials it then runs beside another one.
	claimTimeout = 5 * time.Second
	// moveDelay is the pause before a trial claims a second replica, as the first one refused it. It
	// doubles with each further one up to maxMoveDelay, because all nodes are told of each claim.
	moveDelay    = 100 * time.Millisecond
	maxMoveDelay = 2 * time.Second
)

// claimState is the state of a trial's claim of a replica. The zero value has none.
type claimState struct {
	// replica is the id of the claimed replica, at when it was claimed.
	replica string
	at      time.Time
	// moves is the number of claims so far.
	moves int
	// denied holds the ids of the replicas that other trials had claimed, and deniedSince is when the
	// first claim since the last granted one was denied.
	denied      map[string]bool
	deniedSince time.Time
}

// holds reports whether a replica is claimed.
func (s *claimState) holds(replica string, now time.Time) bool {
	return s.replica == replica && now.Sub(s.at) < quarantine.ClaimDuration
}

// recordGranted records that a replica has been claimed.
func (s *claimState) recordGranted(replica string, at time.Time) {
	s.replica, s.at = replica, at
	s.moves++
	s.deniedSince = time.Time{}
}

// recordDenied records that another trial has claimed a replica.
func (s *claimState) recordDenied(replica string, at time.Time) {
	if s.denied == nil {
		s.denied = map[string]bool{}
	}
	s.denied[replica] = true
	if s.deniedSince.IsZero() {
		s.deniedSince = at
	}
}

// timedOut reports whether the trial should run without a claim.
func (s *claimState) timedOut(now time.Time) bool {
	return !s.deniedSince.IsZero() && now.Sub(s.deniedSince) >= claimTimeout
}

// pause returns how long to wait before the next claim.
func (s *claimState) pause() time.Duration {
	if s.moves == 0 {
		return 0
	}
	return min(moveDelay<<min(s.moves-1, 8), maxMoveDelay)
}

// claimedReplicas returns the ids of the replicas to which others should be preferred; nil if there are
// none.
func (c *call) claimedReplicas() map[string]bool {
	if c.forwarder.Quarantine == nil {
		return nil
	}
	claimed := c.forwarder.Quarantine.ClaimedReplicas()
	if claimed == nil {
		return c.claim.denied
	}
	maps.Copy(claimed, c.claim.denied)
	return claimed
}

// prepareTrial claims the chosen replica if the request is a trial, and waits until the trial may start
// there. It returns false if a replica must be chosen again, or if the context has ended.
func (c *call) prepareTrial(ctx context.Context, chosen *replica.Candidate) bool {
	if c.trial == nil || c.claim.timedOut(clock.Now()) {
		return true
	}
	if !c.claim.holds(chosen.ID, clock.Now()) && !c.claimReplica(ctx, chosen) {
		return false
	}
	if c.criteria.Granted {
		// There is no time to wait: the grant counts against the cold replica's rate now.
		return true
	}
	return retry.Sleep(ctx, quarantine.ClaimSettleTime-clock.Since(c.claim.at))
}

// claimReplica claims the chosen replica. It returns false if another replica must be chosen.
func (c *call) claimReplica(ctx context.Context, chosen *replica.Candidate) bool {
	began := clock.Now()
	retry.Sleep(ctx, c.claim.pause())
	if !c.forwarder.Quarantine.ClaimReplica(ctx, *c.trial, chosen.ID) {
		c.claim.recordDenied(chosen.ID, clock.Now())
		c.criteria.Granted = false
		c.dropReservation()
		retry.Sleep(ctx, capacityRetryInterval)
		return false
	}
	c.claim.recordGranted(chosen.ID, clock.Now())
	if c.criteria.Granted && clock.Since(began) >= coldGrantTimeout {
		// The next grant finds the replica claimed.
		c.criteria.Granted = false
		return false
	}
	return true
}

// dropReservation forgets the slot that is reserved for the next attempt.
func (c *call) dropReservation() { c.reservation, c.criteria.Reserved = "", false }
