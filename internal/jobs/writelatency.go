package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

const (
	// writeTimeoutFactor is the multiple of the mean latency after which the answer to a write
	// counts as lost. It is small, because repeating a conditional write is harmless, while waiting
	// for a lost answer costs time.
	writeTimeoutFactor = 6
	minWriteTimeout    = 100 * time.Millisecond
	// initialWriteLatency is assumed until a write has been answered.
	initialWriteLatency = 25 * time.Millisecond
	latencyWeight       = 0.3
)

// writeLatency estimates how long writes to the store take. It is safe for concurrent use.
type writeLatency struct {
	mu   sync.Mutex
	mean time.Duration
}

// timeout returns how long to wait for the answer to an attempt, numbered from 0. It doubles with
// each attempt, because the store may have become slow.
func (l *writeLatency) timeout(attempt int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean := l.mean
	if mean == 0 {
		mean = initialWriteLatency
	}
	timeout := max(minWriteTimeout, writeTimeoutFactor*mean)
	return min(timeout<<min(attempt, 8), slowCallTimeout)
}

// observe updates the mean with the time a write took or after which it timed out.
func (l *writeLatency) observe(elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		l.mean = elapsed
	}
	l.mean += time.Duration(latencyWeight * float64(elapsed-l.mean))
}

// call makes one attempt at a write within its timeout.
func (l *writeLatency) call(ctx context.Context, attempt int, write func(context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, l.timeout(attempt))
	defer cancel()
	start := clock.Now()
	err := write(callCtx)
	if ctx.Err() == nil {
		l.observe(clock.Since(start))
	}
	return err
}
