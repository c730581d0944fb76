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
	// maxWhole bounds an answer that is held until it is whole.
	maxWhole = 8 << 20
	// silenceFactor is how many objectives, or gaps, a replica may be silent
	// before a stream that may go on elsewhere leaves it.
	silenceFactor = 4
	// silenceLeast keeps streams at replicas that are only busy.
	silenceLeast = 700 * time.Millisecond
	// stalledFactor is how many times the silence that is allowed to a replica an answer
	// may pause that has begun, while the replica answers others. Its run has a slot, so
	// its events come on; a connection that died without a reset brings none. Left after
	// 2.8 s at the least, not at the request's deadline.
	stalledFactor = 4
)

// passEvents passes events on as they arrive, leaving out those the caller has.
func (c *call) passEvents(answer *Answer, use *replica.Use, watch *silenceWatch) error {
	reader := sse.NewReader(answer.Body)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return c.endOfEvents(answer)
		}
		if err != nil {
			return outcome.Undecided(fmt.Errorf("%w: %w", ErrBroken, err))
		}
		now := clock.Now()
		use.Received(now)
		use.FirstEvent(now)
		c.begun(now)
		watch.begun(c.route.Gap)
		if event.HasID && event.ID <= c.after {
			continue
		}
		if event.HasID && c.after > 0 && event.ID != c.after+1 {
			return outcome.Undecided(fmt.Errorf("%w: event %d follows event %d", ErrBroken, event.ID, c.after))
		}
		passing := func() error { return c.passEvent(answer, event, reader.Buffered()) }
		if err := watch.pass(passing); err != nil {
			return err
		}
	}
}

// begun tells of the first event of an attempt.
func (c *call) begun(now time.Time) {
	if !c.sent.IsZero() && c.forwarder.Notice != nil {
		c.forwarder.Notice.Begun(c.request, c.predicted, now.Sub(c.sent))
	}
	c.sent = time.Time{}
}

func (c *call) passEvent(answer *Answer, event sse.Event, more bool) error {
	if err := c.passHead(answer); err != nil {
		return err
	}
	now := clock.Now()
	if c.result.Events > 0 {
		c.result.MaxGap = max(c.result.MaxGap, now.Sub(c.lastEvent))
	}
	c.lastEvent = now
	c.result.Events++
	if err := c.sink.Write(event.Raw, more); err != nil {
		return outcome.Undecided(ErrCallerLeft)
	}
	if event.HasID {
		c.after = event.ID
	}
	return nil
}

func (c *call) endOfEvents(answer *Answer) error { return c.passHead(answer) }

// passHead passes on the head of the first replica that answered; streams that
// go on elsewhere keep it.
func (c *call) passHead(answer *Answer) error {
	if c.result.Started {
		return nil
	}
	c.result.Started = true
	c.result.Status = answer.Status
	c.result.First = clock.Since(c.request.Received)
	if err := c.sink.Head(answer.Status, answer.Header); err != nil {
		return outcome.Undecided(ErrCallerLeft)
	}
	return nil
}

// passWhole passes on an answer once all of it has arrived, so that a broken
// one can still be replaced by another or by a truthful failure.
func (c *call) passWhole(answer *Answer, use *replica.Use) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWhole+1))
	if err != nil {
		return outcome.Undecided(fmt.Errorf("%w: %w", ErrBroken, err))
	}
	if len(body) > maxWhole {
		return outcome.Undecided(fmt.Errorf("%w: longer than %d bytes", ErrBroken, maxWhole))
	}
	now := clock.Now()
	use.Received(now)
	use.FirstEvent(now)
	if c.result.Started {
		// The stream began elsewhere; this failure cannot replace its head.
		return outcome.Undecided(fmt.Errorf("%w: status %d", ErrBroken, answer.Status))
	}
	if answer.Status >= http.StatusInternalServerError && c.anotherTry() {
		return outcome.Undecided(fmt.Errorf("%w: status %d", ErrBroken, answer.Status))
	}
	if err := c.passHead(answer); err != nil {
		return err
	}
	if err := c.sink.Write(body, false); err != nil {
		return outcome.Undecided(ErrCallerLeft)
	}
	return nil
}

// anotherTry reports whether a failure that a replica answered need not be the
// last word.
func (c *call) anotherTry() bool {
	return c.mayRepeat() && c.result.Attempts < c.route.MaxAttempts
}

// silenceWatch gives an attempt up when its replica says nothing for too long,
// to any request of this node: a replica that answers others is only busy, and
// sending its requests elsewhere as well would add to the load. An answer that has begun
// and pauses for much longer is given up whatever the replica answers others.
type silenceWatch struct {
	use   *replica.Use
	limit atomic.Int64
	timer *time.Timer
	// passing is set while the caller is given an event; passed is when that last ended, in
	// Unix nanoseconds. Meanwhile nothing is read of the answer, so its silence tells
	// nothing.
	passing atomic.Bool
	passed  atomic.Int64
}

// pass gives the caller something by a function that may block for as long as it does not read.
func (w *silenceWatch) pass(give func() error) error {
	w.passing.Store(true)
	defer func() {
		w.passed.Store(clock.Now().UnixNano())
		w.passing.Store(false)
	}()
	return give()
}

// unread is the time since the answer was last read from; 0 while the caller is given of it.
func (w *silenceWatch) unread(now time.Time) time.Duration {
	if w.passing.Load() {
		return 0
	}
	return now.Sub(time.Unix(0, w.passed.Load()))
}

// watchSilence starts a watch where the request can go on elsewhere; a
// replica's silence is no reason to end any other answer.
func (c *call) watchSilence(use *replica.Use, cancel context.CancelCauseFunc) *silenceWatch {
	watch := &silenceWatch{use: use}
	if !c.anotherTry() || c.route.Objective == 0 {
		return watch
	}
	first := max(silenceFactor*c.route.Objective, silenceLeast)
	watch.limit.Store(int64(first))
	watch.timer = time.AfterFunc(first, func() { watch.check(cancel) })
	return watch
}

// check cancels the attempt, or looks again when the silence could be too long.
func (w *silenceWatch) check(cancel context.CancelCauseFunc) {
	now, limit := clock.Now(), time.Duration(w.limit.Load())
	left := limit - w.use.Silence(now)
	if left <= 0 {
		cancel(ErrSilent)
		return
	}
	if own, begun := w.use.OwnSilence(now); begun {
		stalled := stalledFactor*limit - min(own, w.unread(now))
		if stalled <= 0 {
			cancel(ErrStalled)
			return
		}
		left = min(left, stalled)
	}
	w.timer.Reset(left)
}

// begun sets the limit between two events.
func (w *silenceWatch) begun(gap time.Duration) {
	w.limit.Store(int64(max(silenceFactor*gap, silenceLeast)))
}

func (w *silenceWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
