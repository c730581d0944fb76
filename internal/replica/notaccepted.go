package replica

import "time"

const (
	// maxPause is the longest time for which a sound replica accepts no connection.
	maxPause = 1500 * time.Millisecond
	// pauseRetryInterval is how long other replicas are preferred after a connection was not accepted. Then
	// a request may try again.
	pauseRetryInterval = ejectionFirst
	// pauseMemory is the time between two connections that were not accepted beyond which they belong to
	// different pauses. While a replica is used, it is tried more often.
	pauseMemory = 3 * time.Second
)

// connectionPause describes the last time for which a replica accepted no connection. The set's lock
// guards it.
type connectionPause struct {
	// since is when the first connection of the pause was tried, last when the newest was given up; zero if
	// there was no pause.
	since, last time.Time
}

// observeNotAccepted records a connection that was tried at sent and given up at now. It returns what that
// says of the replica: Unreachable if it has accepted none for longer than a sound one may pause, and
// NotAccepted otherwise. The caller holds the set's lock.
func (e *entry) observeNotAccepted(sent, now time.Time) Result {
	pause := e.own().pause
	if pause.since.IsZero() || e.lastReceived.After(pause.since) || now.Sub(pause.last) > pauseMemory {
		pause.since = sent
	}
	pause.last = now
	e.pause = pause
	if now.Sub(pause.since) <= maxPause {
		return NotAccepted
	}
	return Unreachable
}

// pauseBeforeConnection returns the time for which the replica has accepted no connection; 0 if it has sent
// data since, or if the last try was some time ago. The caller holds the set's lock.
func (e *entry) pauseBeforeConnection(now time.Time) time.Duration {
	if e.pause.since.IsZero() || e.lastReceived.After(e.pause.since) || now.Sub(e.pause.last) > pauseRetryInterval {
		return 0
	}
	return now.Sub(e.pause.since)
}
