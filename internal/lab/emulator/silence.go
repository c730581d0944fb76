package emulator

import (
	"net"
	"sync"
)

// SilentListener is a listener that can silence its open connections: all data in both directions is
// discarded, and the peer sees no close until the listener closes. New connections are not affected.
// It is ready to use once Listener is set.
type SilentListener struct {
	net.Listener

	mu   sync.Mutex
	open map[*silentConn]bool
	// closedSilently holds connections that the server has closed but that are kept open toward
	// the peer.
	closedSilently []net.Conn
}

// Accept implements net.Listener.
func (l *SilentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &silentConn{Conn: conn, listener: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*silentConn]bool{}
	}
	l.open[wrapped] = true
	return wrapped, nil
}

// Silence silences all open connections and returns the number of newly silenced ones.
func (l *SilentListener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for conn := range l.open {
		if !conn.isSilent() {
			close(conn.silent)
			count++
		}
	}
	return count
}

// Close implements net.Listener.
func (l *SilentListener) Close() error {
	l.mu.Lock()
	silenced := l.closedSilently
	l.closedSilently = nil
	l.mu.Unlock()
	for _, conn := range silenced {
		// The server has already closed the connection, so an error has no receiver.
		_ = conn.Close()
	}
	return l.Listener.Close()
}

// silentConn is a connection of a SilentListener.
type silentConn struct {
	net.Conn
	listener       *SilentListener
	silent, closed chan struct{}
	once           sync.Once
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. Data and errors received on a silent connection are discarded: Read
// blocks until the connection is closed locally.
func (c *silentConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. Data written to a silent connection is discarded.
func (c *silentConn) Write(buffer []byte) (int, error) {
	if c.isSilent() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

// Close implements net.Conn. The peer of a silent connection sees no close.
func (c *silentConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() { err = c.closeConn() })
	return err
}

func (c *silentConn) closeConn() error {
	close(c.closed)
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	if !c.isSilent() {
		return c.Conn.Close()
	}
	l.closedSilently = append(l.closedSilently, c.Conn)
	return nil
}
