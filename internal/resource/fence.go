package resource

import (
	"sync"
	"time"
)

// Fence decides whether a node may admit work under the configuration it holds.
//
// A node may do so while, within the last SelfFenceAfter, it has proof that it
// held all that one other witness (a peer or the store) held. The proof counts
// from when the question was sent, so an answer that waited in a socket while
// the process was paused proves nothing about the time after the pause.
type Fence struct {
	after time.Duration

	mu     sync.Mutex
	proven time.Time
	// alone is set while no other node is known, when nobody can be out of step.
	alone bool
}

// SelfFenceAfter is the silence after which a node stops admitting work.
const SelfFenceAfter = 3 * time.Second

// NewFence returns a fence that is closed until the first proof.
func NewFence(after time.Duration) *Fence { return &Fence{after: after} }

// Prove records that at the time sent, or later, a witness held nothing that
// this node does not hold now.
func (f *Fence) Prove(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sent.After(f.proven) {
		f.proven = sent
	}
}

// SetAlone records whether this node is the only one known.
func (f *Fence) SetAlone(alone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alone = alone
}

// Open reports whether work may be admitted at the time now.
func (f *Fence) Open(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.proven.IsZero() {
		return false
	}
	return f.alone || now.Sub(f.proven) <= f.after
}
