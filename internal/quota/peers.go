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

// A node whose session is lost may be dead, cut off from the store only, or cut off from other
// nodes too. It remains the owner of its tenants for the nodes that still reach it; its successor
// takes over for the others. Both may count at the same time, each for the nodes that it reaches.
// Each reserves an equal share of the limit for every node that does not answer it, so that
// together they grant the limit only once.
const (
	// sessionTrustedFor is how long after the store's last confirmation a node relies on its
	// session. Other nodes end a session after 3 s at the earliest.
	sessionTrustedFor = 2 * time.Second
	// probeAfter is the time since the last confirmation after which a node starts to probe its
	// peers. It is shorter than sessionTrustedFor, so that replies are there when they are needed.
	// Sessions are confirmed every second.
	probeAfter    = 1500 * time.Millisecond
	probeInterval = 300 * time.Millisecond
	// reachableFor is how long a peer counts as reachable after a message from it. Three
	// consecutive probes may be lost.
	reachableFor = 1200 * time.Millisecond
	// takeoverDelay is the time from the first query to a successor until it answers. An owner
	// that is reachable answers a probe within it.
	takeoverDelay = 350 * time.Millisecond
	// takeoverExpiry is the time without queries after which a takeover ends; the next query
	// starts a new one.
	takeoverExpiry = 2 * time.Second
	// lostOwnerBackoff is how long an owner that lost its session and did not answer is not
	// queried again.
	lostOwnerBackoff = 2 * time.Second
	// stopNoticeExpiry is how long a stop notice is valid. A node that stops either restarts
	// within seconds or is removed from the fleet.
	stopNoticeExpiry = 5 * time.Second
	// maxUnconfirmed is how long an owner keeps counting without a session while its peers have
	// theirs. It is shorter than the 30 s after which they remove the owner from the fleet.
	maxUnconfirmed = 25 * time.Second
)

// PeerStatus is the reply to a probe. A node also sends it to its peers when it stops.
type PeerStatus struct {
	// Confirmed reports whether the store confirmed the node's session recently.
	Confirmed bool `cbor:"1,keyasint,omitempty"`
	// Stopping reports that the node is shutting down.
	Stopping bool `cbor:"2,keyasint,omitempty"`
}

// peerTracker records which peers are reachable and which have stopped.
type peerTracker struct {
	mu sync.Mutex
	// lastMessageAt is the time of the last message from each node.
	lastMessageAt map[string]time.Time
	// peerConfirmedAt is when any peer last reported that its session is confirmed.
	peerConfirmedAt time.Time
	// stopped holds the stop notices by node.
	stopped map[string]stopNotice
	// inDoubtAt is when this node's session was last unconfirmed for sessionTrustedFor, probedAt
	// is when the last probes were sent.
	inDoubtAt, probedAt time.Time
	// takeovers holds the takeovers requested from this node, by tenant.
	takeovers map[string]takeover
}

// stopNotice records that a node announced the end of a session.
type stopNotice struct {
	session string
	at      time.Time
}

// takeover holds the times of the first and the last query that this node received as the
// successor of a tenant's owner.
type takeover struct{ first, last time.Time }

// isReachable reports whether a message from node arrived recently. The caller holds mu.
func (t *peerTracker) isReachable(node string, now time.Time) bool {
	at, ok := t.lastMessageAt[node]
	return ok && now.Sub(at) < reachableFor
}

// hasStopped reports whether node stopped recently and has not restarted. The caller holds mu.
func (t *peerTracker) hasStopped(node string, now time.Time) bool {
	notice, ok := t.stopped[node]
	return ok && now.Sub(notice.at) < stopNoticeExpiry
}

// requestTakeover records that this node was queried as the successor of owner, and reports
// whether it may answer: the owner has stopped, or did not answer probes for takeoverDelay.
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

// hasTakeover reports whether this node was recently queried as a successor. The caller holds mu.
func (t *peerTracker) hasTakeover(now time.Time) bool {
	for tenant, request := range t.takeovers {
		if now.Sub(request.last) <= takeoverExpiry {
			return true
		}
		delete(t.takeovers, tenant)
	}
	return false
}

// countingNode returns the node to query about a tenant: the owner, or its successor if the
// owner's session is lost and the owner is unreachable.
func (c *Coordinator) countingNode(tenant string, now time.Time) (node, address string) {
	owner, address := c.Fleet.Owner(tenant)
	if !c.Fleet.SessionLost(owner) || !c.ownerUnreachable(owner, now) {
		return owner, address
	}
	return c.Fleet.Successor(tenant)
}

// ownerUnreachable reports whether an owner that lost its session did not answer recently or has
// stopped.
func (c *Coordinator) ownerUnreachable(owner string, now time.Time) bool {
	c.mu.Lock()
	since, silent := c.lastTimeoutAt[owner]
	c.mu.Unlock()
	if silent && now.Sub(since) < lostOwnerBackoff {
		return true
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.tracker.hasStopped(owner, now)
}

// isCounting reports whether this node counts a tenant's requests, as the owner or as the
// successor.
func (c *Coordinator) isCounting(tenant string, now time.Time) bool {
	self := c.Fleet.Self()
	owner, _ := c.Fleet.Owner(tenant)
	if owner != self {
		successor, _ := c.Fleet.Successor(tenant)
		if successor != self || !c.Fleet.SessionLost(owner) || !c.tracker.requestTakeover(tenant, owner, now) {
			return false
		}
	}
	return c.mayCount(now)
}

// mayCount reports whether this node may act as an owner. After maxUnconfirmed without a
// confirmed session, other nodes may have removed it from the fleet. It then may count only if it
// reaches at least half of its peers and none of them reports a confirmed session.
func (c *Coordinator) mayCount(now time.Time) bool {
	if c.Fleet.SinceConfirmed() < maxUnconfirmed {
		return true
	}
	unreachable, peers := c.unreachable(now, false), c.Fleet.Peers()
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return now.Sub(c.tracker.peerConfirmedAt) > reachableFor && len(unreachable) <= len(peers)/2
}

// reachability returns the nodes that may admit a tenant's requests unknown to this node: all
// unreachable nodes while this node's session is in doubt, or the unreachable nodes that lost
// their sessions if this node counts as a successor.
func (c *Coordinator) reachability(tenant string) Reachability {
	now := clock.Now()
	reachability := Reachability{Nodes: c.Fleet.Count()}
	if c.sessionInDoubt(now) {
		reachability.Unreachable = c.unreachable(now, false)
		return reachability
	}
	if owner, _ := c.Fleet.Owner(tenant); owner != c.Fleet.Self() {
		reachability.Unreachable = c.unreachable(now, true)
	}
	return reachability
}

// sessionInDoubt reports whether this node's session may be lost, or may have been lost within
// the last warmup. Nodes that reported to another owner meanwhile have to report here first.
func (c *Coordinator) sessionInDoubt(now time.Time) bool {
	unconfirmed := c.Fleet.SinceConfirmed() >= sessionTrustedFor
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if unconfirmed {
		c.tracker.inDoubtAt = now
	}
	return now.Sub(c.tracker.inDoubtAt) < warmup
}

// unreachable returns the peers that neither answered recently nor stopped. With lostOnly set,
// it returns only those that lost their sessions.
func (c *Coordinator) unreachable(now time.Time, lostOnly bool) []string {
	peers := c.Fleet.Peers()
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	var names []string
	for _, p := range peers {
		if (p.SessionLost || !lostOnly) && !c.tracker.hasStopped(p.Node, now) && !c.tracker.isReachable(p.Node, now) {
			names = append(names, p.Node)
		}
	}
	return names
}

// probeIfDue probes peers if this node has to know which of them are reachable. A node that
// counts for no tenant sends no probes because of its own session: if all nodes did, the number
// of probes would grow with the square of the nodes, and an owner reserves shares for peers that
// have sent it no message anyway.
func (c *Coordinator) probeIfDue(now time.Time) {
	inDoubt := c.Allocator.hasTenants() && (c.Fleet.SinceConfirmed() >= probeAfter || c.sessionInDoubt(now))
	c.tracker.mu.Lock()
	due := now.Sub(c.tracker.probedAt) >= probeInterval && (inDoubt || c.tracker.hasTakeover(now))
	if due {
		c.tracker.probedAt = now
	}
	c.tracker.mu.Unlock()
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

// broadcast sends a message to each of the given peers.
func (c *Coordinator) broadcast(to []Peer, kind peer.Kind, body any) {
	for _, recipient := range to {
		address, err := net.ResolveUDPAddr("udp4", recipient.Address)
		if err != nil {
			// The peer has not published its address.
			continue
		}
		c.send(address, kind, body)
	}
}

// Handlers returns the handlers for the message kinds of this package.
func (c *Coordinator) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindQuotaReport: c.HandleReports, peer.KindQuotaGrant: c.HandleGrants, peer.KindQuotaProbe: c.handleProbe, peer.KindQuotaProbeReply: c.handleStatus,
	}
}

// handleProbe handles messages of peer.KindQuotaProbe.
func (c *Coordinator) handleProbe(_ string, source *net.UDPAddr, _ []byte) {
	c.send(source, peer.KindQuotaProbeReply, PeerStatus{Confirmed: c.Fleet.SinceConfirmed() < sessionTrustedFor})
}

// handleStatus handles messages of peer.KindQuotaProbeReply, which carry a PeerStatus.
func (c *Coordinator) handleStatus(from string, _ *net.UDPAddr, body []byte) {
	var status PeerStatus
	if err := cbor.Unmarshal(body, &status); err != nil {
		c.notifyError(err)
		return
	}
	c.tracker.update(from, status, clock.Now())
}

// update records a message with the given status from a node's session.
func (t *peerTracker) update(session string, status PeerStatus, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastMessageAt == nil {
		t.lastMessageAt, t.stopped = map[string]time.Time{}, map[string]stopNotice{}
	}
	node := lease.Node(session)
	if status.Stopping {
		t.stopped[node] = stopNotice{session: session, at: now}
		delete(t.lastMessageAt, node)
		return
	}
	if t.stopped[node].session == session {
		// A late message of the session that has stopped.
		return
	}
	delete(t.stopped, node)
	t.lastMessageAt[node] = now
	if status.Confirmed {
		t.peerConfirmedAt = now
	}
}
