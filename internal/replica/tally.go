package replica

import (
	"math"
	"time"
)

// evidenceMemory is the time constant by which answers decay as evidence, and the age up to which
// they count as recent. It is long enough for all nodes of a large fleet together to get about ten
// answers from each replica, though a given node may get one in 20 s only (87 nodes, 60 replicas).
const evidenceMemory = 3 * time.Second

// Tally counts the complete answers and the failures of a replica, with exponential decay. The
// zero value is empty.
type Tally struct {
	Failures, Successes float64
	// LastFailure is when the last failure was observed.
	LastFailure time.Time
	// at is the time to which the counts have decayed, observed that of the last answer.
	at, observed time.Time
}

// advance decays the counts up to now.
func (t *Tally) advance(now time.Time) {
	elapsed := now.Sub(t.at)
	if t.at.IsZero() || elapsed <= 0 {
		t.at = now
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(evidenceMemory))
	t.Failures *= decay
	t.Successes *= decay
	t.at = now
}

// observe records the result of a request.
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

// recent reports whether an answer was observed within evidenceMemory.
func (t *Tally) recent(now time.Time) bool { return now.Sub(t.observed) < evidenceMemory }

// failedSince reports whether a failure was observed after a time and within evidenceMemory.
func (t *Tally) failedSince(after, now time.Time) bool {
	return t.LastFailure.After(after) && now.Sub(t.LastFailure) < evidenceMemory
}
