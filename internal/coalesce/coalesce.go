// Package coalesce lets concurrent callers share the runs of an operation.
package coalesce

import (
	"context"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// Runs runs an operation for many callers, one run at a time. Each caller gets the result of a run that began after
// its call. It is safe for concurrent use; its zero value is ready to use.
type Runs struct {
	mu sync.Mutex
	// next is the run that begins next; nil if nobody waits for one.
	next    *run
	running bool
	// begunAt is when the last run began.
	begunAt time.Time
}

type run struct {
	done chan struct{}
	err  error
}

// Do waits for a run of the operation that begins after the call, and at least interval after the one before. It
// returns the cause of ctx if that is done first; the run goes on.
func (r *Runs) Do(ctx context.Context, interval time.Duration, operation func() error) error {
	joined := r.join(interval, operation)
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// join returns the run that begins next, and starts to run operations unless they are running.
func (r *Runs) join(interval time.Duration, operation func() error) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &run{done: make(chan struct{})}
	}
	if !r.running {
		r.running = true
		go r.runAll(interval, operation)
	}
	return r.next
}

// runAll runs the operation until nobody waits.
func (r *Runs) runAll(interval time.Duration, operation func() error) {
	for {
		wait, ok := r.pause(interval)
		if !ok {
			return
		}
		retry.Sleep(context.Background(), wait)
		current := r.begin()
		current.err = operation()
		close(current.done)
	}
}

// pause returns the time until the next run may begin. ok is false if nobody waits for one; then nothing is running
// any more.
func (r *Runs) pause(interval time.Duration) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = r.next != nil
	return interval - clock.Since(r.begunAt), r.running
}

// begin returns the run that begins now.
func (r *Runs) begin() *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.next
	r.next, r.begunAt = nil, clock.Now()
	return current
}
