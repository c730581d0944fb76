package ingress

import "net"

// receiveBuffer is the receive buffer of a connection in bytes, which the kernel may double. A client that is not
// read fills it.
const receiveBuffer = 32 << 10

// Listener returns a listener whose connections the guard bounds.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. A connection for which there is no room is closed before anything is read, so
// that its client can tell that no request ran.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if sized, ok := accepted.(interface{ SetReadBuffer(bytes int) error }); ok {
			// Without it the connection works as well, but an unread client may fill more.
			_ = sized.SetReadBuffer(receiveBuffer)
		}
		c := newConn(l.guard, accepted)
		if l.guard.add(c) {
			return c, nil
		}
		l.guard.ended(ConnectionRefused, c)
		_ = c.Close()
	}
}
