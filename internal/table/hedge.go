package table

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// Spacing of the calls for a page.
const (
	// usualTimeFactor is how many times its usual time a page may take before it is asked for again.
	usualTimeFactor = 4
	// minPageSpacing and maxPageSpacing bound the time between two calls for a page. It doubles with each
	// call without an answer, so that a feed makes about one call a second in a long outage.
	minPageSpacing = 250 * time.Millisecond
	maxPageSpacing = time.Second
	// unknownPageSpacing takes the place of both bounds until the first page has been read. It doubles up
	// to pageMaxTimeout, since a page may take seconds if many nodes start at the same time.
	unknownPageSpacing = time.Second
	// maxPageCalls is the maximum number of calls for a page that are outstanding at the same time.
	maxPageCalls = 3
)

// HedgedFeed is a Feed that asks for a page again if it takes longer than usual. The first call goes
// on, because the service may be slow; the further ones are made on new connections, because the
// first may have been lost with its connection. It is for a single Watcher.
type HedgedFeed struct {
	Feed
	// usual is the time that pages took recently; 0 if none has been read.
	usual time.Duration
	// unanswered is the number of times that a page was asked for again since the last answer.
	unanswered int
}

// Page implements Feed. It returns the first page received, or an error if ctx ends or all outstanding
// calls have failed.
func (f *HedgedFeed) Page(ctx context.Context, cursor Cursor) (Changes, Cursor, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	calls := pageCalls{feed: f.Feed, cursor: cursor, answers: make(chan pageAnswer)}
	calls.start(ctx)
	timer := time.NewTimer(f.spacing())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return Changes{Repeated: calls.repeated()}, cursor, Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err()))
		case <-timer.C:
			if endsWithin(ctx, minPageSpacing) {
				continue
			}
			f.unanswered++
			calls.start(WithNewConnection(ctx))
			timer.Reset(f.spacing())
		case answer := <-calls.answers:
			calls.end(answer.call)
			if answer.err != nil && len(calls.outstanding) > 0 {
				continue
			}
			if answer.err == nil {
				f.recordTime(answer.elapsed)
			}
			answer.page.Repeated = calls.repeated()
			return answer.page, answer.next, answer.err
		}
	}
}

// spacing returns the time until the next call for the current page.
func (f *HedgedFeed) spacing() time.Duration {
	shortest, longest := unknownPageSpacing, pageMaxTimeout
	if f.usual > 0 {
		shortest = min(max(usualTimeFactor*f.usual, minPageSpacing), pageMaxTimeout)
		longest = max(shortest, maxPageSpacing)
	}
	return min(shortest<<min(f.unanswered, 8), longest)
}

// recordTime records the time that a page took. The usual time rises to it at once, so that a service
// that became slow gets few additional calls, and falls by half with each faster page.
func (f *HedgedFeed) recordTime(elapsed time.Duration) {
	f.usual = max(elapsed, f.usual/2, time.Nanosecond)
	f.unanswered = 0
}

// pageRetryDelay returns the pause after consecutive failed reads of a page, the last of which took
// elapsed. There is none after a timeout, before which calls were spaced already.
func pageRetryDelay(failures int, elapsed time.Duration) time.Duration {
	if elapsed >= pageMaxTimeout {
		return 0
	}
	return jittered(min(watchRetryMinDelay<<min(failures, 8), pageRetryMaxDelay))
}

// endsWithin reports whether the deadline of ctx is less than remaining away.
func endsWithin(ctx context.Context, remaining time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) < remaining
}

// pageAnswer is the result of a call for a page.
type pageAnswer struct {
	call    *pageCall
	page    Changes
	next    Cursor
	err     error
	elapsed time.Duration
}

// pageCall is a call for a page.
type pageCall struct{ cancel context.CancelFunc }

// pageCalls are the calls for one page.
type pageCalls struct {
	feed    Feed
	cursor  Cursor
	answers chan pageAnswer
	// outstanding holds the calls that have not ended, the oldest first, and started the number of all.
	outstanding []*pageCall
	started     int
}

// start makes a call. It takes the place of an outstanding one if there are too many, but not of the
// oldest, which a slow service may answer first.
func (c *pageCalls) start(ctx context.Context) {
	if len(c.outstanding) == maxPageCalls {
		c.end(c.outstanding[1])
	}
	callCtx, cancel := context.WithCancel(ctx)
	call := &pageCall{cancel: cancel}
	c.outstanding = append(c.outstanding, call)
	c.started++
	go func() {
		start := clock.Now()
		page, next, err := c.feed.Page(callCtx, c.cursor)
		answer := pageAnswer{call: call, page: page, next: next, err: err, elapsed: clock.Since(start)}
		select {
		case c.answers <- answer:
		case <-ctx.Done():
		}
	}()
}

// end ends a call.
func (c *pageCalls) end(call *pageCall) {
	call.cancel()
	c.outstanding = slices.DeleteFunc(c.outstanding, func(other *pageCall) bool { return other == call })
}

// repeated returns the number of calls after the first.
func (c *pageCalls) repeated() int { return c.started - 1 }
