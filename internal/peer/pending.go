package peer

import "sync"

// Pending matches replies with the requests that this node waits for. T is the content of a reply.
// The zero value is ready to use. It is safe for concurrent use.
type Pending[T any] struct {
	mu      sync.Mutex
	waiting map[uint64]*wait[T]
}

// wait is a request that waits for some more replies.
type wait[T any] struct {
	received chan T
	left     int
}

// Register returns the channel that receives the reply to the request with a number, which must be
// unique. The caller must call Forget once it no longer waits.
func (p *Pending[T]) Register(number uint64) <-chan T { return p.RegisterMany(number, 1) }

// RegisterMany is like Register for a request with up to count replies, for example from several nodes.
func (p *Pending[T]) RegisterMany(number uint64, count int) <-chan T {
	received := make(chan T, count)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[uint64]*wait[T]{}
	}
	p.waiting[number] = &wait[T]{received: received, left: count}
	return received
}

// Forget ends the wait for the reply to a request.
func (p *Pending[T]) Forget(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, number)
}

// Deliver hands a reply to the request with a number. Replies to unknown requests and those beyond the
// registered count are dropped.
func (p *Pending[T]) Deliver(number uint64, reply T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting, ok := p.waiting[number]
	if !ok {
		return
	}
	if waiting.left--; waiting.left == 0 {
		delete(p.waiting, number)
	}
	waiting.received <- reply
}
