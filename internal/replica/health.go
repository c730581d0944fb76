package replica

import "time"

const (
	// failuresToEject is the number of consecutive failures that eject a replica.
	failuresToEject = 2
	// ejectionFirst is the length of the first ejection. It doubles with each further one.
	ejectionFirst = 700 * time.Millisecond
	ejectionMax   = 6 * time.Second
	// failureWeight is the weight of the newest answer in the share of failures.
	failureWeight = 0.15
	// failureShareToEject is the share of failures that ejects a replica, also one that fails
	// intermittently.
	failureShareToEject = 0.3
	// minAnswers is the number of answers needed before the share of failures is considered.
	minAnswers = 8
)

// Result is the outcome of a request, as far as it concerns the health of the replica.
type Result int

const (
	// Succeeded means that the answer was complete.
	Succeeded Result = iota
	// Failed means that the answer broke off, was invalid or did not arrive.
	Failed
	// Refused means that the replica rejected the request without running it.
	Refused
	// Unreachable means that the replica refused a connection, or has accepted none for longer than a
	// sound one may pause.
	Unreachable
	// NotAccepted means that no connection was established in time. It counts as Unreachable if the
	// replica has accepted none for longer than a sound one may pause.
	NotAccepted
	// Abandoned means that the caller gave up, which is no evidence about the replica.
	Abandoned
)

// health is this node's own evidence about a replica. The set's lock guards it.
type health struct {
	consecutiveFailures int
	answers             int
	failureShare        float64
	ejections           int
	ejectedUntil        time.Time
}

// observe records the result of a request. It reports whether that ejected the replica.
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

// ejected reports whether the replica is ejected now. After an ejection the next request is the
// probe: one more consecutive failure ejects the replica for longer.
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
	case NotAccepted:
		return "not accepted"
	default:
		return "abandoned"
	}
}
