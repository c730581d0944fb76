package ingress

const (
	// DefaultMemory is the memory in megabytes of a process whose settings do not tell it.
	DefaultMemory = 256
	// bodyShare is the part of the memory that heads and bodies may take.
	bodyShare = 0.3
)

// Limits are what the clients of a process may make it hold.
type Limits struct {
	// Bytes bounds heads and bodies.
	Bytes int64
}

// Machine is what a process may use.
type Machine struct {
	// Megabytes is its memory; 0 means DefaultMemory.
	Megabytes int
}

// Limits returns what the clients of a process may make it hold.
func (m Machine) Limits() Limits {
	megabytes := m.Megabytes
	if megabytes == 0 {
		megabytes = DefaultMemory
	}
	return Limits{Bytes: int64(float64(megabytes) * (1 << 20) * bodyShare)}
}
