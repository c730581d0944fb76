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
	// sessionTrustedFor is how long a node may take its session for granted after the store
	// confirmed it: others end it after 3 s at the earliest.
	sessionTrustedFor = 2 * time.Second
	// probeAfter is when a node begins to probe the others, before it is sure no more.
	// Sessions are confirmed each second.
	probeAfter = 1500 * time.Millisecond
	// probeInterval is the time between two probes, contactFresh how long an answer counts:
	// three probes may be lost.
	probeInterval = 300 * time.Millisecond
	reachableFor  = 1200 * time.Millisecond
	// takeoverDelay is the time between the first question to a successor and its first
	// answer: the owner answers a probe in it if it can be reached.
	takeoverDelay = 350 * time.Millisecond
	// takeoverExpiry is the pause between questions after which it begins anew.
	takeoverExpiry = 2 * time.Second
	// lostOwnerBackoff is how long an owner that is away and did not answer is not asked
	// again.
	lostOwnerBackoff = 2 * time.Second
	// stopNoticeExpiry is how long the word of a node that ends counts: it starts again within
	// seconds, or is forgotten.
	stopNoticeExpiry = 5 * time.Second
	// maxUnconfirmed is how long an owner goes on without a session where others have theirs.
	// Those forget it after 30 s.
	maxUnconfirmed = 25 * time.Second
)

// NodeStatus is the answer to a probe.
type NodeStatus struct {
	// Confirmed says that the node's session is confirmed, Stops that the node ends.
	Confirmed bool `cbor:"1,keyasint,omitempty"`
	Stopping  bool `cbor:"2,keyasint,omitempty"`
}

// peerTracker is what a node knows of whom it reaches.
type peerTracker struct {
	mu sync.Mutex
	// lastHeard is when nodes answered last, sure when one said that its session is
	// confirmed, stopped the nodes that said that they end.
	lastHeard       map[string]time.Time
	peerConfirmedAt time.Time
	stopped         map[string]stopNotice
	// inDoubtAt is when this node's session was last in doubt, probedAt when the last probes
	// were sent.
	inDoubtAt, probedAt time.Time
	// takeovers are the tenants for whose owners this node was asked to stand in.
	takeovers map[string]takeover
}

// stopNotice is the end of a session.
type stopNotice struct {
	session string
	at      time.Time
}

// takeover is when a successor was first and last asked.
type takeover struct{ first, last time.Time }

// isReachable reports whether a node has answered a moment ago. The caller holds mu.
func (t *peerTracker) isReachable(node string, now time.Time) bool {
	at, ok := t.lastHeard[node]
	return ok && now.Sub(at) < reachableFor
}

// hasStopped reports whether a node has ended and did not come back. The caller holds mu.
func (t *peerTracker) hasStopped(node string, now time.Time) bool {
	notice, ok := t.stopped[node]
	return ok && now.Sub(notice.at) < stopNoticeExpiry
}

// requestTakeover notes that this node was requestTakeover to stand in, and reports whether it has probed
// the owner for long enough.
func (t *peerTracker) requestTakeover(tenant, owner string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.takeovers == nil {
		t.takeovers = map[string]takeover{}
	}
	request, ok := t.takeovers[tenant]
	if !ok || now.Sub(request.last) > takeoverExpiry {
		request.first = now
	}
	request.last = now
	t.takeovers[tenant] = request
	return t.hasStopped(owner, now) || (now.Sub(request.first) >= takeoverDelay && !t.isReachable(owner, now))
}

// hasTakeover reports whether this node was asked to stand in of late. The caller holds mu.
func (t *peerTracker) hasTakeover(now time.Time) bool {
	for tenant, request := range t.takeovers {
		if now.Sub(request.last) <= takeoverExpiry {
			return true
		}
		delete(t.takeovers, tenant)
	}
	return false
}

// countingNode returns the node to ask about a tenant: the owner, or the one that stands in
// for it.
func (c *Coordinator) countingNode(tenant string, now time.Time) (node, address string) {
	owner, address := c.Fleet.Owner(tenant)
	if !c.Fleet.SessionLost(owner) || !c.ownerUnreachable(owner, now) {
		return owner, address
	}
	return c.Fleet.Successor(tenant)
}

// ownerUnreachable reports whether an owner that is away is not worth a question.
func (c *Coordinator) ownerUnreachable(owner string, now time.Time) bool {
	c.mu.Lock()
	since, silent := c.silentSince[owner]
	c.mu.Unlock()
	if silent && now.Sub(since) < lostOwnerBackoff {
		return true
	}
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	return c.peers.hasStopped(owner, now)
}

// isCounting reports whether this node isCounting a tenant's requests now.
func (c *Coordinator) isCounting(tenant string, now time.Time) bool {
	self := c.Fleet.Self()
	owner, _ := c.Fleet.Owner(tenant)
	if owner != self {
		successor, _ := c.Fleet.Successor(tenant)
		if successor != self || !c.Fleet.SessionLost(owner) || !c.peers.requestTakeover(tenant, owner, now) {
			return false
		}
	}
	return c.mayCount(now)
}

// mayCount reports whether this node may act as an owner at all: not if its session is
// lost for so long that others have forgotten it.
func (c *Coordinator) mayCount(now time.Time) bool {
	if c.Fleet.SinceConfirmed() < maxUnconfirmed {
		return true
	}
	unreachable, peers := c.unreachable(now, false), c.Fleet.Peers()
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	return now.Sub(c.peers.peerConfirmedAt) > reachableFor && len(unreachable) <= len(peers)/2
}

// reachability tells which nodes may serve a tenant by another owner: while this node's
// session is in doubt, all that do not answer; where it stands in, those that are away
// and do not.
func (c *Coordinator) reachability(tenant string) Reachability {
	now := clock.Now()
	view := Reachability{Nodes: c.Fleet.Count()}
	if c.sessionInDoubt(now) {
		view.Unreachable = c.unreachable(now, false)
		return view
	}
	if owner, _ := c.Fleet.Owner(tenant); owner != c.Fleet.Self() {
		view.Unreachable = c.unreachable(now, true)
	}
	return view
}

// sessionInDoubt reports whether this node's session may be lost, or was until a moment ago:
// nodes that another has counted for have to report first.
func (c *Coordinator) sessionInDoubt(now time.Time) bool {
	unconfirmed := c.Fleet.SinceConfirmed() >= sessionTrustedFor
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	if unconfirmed {
		c.peers.inDoubtAt = now
	}
	return now.Sub(c.peers.inDoubtAt) < warmup
}

// unreachable returns the other nodes, or those of them that are away, that do not answer.
func (c *Coordinator) unreachable(now time.Time, lostOnly bool) []string {
	peers := c.Fleet.Peers()
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	var names []string
	for _, peer := range peers {
		if (peer.SessionLost || !lostOnly) && !c.peers.hasStopped(peer.Node, now) && !c.peers.isReachable(peer.Node, now) {
			names = append(names, peer.Node)
		}
	}
	return names
}

// probeIfDue probes other nodes if this one has to know which of them it reaches. One that
// counts for no tenant need not: each probes all others, which grows as the square of the
// nodes, and what it does not hear it holds back for anyway.
func (c *Coordinator) probeIfDue(now time.Time) {
	inDoubt := c.Allocator.hasTenants() && (c.Fleet.SinceConfirmed() >= probeAfter || c.sessionInDoubt(now))
	c.peers.mu.Lock()
	due := now.Sub(c.peers.probedAt) >= probeInterval && (inDoubt || c.peers.hasTakeover(now))
	if due {
		c.peers.probedAt = now
	}
	c.peers.mu.Unlock()
	if !due {
		return
	}
	var to []Peer
	for _, candidate := range c.Fleet.Peers() {
		if inDoubt || candidate.SessionLost {
			to = append(to, candidate)
		}
	}
	c.broadcast(to, peer.KindQuotaProbe, struct{}{})
}

// broadcast sends a message to nodes.
func (c *Coordinator) broadcast(to []Peer, kind peer.Kind, body any) {
	for _, recipient := range to {
		address, err := net.ResolveUDPAddr("udp4", recipient.Address)
		if err != nil {
			// The node has not told its address.
			continue
		}
		c.send(address, kind, body)
	}
}

// Handlers returns what takes the messages of this package.
func (c *Coordinator) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindQuotaReport: c.HandleReports, peer.KindQuotaGrant: c.HandleGrants, peer.KindQuotaProbe: c.handleProbe, peer.KindQuotaContact: c.handleStatus,
	}
}

// handleProbe handles messages of peer.KindQuotaProbe.
func (c *Coordinator) handleProbe(_ string, source *net.UDPAddr, _ []byte) {
	c.send(source, peer.KindQuotaContact, NodeStatus{Confirmed: c.Fleet.SinceConfirmed() < sessionTrustedFor})
}

// handleStatus handles messages of peer.KindQuotaContact.
func (c *Coordinator) handleStatus(from string, _ *net.UDPAddr, body []byte) {
	var status NodeStatus
	if err := cbor.Unmarshal(body, &status); err != nil {
		c.notifyError(err)
		return
	}
	c.peers.update(from, status, clock.Now())
}

// update notes what a node's session has told.
func (t *peerTracker) update(session string, status NodeStatus, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastHeard == nil {
		t.lastHeard, t.stopped = map[string]time.Time{}, map[string]stopNotice{}
	}
	node := lease.Node(session)
	if status.Stopping {
		t.stopped[node] = stopNotice{session: session, at: now}
		delete(t.lastHeard, node)
		return
	}
	if t.stopped[node].session == session {
		// It came late.
		return
	}
	delete(t.stopped, node)
	t.lastHeard[node] = now
	if status.Confirmed {
		t.peerConfirmedAt = now
	}
}
