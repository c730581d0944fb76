package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// ConnectionFault is a fault of the connections through a proxy.
type ConnectionFault int

// Faults of connections.
const (
	// NoFault forwards all data.
	NoFault ConnectionFault = iota
	// Delay delays each chunk.
	Delay
	// Reset resets connections, including those that are open.
	Reset
	// StallToUpstream forwards nothing to the upstream.
	StallToUpstream
	// StallToCaller forwards nothing to the caller.
	StallToCaller
)

// faultDelay is the delay that Delay adds to each chunk.
const faultDelay = 150 * time.Millisecond

// proxy forwards TCP connections over loopback and injects faults into them.
type proxy struct {
	upstream string

	mu sync.Mutex
	// listener is nil while connections are refused. addr is its address, which stays the same.
	listener net.Listener
	addr     string
	fault    ConnectionFault
	conns    map[net.Conn]bool
	links    map[*link]bool
	closed   bool
}

// link is a connection of a caller together with its connection to the upstream.
type link struct {
	caller, upstream net.Conn
	// silenced is closed when the link stops forwarding data, closed when the proxy is closed and
	// both connections may end.
	silenced, closed chan struct{}
}

// isSilenced reports whether the link has stopped forwarding data.
func (l *link) isSilenced() bool {
	select {
	case <-l.silenced:
		return true
	default:
		return false
	}
}

// startProxy starts a proxy for an upstream on a free port.
func startProxy(upstream string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &proxy{listener: listener, addr: listener.Addr().String(), upstream: upstream, conns: map[net.Conn]bool{}, links: map[*link]bool{}}
	go p.accept(listener)
	return p, nil
}

func (p *proxy) address() string { return p.addr }

// silence makes all open connections drop their data permanently without a reset, so that neither
// side learns that the other has closed. New connections are not affected.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for link := range p.links {
		if !link.isSilenced() {
			close(link.silenced)
		}
		// A later reset must not reach the caller.
		delete(p.conns, link.caller)
	}
}

// refuse closes all open connections and refuses new ones, as a machine does after the process has
// crashed. Callers of silenced connections are not notified.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil || p.closed {
		return
	}
	_ = p.listener.Close()
	p.listener = nil
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// acceptAgain accepts connections again after refuse.
func (p *proxy) acceptAgain() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	listener, err := net.Listen("tcp", p.addr)
	if err != nil {
		return Error.Wrap(err)
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// setFault sets the fault of all connections. Reset also breaks those that are open.
func (p *proxy) setFault(fault ConnectionFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault != Reset {
		return
	}
	for conn := range p.conns {
		resetOnClose(conn)
		_ = conn.Close()
	}
}

// resetOnClose makes the next Close of a connection reset it.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func (p *proxy) currentFault() ConnectionFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
	for link := range p.links {
		close(link.closed)
		delete(p.links, link)
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// track registers an open connection. It returns false if the proxy is closed.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[conn] = true
	}
	return !p.closed
}

// untrack closes a connection and removes it from the open ones.
func (p *proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve forwards data in both directions until both have ended.
func (p *proxy) serve(caller net.Conn) {
	if !p.track(caller) || p.currentFault() == Reset {
		p.untrack(caller)
		return
	}
	defer p.untrack(caller)
	upstream, err := net.Dial("tcp", p.upstream)
	if err != nil {
		return
	}
	if !p.track(upstream) {
		_ = upstream.Close()
		return
	}
	defer p.untrack(upstream)
	l := p.addLink(caller, upstream)
	if l == nil {
		return
	}
	defer p.removeLink(l)
	var both sync.WaitGroup
	both.Go(func() { p.copy(l, upstream, caller, StallToUpstream) })
	both.Go(func() { p.copy(l, caller, upstream, StallToCaller) })
	both.Wait()
}

// addLink registers a pair of connections. It returns nil if the proxy is closed.
func (p *proxy) addLink(caller, upstream net.Conn) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	l := &link{caller: caller, upstream: upstream, silenced: make(chan struct{}), closed: make(chan struct{})}
	p.links[l] = true
	return l
}

func (p *proxy) removeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// copy forwards data in one direction, and pauses while the proxy has the fault stall.
func (p *proxy) copy(l *link, to, from net.Conn, stall ConnectionFault) {
	const bufferBytes = 32 << 10
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		for p.currentFault() == stall {
			time.Sleep(10 * time.Millisecond)
		}
		if p.currentFault() == Delay {
			time.Sleep(faultDelay)
		}
		if l.isSilenced() {
			// Keep both connections open, so that neither side learns that the other has closed.
			<-l.closed
			break
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			if err == io.EOF {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
					return
				}
			}
			if errors.Is(err, syscall.ECONNRESET) {
				resetOnClose(to)
			}
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
