package quarantine

import (
	"fmt"
	"time"
)

const (
	// trialDelay is the time from the newest crash to a trial of quarantined work; a short series
	// of unrelated crashes is over by then.
	trialDelay = 5 * time.Second
	// trialTimeout is how long after the start of a trial of a request no other trial of the same
	// work starts on the node; it exceeds the usual duration of a request.
	trialTimeout = 10 * time.Second
	// trialPropagation is how long after its start the success of a trial is known on all nodes.
	trialPropagation = time.Second
)

// requestTrialDelays are the times from the newest crash to a trial of a request, indexed by the
// number of crashes beyond the limit. They allow at most two trials within two minutes.
var requestTrialDelays = []time.Duration{trialDelay, 4 * trialDelay, 12 * time.Minute}

// Verdict is the current assessment of work.
type Verdict struct {
	Work Work
	// Replicas are the ids of the replicas whose crashes count, oldest first; a replica that
	// crashed twice occurs twice.
	Replicas []string
	// CrashTimes are the times of these crashes.
	CrashTimes []time.Time
	// OtherSuspects is set if NewlyQuarantined is: other work that ran on the same replicas and
	// has reached the crash limit as well, so either may have caused the crashes.
	OtherSuspects []Work
	// Quarantined work is sent to no replica before Until.
	Quarantined bool
	Until       time.Time
	// QueriedAt is when peers were last queried about the work; zero if never.
	QueriedAt time.Time
	// LastCrash is the time of the newest crash that counts.
	LastCrash time.Time
	// Limit is the number of crashes at which the work is quarantined.
	Limit int
	// NewlyQuarantined is set on the first verdict that quarantines the work.
	NewlyQuarantined bool
}

// TrialDue reports whether quarantined work may run once more to show that it is harmless:
// trialDelay after the newest crash, and as long as fewer than twice Limit crashes count. It is
// meant for work with a single sender.
func (v *Verdict) TrialDue(now time.Time) bool {
	return v.trialsRemain() && now.Sub(v.LastCrash) >= trialDelay
}

// RequestTrialDue is like TrialDue, with increasing delays, for requests, which callers may repeat
// at any rate.
func (v *Verdict) RequestTrialDue(now time.Time) bool {
	return v.trialsRemain() && !now.Before(v.nextRequestTrial())
}

// RetryAfter returns how long the caller of a refused request should wait: until the result of the
// next trial is known, or until the quarantine ends if no trials remain.
func (v *Verdict) RetryAfter(now time.Time) time.Duration {
	if !v.trialsRemain() {
		return max(trialPropagation, v.Until.Sub(now))
	}
	return max(0, v.nextRequestTrial().Sub(now)) + trialPropagation
}

// trialsRemain reports whether the work is quarantined and may still be tried.
func (v *Verdict) trialsRemain() bool { return v.Quarantined && len(v.Replicas) < 2*v.Limit }

// nextRequestTrial returns when the next trial of a request is due, if trials remain.
func (v *Verdict) nextRequestTrial() time.Time {
	excess := min(len(v.Replicas)-v.Limit, len(requestTrialDelays)-1)
	return v.LastCrash.Add(requestTrialDelays[excess])
}

// RefusalError reports that work was not sent because it is quarantined.
type RefusalError struct{ Verdict }

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("quarantined: %d replicas ended while they ran this work", len(e.Replicas))
}
