// Package retry bounds how much extra work retries may cause.
package retry

import "sync"

// maxTokens is the number of retries a budget allows before any traffic.
const maxTokens = 10

// Budget allows retries as a share of the requests, so that a failing back end
// is not also flooded. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	ratio    float64
	tokens   float64
	capacity float64
}

// NewBudget returns a budget that allows share retries a request.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, tokens: maxTokens, capacity: maxTokens}
}

// RecordRequest accounts for a first sending.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.ratio)
}

// TryRetry takes the right to one retry, or reports false.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
