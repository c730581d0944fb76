package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

const (
	// DefaultMaxHead is the limit of a head in bytes unless a guard has another.
	DefaultMaxHead = 128 << 10
	// readAhead is what net/http may read beyond a head in bytes.
	readAhead = 4 << 10
	// lineBytes is what a header line takes in memory beyond its own bytes.
	lineBytes = 192
	// maxHeadWait bounds how long a head waits for room.
	maxHeadWait = time.Second
)

// Read implements net.Conn. It counts what arrives of a head.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && c.inHead() {
		if refusal := c.receiveHead(buffer[:n]); refusal != nil {
			c.refuse(*refusal)
			return 0, io.EOF
		}
	}
	return n, err
}

func (c *conn) inHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == readingHead
}

// headRefusal is the answer to a head that the node does not read on.
type headRefusal struct {
	reason Reason
	status int
	// retryAfter is set if the caller may try again.
	retryAfter time.Duration
}

// receiveHead counts a part of a head. It returns the refusal if there is no room for it.
func (c *conn) receiveHead(part []byte) *headRefusal {
	if c.headBytes == 0 {
		c.progressed()
		c.restartTimeout(func(timeouts Timeouts) time.Duration { return timeouts.Head })
	}
	c.headBytes += len(part)
	c.headLines += bytes.Count(part, []byte{'\n'})
	if c.headBytes > c.guard.maxHead()+readAhead {
		return &headRefusal{reason: HeadTooLarge, status: http.StatusRequestHeaderFieldsTooLarge}
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxHeadWait)
	defer cancel()
	if c.hold(ctx, c.headCost()) != nil {
		return &headRefusal{reason: MemoryShort, status: http.StatusServiceUnavailable, retryAfter: c.guard.RetryAfter}
	}
	return nil
}

// headCost is what the head of the current request takes in memory, in bytes.
func (c *conn) headCost() int { return c.headBytes + c.headLines*lineBytes }

func (g *Guard) maxHead() int {
	if g.MaxHead == nil {
		return DefaultMaxHead
	}
	return g.MaxHead()
}

// refuse writes an answer to a head that net/http does not get, and discards the rest of it for a while: closing
// a connection with unread bytes may take the answer with it.
func (c *conn) refuse(refusal headRefusal) {
	c.guard.ended(refusal.reason, c)
	c.release()
	c.setPhase(closing)
	if c.guard.Encrypted {
		return
	}
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", refusal.status, http.StatusText(refusal.status))
	if refusal.retryAfter > 0 {
		answer += fmt.Sprintf("Retry-After: %.2f\r\n", refusal.retryAfter.Seconds())
	}
	_ = c.SetDeadline(clock.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, answer+"\r\n"); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, maxLinger)
}
