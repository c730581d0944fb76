package quota

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("quota")

// errInvalidReport reports that a received report fails validation.
var errInvalidReport = errors.New("report has a negative, infinite or NaN value")

const (
	// reportCheckInterval is the time between checks for due probes and reports.
	reportCheckInterval = 100 * time.Millisecond
	// maxReportsPerDatagram bounds the size of a datagram. A report takes about 60 bytes.
	maxReportsPerDatagram = 16
	// silentOwnerBackoff is how long an owner is not queried again after a query timed out.
	silentOwnerBackoff = 300 * time.Millisecond
)

// Fleet provides the membership of the fleet as this node sees it. A node that lost its session
// remains a member for some time, because it may be cut off from the store only.
type Fleet interface {
	// Self returns this node's name.
	Self() string
	// Owner returns the node that owns a tenant, and its address, which is empty if it is not
	// known. A member that lost its session remains an owner.
	Owner(tenant string) (node, address string)
	// Successor returns the node that takes over a tenant if its owner lost its session, and the
	// node's address.
	Successor(tenant string) (node, address string)
	// SessionLost reports whether node is a member that lost its session.
	SessionLost(node string) bool
	// Peers returns all members except this node, including those that lost their sessions.
	Peers() []Peer
	// Count returns the number of members, including those that lost their sessions.
	Count() int
	// SinceConfirmed returns the time since the store last confirmed this node's session.
	SinceConfirmed() time.Duration
}

// Peer is another member of the fleet.
type Peer struct {
	Node, Address string
	// SessionLost reports that the peer lost its session recently.
	SessionLost bool
}

// Sender sends messages to other nodes.
type Sender interface {
	Send(to *net.UDPAddr, kind peer.Kind, body any) error
}

// Coordinator admits requests in cooperation with the other nodes. It combines this node's
// Limiter and Allocator and exchanges reports and grants with its peers. The exported fields must
// be set before use and not changed afterwards.
type Coordinator struct {
	Limiter   *Limiter
	Allocator *Allocator
	Fleet     Fleet
	Sender    Sender
	// Limit returns a tenant's limit in the current configuration.
	Limit func(tenant string) (Limit, bool)
	// Session identifies the current run of this node.
	Session string
	// OnError, if set, is called with errors of sending and decoding messages.
	OnError func(err error)

	mu sync.Mutex
	// waiters holds the channels of requests that wait for a grant, by report number.
	waiters map[uint64]chan Grant
	// lastTimeoutAt is when a query to each node last timed out.
	lastTimeoutAt map[string]time.Time
	// wake makes Run check for due reports at once.
	wake chan struct{}

	tracker peerTracker
}

// NewCoordinator returns a Coordinator with a new Limiter and Allocator.
func NewCoordinator(tolerance Tolerance, fleet Fleet) *Coordinator {
	c := &Coordinator{
		Limiter: &Limiter{Tolerance: tolerance, Nodes: fleet.Count}, Allocator: &Allocator{Tolerance: tolerance}, Fleet: fleet,
		waiters: map[uint64]chan Grant{}, lastTimeoutAt: map[string]time.Time{}, wake: make(chan struct{}, 1),
	}
	c.Allocator.Reachability = c.reachability
	c.Limiter.WakeReporter = func() {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	return c
}

// Admit admits a request of a tenant or returns a RefusalError. If the request cannot be admitted
// locally, it waits for the owner's answer for at most queryTimeout.
func (c *Coordinator) Admit(ctx context.Context, tenant string, limit Limit) error {
	report, admitted := c.Limiter.TryAdmit(tenant, limit, clock.Now())
	if admitted {
		return nil
	}
	owner, address := c.countingNode(tenant, clock.Now())
	if owner == c.Fleet.Self() {
		if grant, ok := c.processReport(c.Session, report, clock.Now()); ok {
			return c.Limiter.Decide(grant, clock.Now())
		}
		return c.Limiter.DecideWithoutOwner(tenant, clock.Now())
	}
	to := c.queryAddress(owner, address)
	if to == nil {
		return c.Limiter.DecideWithoutOwner(tenant, clock.Now())
	}
	grant, ok := c.query(ctx, to, report)
	if !ok {
		c.recordNoAnswer(owner)
		return c.Limiter.DecideWithoutOwner(tenant, clock.Now())
	}
	return c.Limiter.Decide(grant, clock.Now())
}

// queryAddress returns the address to query a node at, or nil if the address is unknown or a
// query to the node timed out recently.
func (c *Coordinator) queryAddress(node, address string) *net.UDPAddr {
	if address == "" {
		return nil
	}
	c.mu.Lock()
	since, silent := c.lastTimeoutAt[node]
	c.mu.Unlock()
	if silent && clock.Since(since) < silentOwnerBackoff {
		return nil
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		c.notifyError(err)
		return nil
	}
	return to
}

// recordNoAnswer records that a query to node timed out.
func (c *Coordinator) recordNoAnswer(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastTimeoutAt[node] = clock.Now()
}

// query sends a report and waits for the grant. If the grant is late, it sends a second report.
func (c *Coordinator) query(ctx context.Context, to *net.UDPAddr, report Report) (Grant, bool) {
	answers := make(chan Grant, 2)
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	defer c.addWaiter(report.Number, answers)()
	c.send(to, peer.KindQuotaReport, []Report{report})
	retryTimer := time.NewTimer(queryRetryDelay)
	defer retryTimer.Stop()
	for {
		select {
		case grant := <-answers:
			return grant, true
		case <-ctx.Done():
			return Grant{}, false
		case <-retryTimer.C:
			if retry, ok := c.Limiter.RetryReport(report.Tenant, clock.Now()); ok {
				defer c.addWaiter(retry.Number, answers)()
				c.send(to, peer.KindQuotaReport, []Report{retry})
			}
		}
	}
}

// addWaiter sends the grant for the report with the given number to answers until the returned
// function is called.
func (c *Coordinator) addWaiter(number uint64, answers chan Grant) (remove func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters[number] = answers
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.waiters, number)
	}
}

func (c *Coordinator) send(to *net.UDPAddr, kind peer.Kind, body any) {
	if err := c.Sender.Send(to, kind, body); err != nil {
		c.notifyError(err)
	}
}

func (c *Coordinator) notifyError(err error) {
	if c.OnError != nil {
		c.OnError(Error.Wrap(err))
	}
}

// Run sends probes and reports to other nodes until ctx is done.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := time.NewTicker(reportCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.wake:
		}
		c.probeIfDue(clock.Now())
		c.sendDueReports()
	}
}

// sendDueReports reports tenants that are due to their owners. Reports on tenants that this node
// counts are processed locally.
func (c *Coordinator) sendDueReports() {
	now := clock.Now()
	byOwner := map[string][]Report{}
	for _, report := range c.Limiter.DueReports(now) {
		owner, address := c.countingNode(report.Tenant, now)
		if owner != c.Fleet.Self() {
			byOwner[address] = append(byOwner[address], report)
			continue
		}
		if grant, ok := c.processReport(c.Session, report, now); ok {
			c.Limiter.RecordGrant(grant, now)
		}
	}
	for address, reports := range byOwner {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			// The owner has not published its address yet.
			continue
		}
		for len(reports) > 0 {
			size := min(len(reports), maxReportsPerDatagram)
			c.send(to, peer.KindQuotaReport, reports[:size])
			reports = reports[size:]
		}
	}
}

// AnnounceStop sends the final reports and notifies all peers that this node is stopping. The node
// must admit no requests afterwards.
func (c *Coordinator) AnnounceStop() {
	c.Limiter.prepareFinalReports()
	c.sendDueReports()
	c.broadcast(c.Fleet.Peers(), peer.KindQuotaProbeReply, PeerStatus{Stopping: true})
}

// processReport passes a report to the Allocator if this node counts the tenant's requests.
func (c *Coordinator) processReport(session string, report Report, now time.Time) (Grant, bool) {
	limit, known := c.Limit(report.Tenant)
	if !known || limit.Rate <= 0 || !c.isCounting(report.Tenant, now) {
		return Grant{}, false
	}
	return c.Allocator.HandleReport(session, report, limit, now)
}

// valid reports whether all values of a received report are finite and not negative.
func (r *Report) valid() bool {
	return r.Admitted >= 0 && r.Pending >= 0 && r.Available >= 0 && !math.IsInf(r.Available, 0) &&
		r.Demand >= 0 && !math.IsInf(r.Demand, 0) && r.Allowance >= 0 && !math.IsInf(r.Allowance, 0)
}

// HandleReports handles messages of peer.KindQuotaReport, which carry []Report, and replies with
// the grants.
func (c *Coordinator) HandleReports(from string, source *net.UDPAddr, body []byte) {
	var reports []Report
	if err := cbor.Unmarshal(body, &reports); err != nil {
		c.notifyError(err)
		return
	}
	c.tracker.update(from, PeerStatus{}, clock.Now())
	var grants []Grant
	for _, report := range reports[:min(len(reports), maxReportsPerDatagram)] {
		if !report.valid() {
			c.notifyError(errInvalidReport)
			continue
		}
		if grant, ok := c.processReport(from, report, clock.Now()); ok {
			grants = append(grants, grant)
		}
	}
	if len(grants) > 0 {
		c.send(source, peer.KindQuotaGrant, grants)
	}
}

// HandleGrants handles messages of peer.KindQuotaGrant, which carry []Grant. Grants that no
// request waits for are recorded.
func (c *Coordinator) HandleGrants(_ string, _ *net.UDPAddr, body []byte) {
	var grants []Grant
	if err := cbor.Unmarshal(body, &grants); err != nil {
		c.notifyError(err)
		return
	}
	for _, grant := range grants {
		c.mu.Lock()
		answers := c.waiters[grant.Number]
		c.mu.Unlock()
		if answers == nil {
			c.Limiter.RecordGrant(grant, clock.Now())
			continue
		}
		select {
		case answers <- grant:
		default:
		}
	}
}
