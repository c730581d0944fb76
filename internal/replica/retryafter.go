package replica

import "time"

// EvacuationRetryAfter is the retry delay for callers whose requests are excluded from all replicas
// by an evacuation. An evacuation ends at an unknown time, usually after minutes, and nodes learn
// of its end within a second. The delay is long enough that retries add little load (0.2 calls a
// second for a caller without a deadline) and short enough that no caller waits long after the end.
// A deadline shortens it.
const EvacuationRetryAfter = 5 * time.Second

// UnlistedRetryAfter is the retry delay for callers whose regions have no listed replica. A replica
// that starts is listed after one heartbeat, which usually takes about this long.
const UnlistedRetryAfter = 1200 * time.Millisecond

// RetryAfter returns how long a caller should wait if the place of every replica excludes its
// request.
func (e *NoReplicaError) RetryAfter() time.Duration {
	if e.Counts[Evacuated] > 0 {
		return EvacuationRetryAfter
	}
	return UnlistedRetryAfter
}

// MainReason returns the exclusion that applies to most replicas, the first by order among equals;
// Usable if there is none.
func (e *NoReplicaError) MainReason() Exclusion {
	reason, most := Usable, 0
	for i, count := range e.Counts {
		if count > most {
			reason, most = Exclusion(i), count
		}
	}
	return reason
}
