// Package peer lets nodes tell each other small things in datagrams.
//
// Datagrams may be lost, doubled or late. What travels here must bear that: sums and
// states, never changes; nothing lasting hangs on it.
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

// maxDatagram is the most that is sent in one datagram, in bytes: an Ethernet frame
// less the headers of IPv4 and UDP.
const maxDatagram = 1472

// maxSources is the number of nodes that Sources returns at most.
const maxSources = 8

// Kind says what a message is about.
type Kind uint8

// Message is one datagram.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// From is the sender's session.
	From string          `cbor:"2,keyasint"`
	Body cbor.RawMessage `cbor:"3,keyasint"`
}

// Handler takes the body of a message. It must not block.
type Handler func(from string, source *net.UDPAddr, body []byte)

// Socket sends and receives messages. It is safe for concurrent use.
type Socket struct {
	conn     *net.UDPConn
	session  string
	mu       sync.Mutex
	handlers map[Kind]Handler
	// sources are where the last messages came from, the newest last.
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

// Address returns where the socket listens.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Handle sets what takes messages of a kind. It panics if something does already.
func (s *Socket) Handle(kind Kind, handler Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handlers[kind] != nil {
		panic(fmt.Sprintf("peer: messages of kind %d are handled twice", kind))
	}
	s.handlers[kind] = handler
}

// Send sends a message. A nil error says nothing about its arrival.
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
		return Error.New("a message of %d bytes, at most %d are sent", len(datagram), maxDatagram)
	}
	s.sent.Add(1)
	_, err = s.conn.WriteToUDP(datagram, to)
	return Error.Wrap(err)
}

// Run receives until the socket is closed.
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

// recordSource notes where a message came from. The caller holds mu.
func (s *Socket) recordSource(source netip.AddrPort) {
	s.sources = slices.DeleteFunc(s.sources, func(known netip.AddrPort) bool { return known == source })
	if len(s.sources) == maxSources {
		s.sources = s.sources[1:]
	}
	s.sources = append(s.sources, source)
}

// Sources returns the addresses of a few nodes that messages came from lately, the newest
// last.
func (s *Socket) Sources() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sources)
}

// Counts returns the numbers of datagrams sent, received and malformed among these.
func (s *Socket) Counts() (sent, received, malformed int64) {
	return s.sent.Load(), s.received.Load(), s.malformed.Load()
}

// Close ends Run.
func (s *Socket) Close() error { return Error.Wrap(s.conn.Close()) }
