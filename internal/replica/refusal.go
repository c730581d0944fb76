package replica

import "time"

// DeclaredComeBack is what a caller is told to wait where operators keep its request from
// all replicas. An operator's act has no known end; it lasts for minutes, and the nodes
// know of its end within a second. So it is long enough that callers who come back until
// then do not add to the load (one that waits without a deadline makes 0.2 calls a second)
// and short enough that none waits long after the end. A caller with a deadline waits no
// longer than that allows.
const DeclaredComeBack = 5 * time.Second

// ListedComeBack is what a caller is told to wait where no replica is listed in the
// regions of its request. One that starts is listed after a heartbeat, 1.2 s on the users'
// platform.
const ListedComeBack = 1200 * time.Millisecond

// ComeBack is how long a caller should wait whose request no replica may serve for where
// it stands.
func (e *NoReplicaError) ComeBack() time.Duration {
	if e.Counts[Evacuated] > 0 {
		return DeclaredComeBack
	}
	return ListedComeBack
}

// Main returns what excludes most of the replicas, the first by order among equals;
// Usable if there is none.
func (e *NoReplicaError) Main() Exclusion {
	reason, most := Usable, 0
	for one, count := range e.Counts {
		if count > most {
			reason, most = Exclusion(one), count
		}
	}
	return reason
}
