// Package retry bounds the load that retries cause.
package retry

import "sync"

// maxTokens is the initial and maximum number of retries that a budget holds.
const maxTokens = 10

// Budget limits retries to a ratio of the requests, so that retries do not overload a failing
// backend. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	ratio    float64
	tokens   float64
	capacity float64
}

// NewBudget returns a full budget that gains ratio retries with each request.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, tokens: maxTokens, capacity: maxTokens}
}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.ratio)
}

// TryRetry consumes one retry from the budget. It returns false if none is left.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
