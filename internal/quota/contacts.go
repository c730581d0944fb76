package quota

import (
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// An owner whose session is lost may be dead, cut off from the store alone, or cut off
// from everything. While it is reached by other nodes it remains the owner. Where it is
// not, its successor stands in. Both may then be at work, each for the nodes that it
// reaches: each holds an equal part of the limit back for every node that does not
// answer it, so that together they give out the limit once.
const (
	// sureFor is how long a node may take its session for granted after the store
	// confirmed it: others end it after 3 s at the earliest.
	sureFor = 2 * time.Second
	// probeFrom is when a node begins to probe the others, before it is sure no more.
	// Sessions are confirmed each second.
	probeFrom = 1500 * time.Millisecond
	// probeEvery is the time between two probes, contactFresh how long an answer counts:
	// three probes may be lost.
	probeEvery   = 300 * time.Millisecond
	contactFresh = 1200 * time.Millisecond
	// standInAfter is the time between the first question to a successor and its first
	// answer: the owner answers a probe in it if it can be reached.
	standInAfter = 350 * time.Millisecond
	// standInKept is the pause between questions after which it begins anew.
	standInKept = 2 * time.Second
	// awaySilentFor is how long an owner that is away and did not answer is not asked
	// again.
	awaySilentFor = 2 * time.Second
	// stopKept is how long the word of a node that ends counts: it starts again within
	// seconds, or is forgotten.
	stopKept = 5 * time.Second
	// lostKept is how long an owner goes on without a session where others have theirs.
	// Those forget it after 30 s.
	lostKept = 25 * time.Second
)

// Contact is the answer to a probe.
type Contact struct {
	// Sure says that the node's session is confirmed, Stops that the node ends.
	Sure  bool `cbor:"1,keyasint,omitempty"`
	Stops bool `cbor:"2,keyasint,omitempty"`
}

// contacts is what a node knows of whom it reaches.
type contacts struct {
	mu sync.Mutex
	// heard is when nodes answered last, sure when one said that its session is
	// confirmed, stopped the nodes that said that they end.
	heard   map[string]time.Time
	sure    time.Time
	stopped map[string]stop
	// unsure is when this node's session was last in doubt, probed when the last probes
	// were sent.
	unsure, probed time.Time
	// standIns are the tenants for whose owners this node was asked to stand in.
	standIns map[string]standIn
}

// stop is the end of a session.
type stop struct {
	session string
	at      time.Time
}

// standIn is when a successor was first and last asked.
type standIn struct{ first, last time.Time }

// hears reports whether a node has answered a moment ago. The caller holds mu.
func (c *contacts) hears(node string, now time.Time) bool {
	at, ok := c.heard[node]
	return ok && now.Sub(at) < contactFresh
}

// hasStopped reports whether a node has ended and did not come back. The caller holds mu.
func (c *contacts) hasStopped(node string, now time.Time) bool {
	ended, ok := c.stopped[node]
	return ok && now.Sub(ended.at) < stopKept
}

// asked notes that this node was asked to stand in, and reports whether it has probed
// the owner for long enough.
func (c *contacts) asked(tenant, owner string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.standIns == nil {
		c.standIns = map[string]standIn{}
	}
	known, ok := c.standIns[tenant]
	if !ok || now.Sub(known.last) > standInKept {
		known.first = now
	}
	known.last = now
	c.standIns[tenant] = known
	return c.hasStopped(owner, now) || (now.Sub(known.first) >= standInAfter && !c.hears(owner, now))
}

// standsIn reports whether this node was asked to stand in of late. The caller holds mu.
func (c *contacts) standsIn(now time.Time) bool {
	for tenant, known := range c.standIns {
		if now.Sub(known.last) <= standInKept {
			return true
		}
		delete(c.standIns, tenant)
	}
	return false
}

// counter returns the node to ask about a tenant: the owner, or the one that stands in
// for it.
func (e *Exchange) counter(tenant string, now time.Time) (node, address string) {
	owner, address := e.Fleet.Owner(tenant)
	if !e.Fleet.Away(owner) || !e.givenUp(owner, now) {
		return owner, address
	}
	return e.Fleet.Successor(tenant)
}

// givenUp reports whether an owner that is away is not worth a question.
func (e *Exchange) givenUp(owner string, now time.Time) bool {
	e.mu.Lock()
	since, silent := e.silent[owner]
	e.mu.Unlock()
	if silent && now.Sub(since) < awaySilentFor {
		return true
	}
	e.contacts.mu.Lock()
	defer e.contacts.mu.Unlock()
	return e.contacts.hasStopped(owner, now)
}

// counts reports whether this node counts a tenant's requests now.
func (e *Exchange) counts(tenant string, now time.Time) bool {
	self := e.Fleet.Self()
	owner, _ := e.Fleet.Owner(tenant)
	if owner != self {
		successor, _ := e.Fleet.Successor(tenant)
		if successor != self || !e.Fleet.Away(owner) || !e.contacts.asked(tenant, owner, now) {
			return false
		}
	}
	return e.mayCount(now)
}

// mayCount reports whether this node may act as an owner at all: not if its session is
// lost for so long that others have forgotten it.
func (e *Exchange) mayCount(now time.Time) bool {
	if e.Fleet.Unconfirmed() < lostKept {
		return true
	}
	unheard, others := e.unheard(now, false), e.Fleet.Others()
	e.contacts.mu.Lock()
	defer e.contacts.mu.Unlock()
	return now.Sub(e.contacts.sure) > contactFresh && len(unheard) <= len(others)/2
}

// outside tells which nodes may serve a tenant by another owner: while this node's
// session is in doubt, all that do not answer; where it stands in, those that are away
// and do not.
func (e *Exchange) outside(tenant string) Outside {
	now := clock.Now()
	told := Outside{Nodes: e.Fleet.Count()}
	if e.inDoubt(now) {
		told.Unheard = e.unheard(now, false)
		return told
	}
	if owner, _ := e.Fleet.Owner(tenant); owner != e.Fleet.Self() {
		told.Unheard = e.unheard(now, true)
	}
	return told
}

// inDoubt reports whether this node's session may be lost, or was until a moment ago:
// nodes that another has counted for have to report first.
func (e *Exchange) inDoubt(now time.Time) bool {
	doubt := e.Fleet.Unconfirmed() >= sureFor
	e.contacts.mu.Lock()
	defer e.contacts.mu.Unlock()
	if doubt {
		e.contacts.unsure = now
	}
	return now.Sub(e.contacts.unsure) < hearing
}

// unheard returns the other nodes, or those of them that are away, that do not answer.
func (e *Exchange) unheard(now time.Time, awayOnly bool) []string {
	others := e.Fleet.Others()
	e.contacts.mu.Lock()
	defer e.contacts.mu.Unlock()
	var names []string
	for _, other := range others {
		if (other.Away || !awayOnly) && !e.contacts.hasStopped(other.Node, now) && !e.contacts.hears(other.Node, now) {
			names = append(names, other.Node)
		}
	}
	return names
}

// probeDue probes other nodes if this one has to know which of them it reaches. One that
// counts for no tenant need not: each probes all others, which grows as the square of the
// nodes, and what it does not hear it holds back for anyway.
func (e *Exchange) probeDue(now time.Time) {
	doubt := e.Ledger.counts() && (e.Fleet.Unconfirmed() >= probeFrom || e.inDoubt(now))
	e.contacts.mu.Lock()
	due := now.Sub(e.contacts.probed) >= probeEvery && (doubt || e.contacts.standsIn(now))
	if due {
		e.contacts.probed = now
	}
	e.contacts.mu.Unlock()
	if !due {
		return
	}
	var to []Other
	for _, other := range e.Fleet.Others() {
		if doubt || other.Away {
			to = append(to, other)
		}
	}
	e.tellAll(to, peer.KindQuotaProbe, struct{}{})
}

// tellAll sends a message to nodes.
func (e *Exchange) tellAll(to []Other, kind peer.Kind, body any) {
	for _, other := range to {
		address, err := net.ResolveUDPAddr("udp4", other.Address)
		if err != nil {
			// The node has not told its address.
			continue
		}
		e.send(address, kind, body)
	}
}

// Handlers returns what takes the messages of this package.
func (e *Exchange) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindQuotaReport: e.TakeReports, peer.KindQuotaGrant: e.TakeGrants, peer.KindQuotaProbe: e.takeProbe, peer.KindQuotaProbeReply: e.takeContact,
	}
}

// takeProbe handles messages of peer.KindQuotaProbe.
func (e *Exchange) takeProbe(_ string, source *net.UDPAddr, _ []byte) {
	e.send(source, peer.KindQuotaProbeReply, Contact{Sure: e.Fleet.Unconfirmed() < sureFor})
}

// takeContact handles messages of peer.KindQuotaContact.
func (e *Exchange) takeContact(from string, _ *net.UDPAddr, body []byte) {
	var told Contact
	if err := cbor.Unmarshal(body, &told); err != nil {
		e.failed(err)
		return
	}
	e.contacts.take(from, told, clock.Now())
}

// take notes what a node's session has told.
func (c *contacts) take(session string, told Contact, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard == nil {
		c.heard, c.stopped = map[string]time.Time{}, map[string]stop{}
	}
	node := lease.Node(session)
	if told.Stops {
		c.stopped[node] = stop{session: session, at: now}
		delete(c.heard, node)
		return
	}
	if c.stopped[node].session == session {
		// It came late.
		return
	}
	delete(c.stopped, node)
	c.heard[node] = now
	if told.Sure {
		c.sure = now
	}
}
