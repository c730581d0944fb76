package peer

import "sync"

// Pending matches replies with the requests that this node waits for. T is the content of a reply.
// The zero value is ready to use. It is safe for concurrent use.
type Pending[T any] struct {
	mu      sync.Mutex
	waiting map[uint64]chan T
}

// Register returns the channel that receives the reply to the request with a number, which must be
// unique. The caller must call Forget once it no longer waits.
func (p *Pending[T]) Register(number uint64) <-chan T {
	received := make(chan T, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[uint64]chan T{}
	}
	p.waiting[number] = received
	return received
}

// Forget ends the wait for the reply to a request.
func (p *Pending[T]) Forget(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, number)
}

// Deliver hands a reply to the request with a number. Replies to unknown requests and duplicates
// are dropped.
func (p *Pending[T]) Deliver(number uint64, reply T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if received, ok := p.waiting[number]; ok {
		delete(p.waiting, number)
		received <- reply
	}
}
