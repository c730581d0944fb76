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
	// itemSilence is how long a replica may say nothing to any request before an item is
	// taken elsewhere.
	itemSilence = 2 * time.Second
	// stalledFirstLeast is the least time that an answer has to its first event while its
	// replica answers others, stalledNextLeast the least time between two events: an item
	// waits for a slot before the first, and has one after it.
	stalledFirstLeast = 4 * time.Second
	stalledNextLeast  = 2 * time.Second
	// learnedMost bounds what is learned, so that a few answers which took very long to begin do
	// not make each dead connection cost as much.
	learnedMost = 10 * time.Second
	// silentMost bounds any silence. An answer that takes longer to its first event never
	// comes to its end; one that takes up to it is sent six times at the most.
	silentMost = time.Minute
	// restartedStalled is how long an answer may be silent once its replica is known to have
	// started again: the list tells late, so the attempt may have been sent to the new start,
	// whose events come several times in this time once it has begun.
	restartedStalled = 500 * time.Millisecond
	// onceStalled is how long an item may be silent between two events that may run only once:
	// leaving it ends it, as one of which nobody knows whether it ran. Before the first it may
	// stand in a long queue, and has silentMost.
	onceStalled = 30 * time.Second
	// silenceLooks is how often a silence is looked at in itemSilence.
	silenceLooks = 8
	// maxDoublings bounds the doubling for what can be counted in a time.
	maxDoublings = 16
)

// watchSilence gives an attempt up that has been silent for too long.
func (r *Runner) watchSilence(one *task, use *replica.Use) (stop func()) {
	done := make(chan struct{})
	// The next attempt has a cancel of its own, which a late look must not call.
	cancel := one.cancel
	go func() {
		ticker := time.NewTicker(itemSilence / silenceLooks)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if err := r.silent(one, use, clock.Now()); err != nil {
					cancel(err)
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

// silent returns why an attempt is to be given up now, nil if it is not.
func (r *Runner) silent(one *task, use *replica.Use, now time.Time) error {
	own, begun := use.OwnSilence(now)
	switch {
	case restarted(use) && own > restartedStalled:
		return forward.ErrRestarted
	case one.once && own > onceSilence(begun):
		return forward.ErrStalled
	case one.once:
		return nil
	case use.Silence(now) > r.doubled(one, itemSilence):
		return forward.ErrSilent
	case own > r.stalledAfter(one, begun):
		return forward.ErrStalled
	default:
		return nil
	}
}

// onceSilence is how long an item may be silent that may run only once.
func onceSilence(begun bool) time.Duration {
	if begun {
		return onceStalled
	}
	return silentMost
}

// restarted reports whether the replica of an attempt is known to have started again since.
func restarted(use *replica.Use) bool {
	select {
	case <-use.Restarted():
		return true
	default:
		return false
	}
}

// stalledAfter is how long an attempt may be silent whose replica answers others, before its
// first event or after it.
func (r *Runner) stalledAfter(one *task, begun bool) time.Duration {
	r.mu.Lock()
	limit := max(stalledFirstLeast, r.pauses.first.longest())
	if begun {
		limit = max(stalledNextLeast, r.pauses.next.longest())
	}
	r.mu.Unlock()
	return r.doubled(one, min(limit, learnedMost))
}

// doubled is a time for an attempt, doubled for each one in a row that was given up before it
// brought anything, up to silentMost.
func (r *Runner) doubled(one *task, limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(limit<<min(one.stalls, maxDoublings), silentMost)
}

// runPauses are the pauses of one answer. The zero value, with last set to when the attempt was
// sent, has none.
type runPauses struct {
	last        time.Time
	begun       bool
	first, next time.Duration
}

// heard takes in an event.
func (p *runPauses) heard(now time.Time) {
	pause := now.Sub(p.last)
	p.last = now
	if !p.begun {
		p.begun, p.first = true, pause
		return
	}
	p.next = max(p.next, pause)
}

// learnPauses takes in how an answer came as far as it did.
func (r *Runner) learnPauses(run runPauses) {
	if !run.begun {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pauses.first.add(run.first)
	r.pauses.next.add(run.next)
}

// pauses is what is learned of how answers to items come: the time to their first events, and
// the longest pause after it. The zero value knows nothing.
type pauses struct{ first, next pauseTimes }

// pauseTimes estimates the longest of some times. It is the estimate by which a sender takes a
// segment for lost (Jacobson, 1988; RFC 6298): the mean and four mean deviations.
type pauseTimes struct{ mean, deviation time.Duration }

const (
	// pauseWeight and deviationWeight are those of RFC 6298.
	pauseWeight     = 0.125
	deviationWeight = 0.25
	pauseDeviations = 4
)

// add takes in one time.
func (p *pauseTimes) add(seen time.Duration) {
	if p.mean == 0 {
		p.mean, p.deviation = seen, seen/2
		return
	}
	p.deviation += time.Duration(deviationWeight * float64((seen-p.mean).Abs()-p.deviation))
	p.mean += time.Duration(pauseWeight * float64(seen-p.mean))
}

// longest is the longest time that is to be expected; 0 if nothing is learned.
func (p *pauseTimes) longest() time.Duration { return p.mean + pauseDeviations*p.deviation }
