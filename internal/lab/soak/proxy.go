package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Harm is what befalls the connections of a proxy.
type Harm int

// Harms.
const (
	// Clear passes everything on.
	Clear Harm = iota
	// Slow delays each piece.
	Slow
	// Resets breaks connections, also those that are open.
	Resets
	// Deaf passes nothing on towards the upstream.
	Deaf
	// Mute passes nothing back.
	Mute
)

const slowBy = 150 * time.Millisecond

// proxy passes TCP connections on over loopback, and harms them.
type proxy struct {
	upstream string

	mu sync.Mutex
	// listener is nil while connections are refused; at is its address.
	listener net.Listener
	at       string
	harm     Harm
	open     map[net.Conn]bool
	links    map[*link]bool
	ended    bool
}

// link is a caller's connection and the one to the upstream that belongs to it.
type link struct {
	caller, upstream net.Conn
	// silent is closed once the link passes nothing on any more, ended when nobody is left to
	// hear of it.
	silent, ended chan struct{}
}

// isSilent reports whether the link passes nothing on.
func (l *link) isSilent() bool {
	select {
	case <-l.silent:
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
	p := &proxy{listener: listener, at: listener.Addr().String(), upstream: upstream, open: map[net.Conn]bool{}, links: map[*link]bool{}}
	go p.accept(listener)
	return p, nil
}

func (p *proxy) address() string { return p.at }

// silence has all open connections pass nothing on for good, without a reset: neither side
// hears anything of the other, not even its end. New connections are as they were.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for link := range p.links {
		if !link.isSilent() {
			close(link.silent)
		}
		// A reset does not reach the caller any more.
		delete(p.open, link.caller)
	}
}

// refuse breaks what is open and refuses connections, as the machine of a process that has
// crashed does. Callers of silent connections do not hear of it.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil || p.ended {
		return
	}
	_ = p.listener.Close()
	p.listener = nil
	for conn := range p.open {
		_ = conn.Close()
	}
}

// accepts takes connections again after refuse.
func (p *proxy) accepts() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.ended {
		return nil
	}
	listener, err := net.Listen("tcp", p.at)
	if err != nil {
		return Error.Wrap(err)
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// set changes the harm. Resets breaks what is open.
func (p *proxy) set(harm Harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = harm
	if harm != Resets {
		return
	}
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) now() Harm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
	for link := range p.links {
		close(link.ended)
		delete(p.links, link)
	}
	for conn := range p.open {
		_ = conn.Close()
	}
}

// track notes an open connection; it reports false if the proxy has ended.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		p.open[conn] = true
	}
	return !p.ended
}

func (p *proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, conn)
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
	if !p.track(caller) || p.now() == Resets {
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
	pair := p.join(caller, upstream)
	if pair == nil {
		return
	}
	defer p.part(pair)
	var both sync.WaitGroup
	both.Go(func() { p.copy(pair, upstream, caller, Deaf) })
	both.Go(func() { p.copy(pair, caller, upstream, Mute) })
	both.Wait()
}

// join notes that two connections belong together; nil if the proxy has ended.
func (p *proxy) join(caller, upstream net.Conn) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil
	}
	pair := &link{caller: caller, upstream: upstream, silent: make(chan struct{}), ended: make(chan struct{})}
	p.links[pair] = true
	return pair
}

func (p *proxy) part(pair *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, pair)
}

// copy passes pieces on, and holds them while the proxy has the harm.
func (p *proxy) copy(pair *link, to, from net.Conn, holds Harm) {
	const pieceBytes = 32 << 10
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		for p.now() == holds {
			time.Sleep(10 * time.Millisecond)
		}
		if p.now() == Slow {
			time.Sleep(slowBy)
		}
		if pair.isSilent() {
			// Both connections stay open, so that neither side hears of the other.
			<-pair.ended
			break
		}
		if n > 0 {
			if _, writeErr := to.Write(piece[:n]); writeErr != nil {
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
