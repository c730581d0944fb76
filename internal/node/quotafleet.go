package node

import (
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/quota"
)

// quotaFleet implements quota.Fleet on a roster. It caches the owners of tenants until the nodes
// change, because finding one takes time proportional to the number of nodes.
type quotaFleet struct {
	session *lease.Session
	self    string
	roster  *lease.Roster

	mu         sync.Mutex
	generation uint64
	// sessionLost are the nodes that lost their sessions a short time ago. all are these and the
	// nodes with a session.
	sessionLost, all []string
	owners           map[string]owner
}

// owner is the node that accounts for a tenant.
type owner struct {
	node string
	// successor replaces a node that lost its session; otherwise it is the node itself.
	successor string
}

// Self implements quota.Fleet.
func (f *quotaFleet) Self() string { return f.self }

// Owner implements quota.Fleet.
func (f *quotaFleet) Owner(tenant string) (node, address string) {
	node = f.owner(tenant).node
	return node, f.roster.Address(node)
}

// Successor implements quota.Fleet.
func (f *quotaFleet) Successor(tenant string) (node, address string) {
	node = f.owner(tenant).successor
	return node, f.roster.Address(node)
}

func (f *quotaFleet) owner(tenant string) owner {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	entry, ok := f.owners[tenant]
	if !ok {
		entry.node = lease.Preferred(f.all, tenant)
		entry.successor = entry.node
		if slices.Contains(f.sessionLost, entry.node) {
			entry.successor = lease.Preferred(f.roster.Nodes(), tenant)
		}
		f.owners[tenant] = entry
	}
	return entry
}

// refresh updates the nodes and clears the cache if the nodes have changed. The caller holds mu.
func (f *quotaFleet) refresh() {
	generation := f.roster.Generation()
	if f.owners != nil && f.generation == generation {
		return
	}
	f.owners, f.generation = map[string]owner{}, generation
	f.sessionLost = f.roster.SessionLost()
	f.all = append(f.roster.Nodes(), f.sessionLost...)
}

// SessionLost implements quota.Fleet.
func (f *quotaFleet) SessionLost(node string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return slices.Contains(f.sessionLost, node)
}

// Peers implements quota.Fleet.
func (f *quotaFleet) Peers() []quota.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	peers := make([]quota.Peer, 0, len(f.all))
	for i, node := range f.all {
		if node != f.self {
			peers = append(peers, quota.Peer{
				Node: node, Address: f.roster.Address(node), SessionLost: i >= len(f.all)-len(f.sessionLost),
			})
		}
	}
	return peers
}

// Count implements quota.Fleet.
func (f *quotaFleet) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return max(1, len(f.all))
}

// SinceConfirmed implements quota.Fleet.
func (f *quotaFleet) SinceConfirmed() time.Duration { return f.session.SinceConfirmed() }
