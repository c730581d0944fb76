package quarantine

import (
	"context"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// A trial claims the replica on which it runs. No other trial may claim that replica meanwhile, and all
// nodes prefer other replicas for their other work. Otherwise the crash of the replica would not show
// which of the works on it is harmful.

const (
	// ClaimDuration is how long nodes prefer other replicas to a claimed one, and how long a claim
	// excludes other trials after its last renewal. Harmful work usually crashes a replica earlier, and
	// to avoid a replica for longer would withhold it from other requests.
	ClaimDuration = 2 * time.Second
	// ClaimSettleTime is the time from the claim to the start of the trial. Meanwhile the claim
	// reaches the other nodes, and most harmful work that already runs on the replica crashes it.
	ClaimSettleTime = 100 * time.Millisecond
	// maxClaims bounds the claims that a node remembers.
	maxClaims = 1000
)

// ReplicaClaim states that a trial has a replica to itself.
type ReplicaClaim struct {
	Trial
	// Replica is the replica's id.
	Replica string
	// At is when the replica was claimed.
	At time.Time
	// renewedAt is when the trial was last known to be under way.
	renewedAt time.Time
}

// expired reports whether another trial may claim the replica.
func (c *ReplicaClaim) expired(now time.Time) bool {
	return now.Sub(c.At) >= ClaimDuration && now.Sub(c.renewedAt) >= ClaimDuration
}

// ClaimReplica records the claim of a replica unless a trial of other work has claimed it, or the trial has
// moved on to another replica since. It reports whether it did. A work has one claim at most: a new one
// ends the previous one, which a replica that refused the trial leaves behind.
func (l *List) ClaimReplica(claim ReplicaClaim, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.mayClaim(&claim, now) {
		return false
	}
	l.deleteClaimsWhere(func(other *ReplicaClaim) bool { return other.Work == claim.Work })
	l.recordClaim(claim)
	return true
}

// mayClaim reports whether a replica can be claimed. The caller holds mu.
func (l *List) mayClaim(claim *ReplicaClaim, now time.Time) bool {
	l.deleteClaimsWhere(func(other *ReplicaClaim) bool { return other.expired(now) })
	if current, ok := l.claims[claim.Replica]; ok && current.Work != claim.Work {
		return false
	}
	for _, other := range l.claims {
		if other.Work == claim.Work && other.At.After(claim.At) {
			return false
		}
	}
	return true
}

// recordClaim adds a claim. The caller holds mu.
func (l *List) recordClaim(claim ReplicaClaim) {
	if l.claims == nil || len(l.claims) >= maxClaims {
		l.claims = map[string]ReplicaClaim{}
	}
	l.claims[claim.Replica] = claim
	l.claimCount.Store(int64(len(l.claims)))
}

// ClaimedReplicas returns the ids of the replicas to which others should be preferred, because trials have
// claimed them; nil if there are none.
func (l *List) ClaimedReplicas(now time.Time) map[string]bool {
	if l.claimCount.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deleteClaimsWhere(func(claim *ReplicaClaim) bool { return claim.expired(now) })
	var claimed map[string]bool
	for replica, claim := range l.claims {
		if now.Sub(claim.At) >= ClaimDuration {
			continue
		}
		if claimed == nil {
			claimed = map[string]bool{}
		}
		claimed[replica] = true
	}
	return claimed
}

// claimedBy returns the id of the replica that a trial has claimed; empty if there is none.
func (l *List) claimedBy(trial Trial) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for replica, claim := range l.claims {
		if claim.Trial == trial {
			return replica
		}
	}
	return ""
}

// renewClaimBy records that a trial is under way, and returns the id of the replica that it has claimed;
// empty if there is none.
func (l *List) renewClaimBy(trial Trial, now time.Time) string {
	l.mu.Lock()
	l.renewClaim(trial, now)
	l.mu.Unlock()
	return l.claimedBy(trial)
}

// renewClaim records that the trial that claimed a replica is under way. The caller holds mu.
func (l *List) renewClaim(trial Trial, now time.Time) {
	for replica, claim := range l.claims {
		if claim.Trial == trial {
			claim.renewedAt = now
			l.claims[replica] = claim
		}
	}
}

// releaseClaims ends the claims of the trials of work that began before a time. The caller holds mu.
func (l *List) releaseClaims(work Work, at time.Time) {
	l.deleteClaimsWhere(func(claim *ReplicaClaim) bool { return claim.Work == work && !claim.At.After(at) })
}

// releaseCrashed ends the claim of a replica that has crashed. The caller holds mu.
func (l *List) releaseCrashed(replica string, at time.Time) {
	if claim, ok := l.claims[replica]; ok && !claim.At.After(at) {
		l.deleteClaimsWhere(func(other *ReplicaClaim) bool { return other.Replica == replica })
	}
}

// deleteClaimsWhere removes the claims that match. The caller holds mu.
func (l *List) deleteClaimsWhere(matches func(*ReplicaClaim) bool) {
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
	if g.List.claimedBy(trial) == replica {
		return true
	}
	claim := ReplicaClaim{Trial: trial, Replica: replica, At: clock.Now()}
	if !g.isFree(&claim) || !g.Trials.Claim(ctx, claim) || !g.List.ClaimReplica(claim, clock.Now()) {
		g.Events.ClaimDenied(claim)
		return false
	}
	g.Events.ReplicaClaimed(claim)
	return true
}

// isFree reports whether no other trial is known to have claimed the replica. The claim is not recorded
// before its owner has granted it, so that this node learns of the claim of another trial meanwhile.
func (g *Guard) isFree(claim *ReplicaClaim) bool {
	g.List.mu.Lock()
	defer g.List.mu.Unlock()
	return g.List.mayClaim(claim, claim.At)
}

// ClaimedReplicas returns the ids of the replicas to which others should be preferred, because trials have
// claimed them; nil if there are none.
func (g *Guard) ClaimedReplicas() map[string]bool { return g.List.ClaimedReplicas(clock.Now()) }
