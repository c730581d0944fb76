package node

import (
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lease"
)

const (
	// maxContacts bounds the contacts of a node. The newest are kept.
	maxContacts = 16
	// contactRetention is how long after its last hello a node is a contact. It exceeds
	// maxHelloPause, so that a lost datagram does not end it.
	contactRetention = 10 * time.Second
)

// contact is a node that sent this one a hello.
type contact struct {
	session, address string
	// joined is set if it had read the members of the fleet.
	joined  bool
	heardAt time.Time
}

// contacts are the nodes that sent this one a hello recently, and that the table need not name yet. It is safe
// for concurrent use.
type contacts struct {
	mu sync.Mutex
	// list has the newest last.
	list []contact
}

// record records a hello. It returns false if the node was a contact already.
func (a *contacts) record(sender contact) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := len(a.list)
	a.list = slices.DeleteFunc(a.list, func(known contact) bool { return lease.SameNode(known.session, sender.session) })
	isNew := len(a.list) == before
	if len(a.list) == maxContacts {
		a.list = a.list[1:]
	}
	a.list = append(a.list, sender)
	return isNew
}

// recent returns the contacts, newest last.
func (a *contacts) recent(now time.Time) []contact {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = slices.DeleteFunc(a.list, func(known contact) bool { return now.Sub(known.heardAt) > contactRetention })
	return slices.Clone(a.list)
}

// unlisted returns the contacts that are not among the listed nodes.
func (a *contacts) unlisted(listed []string, now time.Time) []contact {
	recent := a.recent(now)
	if len(recent) == 0 {
		return nil
	}
	return slices.DeleteFunc(recent, func(known contact) bool { return slices.Contains(listed, lease.Node(known.session)) })
}

// address returns the address of a node, or "" if it is no contact.
func (a *contacts) address(node string, now time.Time) string {
	for _, known := range a.recent(now) {
		if lease.Node(known.session) == node {
			return known.address
		}
	}
	return ""
}
