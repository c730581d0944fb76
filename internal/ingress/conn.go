package ingress

import (
	"context"
	"crypto/tls"
	"net"
)

// conn is an accepted connection.
type conn struct {
	net.Conn
	guard *Guard
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
