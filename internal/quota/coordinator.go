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

// errInvalidReport reports a message with figures that cannot be.
var errInvalidReport = errors.New("report with figures that cannot be")

const (
	// reportCheckInterval is how often due reports are looked for.
	reportCheckInterval = 100 * time.Millisecond
	// maxReportsPerDatagram bounds the reports of one datagram; each has some 60 bytes.
	maxReportsPerDatagram = 16
	// silentOwnerBackoff is how long an owner that has not answered a request in time is not
	// asked again.
	silentOwnerBackoff = 300 * time.Millisecond
)

// Fleet tells which nodes there are.
type Fleet interface {
	// Self is this node's name.
	Self() string
	// Owner returns the node that owns a tenant, and its address; empty if it is not
	// known. A node whose session was lost a short time ago remains an owner: it may be
	// cut off from the store alone.
	Owner(tenant string) (node, address string)
	// Successor returns the node that stands in for an owner whose session was lost.
	Successor(tenant string) (node, address string)
	// SessionLost reports whether a node's session was lost a short time ago.
	SessionLost(node string) bool
	// Peers returns all other nodes, those that are away included.
	Peers() []Peer
	// Count returns the number of nodes, those that are away included.
	Count() int
	// SinceConfirmed is how long this node's own session has not been confirmed by the
	// store.
	SinceConfirmed() time.Duration
}

// Peer is another node.
type Peer struct {
	Node, Address string
	// SessionLost says that its session was lost a short time ago.
	SessionLost bool
}

// Sender sends a message to a node.
type Sender interface {
	Send(to *net.UDPAddr, kind peer.Kind, body any) error
}

// Coordinator decides about requests together with the other nodes. Its fields are set
// before use; Limit tells a tenant's limit by the configuration in force.
type Coordinator struct {
	Limiter   *Limiter
	Allocator *Allocator
	Fleet     Fleet
	Sender    Sender
	Limit     func(tenant string) (Limit, bool)
	// Session names this node's run.
	Session string
	// OnError, if set, is told of messages that could not be sent or read.
	OnError func(err error)

	mu sync.Mutex
	// waiters are the requests that wait for an answer, by the number of a report.
	waiters     map[uint64]chan Grant
	silentSince map[string]time.Time
	wake        chan struct{}

	peers peerTracker
}

// NewCoordinator returns an exchange of a gate and a ledger.
func NewCoordinator(tolerance Tolerance, fleet Fleet) *Coordinator {
	c := &Coordinator{
		Limiter: &Limiter{Tolerance: tolerance, Nodes: fleet.Count}, Allocator: &Allocator{Tolerance: tolerance}, Fleet: fleet,
		waiters: map[uint64]chan Grant{}, silentSince: map[string]time.Time{}, wake: make(chan struct{}, 1),
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

// Admit decides about a request of a tenant. Its error is a RefusalError. It waits for
// the owner's answer if the tenant is near its limit, for askTimeout at most.
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

// queryAddress returns where a node is to be asked; nil if that is not known or the node
// did not answer a moment ago.
func (c *Coordinator) queryAddress(node, address string) *net.UDPAddr {
	if address == "" {
		return nil
	}
	c.mu.Lock()
	since, silent := c.silentSince[node]
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

func (c *Coordinator) recordNoAnswer(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentSince[node] = clock.Now()
}

// query sends a report and waits for the answer; it sends a second one if that is late.
func (c *Coordinator) query(ctx context.Context, to *net.UDPAddr, report Report) (Grant, bool) {
	answers := make(chan Grant, 2)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	defer c.addWaiter(report.Number, answers)()
	c.send(to, peer.KindQuotaReport, []Report{report})
	retryTimer := time.NewTimer(askRetryDelay)
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

// addWaiter has the answer to a report go to a channel until the returned function is called.
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

// Run reports to owners until the context ends.
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
			// The owner has not told its address yet.
			continue
		}
		for len(reports) > 0 {
			size := min(len(reports), maxReportsPerDatagram)
			c.send(to, peer.KindQuotaReport, reports[:size])
			reports = reports[size:]
		}
	}
}

// AnnounceStop tells owners that this node stops: nothing more comes from here.
func (c *Coordinator) AnnounceStop() {
	c.Limiter.prepareFinalReports()
	c.sendDueReports()
	c.broadcast(c.Fleet.Peers(), peer.KindQuotaContact, NodeStatus{Stopping: true})
}

// processReport takes in a report if this node owns the tenant.
func (c *Coordinator) processReport(session string, report Report, now time.Time) (Grant, bool) {
	limit, known := c.Limit(report.Tenant)
	if !known || limit.Rate <= 0 || !c.isCounting(report.Tenant, now) {
		return Grant{}, false
	}
	return c.Allocator.HandleReport(session, report, limit, now)
}

// valid reports whether a report of another process can be taken.
func (r *Report) valid() bool {
	return r.Admitted >= 0 && r.Pending >= 0 && r.Available >= 0 && !math.IsInf(r.Available, 0) &&
		r.Demand >= 0 && !math.IsInf(r.Demand, 0) && r.Allowance >= 0 && !math.IsInf(r.Allowance, 0)
}

// HandleReports handles messages of peer.KindQuotaReport, which carry []Report.
func (c *Coordinator) HandleReports(from string, source *net.UDPAddr, body []byte) {
	var reports []Report
	if err := cbor.Unmarshal(body, &reports); err != nil {
		c.notifyError(err)
		return
	}
	c.peers.update(from, NodeStatus{}, clock.Now())
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

// HandleGrants handles messages of peer.KindQuotaGrant, which carry []Grant.
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
