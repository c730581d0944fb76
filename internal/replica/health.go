package replica

import "time"

const (
	// failuresToEject is the number of failures in a row that eject a replica.
	failuresToEject = 2
	// ejectionFirst is the first ejection's length; it doubles with each next one.
	ejectionFirst = 700 * time.Millisecond
	ejectionMax   = 6 * time.Second
	// failureWeight is the weight of the newest answer in the share of failures.
	failureWeight = 0.15
	// failureShareToEject ejects replicas that fail now and then, all the time.
	failureShareToEject = 0.3
	// minAnswers is the number of answers before the share is judged.
	minAnswers = 8
)

// Result tells how a request ended at a replica, as far as it concerns the
// replica's health.
type Result int

const (
	// Succeeded answers were whole.
	Succeeded Result = iota
	// Failed answers broke off, were wrong or never came.
	Failed
	// Refused requests were turned away unrun.
	Refused
	// Unreachable replicas took no connection.
	Unreachable
	// Abandoned requests were given up by the caller; they tell nothing.
	Abandoned
)

// health is a node's own evidence about a replica. The set's lock guards it.
type health struct {
	consecutiveFailures int
	answers             int
	failureShare        float64
	ejections           int
	ejectedUntil        time.Time
}

// observe takes in how a request ended. It reports whether that ejected the replica.
func (h *health) observe(result Result, now time.Time) bool {
	switch result {
	case Succeeded:
		h.answers++
		h.consecutiveFailures = 0
		h.failureShare -= failureWeight * h.failureShare
		if h.failureShare < failureShareToEject/2 {
			h.ejections = 0
		}
		return false
	case Failed, Unreachable:
		h.answers++
		h.consecutiveFailures++
		h.failureShare += failureWeight * (1 - h.failureShare)
	default:
		return false
	}
	flaky := h.answers >= minAnswers && h.failureShare >= failureShareToEject
	if result == Unreachable || h.consecutiveFailures >= failuresToEject || flaky {
		return h.eject(now)
	}
	return false
}

func (h *health) eject(now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	length := min(ejectionFirst<<min(h.ejections, 8), ejectionMax)
	h.ejections++
	h.ejectedUntil = now.Add(length)
	return true
}

// ejected reports whether the replica is left out now. When the time is over
// the next request is the probe: one more failure ejects for longer.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// String returns the name used in logs.
func (r Result) String() string {
	switch r {
	case Succeeded:
		return "succeeded"
	case Failed:
		return "failed"
	case Refused:
		return "refused"
	case Unreachable:
		return "unreachable"
	default:
		return "abandoned"
	}
}
