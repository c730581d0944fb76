package replica

import "time"

// EvacuationRetryAfter is what a caller is told to wait where operators keep its request from
// all replicas. An operator's act has no known end; it lasts for minutes, and the nodes
// know of its end within a second. So it is long enough that callers who come back until
// then do not add to the load (one that waits without a deadline makes 0.2 calls a second)
// and short enough that none waits long after the end. A caller with a deadline waits no
// longer than that allows.
const EvacuationRetryAfter = 5 * time.Second

// UnlistedRetryAfter is what a caller is told to wait where no replica is listed in the
// regions of its request. One that starts is listed after a heartbeat, 1.2 s on the users'
// platform.
const UnlistedRetryAfter = 1200 * time.Millisecond

// RetryAfter is how long a caller should wait whose request no replica may serve for where
// it stands.
func (e *NoReplicaError) RetryAfter() time.Duration {
	if e.Counts[Evacuated] > 0 {
		return EvacuationRetryAfter
	}
	return UnlistedRetryAfter
}

// MainReason returns what excludes most of the replicas, the first by order among equals;
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
