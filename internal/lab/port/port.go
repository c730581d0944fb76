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
	first = 15000
	last  = 32000
)

// ErrNone reports that no free port was found.
var ErrNone = errors.New("no free loopback port")

// chooser chooses ports from a range, first to last-1.
type chooser struct {
	first, last int

	mu sync.Mutex
	// given holds the guards of what was given out, until the process ends.
	given map[int]io.Closer
}

var whole = chooser{first: first, last: last}

// Free returns a loopback host:port that is free for TCP and UDP. It does not
// return the same one twice, and no other process that asks this package gets it
// while this one runs, whether somebody listens there or not.
func Free() (string, error) { return whole.free() }

func (c *chooser) free() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.last - c.first
	begin := rand.IntN(count)
	for i := range count {
		candidate := c.first + (begin+i)%count
		if c.take(candidate) {
			return address(candidate), nil
		}
	}
	return "", ErrNone
}

// take takes a port if it is free. The guard comes before the look: a look listens on
// the port for a moment, which would keep its owner from it.
func (c *chooser) take(port int) bool {
	if c.given[port] != nil {
		return false
	}
	held, err := guard(port)
	if err != nil {
		// Another process has it.
		return false
	}
	if !unused(address(port)) {
		_ = held.Close()
		return false
	}
	if c.given == nil {
		c.given = map[int]io.Closer{}
	}
	c.given[port] = held
	return true
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// unused reports whether nobody listens on an address.
func unused(address string) bool {
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
