package quarantine

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// repeatedTrialDelay is the least time between two trials of a request.
	repeatedTrialDelay = time.Second
	// maxTrialSpread bounds the time that is added to the delay after a trial beside other suspects.
	// Two works whose trials ended in one crash would otherwise be tried again at the same time, and
	// often on the same replica.
	maxTrialSpread = time.Second
	// earlyTrialAfter is the number of failed trials after which the next one follows as soon as the
	// previous one did, if something else may have ended one of them.
	earlyTrialAfter = 2
	// sameCauseCrashes is the number of other replicas that must crash within sameCauseWindow of one
	// for a common cause to be likely, such as the loss of a zone.
	sameCauseCrashes = 2
	sameCauseWindow  = 100 * time.Millisecond
	// trialPropagation is how long after its start the success of a trial is known on all nodes.
	trialPropagation = time.Second
)

// requestTrialDelays are the times from the quarantine, and then from the latest trial, to the next
// trial of a request, indexed by the number of failed trials; the last one repeats. The first trials
// follow at once, because callers wait for them and the crashes say little about work that ran beside
// other work. Harmful work that crashes replicas alone crashes three by trials in its first ten
// minutes and four in DefaultWindow, after which its first crashes no longer count.
var requestTrialDelays = []time.Duration{0, repeatedTrialDelay, 10 * time.Second, 12 * time.Minute, time.Hour}

// partTrialDelays are the corresponding times for parts of prompts. The first trial follows at once, and two
// more within the first hour. Trials are rare after that, because requests with the part keep coming
// from many callers. The longest delay is shorter than partWindow, so that a failed trial keeps the part
// quarantined.
var partTrialDelays = []time.Duration{0, 10 * time.Second, 10 * time.Minute, 12 * time.Hour}

// trialDelay returns the element of delays that follows a number of failed trials.
func trialDelay(delays []time.Duration, failed int) time.Duration {
	return delays[min(failed, len(delays)-1)]
}

// Verdict is the current assessment of work.
type Verdict struct {
	Work Work
	// Part is set if Work identifies a part of prompts. Group are then the parts, if it is quarantined,
	// that cannot be told apart; only requests that hold all of them are refused.
	Part  bool
	Group []Work
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
	// LastTrial is the time of the newest crash during a trial since the work last succeeded, and
	// FailedTrials the number of such crashes.
	LastTrial    time.Time
	FailedTrials int
	// EarlyTrial is set if the next trial of a request follows sooner than after other failed trials,
	// because something else may have ended one of them.
	EarlyTrial bool
	// UnclearTrials is the number of failed trials of a part that do not put off the next one, because
	// something else may have crashed their replicas.
	UnclearTrials int
	// LastTrialShared is set if other suspects ran on the replica of the last trial.
	LastTrialShared bool
	// Limit is the number of crashes at which the work is quarantined.
	Limit int
	// NewlyQuarantined is set on the first verdict that quarantines the work.
	NewlyQuarantined bool
}

// addCrash adds a crash that is later than those before.
func (v *Verdict) addCrash(c *crash) {
	v.Replicas = append(v.Replicas, c.replica)
	v.CrashTimes = append(v.CrashTimes, c.at)
	v.LastCrash = c.at
}

// RequestTrialDue reports whether quarantined work may run once more to show that it is harmless.
// Callers may repeat requests at any rate, and requests wait for the result of a trial. At most one
// trial of a work runs in the fleet at a time.
func (v *Verdict) RequestTrialDue(now time.Time) bool {
	return v.Quarantined && !now.Before(v.nextRequestTrial())
}

// RetryAfter returns how long the caller of a refused request should wait: until the result of the
// next trial is known.
func (v *Verdict) RetryAfter(now time.Time) time.Duration {
	return max(0, v.nextRequestTrial().Sub(now)) + trialPropagation
}

// nextRequestTrial returns when the next trial of a request is due.
func (v *Verdict) nextRequestTrial() time.Time {
	if v.LastTrial.IsZero() {
		return time.Time{}
	}
	failed := v.FailedTrials - v.UnclearTrials
	if v.EarlyTrial {
		// Harmful work gets its third trial earlier by this, but no more trials.
		failed--
	}
	delays := requestTrialDelays
	if v.Part {
		delays = partTrialDelays
	}
	delay := max(repeatedTrialDelay, trialDelay(delays, failed))
	return v.LastTrial.Add(delay + v.trialSpread())
}

// lastTrialReported reports whether all nodes that sent runs to the replica of the last trial have
// had time to report its crash.
func (v *Verdict) lastTrialReported(now time.Time) bool { return now.Sub(v.LastTrial) >= reportDelay }

// trialSpread returns the time that is added to the delay of the next trial, below maxTrialSpread. It
// differs between works and between the trials of one work, and all nodes agree on it. It is zero
// unless other suspects ran beside the last trial.
func (v *Verdict) trialSpread() time.Duration {
	if !v.LastTrialShared {
		return 0
	}
	seed := binary.LittleEndian.AppendUint64(v.Work[:], uint64(v.FailedTrials))
	return time.Duration(xxhash.Sum64(seed) % uint64(maxTrialSpread))
}

// RefusalError reports that work was not sent because it is quarantined.
type RefusalError struct{ Verdict }

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("quarantined: %d replicas ended while they ran this work", len(e.Replicas))
}
