package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// ConnectionFault is what befalls the connections of a proxy.
type ConnectionFault int

// Harms.
const (
	// NoFault passes everything on.
	NoFault ConnectionFault = iota
	// Delay delays each piece.
	Delay
	// Reset breaks connections, also those that are open.
	Reset
	// StallToUpstream passes nothing on towards the upstream.
	StallToUpstream
	// StallToCaller passes nothing back.
	StallToCaller
)

const faultDelay = 150 * time.Millisecond

// proxy passes TCP connections on over loopback, and harms them.
type proxy struct {
	upstream string

	mu sync.Mutex
	// listener is nil while connections are refused; at is its address.
	listener net.Listener
	addr     string
	fault    ConnectionFault
	conns    map[net.Conn]bool
	links    map[*link]bool
	closed   bool
}

// link is a caller's connection and the one to the upstream that belongs to it.
type link struct {
	caller, upstream net.Conn
	// silenced is closed once the link passes nothing on any more, closed when nobody is left to
	// hear of it.
	silenced, closed chan struct{}
}

// isSilenced reports whether the link passes nothing on.
func (l *link) isSilenced() bool {
	select {
	case <-l.silenced:
		return true
	default:
		return false
	}
}

// startProxy listens before an upstream.
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

// silence has all open connections pass nothing on for good, without a reset: neither side
// hears anything of the other, not even its end. New connections are as they were.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for link := range p.links {
		if !link.isSilenced() {
			close(link.silenced)
		}
		// A reset does not reach the caller any more.
		delete(p.conns, link.caller)
	}
}

// refuse breaks what is open and refuses connections, as the machine of a process that has
// crashed does. Callers of silent connections do not hear of it.
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

// acceptAgain takes connections again after refuse.
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

// setFault changes the harm. Resets breaks what is open.
func (p *proxy) setFault(fault ConnectionFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault != Reset {
		return
	}
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
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

// track notes an open connection; it reports false if the proxy has ended.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[conn] = true
	}
	return !p.closed
}

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

// addLink notes that two connections belong together; nil if the proxy has ended.
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

// copy passes pieces on, and holds them while the proxy has the harm.
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
			// Both connections stay open, so that neither side hears of the other.
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
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
