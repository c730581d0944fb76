package ingress

import "github.com/wheelhoist/wheelhoist/internal/bytebudget"

const (
	// DefaultMemory is the memory in megabytes of a process whose settings do not tell it.
	DefaultMemory = 256
	// bodyShare is the part of the memory that heads and bodies may take, connectionShare that of connections.
	bodyShare, connectionShare = 0.3, 0.25
	// connectionBytes is what a connection may take beside the budget: goroutine and buffers of the server,
	// bytebudget.FreeBytes and the receive buffer.
	connectionBytes = 16<<10 + bytebudget.FreeBytes + receiveBuffer
	// maxReserved is the number of descriptors that are left to files, the store, other nodes and listeners.
	// Processes with few descriptors reserve a third of them.
	maxReserved = 300
	// peerDivisor divides the connections that the descriptors allow: so many may a listener for other nodes have,
	// at most maxPeerConnections, some more than the calls that a relay answers at the same time.
	peerDivisor, maxPeerConnections = 4, 320
	// ProbeConnections is the number of connections of a listener for probes and metrics.
	ProbeConnections = 16
	// defaultDescriptors is the number of descriptors of a process that cannot tell it.
	defaultDescriptors = 1024
	// minConnections is the least number of connections of any listener.
	minConnections = 16
)

// Limits are what the clients of a process may make it hold.
type Limits struct {
	// Connections is the number of callers' connections, PeerConnections that of other nodes'.
	Connections, PeerConnections int
	// Bytes bounds heads and bodies.
	Bytes int64
}

// Machine is what a process may use.
type Machine struct {
	// Megabytes is its memory; 0 means DefaultMemory.
	Megabytes int
	// Descriptors is the number that it may have open; 0 means the limit of the process, which holds in any case.
	Descriptors int
	// Requests is the number of requests that may be in progress together whatever the memory; each needs a
	// connection.
	Requests int
}

// Limits returns what the clients of a process may make it hold. Each caller's connection may need a second
// descriptor, for the connection to a replica.
func (m Machine) Limits() Limits {
	megabytes := m.Megabytes
	if megabytes == 0 {
		megabytes = DefaultMemory
	}
	memory := float64(megabytes) * (1 << 20)
	byMemory := max(int(memory*connectionShare/connectionBytes), m.Requests)
	descriptors := knownDescriptors(m.Descriptors)
	byDescriptors := (descriptors - min(maxReserved, descriptors/3)) / 2
	connections := max(minConnections, min(byMemory, byDescriptors))
	return Limits{
		Connections: connections, PeerConnections: max(minConnections, min(maxPeerConnections, byDescriptors/peerDivisor)),
		Bytes: int64(memory * bodyShare),
	}
}

// knownDescriptors returns the lower one of the declared limit and that of the process.
func knownDescriptors(declared int) int {
	limit := processDescriptors()
	switch {
	case declared == 0 && limit == 0:
		return defaultDescriptors
	case declared == 0 || limit == 0:
		return max(declared, limit)
	default:
		return min(declared, limit)
	}
}
