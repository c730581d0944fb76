package forward

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

const (
	// silenceFactor is how many objectives, or gaps, a replica may be silent before a stream that
	// can resume elsewhere is moved.
	silenceFactor = 4
	// minSilenceLimit is the lower bound of the silence limit. A sound replica may send nothing for
	// up to 1.5 s; callers give up after 2 s or more.
	minSilenceLimit = 1700 * time.Millisecond
	// stalledFactor is how many gaps, times silenceFactor, an answer that has begun may pause while
	// its replica answers other requests. A running request has a slot and produces events
	// steadily, so a long pause indicates a connection that died without a reset. The stream then
	// moves after at least minStalledLimit instead of failing at the request's deadline.
	stalledFactor   = 4
	minStalledLimit = 2800 * time.Millisecond
	// moveRecheckInterval is the time between two checks whether a request of a silent replica can go
	// on elsewhere, while it cannot.
	moveRecheckInterval = 100 * time.Millisecond
)

// silenceWatchdog cancels an attempt when its replica sends nothing for too long to any request of
// this node. A replica that answers other requests is only busy, and sending its requests to others
// as well would add load. An answer that has begun and then pauses for much longer is canceled even
// if the replica answers other requests. An attempt is canceled only if the request can go on at
// another replica: otherwise the caller would lose what the silent one may still send.
type silenceWatchdog struct {
	use   *replica.Use
	limit atomic.Int64
	// stalledLimit is the limit of a pause of this answer, once it has begun.
	stalledLimit atomic.Int64
	timer        *time.Timer
	// writing is set while an event is written to the caller; lastWriteEnd is when the last write
	// ended, in Unix nanoseconds. Nothing is read from the answer during a write, so its silence
	// then means nothing.
	writing      atomic.Bool
	lastWriteEnd atomic.Int64

	// mu guards the fields below. The attempt runs at the same time and changes call, so check reads only
	// the fields of call that stay the same during an attempt, and none once stopped is set.
	mu   sync.Mutex
	call *call
	// stopped is set once the attempt has ended.
	stopped bool
	// criteria are those by which another replica could take the request, version is that of the weights
	// of the silent one. softwareUncertain is set if it is not certain which software began the stream.
	criteria          replica.Criteria
	version           string
	softwareUncertain bool
	// retryTaken is set once a retry has been taken from the budget.
	retryTaken bool
}

// duringWrite calls write, which may block for as long as the caller does not read.
func (w *silenceWatchdog) duringWrite(write func() error) error {
	w.writing.Store(true)
	defer func() {
		w.lastWriteEnd.Store(clock.Now().UnixNano())
		w.writing.Store(false)
	}()
	return write()
}

// sinceLastWrite returns the time since the last write to the caller ended; 0 during a write. The
// answer is not read during a write, so this bounds how long it may have been silent.
func (w *silenceWatchdog) sinceLastWrite(now time.Time) time.Duration {
	if w.writing.Load() {
		return 0
	}
	return now.Sub(time.Unix(0, w.lastWriteEnd.Load()))
}

// startSilenceWatchdog starts a watchdog if the request can be retried elsewhere. Otherwise, or on
// a route without an objective, the attempt is never canceled for silence.
func (c *call) startSilenceWatchdog(chosen replica.Info, use *replica.Use, cancel context.CancelCauseFunc) *silenceWatchdog {
	watchdog := &silenceWatchdog{use: use}
	if !c.hasAttemptsLeft() || c.route.Objective == 0 {
		return watchdog
	}
	watchdog.call, watchdog.criteria, watchdog.softwareUncertain = c, c.criteria, c.softwareUncertain
	watchdog.criteria.Exclude = maps.Clone(c.criteria.Exclude)
	watchdog.criteria.Exclude[chosen.Incarnation()] = true
	watchdog.criteria.Reserved, watchdog.version = false, chosen.Version
	limit := max(silenceFactor*c.route.Objective, minSilenceLimit)
	watchdog.limit.Store(int64(limit))
	watchdog.stalledLimit.Store(int64(max(stalledFactor*silenceFactor*c.route.Gap, minStalledLimit)))
	watchdog.mu.Lock()
	defer watchdog.mu.Unlock()
	watchdog.timer = time.AfterFunc(limit, func() { watchdog.check(cancel) })
	return watchdog
}

// check cancels the attempt, or rearms the timer for the time at which a limit may be reached.
func (w *silenceWatchdog) check(cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := clock.Now()
	left, cause := w.untilLimit(now)
	if cause != nil && w.takeRetry(now) {
		cancel(cause)
		return
	}
	w.timer.Reset(left)
}

// untilLimit returns the time until a limit may be reached, or the error of the limit that has been and
// the time until the next check.
func (w *silenceWatchdog) untilLimit(now time.Time) (time.Duration, error) {
	left := time.Duration(w.limit.Load()) - min(w.use.Silence(now), w.sinceLastWrite(now))
	if left <= 0 {
		return moveRecheckInterval, ErrSilent
	}
	ownSilence, begun := w.use.OwnSilence(now)
	if !begun {
		return left, nil
	}
	untilStalled := time.Duration(w.stalledLimit.Load()) - min(ownSilence, w.sinceLastWrite(now))
	if untilStalled <= 0 {
		return moveRecheckInterval, ErrStalled
	}
	return min(left, untilStalled), nil
}

// takeRetry takes a retry from the budget if another replica can take the request now. It reports
// whether it did. The caller holds mu.
func (w *silenceWatchdog) takeRetry(now time.Time) bool {
	if w.softwareUncertain {
		return false
	}
	criteria := w.criteria
	forwarder := w.call.forwarder
	best, err := replica.Pick(forwarder.Replicas.SnapshotFor(w.call.result.Pool, &criteria, now), &criteria, forwarder.Weights)
	if err != nil || best.Ejected || !w.call.hasTimeAt(criteria.Distance(best), best, now) {
		return false
	}
	w.retryTaken = forwarder.Budget.TryRetry()
	return w.retryTaken
}

// setEventLimit sets the silence limit between two events.
func (w *silenceWatchdog) setEventLimit(gap time.Duration) {
	w.limit.Store(int64(max(silenceFactor*gap, minSilenceLimit)))
}

// requireSoftware restricts the replicas at which a stream can go on, once it has begun.
func (w *silenceWatchdog) requireSoftware(version *string, uncertain bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.criteria.SoftwareVersion, w.criteria.Version, w.softwareUncertain = version, w.version, uncertain
}

// stop ends the watch. It reports whether a retry has been taken from the budget for the next attempt.
func (w *silenceWatchdog) stop() (retryTaken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.retryTaken
}
