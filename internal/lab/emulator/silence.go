package emulator

import (
	"net"
	"sync"
)

// SilentListener is a listener whose open connections can go silent: nothing passes in
// either direction any more, and the caller hears of no end, until the listener closes.
// Connections that come later work. The zero value with a Listener works.
type SilentListener struct {
	net.Listener

	mu   sync.Mutex
	open map[*silentConn]bool
	// closedSilently are connections that this side has closed and the caller has not heard of.
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

// Silence has all open connections go silent. It returns how many these are.
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
		// Its end has nobody left to report a failure to.
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

// Read implements net.Conn. What comes over a silent connection is lost, and so is its end.
func (c *silentConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. What is sent over a silent connection is lost.
func (c *silentConn) Write(buffer []byte) (int, error) {
	if c.isSilent() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

// Close implements net.Conn. The caller of a silent connection does not hear of it.
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
