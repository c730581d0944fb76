package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/sse"
)

const (
	// maxBufferedBody bounds an answer that is held until it is whole.
	maxBufferedBody = 8 << 20
	// silenceFactor is how many objectives, or gaps, a replica may be silent
	// before a stream that may go on elsewhere leaves it.
	silenceFactor = 4
	// minSilenceLimit keeps streams at replicas that are only busy.
	minSilenceLimit = 700 * time.Millisecond
	// stalledFactor is how many times the silence that is allowed to a replica an answer
	// may pause that has begun, while the replica answers others. Its run has a slot, so
	// its events come on; a connection that died without a reset brings none. Left after
	// 2.8 s at the least, not at the request's deadline.
	stalledFactor = 4
)

// forwardEvents passes events on as they arrive, leaving out those the caller has.
func (c *call) forwardEvents(answer *Answer, use *replica.Use, watch *silenceWatchdog) error {
	reader := sse.NewReader(answer.Body)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return c.finishEvents(answer)
		}
		if err != nil {
			return outcome.Undecided(fmt.Errorf("%w: %w", ErrBroken, err))
		}
		now := clock.Now()
		use.Heard(now)
		use.First(now)
		c.reportFirstEvent(now)
		watch.setEventLimit(c.route.Gap)
		if event.HasID && event.ID <= c.lastEventID {
			continue
		}
		if event.HasID && c.lastEventID > 0 && event.ID != c.lastEventID+1 {
			return outcome.Undecided(fmt.Errorf("%w: event %d follows event %d", ErrBroken, event.ID, c.lastEventID))
		}
		write := func() error { return c.forwardEvent(answer, event, reader.Buffered()) }
		if err := watch.duringWrite(write); err != nil {
			return err
		}
	}
}

// reportFirstEvent tells of the first event of an attempt.
func (c *call) reportFirstEvent(now time.Time) {
	if !c.sentAt.IsZero() && c.forwarder.Observer != nil {
		c.forwarder.Observer.FirstEvent(c.request, c.predicted, now.Sub(c.sentAt))
	}
	c.sentAt = time.Time{}
}

func (c *call) forwardEvent(answer *Answer, event sse.Event, more bool) error {
	if err := c.forwardHead(answer); err != nil {
		return err
	}
	now := clock.Now()
	if c.result.Events > 0 {
		c.result.MaxGap = max(c.result.MaxGap, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	c.result.Events++
	if err := c.sink.Write(event.Raw, more); err != nil {
		return outcome.Undecided(ErrCallerDisconnected)
	}
	if event.HasID {
		c.lastEventID = event.ID
	}
	return nil
}

func (c *call) finishEvents(answer *Answer) error { return c.forwardHead(answer) }

// forwardHead passes on the head of the first replica that answered; streams that
// go on elsewhere keep it.
func (c *call) forwardHead(answer *Answer) error {
	if c.result.HeadSent {
		return nil
	}
	c.result.HeadSent = true
	c.result.Status = answer.Status
	c.result.TimeToFirstByte = clock.Since(c.request.Received)
	if err := c.sink.Head(answer.Status, answer.Header); err != nil {
		return outcome.Undecided(ErrCallerDisconnected)
	}
	return nil
}

// forwardBuffered passes on an answer once all of it has arrived, so that a broken
// one can still be replaced by another or by a truthful failure.
func (c *call) forwardBuffered(answer *Answer, use *replica.Use) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBody+1))
	if err != nil {
		return outcome.Undecided(fmt.Errorf("%w: %w", ErrBroken, err))
	}
	if len(body) > maxBufferedBody {
		return outcome.Undecided(fmt.Errorf("%w: longer than %d bytes", ErrBroken, maxBufferedBody))
	}
	now := clock.Now()
	use.Heard(now)
	use.First(now)
	if c.result.HeadSent {
		// The stream began elsewhere; this failure cannot replace its head.
		return outcome.Undecided(fmt.Errorf("%w: status %d", ErrBroken, answer.Status))
	}
	if answer.Status >= http.StatusInternalServerError && c.hasAttemptsLeft() {
		return outcome.Undecided(fmt.Errorf("%w: status %d", ErrBroken, answer.Status))
	}
	if err := c.forwardHead(answer); err != nil {
		return err
	}
	if err := c.sink.Write(body, false); err != nil {
		return outcome.Undecided(ErrCallerDisconnected)
	}
	return nil
}

// hasAttemptsLeft reports whether a failure that a replica answered need not be the
// last word.
func (c *call) hasAttemptsLeft() bool {
	return c.mayRepeat() && c.result.Attempts < c.route.MaxAttempts
}

// silenceWatchdog gives an attempt up when its replica says nothing for too long,
// to any request of this node: a replica that answers others is only busy, and
// sending its requests elsewhere as well would add to the load. An answer that has begun
// and pauses for much longer is given up whatever the replica answers others.
type silenceWatchdog struct {
	use   *replica.Use
	limit atomic.Int64
	timer *time.Timer
	// writing is set while the caller is given an event; passed is when that last ended, in
	// Unix nanoseconds. Meanwhile nothing is read of the answer, so its silence tells
	// nothing.
	writing      atomic.Bool
	lastWriteEnd atomic.Int64
}

// duringWrite gives the caller something by a function that may block for as long as it does not read.
func (w *silenceWatchdog) duringWrite(write func() error) error {
	w.writing.Store(true)
	defer func() {
		w.lastWriteEnd.Store(clock.Now().UnixNano())
		w.writing.Store(false)
	}()
	return write()
}

// sinceLastRead is the time since the answer was last read from; 0 while the caller is given of it.
func (w *silenceWatchdog) sinceLastRead(now time.Time) time.Duration {
	if w.writing.Load() {
		return 0
	}
	return now.Sub(time.Unix(0, w.lastWriteEnd.Load()))
}

// startSilenceWatchdog starts a watch where the request can go on elsewhere; a
// replica's silence is no reason to end any other answer.
func (c *call) startSilenceWatchdog(use *replica.Use, cancel context.CancelCauseFunc) *silenceWatchdog {
	watchdog := &silenceWatchdog{use: use}
	if !c.hasAttemptsLeft() || c.route.Objective == 0 {
		return watchdog
	}
	first := max(silenceFactor*c.route.Objective, minSilenceLimit)
	watchdog.limit.Store(int64(first))
	watchdog.timer = time.AfterFunc(first, func() { watchdog.check(cancel) })
	return watchdog
}

// check cancels the attempt, or looks again when the silence could be too long.
func (w *silenceWatchdog) check(cancel context.CancelCauseFunc) {
	now, limit := clock.Now(), time.Duration(w.limit.Load())
	left := limit - w.use.Silence(now)
	if left <= 0 {
		cancel(ErrSilent)
		return
	}
	if own, begun := w.use.OwnSilence(now); begun {
		stalled := stalledFactor*limit - min(own, w.sinceLastRead(now))
		if stalled <= 0 {
			cancel(ErrStalled)
			return
		}
		left = min(left, stalled)
	}
	w.timer.Reset(left)
}

// setEventLimit sets the limit between two events.
func (w *silenceWatchdog) setEventLimit(gap time.Duration) {
	w.limit.Store(int64(max(silenceFactor*gap, minSilenceLimit)))
}

func (w *silenceWatchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
