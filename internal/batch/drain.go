package batch

import (
	"context"
	"time"
)

// drainCheck is how often a drain looks whether it is done.
const drainCheck = 50 * time.Millisecond

// Drain prepares a planned stop. It claims nothing more and waits until no item
// is running and until chunks are committed that hold started items which may
// run only once: nobody else could run those. Other chunks are left to be taken
// over. The context bounds the wait.
func (r *Runner) Drain(ctx context.Context) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	for !r.drained() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainCheck):
		}
	}
}

func (r *Runner) drained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, held := range r.works {
		if held.running > 0 || held.committing || held.mustFinish() {
			return false
		}
	}
	return true
}

// mustFinish reports whether the chunk has started items that may run only once.
func (w *work) mustFinish() bool {
	for index := range w.items {
		if w.items[index].content.NotRepeatable && w.chunk.started(index) {
			return true
		}
	}
	return false
}
