package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lease"
)

const (
	// shareExpiry is how long a node may use its last granted share without a new grant. It is
	// the time after which a lost session ends at the earliest. The share of a node that dies
	// stays reserved until it would have left the window, or until the node restarts and reports.
	shareExpiry = 3 * time.Second
	// equalShareExpiry is how long a node that once received a grant may use an equal share of the
	// limit without a new one. It covers network partitions of up to 12 s. The owner reserves
	// that share for as long.
	equalShareExpiry = 4 * shareExpiry
	// forgetNodeAfter is the time since a node's last report after which the node is forgotten.
	// The requests that it admitted without the owner have left all windows by then.
	forgetNodeAfter = 2 * equalShareExpiry
	// reservedShare is the fraction of the capacity that is granted only in answer to queries.
	// Nodes use their shares of the rest without a query.
	reservedShare = 0.5
	// warmup is how long a new owner waits for reports from all nodes, which report every half
	// second. Until then it admits no more than the capacity that its predecessor had available
	// or, if that is unknown, half of the tolerance that is not granted to tenants.
	warmup = 800 * time.Millisecond
	// maxSilence is how long a node with requests may send no report before the owner assumes
	// that the node decides without it. It covers one report interval and a late answer.
	maxSilence = 650 * time.Millisecond
	// minSilence and silenceRequests apply to a node that sends a query for each request: it may
	// be silent for minSilence and the time in which silenceRequests requests arrive, but not
	// longer than maxSilence.
	minSilence      = 200 * time.Millisecond
	silenceRequests = 3
)

// Report is a node's report on one tenant to the tenant's owner.
type Report struct {
	Tenant string `cbor:"1,keyasint"`
	// Number increases with each report of a node, across all tenants.
	Number uint64 `cbor:"2,keyasint"`
	// Admitted is the number of requests admitted since the node started.
	Admitted int64 `cbor:"3,keyasint"`
	// Recent holds the number of requests admitted in each span of the last window, newest
	// first.
	Recent []uint32 `cbor:"4,keyasint,omitempty"`
	// Available is the available capacity in the node's last grant, or 0 if there was none
	// recently. A new owner uses it during warmup.
	Available float64 `cbor:"8,keyasint,omitempty"`
	// Demand is the rate of requests per second, including refused ones.
	Demand float64 `cbor:"5,keyasint"`
	// Query reports that a request waits for the grant of this report.
	Query bool `cbor:"6,keyasint,omitempty"`
	// Pending is the number of the node's other requests that wait for a grant.
	Pending int64 `cbor:"7,keyasint,omitempty"`
	// Allowance is the number of requests that the node may admit in a window without another
	// grant.
	Allowance float64 `cbor:"9,keyasint,omitempty"`
	// LastGrant is the report number of the last grant that the node applied.
	LastGrant uint64 `cbor:"10,keyasint,omitempty"`
}

// Grant is the owner's answer to a Report.
type Grant struct {
	Tenant string `cbor:"1,keyasint"`
	// Number is the number of the report.
	Number uint64 `cbor:"2,keyasint"`
	// Counted is how many of the requests that the node admitted the owner has counted.
	Counted int64 `cbor:"3,keyasint"`
	// Available is the number of requests that may still run now, across all nodes.
	Available float64 `cbor:"4,keyasint"`
	// Share is the node's share of the tenant's demand, from 0 to 1.
	Share float64 `cbor:"5,keyasint"`
	// Allowed reports that the request that waits for this grant may run. The owner has counted
	// it.
	Allowed bool `cbor:"6,keyasint,omitempty"`
}

// Allocator counts the requests of the tenants that this node owns and grants capacity to the
// nodes that serve them. The zero value owns no tenants. It is safe for concurrent use.
type Allocator struct {
	Tolerance Tolerance
	// Reachability, if set, returns which nodes may admit a tenant's requests without reporting
	// to this node.
	Reachability func(tenant string) Reachability

	mu        sync.Mutex
	tenants   map[string]*tenantEntry
	lastSweep time.Time
}

// Reachability describes the nodes from which an owner may receive no reports.
type Reachability struct {
	// Nodes is the number of all nodes in the fleet.
	Nodes int
	// Unreachable holds the names of the nodes that do not answer this one. They may use grants
	// of another owner or decide without one.
	Unreachable []string
}

// tenantEntry is an owner's state of one tenant.
type tenantEntry struct {
	// nodes holds the nodes that have reported, by session.
	nodes map[string]*nodeUsage
	// ownedSince is when this node began to count the tenant's requests, lastReport is when the
	// last report arrived.
	ownedSince, lastReport time.Time
	// granted counts the queried requests allowed since ownedSince. inherited is the least
	// available capacity that nodes reported from the previous owner, 0 if there was none.
	granted, inherited float64
}

// nodeUsage is an owner's state of one node that serves a tenant.
type nodeUsage struct {
	// lastNumber is the number of the last report.
	lastNumber uint64
	// counted is the number of requests counted for the node.
	counted int64
	// used counts the node's requests in the last window.
	used window
	// localBudget is the number of requests that the last grant allowed without a query.
	localBudget float64
	demand      float64
	// allowance is the number of requests that the node may admit in a window without another
	// grant, by the grants that it has confirmed.
	allowance float64
	// outstanding holds the grants that the node has not confirmed.
	outstanding []outstandingGrant
	// share is the node's share in the last grant.
	share      float64
	lastReport time.Time
}

// outstandingGrant is a grant that its receiver has not confirmed.
type outstandingGrant struct {
	number uint64
	// allowance is the number of requests that the grant allows in a window without another
	// grant.
	allowance float64
}

// recentTotal returns the number of requests in the last window of the report.
func (r *Report) recentTotal() float64 {
	total := 0.0
	for _, count := range r.Recent[:min(len(r.Recent), numSpans)] {
		total += float64(count)
	}
	return total
}

// HandleReport records a report of the node with the given session and returns the grant for it.
// ok is false if the report is not newer than the last one of the session.
func (a *Allocator) HandleReport(session string, report Report, limit Limit, now time.Time) (grant Grant, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry := a.entry(report.Tenant, now)
	node := entry.nodes[session]
	if node == nil {
		node = &nodeUsage{counted: report.Admitted}
		node.used.advance(a.Tolerance.window(), now)
		node.used.addSpans(report.Recent)
		entry.nodes[session] = node
		if now.Sub(entry.ownedSince) < warmup && report.Available > 0 && (entry.inherited == 0 || report.Available < entry.inherited) {
			entry.inherited = report.Available
		}
	}
	if report.Number <= node.lastNumber {
		return Grant{}, false
	}
	entry.lastReport = now
	node.used.advance(a.Tolerance.window(), now)
	node.addReport(report)
	node.lastNumber, node.demand, node.lastReport = report.Number, report.Demand, now
	node.confirmGrants(report)
	a.retireOtherSessions(entry, session)
	allowed := report.Query && a.available(entry, report.Tenant, limit, now) >= 1
	if allowed {
		node.used.add(1)
		node.counted++
		entry.granted++
	}
	available := a.available(entry, report.Tenant, limit, now)
	node.share = entry.shareOf(node, now)
	node.localBudget = max(0, available-reservedShare*a.Tolerance.capacity(limit)) * node.share
	node.addOutstanding(report, allowed)
	return Grant{
		Tenant: report.Tenant, Number: report.Number, Counted: node.counted,
		Available: available, Share: node.share, Allowed: allowed,
	}, true
}

// retireOtherSessions clears the demand of other sessions of the same node: only one run of a node
// is alive at a time.
func (a *Allocator) retireOtherSessions(entry *tenantEntry, session string) {
	for other, node := range entry.nodes {
		if other != session && lease.SameNode(other, session) {
			node.demand = 0
		}
	}
}

// available returns how many more requests of a tenant may run now, across all nodes. It may be
// negative. The caller holds mu.
func (a *Allocator) available(entry *tenantEntry, tenant string, limit Limit, now time.Time) float64 {
	capacity := a.Tolerance.capacity(limit)
	var reachability Reachability
	if a.Reachability != nil {
		reachability = a.Reachability(tenant)
	}
	equalShare := capacity / float64(max(1, reachability.Nodes))
	unreachable := map[string]bool{}
	for _, node := range reachability.Unreachable {
		unreachable[node] = true
	}
	remaining := capacity
	for session, node := range entry.nodes {
		used := a.assumedUse(node, equalShare, now)
		if name := lease.Node(session); unreachable[name] {
			used = max(used, equalShare)
			delete(unreachable, name)
		}
		remaining -= used
	}
	remaining -= equalShare * float64(len(unreachable))
	if now.Sub(entry.ownedSince) < warmup {
		initial := entry.inherited
		if initial == 0 {
			initial = max(1, (1-toleranceShare)*a.Tolerance.overshoot(limit)/2)
		}
		remaining = min(remaining, initial-entry.granted)
	}
	return remaining
}

// assumedUse returns the number of requests that a node is assumed to have admitted in the last
// window. A silent node is assumed to have admitted all that Limiter.mayAdmitWithoutOwner allows,
// until that has left the window.
func (a *Allocator) assumedUse(node *nodeUsage, equalShare float64, now time.Time) float64 {
	node.used.advance(a.Tolerance.window(), now)
	silence := now.Sub(node.lastReport)
	retained := a.Tolerance.window() + maxSilence
	switch {
	case node.demand == 0 || silence <= node.allowedSilence():
		return node.used.total
	case silence < shareExpiry+retained:
		return max(node.used.total, node.maxWithoutOwner(), equalShare)
	case silence < equalShareExpiry+retained:
		return max(node.used.total, equalShare)
	}
	return node.used.total
}

// addOutstanding records the allowance of the grant for a report.
func (u *nodeUsage) addOutstanding(report Report, allowed bool) {
	allowance := report.recentTotal() + u.localBudget
	if allowed {
		allowance++
	}
	u.outstanding = append(u.outstanding, outstandingGrant{number: report.Number, allowance: allowance})
}

// confirmGrants updates the allowance and drops the outstanding grants that a report confirms.
func (u *nodeUsage) confirmGrants(report Report) {
	u.allowance = max(report.Allowance, report.recentTotal())
	u.outstanding = slices.DeleteFunc(u.outstanding, func(grant outstandingGrant) bool { return grant.number <= report.LastGrant })
}

// maxWithoutOwner returns the largest number of requests in a window that any grant the node may
// have applied allows it without another grant.
func (u *nodeUsage) maxWithoutOwner() float64 {
	highest := u.allowance
	for _, grant := range u.outstanding {
		highest = max(highest, grant.allowance)
	}
	return highest
}

// allowedSilence returns how long a reachable node may send no report.
func (u *nodeUsage) allowedSilence() time.Duration {
	if u.localBudget > 0 {
		return maxSilence
	}
	return min(maxSilence, minSilence+time.Duration(silenceRequests/u.demand*float64(time.Second)))
}

// addReport counts the requests that the node admitted since its last report. If the node admitted
// fewer than were counted, grants to it were lost, or are in flight if requests are pending.
func (u *nodeUsage) addReport(report Report) {
	more := report.Admitted - u.counted
	switch {
	case more < 0 && report.Pending > 0:
		return
	case more < 0:
		u.used.removeNewest(float64(-more))
	default:
		// After a long silence, part of the admitted requests may have left the window.
		u.used.add(min(float64(more), report.recentTotal()))
	}
	u.counted = report.Admitted
}

// entry returns the tenant's entry, creating it if needed. The caller holds mu.
func (a *Allocator) entry(tenant string, now time.Time) *tenantEntry {
	if a.tenants == nil {
		a.tenants = map[string]*tenantEntry{}
	}
	if now.Sub(a.lastSweep) > forgetNodeAfter {
		a.sweep(now)
	}
	entry := a.tenants[tenant]
	if entry == nil {
		entry = &tenantEntry{nodes: map[string]*nodeUsage{}, ownedSince: now}
		a.tenants[tenant] = entry
	}
	return entry
}

// hasTenants reports whether this node counts requests of any tenant.
func (a *Allocator) hasTenants() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tenants) > 0
}

// sweep drops tenants without recent reports. The caller holds mu.
func (a *Allocator) sweep(now time.Time) {
	a.lastSweep = now
	for name, entry := range a.tenants {
		// All of the tenant's requests have left the window by then.
		if now.Sub(entry.lastReport) > forgetNodeAfter {
			delete(a.tenants, name)
		}
	}
}

// shareOf returns a node's share of the tenant's demand. The demand of a silent node counts until
// its share expires. Nodes that have been silent for forgetNodeAfter are dropped.
func (e *tenantEntry) shareOf(node *nodeUsage, now time.Time) float64 {
	total := 0.0
	for session, other := range e.nodes {
		switch silence := now.Sub(other.lastReport); {
		case silence > forgetNodeAfter:
			delete(e.nodes, session)
		case silence <= shareExpiry:
			total += other.demand
		}
	}
	if total <= 0 {
		return 1 / float64(len(e.nodes))
	}
	return node.demand / total
}
