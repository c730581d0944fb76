package jobs

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// An attempt at an item ends in a silence of two kinds. Where nothing comes from the replica at
// all, to any request of this node, it is gone or cut off, and 2 s are enough to tell. Where it
// answers others, it may only be busy: the item waits for a slot there, or its run is slow. But
// its connection may also have died without a reset, and then nothing will ever come. So each
// attempt has a limit of its own, from how answers have come of late; one that is left too
// early is only sent again, after its text so far, on a new connection, and has twice the time
// then. So every attempt ends, and an answer that comes within silentMost comes to its end.

const (
	// maxReplicaSilence is how long a replica may say nothing to any request before an item is
	// taken elsewhere.
	maxReplicaSilence = 2 * time.Second
	// minFirstEventTimeout is the least time that an answer has to its first event while its
	// replica answers others, stalledNextLeast the least time between two events: an item
	// waits for a slot before the first, and has one after it.
	minFirstEventTimeout = 4 * time.Second
	minNextEventTimeout  = 2 * time.Second
	// maxLearnedTimeout bounds what is learned, so that a few answers which took very long to begin do
	// not make each dead connection cost as much.
	maxLearnedTimeout = 10 * time.Second
	// maxSilence bounds any silence. An answer that takes longer to its first event never
	// comes to its end; one that takes up to it is sent six times at the most.
	maxSilence = time.Minute
	// restartedTimeout is how long an answer may be silent once its replica is known to have
	// started again: the list tells late, so the attempt may have been sent to the new start,
	// whose events come several times in this time once it has begun.
	restartedTimeout = 500 * time.Millisecond
	// atMostOnceEventTimeout is how long an item may be silent between two events that may run only once:
	// leaving it ends it, as one of which nobody knows whether it ran. Before the first it may
	// stand in a long queue, and has silentMost.
	atMostOnceEventTimeout = 30 * time.Second
	// silenceChecks is how often a silence is looked at in itemSilence.
	silenceChecks = 8
	// maxTimeoutShift bounds the doubling for what can be counted in a time.
	maxTimeoutShift = 16
)

// watchSilence gives an attempt up that has been silent for too long.
func (r *Runner) watchSilence(t *task, use *replica.Use) (stop func()) {
	done := make(chan struct{})
	// The next attempt has a cancel of its own, which a late look must not call.
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

// silenceError returns why an attempt is to be given up now, nil if it is not.
func (r *Runner) silenceError(t *task, use *replica.Use, now time.Time) error {
	own, begun := use.OwnSilence(now)
	switch {
	case restarted(use) && own > restartedTimeout:
		return forward.ErrRestarted
	case t.atMostOnce && own > atMostOnceTimeout(begun):
		return forward.ErrStalled
	case t.atMostOnce:
		return nil
	case use.Silence(now) > r.backedOff(t, maxReplicaSilence):
		return forward.ErrSilent
	case own > r.stallTimeout(t, begun):
		return forward.ErrStalled
	default:
		return nil
	}
}

// atMostOnceTimeout is how long an item may be silent that may run only once.
func atMostOnceTimeout(begun bool) time.Duration {
	if begun {
		return atMostOnceEventTimeout
	}
	return maxSilence
}

// restarted reports whether the replica of an attempt is known to have started again since.
func restarted(use *replica.Use) bool {
	select {
	case <-use.Reborn():
		return true
	default:
		return false
	}
}

// stallTimeout is how long an attempt may be silent whose replica answers others, before its
// first event or after it.
func (r *Runner) stallTimeout(t *task, begun bool) time.Duration {
	r.mu.Lock()
	limit := max(minFirstEventTimeout, r.gaps.first.upperBound())
	if begun {
		limit = max(minNextEventTimeout, r.gaps.next.upperBound())
	}
	r.mu.Unlock()
	return r.backedOff(t, min(limit, maxLearnedTimeout))
}

// backedOff is a time for an attempt, backedOff for each one in a row that was given up before it
// brought anything, up to silentMost.
func (r *Runner) backedOff(t *task, limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(limit<<min(t.stalls, maxTimeoutShift), maxSilence)
}

// eventGaps are the pauses of one answer. The zero value, with last set to when the attempt was
// sent, has none.
type eventGaps struct {
	last        time.Time
	begun       bool
	first, next time.Duration
}

// record takes in an event.
func (p *eventGaps) record(now time.Time) {
	gap := now.Sub(p.last)
	p.last = now
	if !p.begun {
		p.begun, p.first = true, gap
		return
	}
	p.next = max(p.next, gap)
}

// recordGaps takes in how an answer came as far as it did.
func (r *Runner) recordGaps(run eventGaps) {
	if !run.begun {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gaps.first.add(run.first)
	r.gaps.next.add(run.next)
}

// gapEstimates is what is learned of how answers to items come: the time to their first events, and
// the longest pause after it. The zero value knows nothing.
type gapEstimates struct{ first, next gapEstimate }

// gapEstimate estimates the longest of some times. It is the estimate by which a sender takes a
// segment for lost (Jacobson, 1988; RFC 6298): the mean and four mean deviations.
type gapEstimate struct{ mean, deviation time.Duration }

const (
	// meanWeight and deviationWeight are those of RFC 6298.
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
)

// add takes in one time.
func (p *gapEstimate) add(seen time.Duration) {
	if p.mean == 0 {
		p.mean, p.deviation = seen, seen/2
		return
	}
	p.deviation += time.Duration(deviationWeight * float64((seen-p.mean).Abs()-p.deviation))
	p.mean += time.Duration(meanWeight * float64(seen-p.mean))
}

// upperBound is the upperBound time that is to be expected; 0 if nothing is learned.
func (p *gapEstimate) upperBound() time.Duration { return p.mean + deviationFactor*p.deviation }
