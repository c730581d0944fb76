package dialer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/traffic"
)

// ReportResets returns a function that dials like dial. Reads on its connections fail after a reset even if a
// write got the error of the reset.
func ReportResets(dial traffic.DialContext) traffic.DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened}, nil
	}
}

// conn tells a reset from an orderly end. The kernel reports a reset once: if a write gets the error, later reads
// return io.EOF, and a response that ends with its connection looks complete.
type conn struct {
	net.Conn

	// writing is held during a write, and guards writeErr.
	writing sync.Mutex
	// writeErr is the error of the first write that failed; nil if none has.
	writeErr error
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := c.endWrites(); writeErr != nil {
		return n, fmt.Errorf("connection failed during a write: %w", writeErr)
	}
	return n, err
}

// endWrites ends a write under way, which may have got the error of a reset and not have returned yet. It returns
// the error of the first write that failed by itself.
func (c *conn) endWrites() error {
	// A connection that does not take the deadline has failed already.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}
