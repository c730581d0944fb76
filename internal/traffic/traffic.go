// Package traffic counts the bytes of a node's control traffic.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts bytes sent and received. It is safe for concurrent use.
type Counter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes sent.
func (c *Counter) Sent() uint64 { return c.sent.Load() }

// Received returns the number of bytes received.
func (c *Counter) Received() uint64 { return c.received.Load() }

// DialContext is the signature of net.Dialer.DialContext.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Dial wraps a dial function. The returned function counts the bytes of its connections in c.
func (c *Counter) Dial(dial DialContext) DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counter: c}, nil
	}
}

// countedConn is a connection that adds the bytes sent and received to a Counter.
type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counter.sent.Add(uint64(n))
	return n, err
}
