package quarantine

import (
	"fmt"
	"time"
)

const (
	// trialDelay is the time between two trials of quarantined work: a few replicas that end
	// one after the other by themselves are over by then.
	trialDelay = 5 * time.Second
	// trialTimeout is how long a trial of a request keeps others from being tried at the same
	// node: longer than requests of the users' deployments may take.
	trialTimeout = 10 * time.Second
	// trialPropagation is how long after the begin of a trial its outcome is known at all nodes, if
	// the work is harmless.
	trialPropagation = time.Second
)

// requestTrialDelays are the times from the newest end to a trial of a request, by how many ends
// more than the limit count against it: two trials at most within two minutes.
var requestTrialDelays = []time.Duration{trialDelay, 4 * trialDelay, 12 * time.Minute}

// Verdict is what is known of a work.
type Verdict struct {
	Work Work
	// Replicas are those whose ends count against it, the oldest first; one that ended twice
	// stands there twice.
	Replicas []string
	// Quarantined work is sent to no replica, until Until.
	Quarantined bool
	Until       time.Time
	// QueriedAt is when other nodes were last asked what speaks for the work; zero if never.
	QueriedAt time.Time
	// LastCrash is the end of the newest of Replicas.
	LastCrash time.Time
	// Limit is how many it may end.
	Limit int
	// NewlyQuarantined is set on the first verdict by which the work is quarantined.
	NewlyQuarantined bool
}

// TrialDue reports whether quarantined work may run once more to show that it is harmless:
// some time after the newest end, and until as many ends more as it may bring about at first
// speak against it. It is meant for work that is not sent by many at the same time.
func (v *Verdict) TrialDue(now time.Time) bool {
	return v.trialsRemain() && now.Sub(v.LastCrash) >= trialDelay
}

// RequestTrialDue is TrialDue with pauses that grow: for work that comes again by itself for as
// long as its callers like.
func (v *Verdict) RequestTrialDue(now time.Time) bool {
	return v.trialsRemain() && !now.Before(v.nextRequestTrial())
}

// RetryAfter returns how long a caller should wait whose request was refused: until the work has
// been tried once more and may have been found harmless, or until what counts against it has
// faded if it is tried no more.
func (v *Verdict) RetryAfter(now time.Time) time.Duration {
	if !v.trialsRemain() {
		return max(trialPropagation, v.Until.Sub(now))
	}
	return max(0, v.nextRequestTrial().Sub(now)) + trialPropagation
}

func (v *Verdict) trialsRemain() bool { return v.Quarantined && len(v.Replicas) < 2*v.Limit }

// nextRequestTrial is when the next trial of a request is due, for work that may be tried.
func (v *Verdict) nextRequestTrial() time.Time {
	excess := min(len(v.Replicas)-v.Limit, len(requestTrialDelays)-1)
	return v.LastCrash.Add(requestTrialDelays[excess])
}

// RefusedError reports work that is kept from all replicas. It did not run this time.
type RefusedError struct{ Verdict }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("quarantined: %d replicas ended while they ran this work", len(e.Replicas))
}
