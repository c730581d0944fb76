package batch

import (
	"context"
	"time"
)

// drainCheck is how often a drain looks whether it is done.
const drainCheck = 50 * time.Millisecond

// drainRoom is the number of items a draining node may have at a replica.
const drainRoom = 8

// BeginDrain begins a planned stop: nothing is claimed any more. Call it before
// the node announces that it leaves, while it still has replicas to feed.
func (r *Runner) BeginDrain() {
	r.mu.Lock()
	r.draining = true
	// This node is no steward any more; it keeps a little room at the replicas
	// it had, for the items that nobody else may send.
	for _, target := range r.feeds {
		target.feed.Room = Room{Target: max(target.feed.Room.Target, drainRoom), Keep: keepAll}
	}
	r.mu.Unlock()
	signal(r.kick)
}

// Drain waits until no item is running and until chunks are committed that hold
// started items which may run only once: nobody else could run those. Other
// chunks are left to be taken over. The context bounds the wait.
func (r *Runner) Drain(ctx context.Context) {
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
		if held.running > 0 || held.committing || held.marking || held.mustFinish() {
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
