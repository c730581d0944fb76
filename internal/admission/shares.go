package admission

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelhoist/wheelhoist/internal/peer"
)

const (
	// ShareInterval is the time between two reports of demand.
	ShareInterval = 500 * time.Millisecond
	// grantLife is how long a grant holds without being renewed.
	grantLife = 3 * time.Second
	// reserveShare is the part of all limits kept for nodes without a grant.
	reserveShare = 0.1
	// entriesPerReport keeps a datagram below the size limit.
	entriesPerReport = 80
)

// shareEntry is one tenant's demand or grant.
type shareEntry struct {
	_      struct{} `cbor:",toarray"`
	Tenant uint64
	Value  float32
}

// shareMessage reports demand to an allocator or brings grants back.
type shareMessage struct {
	_       struct{} `cbor:",toarray"`
	From    string
	Grant   bool
	Entries []shareEntry
}

// Node is a live node as the shares see it.
type Node struct {
	ID      string
	Address string
}

// Shares divides the tenants' limits between nodes without a central counter.
// For each tenant one node, chosen by rendezvous hashing, hears the demand of
// all others and grants each a part in proportion. A node without a grant uses
// an equal part of a small reserve, so the parts never add up to more than one
// except for a moment after the allocator changes.
type Shares struct {
	self  string
	send  func(address string, message any) error
	nodes func() []Node
	now   func() time.Time

	mu     sync.Mutex
	grants map[uint64]grant
	// reports holds, for tenants this node allocates, the demand by node.
	reports map[uint64]map[string]grant
}

type grant struct {
	value float64
	at    time.Time
}

// NewShares returns the shares of a node and registers on its transport.
func NewShares(self string, transport *peer.Transport, nodes func() []Node) *Shares {
	shares := &Shares{
		self: self, nodes: nodes, now: time.Now,
		grants: map[uint64]grant{}, reports: map[uint64]map[string]grant{},
	}
	shares.send = func(address string, message any) error {
		return transport.Send(address, peer.KindShareReport, message)
	}
	transport.HandleDatagram(peer.KindShareReport, func(_ string, body []byte) {
		var message shareMessage
		if peer.Decode(body, &message) == nil {
			shares.handle(message)
		}
	})
	return shares
}

// Of returns this node's part of a tenant's limits.
func (s *Shares) Of(tenant string) float64 {
	nodes := max(1, len(s.nodes()))
	if nodes == 1 {
		return 1
	}
	base := reserveShare / float64(nodes)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.grants[xxhash.Sum64String(tenant)]
	if !ok || s.now().Sub(held.at) > grantLife {
		return base
	}
	return base + (1-reserveShare)*held.value
}

// Report sends the demand of this node's tenants to their allocators.
func (s *Shares) Report(demand map[string]float64) {
	nodes := s.nodes()
	if len(nodes) <= 1 {
		return
	}
	byAllocator := map[Node][]shareEntry{}
	for tenant, rate := range demand {
		key := xxhash.Sum64String(tenant)
		allocator := allocatorOf(nodes, key)
		byAllocator[allocator] = append(byAllocator[allocator], shareEntry{Tenant: key, Value: float32(rate)})
	}
	for allocator, entries := range byAllocator {
		for start := 0; start < len(entries); start += entriesPerReport {
			part := entries[start:min(start+entriesPerReport, len(entries))]
			message := shareMessage{From: s.self, Entries: part}
			if allocator.ID == s.self {
				s.handle(message)
				continue
			}
			// A lost report is made up for by the next one.
			_ = s.send(allocator.Address, message)
		}
	}
}

func allocatorOf(nodes []Node, tenant uint64) Node {
	best := nodes[0]
	var highest uint64
	for _, node := range nodes {
		weight := (xxhash.Sum64String(node.ID) ^ tenant) * 0x9E3779B97F4A7C15
		weight ^= weight >> 31
		if weight >= highest {
			best, highest = node, weight
		}
	}
	return best
}

func (s *Shares) handle(message shareMessage) {
	if message.Grant {
		s.takeGrants(message.Entries)
		return
	}
	grants := s.allocate(message)
	if message.From == s.self {
		s.takeGrants(grants)
		return
	}
	for _, node := range s.nodes() {
		if node.ID == message.From {
			_ = s.send(node.Address, shareMessage{From: s.self, Grant: true, Entries: grants})
		}
	}
}

func (s *Shares) takeGrants(entries []shareEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, entry := range entries {
		s.grants[entry.Tenant] = grant{value: float64(entry.Value), at: now}
	}
	for tenant, held := range s.grants {
		if now.Sub(held.at) > 2*grantLife {
			delete(s.grants, tenant)
		}
	}
}

// allocate takes in a node's demand and returns its parts.
func (s *Shares) allocate(message shareMessage) []shareEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	grants := make([]shareEntry, 0, len(message.Entries))
	for _, entry := range message.Entries {
		demand := s.reports[entry.Tenant]
		if demand == nil {
			demand = map[string]grant{}
			s.reports[entry.Tenant] = demand
		}
		demand[message.From] = grant{value: float64(entry.Value), at: now}
		total := 0.0
		for node, reported := range demand {
			if now.Sub(reported.at) > grantLife {
				delete(demand, node)
				continue
			}
			total += reported.value
		}
		if total > 0 {
			grants = append(grants, shareEntry{Tenant: entry.Tenant, Value: float32(float64(entry.Value) / total)})
		}
	}
	return grants
}
