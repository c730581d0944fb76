// Package port finds free loopback ports for the lab's processes.
package port

import (
	"errors"
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

var (
	mu    sync.Mutex
	given = map[int]bool{}
)

// ErrNone reports that no free port was found.
var ErrNone = errors.New("no free loopback port")

// Free returns a loopback host:port that is free for TCP and UDP. It does not
// return the same one twice.
func Free() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range last - first {
		candidate := first + rand.IntN(last-first)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(candidate))
		if !given[candidate] && free(address) {
			given[candidate] = true
			return address, nil
		}
	}
	return "", ErrNone
}

func free(address string) bool {
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
