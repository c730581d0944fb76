package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

const (
	// writeTimeoutFactor is how many usual times a write may take before its answer
	// counts as lost. Sending a conditional write again is harmless, and
	// waiting for a lost answer is not.
	writeTimeoutFactor = 6
	minWriteTimeout    = 100 * time.Millisecond
	// initialWriteLatency stands in until a write has been answered.
	initialWriteLatency = 25 * time.Millisecond
	latencyGain         = 0.3
)

// writeLatency learns how long writes to the store take. It is safe for concurrent use.
type writeLatency struct {
	mu   sync.Mutex
	mean time.Duration
}

// timeout returns how long to wait for the answer of a try, from 0 on. It doubles
// with each try, for the store may have become slow.
func (p *writeLatency) timeout(attempt int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean := p.mean
	if mean == 0 {
		mean = initialWriteLatency
	}
	timeout := max(minWriteTimeout, writeTimeoutFactor*mean)
	return min(timeout<<min(attempt, 8), slowCallTimeout)
}

// observe takes in how long an answer took, or how long one was waited for in vain.
func (p *writeLatency) observe(elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mean == 0 {
		p.mean = elapsed
	}
	p.mean += time.Duration(latencyGain * float64(elapsed-p.mean))
}

// call makes one try of a write with the time that it may take.
func (p *writeLatency) call(ctx context.Context, attempt int, write func(context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, p.timeout(attempt))
	defer cancel()
	start := clock.Now()
	err := write(callCtx)
	if ctx.Err() == nil {
		p.observe(clock.Since(start))
	}
	return err
}
