package ingress

import "net"

// Listener returns a listener whose connections the guard bounds.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(l.guard, accepted)
	l.guard.add(c)
	return c, nil
}
