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

// The range lies below the ports that the kernel gives to outgoing
// connections, so that a port stays free while its owner restarts.
const (
	minPort = 15000
	endPort = 32000
)

// ErrNoneFree reports that no free port was found.
var ErrNoneFree = errors.New("no free loopback port")

// allocator chooses ports from a range, first to last-1.
type allocator struct {
	min, end int

	mu sync.Mutex
	// reservations holds the guards of what was reservations out, until the process ends.
	reservations map[int]io.Closer
}

var defaultAllocator = allocator{min: minPort, end: endPort}

// Free returns a loopback host:port that is free for TCP and UDP. It does not
// return the same one twice, and no other process that asks this package gets it
// while this one runs, whether somebody listens there or not.
func Free() (string, error) { return defaultAllocator.allocate() }

func (a *allocator) allocate() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := a.end - a.min
	offset := rand.IntN(count)
	for i := range count {
		candidate := a.min + (offset+i)%count
		if a.tryAllocate(candidate) {
			return address(candidate), nil
		}
	}
	return "", ErrNoneFree
}

// tryAllocate takes a port if it is free. The guard comes before the look: a look listens on
// the port for a moment, which would keep its owner from it.
func (a *allocator) tryAllocate(port int) bool {
	if a.reservations[port] != nil {
		return false
	}
	reservation, err := reserve(port)
	if err != nil {
		// Another process has it.
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

// isUnused reports whether nobody listens on an address.
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
