package forward

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// A replica that restarts never answers requests sent to its previous instance. If the connection
// stays open without data, the attempt would wait until the caller's deadline. However, the replica
// list reports a restart up to 3 s late, so the attempt may already have been sent to the new
// instance.

const (
	// restartGrace is how long an attempt that may have been sent to the new instance has to prove
	// it by receiving any part of its answer. It covers the usual limits on the pause between two
	// events, 250 or 300 ms, and the time to read a long prompt: 180 ms for 9,000 tokens.
	restartGrace = 300 * time.Millisecond
	// restartGraceCount is how many grace periods in a row must show progress: the first data may
	// have been in flight when the previous instance ended, or buffered here while this machine was
	// paused.
	restartGraceCount = 2
)

// progress records when data of an answer last arrived. began must be set. It is safe for
// concurrent use.
type progress struct {
	began time.Time
	// last is the time from began to the last data; 0 if none has arrived.
	last atomic.Int64
}

func (p *progress) record() { p.last.Store(max(1, int64(clock.Since(p.began)))) }

// after reports whether data arrived after the given time.
func (p *progress) after(at time.Time) bool {
	last := p.last.Load()
	return last > 0 && p.began.Add(time.Duration(last)).After(at)
}

// observedBody records progress whenever data of the body arrives.
type observedBody struct {
	io.ReadCloser
	progress *progress
}

// Read implements io.Reader.
func (b *observedBody) Read(into []byte) (int, error) {
	read, err := b.ReadCloser.Read(into)
	if read > 0 {
		b.progress.record()
	}
	return read, err
}

// watchRestart cancels an attempt once its replica is known to have restarted. An attempt that can
// be retried elsewhere and is making no progress is canceled at once; any other is canceled unless
// its answer continues.
func (c *call) watchRestart(ctx context.Context, use *replica.Use, cancel context.CancelCauseFunc) *progress {
	received := &progress{began: clock.Now()}
	restarted, canRetry := use.Restarted(), c.hasAttemptsLeft()
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-restarted:
		}
		quiet := !received.after(clock.Now().Add(-restartGrace))
		if canRetry && quiet || !keepsProgressing(ctx, received) {
			cancel(ErrRestarted)
		}
	}()
	return received
}

// keepsProgressing reports whether data arrives in each of the next restartGraceCount grace
// periods, or the attempt ends first.
func keepsProgressing(ctx context.Context, received *progress) bool {
	for range restartGraceCount {
		since := clock.Now()
		if retry.Sleep(ctx, restartGrace) && !received.after(since) {
			return false
		}
	}
	return true
}
