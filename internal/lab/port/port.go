// Package port finds free loopback ports for the lab's processes.
package port

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports are allocated from minPort to endPort-1. The range lies below the ephemeral ports that the
// kernel assigns to outgoing connections, so that a port stays free while its owner restarts.
const (
	minPort = 15000
	endPort = 32000
)

// ErrNoneFree is returned by Free when all ports of the range are in use or reserved.
var ErrNoneFree = errors.New("no free loopback port")

// allocator allocates ports from start to end-1. It is safe for concurrent use.
type allocator struct {
	start, end int

	mu sync.Mutex
	// reservations holds the reservation of each allocated port. They are released when the process
	// exits.
	reservations map[int]io.Closer
}

var defaultAllocator = allocator{start: minPort, end: endPort}

// Free returns a loopback host:port that is free for TCP and UDP. It never returns the same address
// twice. On Linux, Free in other processes does not return it either while this process runs, even if
// nothing listens on it.
func Free() (string, error) { return defaultAllocator.allocate() }

func (a *allocator) allocate() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := a.end - a.start
	offset := rand.IntN(count)
	for i := range count {
		candidate := a.start + (offset+i)%count
		if a.tryAllocate(candidate) {
			return address(candidate), nil
		}
	}
	return "", ErrNoneFree
}

// tryAllocate allocates port if it is free and reports whether it did. The port is reserved before
// isUnused checks it, because the check listens on the port briefly and could make the owner of a
// reserved port fail to listen.
func (a *allocator) tryAllocate(port int) bool {
	if a.reservations[port] != nil {
		return false
	}
	reservation, err := reserve(port)
	if err != nil {
		// Another process has reserved the port.
		return false
	}
	if !isUnused(address(port)) {
		_ = reservation.Close()
		return false
	}
	if a.reservations == nil {
		a.reservations = map[int]io.Closer{}
	}
	a.reservations[port] = reservation
	return true
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// isUnused reports whether no TCP or UDP socket is bound to address.
func isUnused(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	packets, err := net.ListenPacket("udp", address)
	_ = listener.Close()
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}
