package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

const (
	// paceFactor is how many usual times a write may take before its answer
	// counts as lost. Sending a conditional write again is harmless, and
	// waiting for a lost answer is not.
	paceFactor = 6
	paceLeast  = 100 * time.Millisecond
	// paceFirst stands in until a write has been answered.
	paceFirst = 25 * time.Millisecond
	paceGain  = 0.3
)

// pace learns how long writes to the store take. It is safe for concurrent use.
type pace struct {
	mu    sync.Mutex
	usual time.Duration
}

// limit returns how long to wait for the answer of a try, from 0 on. It doubles
// with each try, for the store may have become slow.
func (p *pace) limit(try int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := p.usual
	if usual == 0 {
		usual = paceFirst
	}
	limit := max(paceLeast, paceFactor*usual)
	return min(limit<<min(try, 8), slowCallTimeout)
}

// observe takes in how long an answer took, or how long one was waited for in vain.
func (p *pace) observe(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usual == 0 {
		p.usual = took
	}
	p.usual += time.Duration(paceGain * float64(took-p.usual))
}

// call makes one try of a write with the time that it may take.
func (p *pace) call(ctx context.Context, try int, write func(context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, p.limit(try))
	defer cancel()
	began := clock.Now()
	err := write(callCtx)
	if ctx.Err() == nil {
		p.observe(clock.Since(began))
	}
	return err
}
