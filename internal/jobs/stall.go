package jobs

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// An attempt at an item is abandoned after two kinds of silence. If a replica sends nothing to any
// request of this node for maxReplicaSilence, it is gone or unreachable. If it answers other
// requests, it may only be busy: the item is queued there, or its run is slow. But the attempt's
// connection may also have died without a reset, and then nothing will ever arrive. So each attempt
// has a timeout of its own, estimated from recent answers. An attempt that is abandoned too early
// is sent again on a new connection, resumes after its text so far, and has twice the timeout. So
// every attempt ends, and an answer that arrives within maxSilence completes.

const (
	// maxReplicaSilence is how long a replica may send nothing to any request before an item is
	// sent elsewhere.
	maxReplicaSilence = 2 * time.Second
	// minFirstEventTimeout is the least timeout for the first event of an answer while its replica
	// answers other requests, minNextEventTimeout the least between two events. An item waits for a
	// slot before its first event, and has one afterwards.
	minFirstEventTimeout = 4 * time.Second
	minNextEventTimeout  = 2 * time.Second
	// maxLearnedTimeout bounds the estimated timeouts, so that a few answers that were slow to
	// begin do not delay the detection of dead connections as much.
	maxLearnedTimeout = 10 * time.Second
	// maxSilence bounds any silence. An answer whose first event takes longer never completes; one
	// whose first event takes less is requested six times at most.
	maxSilence = time.Minute
	// restartedTimeout is how long an answer may be silent once its replica is known to have
	// restarted. The list of replicas is updated late, so the attempt may have been sent to the new
	// process, which sends several events in this time once it has begun.
	restartedTimeout = 500 * time.Millisecond
	// atMostOnceEventTimeout is how long an at-most-once item may be silent between two events.
	// Abandoning it ends it as undecided. Before its first event it may be in a long queue, and has
	// maxSilence.
	atMostOnceEventTimeout = 30 * time.Second
	// silenceChecks is the number of checks in maxReplicaSilence.
	silenceChecks = 8
	// maxTimeoutShift bounds the doubling of a timeout against overflow.
	maxTimeoutShift = 16
)

// watchSilence cancels an attempt that has been silent for too long.
func (r *Runner) watchSilence(t *task, use *replica.Use) (stop func()) {
	done := make(chan struct{})
	// The next attempt has its own cancel function, which a late check must not call.
	cancel := t.cancel
	go func() {
		ticker := time.NewTicker(maxReplicaSilence / silenceChecks)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if err := r.silenceError(t, use, clock.Now()); err != nil {
					cancel(err)
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

// silenceError returns why an attempt must be abandoned now; nil if it need not be.
func (r *Runner) silenceError(t *task, use *replica.Use, now time.Time) error {
	own, started := use.OwnSilence(now)
	switch {
	case restarted(use) && own > restartedTimeout:
		return forward.ErrRestarted
	case t.atMostOnce && own > atMostOnceTimeout(started):
		return forward.ErrStalled
	case t.atMostOnce:
		return nil
	case use.Silence(now) > r.backedOff(t, maxReplicaSilence):
		return forward.ErrSilent
	case own > r.stallTimeout(t, started):
		return forward.ErrStalled
	default:
		return nil
	}
}

// atMostOnceTimeout returns how long an at-most-once item may be silent.
func atMostOnceTimeout(started bool) time.Duration {
	if started {
		return atMostOnceEventTimeout
	}
	return maxSilence
}

// restarted reports whether the replica of an attempt is known to have restarted since.
func restarted(use *replica.Use) bool {
	select {
	case <-use.Restarted():
		return true
	default:
		return false
	}
}

// stallTimeout returns how long an attempt may be silent while its replica answers other requests,
// before its first event or after it.
func (r *Runner) stallTimeout(t *task, started bool) time.Duration {
	r.mu.Lock()
	limit := max(minFirstEventTimeout, r.gaps.first.upperBound())
	if started {
		limit = max(minNextEventTimeout, r.gaps.next.upperBound())
	}
	r.mu.Unlock()
	return r.backedOff(t, min(limit, maxLearnedTimeout))
}

// backedOff returns a timeout doubled for each attempt in a row that was abandoned before it
// brought anything, up to maxSilence.
func (r *Runner) backedOff(t *task, limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(limit<<min(t.stalls, maxTimeoutShift), maxSilence)
}

// eventGaps are the gaps before the events of one answer: the first one, and the longest of the
// others. Initially, last is when the attempt was sent.
type eventGaps struct {
	last        time.Time
	started     bool
	first, next time.Duration
}

// record records the gap before an event.
func (g *eventGaps) record(now time.Time) {
	gap := now.Sub(g.last)
	g.last = now
	if !g.started {
		g.started, g.first = true, gap
		return
	}
	g.next = max(g.next, gap)
}

// recordGaps updates the estimates with the gaps of an answer, complete or not.
func (r *Runner) recordGaps(run eventGaps) {
	if !run.started {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gaps.first.add(run.first)
	r.gaps.next.add(run.next)
}

// gapEstimates estimates the time to the first event of an answer and the longest gap after it. The
// zero value has no observations.
type gapEstimates struct{ first, next gapEstimate }

// gapEstimate estimates an upper bound of durations as the mean plus four mean deviations, like the
// retransmission timeout of TCP (Jacobson, 1988; RFC 6298).
type gapEstimate struct{ mean, deviation time.Duration }

const (
	// meanWeight and deviationWeight are those of RFC 6298.
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
)

// add adds one observation.
func (e *gapEstimate) add(seen time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = seen, seen/2
		return
	}
	e.deviation += time.Duration(deviationWeight * float64((seen-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanWeight * float64(seen-e.mean))
}

// upperBound returns the longest time to be expected; 0 without observations.
func (e *gapEstimate) upperBound() time.Duration { return e.mean + deviationFactor*e.deviation }
