package node

import (
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lease"
)

const (
	// maxAcquaintances bounds the acquaintances of a node. The newest are kept.
	maxAcquaintances = 16
	// acquaintanceRetention is how long after its last greeting a node is an acquaintance. It exceeds
	// maxGreetingPause, so that a lost datagram does not end it.
	acquaintanceRetention = 10 * time.Second
)

// acquaintance is a node that sent this one a greeting.
type acquaintance struct {
	session, address string
	// joined is set if it had read the members of the fleet.
	joined    bool
	greetedAt time.Time
}

// acquaintances are the nodes that greeted this one recently, and that the table need not name yet. It is safe
// for concurrent use.
type acquaintances struct {
	mu sync.Mutex
	// list has the newest last.
	list []acquaintance
}

// record records a greeting. It returns false if the node was an acquaintance already.
func (a *acquaintances) record(greeted acquaintance) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := len(a.list)
	a.list = slices.DeleteFunc(a.list, func(known acquaintance) bool { return lease.SameNode(known.session, greeted.session) })
	isNew := len(a.list) == before
	if len(a.list) == maxAcquaintances {
		a.list = a.list[1:]
	}
	a.list = append(a.list, greeted)
	return isNew
}

// recent returns the acquaintances, newest last.
func (a *acquaintances) recent(now time.Time) []acquaintance {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = slices.DeleteFunc(a.list, func(known acquaintance) bool { return now.Sub(known.greetedAt) > acquaintanceRetention })
	return slices.Clone(a.list)
}

// unlisted returns the acquaintances that are not among the listed nodes.
func (a *acquaintances) unlisted(listed []string, now time.Time) []acquaintance {
	recent := a.recent(now)
	if len(recent) == 0 {
		return nil
	}
	return slices.DeleteFunc(recent, func(known acquaintance) bool { return slices.Contains(listed, lease.Node(known.session)) })
}

// address returns the address of a node, or "" if it is no acquaintance.
func (a *acquaintances) address(node string, now time.Time) string {
	for _, known := range a.recent(now) {
		if lease.Node(known.session) == node {
			return known.address
		}
	}
	return ""
}
