package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/sse"
)

// forwardEvents relays events as they arrive, skipping those that the caller already has. confirmEnd
// returns an error if the answer ended too early.
func (c *call) forwardEvents(ctx context.Context, answer *Answer, use *replica.Use, watchdog *silenceWatchdog, confirmEnd func() error) error {
	share := bytebudget.Share{Budget: &c.forwarder.answers}
	defer share.Release()
	reader, progress := sse.NewReader(answer.Body), sse.Progress{}
	reader.Hold = func(bytes int) error { return share.Await(ctx, bytes) }
	checked := false
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			if err := confirmEnd(); err != nil {
				return err
			}
			return c.finishEvents(answer, reader.Rest())
		}
		if err != nil {
			return outcome.AsUnknown(fmt.Errorf("%w: %w", ErrBroken, err))
		}
		if event.HasID {
			goesOn, err := progress.Observe(event)
			if err != nil {
				return outcome.AsUnknown(fmt.Errorf("%w: event %d comes again and again: %w", ErrBroken, event.ID, err))
			}
			if !goesOn {
				continue
			}
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
			watchdog.requireSoftware(c.criteria.SoftwareVersion, c.softwareUncertain)
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

// finishEvents completes a stream with what came after its last event. The header of one without events has
// not been relayed yet.
func (c *call) finishEvents(answer *Answer, rest []byte) error {
	if err := c.forwardHead(answer); err != nil || len(rest) == 0 {
		return err
	}
	if err := c.sink.Write(rest, false); err != nil {
		return outcome.AsUnknown(ErrCallerDisconnected)
	}
	return nil
}

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
func (c *call) forwardBuffered(ctx context.Context, answer *Answer, use *replica.Use, confirmEnd func() error) error {
	body := heldBody{share: bytebudget.Share{Budget: &c.forwarder.answers}}
	defer body.share.Release()
	if err := body.read(ctx, answer.Body); err != nil {
		return outcome.AsUnknown(fmt.Errorf("%w: %w", ErrBroken, err))
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
	if err := body.writeTo(c.sink); err != nil {
		return outcome.AsUnknown(ErrCallerDisconnected)
	}
	return nil
}

// hasAttemptsLeft reports whether a request that failed at a replica may be tried at another.
func (c *call) hasAttemptsLeft() bool {
	return c.mayRepeat() && c.result.Attempts < c.route.MaxAttempts
}
