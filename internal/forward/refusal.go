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

// An attempt that is under way when the time is over may have run: its caller learns
// nothing. One that cannot bring anything in the time that is left is therefore not
// begun, and a request that never reached a replica's slot ends as provably not run.

const (
	// leastUseful is the least time left that is worth an attempt, whatever is learned:
	// a way there and back between zones takes some 3 ms.
	leastUseful = 5 * time.Millisecond
	// refusalFactor is how often the slowest refusal of a request must fit into the time
	// that is left: the next one may be slower, on a busy machine by as much again.
	refusalFactor = 2
	// maxRefusal bounds what a slow refusal counts for, so that one late word does not
	// keep a request from slots that become free in time.
	maxRefusal = 125 * time.Millisecond
	// wordMargin is how much earlier than the caller's a replica's deadline ends, so that
	// its word that the request waited in vain and did not run comes back before the
	// caller's own time is over. The deadline is told as a length of time: it begins a way
	// later, and the word takes another. A way takes up to 3 ms within a region on the
	// users' sheets; the rest is for machines with a small share of a core.
	wordMargin = 10 * time.Millisecond
	// wordMarginAway is the same for replicas of other regions, 20 ms away.
	wordMarginAway = 50 * time.Millisecond
)

// BusyError reports that no replica had room in time. It is ErrBusy.
type BusyError struct {
	// Room is the predicted time until a replica has room; 0 if it is not known.
	Room time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	if e.Room <= 0 {
		return ErrBusy.Error()
	}
	return fmt.Sprintf("%v; room is predicted in %v", ErrBusy, e.Room.Round(time.Millisecond))
}

// Unwrap makes it ErrBusy.
func (e *BusyError) Unwrap() error { return ErrBusy }

// timeLeft is the time until the final answer is due.
func (c *call) timeLeft(now time.Time) time.Duration {
	if c.deadline.IsZero() {
		return math.MaxInt64
	}
	return c.deadline.Sub(now)
}

// leastTime is the time that an attempt at a replica needs to be of use: until the first
// event by what is learned, and until a refusal by what this request has seen.
func (c *call) leastTime(chosen *replica.Candidate) time.Duration {
	return max(leastUseful, chosen.MinFirstEvent, refusalFactor*c.slowestRefusal)
}

// inTime reports whether an attempt at a replica can bring anything in the time left.
func (c *call) inTime(chosen *replica.Candidate, now time.Time) bool {
	if c.deadline.IsZero() {
		return true
	}
	told := c.replicaDeadline(c.demand.Distance(chosen)).Sub(now)
	return told >= leastUseful && c.timeLeft(now) >= c.leastTime(chosen)
}

// outOfTime is the error of a request for which no further attempt is begun.
func (c *call) outOfTime(now time.Time) error {
	if c.ran {
		return ErrTimeout
	}
	return c.busy(now)
}

// busy is the error of a request that found no room, with what is known of when there is.
func (c *call) busy(now time.Time) *BusyError {
	return &BusyError{Room: c.forwarder.Replicas.PredictAvailability(c.result.Pool, &c.demand, now).Wait}
}

// refused takes in how long an attempt took that did not run.
func (c *call) refused(err error, took time.Duration) {
	if outcome.Of(err) == outcome.NotDone {
		c.slowestRefusal = max(c.slowestRefusal, min(took, maxRefusal))
	}
}

// replicaDeadline is the deadline that a replica at some distance is given.
func (c *call) replicaDeadline(distance place.Distance) time.Time {
	switch {
	case c.deadline.IsZero():
		return c.deadline
	case distance == place.OtherRegion:
		return c.deadline.Add(-wordMarginAway)
	default:
		return c.deadline.Add(-wordMargin)
	}
}

// waitForRoom waits until refusals may be over, as long as the route allows. room is when
// there is room at the earliest: a request that has less time is refused now.
func (c *call) waitForRoom(ctx context.Context, room time.Duration) error {
	now := clock.Now()
	if c.timeLeft(now) < leastUseful+room {
		return c.busyFor(room, now)
	}
	if c.route.MaxWait > 0 && now.Sub(c.request.Received)+room > c.route.MaxWait+waitForRoom {
		return c.busyFor(room, now)
	}
	timer := time.NewTimer(min(room, coldLook))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return contextError(ctx)
	case <-timer.C:
		c.demand.Exclude = map[string]bool{}
		return nil
	}
}

// busyFor is busy where there is room no sooner than after some time.
func (c *call) busyFor(room time.Duration, now time.Time) *BusyError {
	failed := c.busy(now)
	failed.Room = max(failed.Room, room)
	return failed
}
