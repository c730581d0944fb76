package replica

import (
	"math"
	"time"
)

// evidenceMemory is how far back answers count as evidence about a replica. A node of a
// large fleet meets a replica each 20 s (87 nodes before 60 replicas on the users'
// deployment), all nodes together some four times a second: ten answers of all.
const evidenceMemory = 3 * time.Second

// Tally counts the whole answers and the failures of a replica, fading. The zero value
// has seen nothing.
type Tally struct {
	Failures, Successes float64
	// LastFailure is when the last failure was seen.
	LastFailure time.Time
	// at is when the counts were last faded, observed when the last answer was seen.
	at, observed time.Time
}

// advance fades the counts up to now.
func (t *Tally) advance(now time.Time) {
	passed := now.Sub(t.at)
	if t.at.IsZero() || passed <= 0 {
		t.at = now
		return
	}
	kept := math.Exp(-float64(passed) / float64(evidenceMemory))
	t.Failures *= kept
	t.Successes *= kept
	t.at = now
}

// observe takes in how a request ended.
func (t *Tally) observe(result Result, now time.Time) {
	t.advance(now)
	switch result {
	case Succeeded:
		t.Successes++
	case Failed, Unreachable:
		t.Failures++
		t.LastFailure = now
	default:
		return
	}
	t.observed = now
}

// recent reports whether anything was seen of late.
func (t *Tally) recent(now time.Time) bool { return now.Sub(t.observed) < evidenceMemory }

// failedSince reports whether the replica failed after a moment and of late.
func (t *Tally) failedSince(after, now time.Time) bool {
	return t.LastFailure.After(after) && now.Sub(t.LastFailure) < evidenceMemory
}
