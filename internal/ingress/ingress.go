// Package ingress bounds what the clients of a listener make a node hold: their connections, and the heads and
// bodies of their requests.
//
// Bytes count once they have arrived, never when they are announced. All connections share one budget (package
// bytebudget). While it has no room, connections whose client makes no progress end, those that hold the most
// first. A new connection beyond the limit takes the place of the one that has waited longest for its client.
// Requests that have been read whole are never ended for others.
package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// Error is the error class of this package.
var Error = errs.Class("ingress")

// Reason says why a connection or a request was ended.
type Reason string

// Reasons.
const (
	// ConnectionReplaced is a connection that made room for a new one.
	ConnectionReplaced Reason = "replaced by a new connection"
	// ConnectionRefused is a new connection while all others have requests in progress.
	ConnectionRefused Reason = "too many requests in progress"
	// ClientStalled is a client that made no progress while others needed room.
	ClientStalled Reason = "stalled while memory was short"
	// MemoryShort is a request for which there was no room.
	MemoryShort Reason = "memory is short"
	// HeadTooLarge is a head over the limit.
	HeadTooLarge Reason = "head over the limit"
)

// Guard bounds what the clients of one listener make a node hold. Exported fields must be set before use. It is
// safe for concurrent use.
type Guard struct {
	// Connections is the number of connections that may be open; 0 means no limit.
	Connections int
	// Budget is what all connections may make the node hold; several guards may share it.
	Budget *bytebudget.Budget
	// MaxHead returns the limit of a head in bytes. If nil, it is DefaultMaxHead.
	MaxHead func() int
	// Timeouts returns how long a client may take; it may change at any time. If nil, those of the server hold.
	Timeouts func() Timeouts
	// Encrypted tells that the connections carry TLS: a head that is refused before the server gets it has no
	// answer then.
	Encrypted bool
	// RetryAfter is how long a caller should wait whose request is refused because memory is short.
	RetryAfter time.Duration
	// OnEnded, if set, is called for each connection or request that the guard ends.
	OnEnded func(reason Reason, remote net.Addr)

	mu          sync.Mutex
	connections map[*conn]struct{}
}

// Timeouts are how long a client may take.
type Timeouts struct {
	// Head is the time for a head, from its first byte or from the begin of the connection.
	Head time.Duration
	// Idle is the time between two requests.
	Idle time.Duration
}

// Protect makes a server keep the bounds. The server must serve a listener returned by Listener.
func (g *Guard) Protect(server *http.Server) {
	server.Handler = g.handler(server.Handler)
	if g.Timeouts != nil {
		server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
	}
	server.ConnContext = withConn
	server.ConnState = func(accepted net.Conn, state http.ConnState) {
		c := connOf(accepted)
		switch {
		case c == nil:
		case state == http.StateIdle:
			c.awaitRequest()
		case state == http.StateClosed:
			c.release()
		}
	}
}

func (g *Guard) ended(reason Reason, c *conn) {
	if g.OnEnded != nil {
		g.OnEnded(reason, c.RemoteAddr())
	}
}

// add adds a connection. It reports whether there is room for it.
func (g *Guard) add(c *conn) bool {
	victim, ok := g.makeRoom(c)
	if victim != nil {
		g.ended(ConnectionReplaced, victim)
		_ = victim.Close()
	}
	return ok
}

// makeRoom adds c, and returns the connection that has to end for it, if any. It adds nothing and returns false
// if none can.
func (g *Guard) makeRoom(c *conn) (victim *conn, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connections == nil {
		g.connections = map[*conn]struct{}{}
	}
	if g.Connections > 0 && len(g.connections) >= g.Connections {
		for victim == nil {
			longest := g.longestWaiting()
			if longest == nil {
				return nil, false
			}
			// It may have been read whole meanwhile.
			if longest.endForOthers() {
				victim = longest
			}
		}
		delete(g.connections, victim)
	}
	g.connections[c] = struct{}{}
	return victim, true
}

// longestWaiting returns the connection that has waited longest for its client, or nil if none waits. The caller
// holds mu.
func (g *Guard) longestWaiting() *conn {
	var longest *conn
	var since time.Time
	for c := range g.connections {
		waiting := c.waiting()
		if waiting.forClient && (longest == nil || waiting.since.Before(since)) {
			longest, since = c, waiting.since
		}
	}
	return longest
}

// stallTime is how long a client may make no progress while others need room.
const stallTime = time.Second

// endStalled ends the request of the client that holds the most of those that have stalled.
func (g *Guard) endStalled() {
	if victim := g.largestStalled(); victim != nil && victim.endStalled() {
		g.ended(ClientStalled, victim)
	}
}

func (g *Guard) largestStalled() *conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	var largest *conn
	most, stalledSince := int64(0), clock.Now().Add(-stallTime)
	for c := range g.connections {
		waiting := c.waiting()
		if waiting.forClient && waiting.held > most && waiting.since.Before(stalledSince) {
			largest, most = c, waiting.held
		}
	}
	return largest
}

func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.connections, c)
}
