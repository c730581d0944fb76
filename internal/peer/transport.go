package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	callTimeout        = 2 * time.Second
	idleConnectionTime = 60 * time.Second
	maxIdlePerPeer     = 1
)

// Handler answers a call. The result is encoded as the answer's body.
type Handler func(ctx context.Context, body []byte) (any, error)

// DatagramHandler takes a datagram; from is the sender's peer address.
type DatagramHandler func(from string, body []byte)

// Options configures a Transport.
type Options struct {
	// Address is host:port for both TCP and UDP; port 0 chooses a free one.
	Address string
	// Advertise is the address that peers use; empty means the listening address.
	Advertise string
	// TLS secures calls when set. It must ask for client certificates.
	TLS *tls.Config
	// Cluster is the same for all nodes of a cluster; see ClusterID.
	Cluster uint32
	// DatagramKey authenticates datagrams when set; all nodes share it.
	DatagramKey []byte
	// Refused is told of calls from peers whose certificate is refused.
	Refused func(address string, err error)
	// Drop reports whether traffic to a peer is lost. Production leaves it
	// nil; the lab cuts networks with it.
	Drop func(address string) bool
}

// ClusterID makes a cluster's id from what its nodes have in common.
func ClusterID(common ...string) uint32 {
	return uint32(xxhash.Sum64String(strings.Join(common, "\x00")))
}

// Stats counts a transport's traffic since it started.
type Stats struct {
	BytesSent     uint64
	BytesReceived uint64
	Datagrams     uint64
	Calls         uint64
}

// Transport sends and receives messages. It is safe for concurrent use.
type Transport struct {
	options  Options
	listener net.Listener
	packets  net.PacketConn
	address  string

	mu        sync.RWMutex
	handlers  map[Kind]Handler
	datagrams map[Kind]DatagramHandler
	resolved  map[string]*net.UDPAddr
	idle      map[string][]*connection
	open      map[net.Conn]bool
	closed    bool

	bytesSent     atomic.Uint64
	bytesReceived atomic.Uint64
	datagramCount atomic.Uint64
	callCount     atomic.Uint64
	done          sync.WaitGroup
}

// Listen opens the sockets. Serve handles traffic.
func Listen(options Options) (*Transport, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	packets, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		return nil, Error.Wrap(errors.Join(err, listener.Close()))
	}
	transport := &Transport{
		options: options, listener: listener, packets: packets, address: options.Advertise,
		handlers: map[Kind]Handler{}, datagrams: map[Kind]DatagramHandler{},
		resolved: map[string]*net.UDPAddr{}, idle: map[string][]*connection{}, open: map[net.Conn]bool{},
	}
	if transport.address == "" {
		transport.address = listener.Addr().String()
	}
	if options.TLS != nil {
		transport.listener = tls.NewListener(listener, options.TLS)
	}
	return transport, nil
}

// Address is the host:port that peers reach this transport at.
func (t *Transport) Address() string { return t.address }

// Handle registers the handler of a call.
func (t *Transport) Handle(kind Kind, handler Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[kind] = handler
}

// HandleDatagram registers the handler of a datagram.
func (t *Transport) HandleDatagram(kind Kind, handler DatagramHandler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.datagrams[kind] = handler
}

// Stats returns the traffic counters.
func (t *Transport) Stats() Stats {
	return Stats{
		BytesSent:     t.bytesSent.Load(),
		BytesReceived: t.bytesReceived.Load(),
		Datagrams:     t.datagramCount.Load(),
		Calls:         t.callCount.Load(),
	}
}

// Serve starts handling traffic in the background until Close.
func (t *Transport) Serve() {
	t.done.Add(2)
	go t.acceptLoop()
	go t.datagramLoop()
}

// Close stops the transport and waits for its goroutines.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	open := make([]net.Conn, 0, len(t.open))
	for conn := range t.open {
		open = append(open, conn)
	}
	for _, pool := range t.idle {
		for _, idle := range pool {
			open = append(open, idle.conn)
		}
	}
	t.idle = map[string][]*connection{}
	t.mu.Unlock()
	err := errors.Join(t.listener.Close(), t.packets.Close())
	for _, conn := range open {
		_ = conn.Close()
	}
	t.done.Wait()
	return Error.Wrap(err)
}

func (t *Transport) dropped(address string) bool {
	return t.options.Drop != nil && t.options.Drop(address)
}

// Send sends a datagram. Loss is not reported.
func (t *Transport) Send(address string, kind Kind, message any) error {
	if t.dropped(address) {
		return nil
	}
	frame, err := encode(t.options.Cluster, kind, "", message)
	if err != nil {
		return err
	}
	if len(frame)+tagBytes > MaxDatagramBytes {
		return Error.Wrap(ErrTooLarge)
	}
	target, err := t.resolve(address)
	if err != nil {
		return err
	}
	sent, err := t.packets.WriteTo(seal(t.options.DatagramKey, frame), target)
	t.bytesSent.Add(uint64(sent))
	t.datagramCount.Add(1)
	return Error.Wrap(err)
}

func (t *Transport) resolve(address string) (*net.UDPAddr, error) {
	t.mu.RLock()
	target, ok := t.resolved[address]
	t.mu.RUnlock()
	if ok {
		return target, nil
	}
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	t.mu.Lock()
	t.resolved[address] = target
	t.mu.Unlock()
	return target, nil
}

func (t *Transport) datagramLoop() {
	defer t.done.Done()
	buffer := make([]byte, 2*MaxDatagramBytes)
	for {
		size, from, err := t.packets.ReadFrom(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		t.bytesReceived.Add(uint64(size))
		frame, genuine := open(t.options.DatagramKey, buffer[:size])
		if !genuine {
			continue
		}
		message, err := decode(t.options.Cluster, frame)
		if err != nil {
			continue
		}
		t.mu.RLock()
		handler := t.datagrams[message.Kind]
		t.mu.RUnlock()
		if handler != nil {
			handler(from.String(), append([]byte(nil), message.Body...))
		}
	}
}
