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

// A replica that starts again answers nothing that the one before was sent. An attempt there
// whose connection stays open without a word would be waited for until the caller's time is
// over. But the list tells of a start late, by up to 3 s on the users' platform, so the
// attempt may have been sent to the new replica already.

const (
	// restartGrace is how long an attempt that may have been sent to the new replica is given
	// to show it, by any part of its answer: as long as the pause between two events may be on
	// the users' deployments, 250 or 300 ms. Reading a prompt of 9,000 tokens takes 180 ms
	// there.
	restartGrace = 300 * time.Millisecond
	// restartGraces is how often in a row it is to do so: what comes first may have been on its
	// way when the replica before ended, or waited here while this machine stood still.
	restartGraces = 2
)

// progress is when anything of an answer last came. The zero value has seen nothing; began
// must be set. It is safe for concurrent use.
type progress struct {
	began time.Time
	// last is the time from began to then; 0 if nothing has come.
	last atomic.Int64
}

func (p *progress) note() { p.last.Store(max(1, int64(clock.Since(p.began)))) }

// after reports whether anything came after a time.
func (p *progress) after(at time.Time) bool {
	last := p.last.Load()
	return last > 0 && p.began.Add(time.Duration(last)).After(at)
}

// observedBody notes when anything of a body comes.
type observedBody struct {
	io.ReadCloser
	progress *progress
}

// Read implements io.Reader.
func (b *observedBody) Read(into []byte) (int, error) {
	read, err := b.ReadCloser.Read(into)
	if read > 0 {
		b.progress.note()
	}
	return read, err
}

// watchRestart gives an attempt up once its replica is known to have started again. One that
// can go on elsewhere and of whose answer nothing comes is left at once; any other is left
// unless its answer goes on.
func (c *call) watchRestart(ctx context.Context, use *replica.Use, cancel context.CancelCauseFunc) *progress {
	seen := &progress{began: clock.Now()}
	reborn, elsewhere := use.Restarted(), c.anotherTry()
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-reborn:
		}
		quiet := !seen.after(clock.Now().Add(-restartGrace))
		if elsewhere && quiet || !goesOn(ctx, seen) {
			cancel(ErrRestarted)
		}
	}()
	return seen
}

// goesOn reports whether something of an answer comes within each of the next restartGraces,
// or the attempt ends.
func goesOn(ctx context.Context, seen *progress) bool {
	for range restartGraces {
		since := clock.Now()
		if retry.Sleep(ctx, restartGrace) && !seen.after(since) {
			return false
		}
	}
	return true
}
