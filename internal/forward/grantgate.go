package forward

import (
	"sync"
	"time"
)

// grantGate bounds the requests for grants of a node while the replicas of a pool accept no connections.
// All requests that wait would ask for the same few sends, at all nodes, so that the senders of these
// replicas would get many more messages than they can grant sends. After a refusal, one request at a
// time asks again after a pause, for all of them, until one is granted. The zero value lets all
// requests ask.
type grantGate struct {
	mu    sync.Mutex
	pools map[string]*closedGate
}

// closedGate is the state of a pool for which the last request for a grant was refused.
type closedGate struct {
	reopensAt time.Time
	// asking is set while a request for a grant is under way.
	asking bool
}

// tryAsk reports whether a request may ask for a grant now. The caller must record the result.
func (g *grantGate) tryAsk(pool string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	closed := g.pools[pool]
	if closed == nil {
		return true
	}
	if closed.asking || now.Before(closed.reopensAt) {
		return false
	}
	closed.asking = true
	return true
}

// record records the result of a request for a grant.
func (g *grantGate) record(pool string, granted bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if granted {
		delete(g.pools, pool)
		return
	}
	if g.pools == nil {
		g.pools = map[string]*closedGate{}
	}
	g.pools[pool] = &closedGate{reopensAt: now.Add(capacityRetryInterval)}
}
