package forward

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// An attempt that is in flight when the deadline passes may have run, so its caller cannot know.
// Attempts that cannot succeed in the remaining time are therefore not sent, and a request that
// never reached a replica's slot ends as provably not run.

const (
	// minUsefulTime is the least remaining time for which an attempt is sent, whatever latency has
	// been observed. A round trip between zones takes about 3 ms.
	minUsefulTime = 5 * time.Millisecond
	// refusalFactor is how many times the slowest refusal of a request must fit into the remaining
	// time: the next one may take twice as long on a busy machine.
	refusalFactor = 2
	// maxRefusalTime caps the recorded duration of a refusal, so that a single late one does not
	// keep a request from slots that become free in time.
	maxRefusalTime = 125 * time.Millisecond
	// deadlineMargin is how much earlier a replica's deadline is than the caller's, so that a
	// replica can still report that the request timed out in its queue and did not run. The
	// deadline is sent as a duration: it starts one network delay later, and the report takes
	// another. A one-way delay is up to 3 ms within a region; the rest allows for machines with a
	// small share of a core.
	deadlineMargin = 10 * time.Millisecond
	// crossRegionDeadlineMargin is the deadlineMargin for replicas in other regions, where a
	// one-way delay is about 20 ms.
	crossRegionDeadlineMargin = 50 * time.Millisecond
)

// BusyError reports that no replica had capacity in time. It matches ErrBusy.
type BusyError struct {
	// PredictedWait is the predicted time until a replica has capacity; 0 if unknown.
	PredictedWait time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	if e.PredictedWait <= 0 {
		return ErrBusy.Error()
	}
	return fmt.Sprintf("%v; room is predicted in %v", ErrBusy, e.PredictedWait.Round(time.Millisecond))
}

// Unwrap makes the error match ErrBusy.
func (e *BusyError) Unwrap() error { return ErrBusy }

// timeLeft is the time until the complete answer is due.
func (c *call) timeLeft(now time.Time) time.Duration {
	if c.deadline.IsZero() {
		return math.MaxInt64
	}
	return c.deadline.Sub(now)
}

// minAttemptTime is the least time in which an attempt at a replica can be useful, given the
// observed latency of first events and the refusals of this request.
func (c *call) minAttemptTime(chosen *replica.Candidate) time.Duration {
	return max(minUsefulTime, chosen.MinFirstEvent, refusalFactor*c.slowestRefusal)
}

// hasTimeFor reports whether an attempt at a replica can succeed in the remaining time.
func (c *call) hasTimeFor(chosen *replica.Candidate, now time.Time) bool {
	return c.hasTimeAt(c.criteria.Distance(chosen), chosen, now)
}

// hasTimeAt is like hasTimeFor, given the distance of the replica.
func (c *call) hasTimeAt(distance place.Distance, chosen *replica.Candidate, now time.Time) bool {
	if c.deadline.IsZero() {
		return true
	}
	replicaTime := c.replicaDeadline(distance).Sub(now)
	return replicaTime >= minUsefulTime && c.timeLeft(now) >= c.minAttemptTime(chosen)
}

// outOfTimeError returns the error of a request that has no time for another attempt, with the last refusal
// if there was one.
func (c *call) outOfTimeError(now time.Time) error {
	switch {
	case c.mayHaveRun:
		return ErrTimeout
	case c.lastRefusal != nil:
		return fmt.Errorf("%w: %w", c.busyError(now), c.lastRefusal)
	default:
		return c.busyError(now)
	}
}

// busyError returns the error of a request that found no capacity, with the predicted wait.
func (c *call) busyError(now time.Time) *BusyError {
	return &BusyError{PredictedWait: c.forwarder.Replicas.PredictAvailability(c.result.Pool, &c.criteria, now).Wait}
}

// recordRefusal records an attempt that did not run, and its duration.
func (c *call) recordRefusal(err error, took time.Duration) {
	if outcome.Of(err) == outcome.NotDone {
		c.lastRefusal = err
		c.slowestRefusal = max(c.slowestRefusal, min(took, maxRefusalTime))
	}
}

// replicaDeadline returns the deadline to send to a replica at the given distance.
func (c *call) replicaDeadline(distance place.Distance) time.Time {
	switch {
	case c.deadline.IsZero():
		return c.deadline
	case distance == place.OtherRegion:
		return c.deadline.Add(-crossRegionDeadlineMargin)
	default:
		return c.deadline.Add(-deadlineMargin)
	}
}

// waitForCapacity waits before replicas are tried again, within the limits of the route. wait is
// the earliest time until capacity is expected: a request that has less time left fails now.
func (c *call) waitForCapacity(ctx context.Context, wait time.Duration) error {
	now := clock.Now()
	if c.timeLeft(now) < minUsefulTime+wait {
		return c.busyErrorAfter(wait, now)
	}
	if c.route.MaxWait > 0 && now.Sub(c.request.Received)+wait > c.route.MaxWait+capacityRetryInterval {
		return c.busyErrorAfter(wait, now)
	}
	timer := time.NewTimer(min(wait, coldRecheckInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return contextError(ctx)
	case <-timer.C:
		c.criteria.Exclude = map[string]bool{}
		return nil
	}
}

// busyErrorAfter is like busyError, with a predicted wait of at least the given time.
func (c *call) busyErrorAfter(wait time.Duration, now time.Time) *BusyError {
	failed := c.busyError(now)
	failed.PredictedWait = max(failed.PredictedWait, wait)
	return failed
}
