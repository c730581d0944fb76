package ingress

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// phase is what happens on a connection.
type phase int

const (
	// readingHead includes the time between two requests.
	readingHead phase = iota
	// readingBody is when a handler waits for the body.
	readingBody
	// processing is when the handler does not wait for the client.
	processing
	// closing is when the refusal has been sent and the rest of the request is discarded.
	closing
	// ended is when the request has been ended for others; its handler has not answered yet.
	ended
	// gone is when the connection has been ended for others. No request begins on it any more.
	gone
)

// progressBytes is how much of a body has to arrive to count as progress.
const progressBytes = 16 << 10

// conn is an accepted connection. Only the goroutine that serves it reads it and changes its share.
type conn struct {
	net.Conn
	guard *Guard
	share bytebudget.Share
	// headBytes and headLines are what has arrived of the head.
	headBytes, headLines int

	mu    sync.Mutex
	phase phase
	// since is when the client last made progress.
	since time.Time
	// held is what the connection has taken from the budget.
	held int64
	// timeout ends the connection while it waits for a head; nil if the timeouts of the server hold.
	timeout *time.Timer
	// lateAt is when timeout is due. One that fires earlier was restarted after it had expired.
	lateAt time.Time
	// waitingForRoom is set while the connection waits for others.
	waitingForRoom bool
}

func newConn(guard *Guard, accepted net.Conn) *conn {
	c := &conn{Conn: accepted, guard: guard, share: bytebudget.Share{Budget: guard.Budget}, since: clock.Now()}
	if guard.Timeouts != nil {
		limit := guard.Timeouts().Head
		c.lateAt = time.Now().Add(limit)
		c.timeout = time.AfterFunc(limit, c.endLate)
	}
	return c
}

// endLate closes the connection if it still waits for a head.
func (c *conn) endLate() {
	c.mu.Lock()
	late := c.phase == readingHead && !time.Now().Before(c.lateAt)
	if late {
		c.phase = gone
	}
	c.mu.Unlock()
	if late {
		_ = c.Conn.Close()
	}
}

// restartTimeout gives the client the given one of the timeouts from now on.
func (c *conn) restartTimeout(choose func(Timeouts) time.Duration) {
	if c.timeout == nil {
		return
	}
	limit := choose(c.guard.Timeouts())
	c.mu.Lock()
	c.lateAt = time.Now().Add(limit)
	c.mu.Unlock()
	c.timeout.Reset(limit)
}

// waiting describes what a connection waits for.
type waiting struct {
	// forClient is set if it waits for its client, since when the client last made progress.
	forClient bool
	since     time.Time
	// held is the number of bytes that it holds of the budget.
	held int64
}

func (c *conn) waiting() waiting {
	c.mu.Lock()
	defer c.mu.Unlock()
	return waiting{forClient: c.waitsForClient(), since: c.since, held: c.held}
}

// waitsForClient reports whether the connection waits for its client. The caller holds mu.
func (c *conn) waitsForClient() bool {
	switch c.phase {
	case readingHead, readingBody, closing:
		return !c.waitingForRoom
	default:
		return false
	}
}

// setPhase changes the phase. It returns false if the connection has been ended for others.
func (c *conn) setPhase(next phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == gone {
		return false
	}
	c.phase = next
	return true
}

// progressed records that the client made progress.
func (c *conn) progressed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = clock.Now()
}

// awaitRequest begins to wait for the next request.
func (c *conn) awaitRequest() {
	c.headBytes, c.headLines = 0, 0
	c.release()
	c.restartTimeout(func(timeouts Timeouts) time.Duration { return timeouts.Idle })
	c.setPhase(readingHead)
	c.progressed()
}

// hold waits until the connection may make the node hold the given number of bytes. Clients that have stalled
// make room. It returns bytebudget.ErrFull if there is none.
func (c *conn) hold(ctx context.Context, bytes int) error {
	err := c.share.Hold(bytes)
	if err != nil {
		c.setWaitingForRoom(true)
		err = c.share.AwaitReclaiming(ctx, bytes, c.guard.endStalled)
		c.setWaitingForRoom(false)
	}
	c.setHeld()
	return err
}

func (c *conn) release() {
	c.share.Release()
	c.setHeld()
}

func (c *conn) setHeld() {
	held := c.share.Taken()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = held
}

// setWaitingForRoom begins or ends a wait for others, which is not the client's.
func (c *conn) setWaitingForRoom(waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingForRoom = waits
	c.since = clock.Now()
}

// endStalled ends the request of a client that has stalled: a handler that reads the body gets an error and can
// still answer. It returns false if the request has been read by now.
func (c *conn) endStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case readingBody:
		c.phase = ended
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return true
	case readingHead, closing:
		c.phase = gone
		_ = c.Conn.Close()
		return true
	default:
		return false
	}
}

// endForOthers ends the connection unless it no longer waits for its client. The caller closes it.
func (c *conn) endForOthers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waitsForClient() {
		return false
	}
	c.phase = gone
	return true
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.remove(c)
	if c.timeout != nil {
		c.timeout.Stop()
	}
	return c.Conn.Close()
}

// CloseWrite closes the direction to the client, so that it gets all that was written.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

type connKey struct{}

func withConn(ctx context.Context, accepted net.Conn) context.Context {
	if c := connOf(accepted); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connOf returns the connection of the guard beneath an accepted one, or nil.
func connOf(accepted net.Conn) *conn {
	if secured, ok := accepted.(*tls.Conn); ok {
		accepted = secured.NetConn()
	}
	c, _ := accepted.(*conn)
	return c
}
