// Package peer exchanges small messages between nodes in UDP datagrams.
//
// Datagrams may be lost, duplicated or delayed. Messages must tolerate that: they carry totals and
// states rather than changes, and nothing durable depends on them.
package peer

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

// maxDatagram is the maximum size of a datagram in bytes: the payload of an Ethernet frame less the
// headers of IPv4 and UDP.
const maxDatagram = 1472

// maxSources is the maximum number of addresses that Sources returns.
const maxSources = 8

// Kind identifies the type of a message's body.
type Kind uint8

// Message is the content of one datagram.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// From is the sender's session.
	From string          `cbor:"2,keyasint"`
	Body cbor.RawMessage `cbor:"3,keyasint"`
}

// Handler handles the body of a message. It must not block.
type Handler func(from string, source *net.UDPAddr, body []byte)

// Socket sends and receives messages. It is safe for concurrent use.
type Socket struct {
	conn     *net.UDPConn
	session  string
	mu       sync.Mutex
	handlers map[Kind]Handler
	// sources are the origins of the last messages, newest last.
	sources []netip.AddrPort
	// sent, received and malformed count datagrams.
	sent, received, malformed atomic.Int64
}

// Listen opens a socket at host:port for a node's session.
func Listen(address, session string) (*Socket, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Socket{conn: conn, session: session, handlers: map[Kind]Handler{}}, nil
}

// Address returns the local address of the socket.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Handle sets the handler for messages of a kind. It panics if the kind already has one.
func (s *Socket) Handle(kind Kind, handler Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handlers[kind] != nil {
		panic(fmt.Sprintf("peer: kind %d already has a handler", kind))
	}
	s.handlers[kind] = handler
}

// Send sends a message. A nil error does not imply that it arrives.
func (s *Socket) Send(to *net.UDPAddr, kind Kind, body any) error {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return Error.Wrap(err)
	}
	datagram, err := cbor.Marshal(Message{Kind: kind, From: s.session, Body: encoded})
	if err != nil {
		return Error.Wrap(err)
	}
	if len(datagram) > maxDatagram {
		return Error.New("message of %d bytes exceeds the limit of %d", len(datagram), maxDatagram)
	}
	s.sent.Add(1)
	_, err = s.conn.WriteToUDP(datagram, to)
	return Error.Wrap(err)
}

// Run receives messages until the socket is closed.
func (s *Socket) Run() error {
	buffer := make([]byte, maxDatagram)
	for {
		size, source, err := s.conn.ReadFromUDP(buffer)
		if err != nil {
			return Error.Wrap(err)
		}
		s.received.Add(1)
		s.receive(source, buffer[:size])
	}
}

func (s *Socket) receive(source *net.UDPAddr, datagram []byte) {
	var message Message
	if err := cbor.Unmarshal(datagram, &message); err != nil || message.From == "" {
		s.malformed.Add(1)
		return
	}
	s.mu.Lock()
	handler := s.handlers[message.Kind]
	s.recordSource(source.AddrPort())
	s.mu.Unlock()
	if handler == nil {
		s.malformed.Add(1)
		return
	}
	handler(message.From, source, message.Body)
}

// recordSource records the origin of a message. The caller holds mu.
func (s *Socket) recordSource(source netip.AddrPort) {
	s.sources = slices.DeleteFunc(s.sources, func(known netip.AddrPort) bool { return known == source })
	if len(s.sources) == maxSources {
		s.sources = s.sources[1:]
	}
	s.sources = append(s.sources, source)
}

// Sources returns the addresses of a few nodes that sent messages recently, newest last.
func (s *Socket) Sources() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sources)
}

// Counts returns the number of datagrams sent, received and, among the latter, malformed or of an
// unknown kind.
func (s *Socket) Counts() (sent, received, malformed int64) {
	return s.sent.Load(), s.received.Load(), s.malformed.Load()
}

// Close closes the socket, which ends Run.
func (s *Socket) Close() error { return Error.Wrap(s.conn.Close()) }
