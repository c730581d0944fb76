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
	// maxBufferedBody bounds an answer that is buffered until it is complete, in bytes.
	maxBufferedBody = 8 << 20
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
)

// forwardEvents relays events as they arrive, skipping those that the caller already has. confirmEnd
// returns an error if the answer ended too early.
func (c *call) forwardEvents(answer *Answer, use *replica.Use, watchdog *silenceWatchdog, confirmEnd func() error) error {
	reader := sse.NewReader(answer.Body)
	checked := false
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			if err := confirmEnd(); err != nil {
				return err
			}
			return c.finishEvents(answer)
		}
		if err != nil {
			return outcome.AsUnknown(fmt.Errorf("%w: %w", ErrBroken, err))
		}
		now := clock.Now()
		use.Received(now)
		use.FirstEvent(now)
		c.reportFirstEvent(now)
		watchdog.setEventLimit(c.route.Gap)
		if event.HasID && event.ID <= c.lastEventID {
			continue
		}
		if event.HasID && c.lastEventID > 0 && event.ID != c.lastEventID+1 {
			return outcome.AsUnknown(fmt.Errorf("%w: event %d follows event %d", ErrBroken, event.ID, c.lastEventID))
		}
		if !checked {
			// This may wait, and nothing is read meanwhile, as during a write.
			if err := watchdog.duringWrite(func() error { return c.requireSoftware(use) }); err != nil {
				return err
			}
			checked = true
		}
		write := func() error { return c.forwardEvent(answer, event, reader.Buffered()) }
		if err := watchdog.duringWrite(write); err != nil {
			return err
		}
	}
}

// reportFirstEvent reports the first event of an attempt to the observer.
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
		return outcome.AsUnknown(ErrCallerDisconnected)
	}
	if event.HasID {
		c.lastEventID = event.ID
	}
	return nil
}

// finishEvents completes a stream. The header of one without events has not been relayed yet.
func (c *call) finishEvents(answer *Answer) error { return c.forwardHead(answer) }

// forwardHead relays the header of the first replica that answered. A stream that resumes elsewhere
// keeps it.
func (c *call) forwardHead(answer *Answer) error {
	if c.result.HeadSent {
		return nil
	}
	c.result.HeadSent = true
	c.result.Status = answer.Status
	c.result.TimeToFirstByte = clock.Since(c.request.Received)
	if err := c.sink.Head(answer.Status, answer.Header); err != nil {
		return outcome.AsUnknown(ErrCallerDisconnected)
	}
	return nil
}

// forwardBuffered relays an answer once all of it has arrived, so that a broken one can still be
// replaced by a retry or an accurate error. confirmEnd returns an error if it ended too early.
func (c *call) forwardBuffered(answer *Answer, use *replica.Use, confirmEnd func() error) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBody+1))
	if err != nil {
		return outcome.AsUnknown(fmt.Errorf("%w: %w", ErrBroken, err))
	}
	if len(body) > maxBufferedBody {
		return outcome.AsUnknown(fmt.Errorf("%w: longer than %d bytes", ErrBroken, maxBufferedBody))
	}
	if err := confirmEnd(); err != nil {
		return err
	}
	now := clock.Now()
	use.Received(now)
	use.FirstEvent(now)
	if c.result.HeadSent {
		// The stream began at another replica; this error cannot replace its header.
		return outcome.AsUnknown(fmt.Errorf("%w: status %d", ErrBroken, answer.Status))
	}
	if answer.Status >= http.StatusInternalServerError && c.hasAttemptsLeft() {
		return outcome.AsUnknown(fmt.Errorf("%w: status %d", ErrBroken, answer.Status))
	}
	if err := c.forwardHead(answer); err != nil {
		return err
	}
	if err := c.sink.Write(body, false); err != nil {
		return outcome.AsUnknown(ErrCallerDisconnected)
	}
	return nil
}

// hasAttemptsLeft reports whether a request that failed at a replica may be tried at another.
func (c *call) hasAttemptsLeft() bool {
	return c.mayRepeat() && c.result.Attempts < c.route.MaxAttempts
}

// silenceWatchdog cancels an attempt when its replica sends nothing for too long to any request of
// this node. A replica that answers other requests is only busy, and sending its requests to others
// as well would add load. An answer that has begun and then pauses for much longer is canceled even
// if the replica answers other requests.
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
func (c *call) startSilenceWatchdog(use *replica.Use, cancel context.CancelCauseFunc) *silenceWatchdog {
	watchdog := &silenceWatchdog{use: use}
	if !c.hasAttemptsLeft() || c.route.Objective == 0 {
		return watchdog
	}
	limit := max(silenceFactor*c.route.Objective, minSilenceLimit)
	watchdog.limit.Store(int64(limit))
	watchdog.stalledLimit.Store(int64(max(stalledFactor*silenceFactor*c.route.Gap, minStalledLimit)))
	watchdog.timer = time.AfterFunc(limit, func() { watchdog.check(cancel) })
	return watchdog
}

// check cancels the attempt, or rearms the timer for the time at which a limit may be reached.
func (w *silenceWatchdog) check(cancel context.CancelCauseFunc) {
	now, limit := clock.Now(), time.Duration(w.limit.Load())
	left := limit - min(w.use.Silence(now), w.sinceLastWrite(now))
	if left <= 0 {
		cancel(ErrSilent)
		return
	}
	if ownSilence, begun := w.use.OwnSilence(now); begun {
		untilStalled := time.Duration(w.stalledLimit.Load()) - min(ownSilence, w.sinceLastWrite(now))
		if untilStalled <= 0 {
			cancel(ErrStalled)
			return
		}
		left = min(left, untilStalled)
	}
	w.timer.Reset(left)
}

// setEventLimit sets the silence limit between two events.
func (w *silenceWatchdog) setEventLimit(gap time.Duration) {
	w.limit.Store(int64(max(silenceFactor*gap, minSilenceLimit)))
}

func (w *silenceWatchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
