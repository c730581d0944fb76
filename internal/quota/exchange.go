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

// errUnsound reports a message with figures that cannot be.
var errUnsound = errors.New("report with figures that cannot be")

const (
	// reportTick is how often due reports are looked for.
	reportTick = 100 * time.Millisecond
	// maxReports bounds the reports of one datagram; each has some 60 bytes.
	maxReports = 16
	// silentFor is how long an owner that has not answered a request in time is not
	// asked again.
	silentFor = 300 * time.Millisecond
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
	// Away reports whether a node's session was lost a short time ago.
	Away(node string) bool
	// Others returns all other nodes, those that are away included.
	Others() []Other
	// Count returns the number of nodes, those that are away included.
	Count() int
	// Unconfirmed is how long this node's own session has not been confirmed by the
	// store.
	Unconfirmed() time.Duration
}

// Other is another node.
type Other struct {
	Node, Address string
	// Away says that its session was lost a short time ago.
	Away bool
}

// Sender sends a message to a node.
type Sender interface {
	Send(to *net.UDPAddr, kind peer.Kind, body any) error
}

// Exchange decides about requests together with the other nodes. Its fields are set
// before use; Limit tells a tenant's limit by the configuration in force.
type Exchange struct {
	Gate   *Gate
	Ledger *Ledger
	Fleet  Fleet
	Sender Sender
	Limit  func(tenant string) (Limit, bool)
	// Session names this node's run.
	Session string
	// Failed, if set, is told of messages that could not be sent or read.
	Failed func(err error)

	mu sync.Mutex
	// waiting are the requests that wait for an answer, by the number of a report.
	waiting map[uint64]chan Grant
	silent  map[string]time.Time
	urgent  chan struct{}

	contacts contacts
}

// NewExchange returns an exchange of a gate and a ledger.
func NewExchange(tolerance Tolerance, fleet Fleet) *Exchange {
	e := &Exchange{
		Gate: &Gate{Tolerance: tolerance, Nodes: fleet.Count}, Ledger: &Ledger{Tolerance: tolerance}, Fleet: fleet,
		waiting: map[uint64]chan Grant{}, silent: map[string]time.Time{}, urgent: make(chan struct{}, 1),
	}
	e.Ledger.Outside = e.outside
	e.Gate.Urgent = func() {
		select {
		case e.urgent <- struct{}{}:
		default:
		}
	}
	return e
}

// Admit decides about a request of a tenant. Its error is a RefusalError. It waits for
// the owner's answer if the tenant is near its limit, for askTimeout at most.
func (e *Exchange) Admit(ctx context.Context, tenant string, limit Limit) error {
	report, admitted := e.Gate.Begin(tenant, limit, clock.Now())
	if admitted {
		return nil
	}
	owner, address := e.counter(tenant, clock.Now())
	if owner == e.Fleet.Self() {
		if grant, ok := e.answer(e.Session, report, clock.Now()); ok {
			return e.Gate.Settle(grant, clock.Now())
		}
		return e.Gate.Alone(tenant, clock.Now())
	}
	to := e.reachable(owner, address)
	if to == nil {
		return e.Gate.Alone(tenant, clock.Now())
	}
	grant, ok := e.ask(ctx, to, report)
	if !ok {
		e.notAnswered(owner)
		return e.Gate.Alone(tenant, clock.Now())
	}
	return e.Gate.Settle(grant, clock.Now())
}

// reachable returns where a node is to be asked; nil if that is not known or the node
// did not answer a moment ago.
func (e *Exchange) reachable(node, address string) *net.UDPAddr {
	if address == "" {
		return nil
	}
	e.mu.Lock()
	since, silent := e.silent[node]
	e.mu.Unlock()
	if silent && clock.Since(since) < silentFor {
		return nil
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		e.failed(err)
		return nil
	}
	return to
}

func (e *Exchange) notAnswered(node string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent[node] = clock.Now()
}

// ask sends a report and waits for the answer; it sends a second one if that is late.
func (e *Exchange) ask(ctx context.Context, to *net.UDPAddr, report Report) (Grant, bool) {
	answers := make(chan Grant, 2)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	defer e.await(report.Number, answers)()
	e.send(to, peer.KindQuotaReport, []Report{report})
	again := time.NewTimer(askAgain)
	defer again.Stop()
	for {
		select {
		case grant := <-answers:
			return grant, true
		case <-ctx.Done():
			return Grant{}, false
		case <-again.C:
			if second, ok := e.Gate.Again(report.Tenant, clock.Now()); ok {
				defer e.await(second.Number, answers)()
				e.send(to, peer.KindQuotaReport, []Report{second})
			}
		}
	}
}

// await has the answer to a report go to a channel until the returned function is called.
func (e *Exchange) await(number uint64, answers chan Grant) (stop func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting[number] = answers
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.waiting, number)
	}
}

func (e *Exchange) send(to *net.UDPAddr, kind peer.Kind, body any) {
	if err := e.Sender.Send(to, kind, body); err != nil {
		e.failed(err)
	}
}

func (e *Exchange) failed(err error) {
	if e.Failed != nil {
		e.Failed(Error.Wrap(err))
	}
}

// Run reports to owners until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(reportTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.urgent:
		}
		e.probeDue(clock.Now())
		e.reportDue()
	}
}

func (e *Exchange) reportDue() {
	now := clock.Now()
	byOwner := map[string][]Report{}
	for _, report := range e.Gate.Due(now) {
		owner, address := e.counter(report.Tenant, now)
		if owner != e.Fleet.Self() {
			byOwner[address] = append(byOwner[address], report)
			continue
		}
		if grant, ok := e.answer(e.Session, report, now); ok {
			e.Gate.Granted(grant, now)
		}
	}
	for address, reports := range byOwner {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			// The owner has not told its address yet.
			continue
		}
		for len(reports) > 0 {
			size := min(len(reports), maxReports)
			e.send(to, peer.KindQuotaReport, reports[:size])
			reports = reports[size:]
		}
	}
}

// Leave tells owners that this node stops: nothing more comes from here.
func (e *Exchange) Leave() {
	e.Gate.leave()
	e.reportDue()
	e.tellAll(e.Fleet.Others(), peer.KindQuotaProbeReply, Contact{Stops: true})
}

// answer takes in a report if this node owns the tenant.
func (e *Exchange) answer(session string, report Report, now time.Time) (Grant, bool) {
	limit, known := e.Limit(report.Tenant)
	if !known || limit.Rate <= 0 || !e.counts(report.Tenant, now) {
		return Grant{}, false
	}
	return e.Ledger.Report(session, report, limit, now)
}

// sound reports whether a report of another process can be taken.
func (r *Report) sound() bool {
	return r.Admitted >= 0 && r.Asking >= 0 && r.Room >= 0 && !math.IsInf(r.Room, 0) &&
		r.Demand >= 0 && !math.IsInf(r.Demand, 0) && r.Allowance >= 0 && !math.IsInf(r.Allowance, 0)
}

// TakeReports handles messages of peer.KindQuotaReport, which carry []Report.
func (e *Exchange) TakeReports(from string, source *net.UDPAddr, body []byte) {
	var reports []Report
	if err := cbor.Unmarshal(body, &reports); err != nil {
		e.failed(err)
		return
	}
	e.contacts.take(from, Contact{}, clock.Now())
	var grants []Grant
	for _, report := range reports[:min(len(reports), maxReports)] {
		if !report.sound() {
			e.failed(errUnsound)
			continue
		}
		if grant, ok := e.answer(from, report, clock.Now()); ok {
			grants = append(grants, grant)
		}
	}
	if len(grants) > 0 {
		e.send(source, peer.KindQuotaGrant, grants)
	}
}

// TakeGrants handles messages of peer.KindQuotaGrant, which carry []Grant.
func (e *Exchange) TakeGrants(_ string, _ *net.UDPAddr, body []byte) {
	var grants []Grant
	if err := cbor.Unmarshal(body, &grants); err != nil {
		e.failed(err)
		return
	}
	for _, grant := range grants {
		e.mu.Lock()
		answers := e.waiting[grant.Number]
		e.mu.Unlock()
		if answers == nil {
			e.Gate.Granted(grant, clock.Now())
			continue
		}
		select {
		case answers <- grant:
		default:
		}
	}
}
