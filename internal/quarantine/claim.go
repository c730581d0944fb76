package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// A trial claims the replica on which it runs. No other trial may claim that replica meanwhile, and all
// nodes send their other work elsewhere if they can. Otherwise the crash of the replica would not show
// which of the works on it is harmful.

const (
	// claimDuration is how long a trial has its replica to itself. Harmful work usually crashes a
	// replica earlier, and a longer claim would withhold the replica from other requests.
	claimDuration = 2 * time.Second
	// ClaimSettleTime is the time from the claim to the start of the trial. Meanwhile the claim
	// reaches the other nodes, and most harmful work that already runs on the replica crashes it.
	ClaimSettleTime = 100 * time.Millisecond
	// maxClaims bounds the claims that a node remembers.
	maxClaims = 1000
)

// Claim states that a trial has a replica to itself.
type Claim struct {
	Trial
	// Replica is the replica's id.
	Replica string
	// At is when the replica was claimed.
	At time.Time
}

// expired reports whether the replica may be claimed by another trial.
func (c *Claim) expired(now time.Time) bool { return now.Sub(c.At) >= claimDuration }

// ClaimReplica records the claim of a replica unless another trial has claimed it. It reports whether it
// did. Like a request for a trial, a claim may be repeated. It ends the claim of another replica by the
// same trial, which a replica that refused the trial leaves behind.
func (l *List) ClaimReplica(claim Claim, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pruneClaims(now)
	if current, ok := l.claims[claim.Replica]; ok && current.Trial != claim.Trial {
		return false
	}
	l.deleteClaims(func(other *Claim) bool { return other.Trial == claim.Trial })
	if l.claims == nil || len(l.claims) >= maxClaims {
		l.claims = map[string]Claim{}
	}
	l.claims[claim.Replica] = claim
	l.claimCount.Store(int64(len(l.claims)))
	return true
}

// ClaimedReplicas returns the ids of the replicas that trials have claimed; nil if there are none.
func (l *List) ClaimedReplicas(now time.Time) map[string]bool {
	if l.claimCount.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pruneClaims(now)
	claimed := make(map[string]bool, len(l.claims))
	for replica := range l.claims {
		claimed[replica] = true
	}
	return claimed
}

// pruneClaims removes expired claims. The caller holds mu.
func (l *List) pruneClaims(now time.Time) {
	l.deleteClaims(func(claim *Claim) bool { return claim.expired(now) })
}

// releaseReplicas removes the claims of the trials of work. The caller holds mu.
func (l *List) releaseReplicas(work Work) {
	l.deleteClaims(func(claim *Claim) bool { return claim.Work == work })
}

// deleteClaims removes the claims that match. The caller holds mu.
func (l *List) deleteClaims(matches func(*Claim) bool) {
	for replica, claim := range l.claims {
		if matches(&claim) {
			delete(l.claims, replica)
		}
	}
	l.claimCount.Store(int64(len(l.claims)))
}

// ClaimReplica claims a replica for a trial of this node. It returns false if another trial has claimed
// it. The trial should start ClaimSettleTime later.
func (g *Guard) ClaimReplica(ctx context.Context, trial Trial, replica string) bool {
	claim := Claim{Trial: trial, Replica: replica, At: clock.Now()}
	if !g.List.ClaimReplica(claim, claim.At) || !g.Trials.Claim(ctx, claim) {
		g.Events.ClaimDenied(claim)
		return false
	}
	g.Events.ReplicaClaimed(claim)
	return true
}

// ClaimForItem claims a replica for the trial of an item, which starts at once and asks no other node.
func (g *Guard) ClaimForItem(work Work, replica string) {
	claim := Claim{Trial: Trial{Work: work, ID: rand.Uint64()}, Replica: replica, At: clock.Now()}
	if g.List.ClaimReplica(claim, claim.At) {
		g.Events.ReplicaClaimed(claim)
	}
}

// ClaimedReplicas returns the ids of the replicas that trials have claimed, to which other work should
// not be sent; nil if there are none.
func (g *Guard) ClaimedReplicas() map[string]bool { return g.List.ClaimedReplicas(clock.Now()) }
