// Package retry bounds how much extra work retries may cause.
package retry

import "sync"

// reserve is the number of retries a budget allows before any traffic.
const reserve = 10

// Budget allows retries as a share of the requests, so that a failing back end
// is not also flooded. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
	limit  float64
}

// NewBudget returns a budget that allows share retries a request.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, tokens: reserve, limit: reserve}
}

// Request accounts for a first sending.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.share)
}

// Retry takes the right to one retry, or reports false.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
