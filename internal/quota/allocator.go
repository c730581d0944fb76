package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lease"
)

const (
	// shareExpiry is how long a part that was told holds without another word: as long as a
	// lost session is waited for. A node that dies holds its part back from others until
	// that would have left the window, or until its next run reports.
	shareExpiry = 3 * time.Second
	// equalShareExpiry is how long a node that was told a part once goes on alone with an equal
	// part of the limit, without another word: as long as cuts of nodes have been seen
	// to last (12 s). An owner holds that part back for as long.
	equalShareExpiry = 4 * shareExpiry
	// forgetNodeAfter is the silence after which nothing of a node's counts any more: what it
	// let through alone has left all windows.
	forgetNodeAfter = 2 * equalShareExpiry
	// reservedShare is the share of the capacity that is given out to those who ask only; what
	// is above it, nodes use by their parts without asking.
	reservedShare = 0.5
	// warmup is how long a new owner waits to hear from all nodes, which report each
	// half second. Until then it lets through what the owner before it had room for, or
	// half of what tolerance is left.
	warmup = 800 * time.Millisecond
	// maxSilence is how long a node that has requests may be silent before it is taken
	// to decide alone: one report and a late answer. One with many requests, which asks
	// for each, is after silentLeast and the time of silentRequests of them.
	maxSilence      = 650 * time.Millisecond
	minSilence      = 200 * time.Millisecond
	silenceRequests = 3
)

// Report is what a node tells the owner of a tenant.
type Report struct {
	Tenant string `cbor:"1,keyasint"`
	// Number rises with each report of a node, over all tenants.
	Number uint64 `cbor:"2,keyasint"`
	// Admitted is the number of requests that were let through since the node's start.
	Admitted int64 `cbor:"3,keyasint"`
	// Recent counts the requests that were let through in the last window, by spans of
	// it, the newest first.
	Recent []uint32 `cbor:"4,keyasint,omitempty"`
	// Available is what an owner told a moment ago; 0 if none did.
	Available float64 `cbor:"8,keyasint,omitempty"`
	// Demand is the rate of requests that came, refused ones included, per second.
	Demand float64 `cbor:"5,keyasint"`
	// Query says that one more request waits for the answer, Asking how many others of
	// the node do.
	Query   bool  `cbor:"6,keyasint,omitempty"`
	Pending int64 `cbor:"7,keyasint,omitempty"`
	// Allowance is what the node's own window may come to without another word, as the
	// answer to the report with the number Granted told it.
	Allowance float64 `cbor:"9,keyasint,omitempty"`
	LastGrant uint64  `cbor:"10,keyasint,omitempty"`
}

// Grant is the owner's answer.
type Grant struct {
	Tenant string `cbor:"1,keyasint"`
	// Number is the report's, Counted what the owner has counted of the node's requests.
	Number  uint64 `cbor:"2,keyasint"`
	Counted int64  `cbor:"3,keyasint"`
	// Available is how many more requests may run now, over all nodes, Part the node's part
	// of the demand.
	Available float64 `cbor:"4,keyasint"`
	Share     float64 `cbor:"5,keyasint"`
	// Allowed says that the request which waits may run; it is counted.
	Allowed bool `cbor:"6,keyasint,omitempty"`
}

// Allocator counts the requests of the tenants that this node owns. The zero value owns
// nothing yet. It is safe for concurrent use.
type Allocator struct {
	Tolerance Tolerance
	// Reachability, if set, tells which nodes may be serving a tenant by another owner.
	Reachability func(tenant string) Reachability

	mu        sync.Mutex
	tenants   map[string]*tenantEntry
	lastSweep time.Time
}

// Reachability is the part of a fleet that an owner cannot count for.
type Reachability struct {
	// Nodes is the number of all nodes.
	Nodes int
	// Unreachable are the names of nodes that do not answer this one and may serve by the
	// word of another owner, or alone.
	Unreachable []string
}

type tenantEntry struct {
	// nodes are those that have reported, by the session of the node.
	nodes map[string]*nodeUsage
	// ownedSince is when this node became the owner, allowed counts the requests that it has
	// let through for those who asked since, inherited is the least room that its
	// predecessor had as nodes tell, 0 if none does.
	ownedSince, lastReport time.Time
	granted, inherited     float64
}

// nodeUsage is what a node has told.
type nodeUsage struct {
	lastNumber uint64
	counted    int64
	// used counts the node's requests of the last window.
	used window
	// localBudget is the node's part of what it may use without asking.
	localBudget float64
	demand      float64
	// allowance is what the node's window may come to without another word as it told,
	// promised what answers that it has not confirmed would raise that to.
	allowance   float64
	outstanding []outstandingGrant
	// share is the node's share of the limit as it was told.
	share      float64
	lastReport time.Time
}

// outstandingGrant is what an answer lets a node's window come to without another word.
type outstandingGrant struct {
	number    uint64
	allowance float64
}

// recentTotal returns the number of requests of the last window that a report tells of.
func (r *Report) recentTotal() float64 {
	total := 0.0
	for _, count := range r.Recent[:min(len(r.Recent), numSpans)] {
		total += float64(count)
	}
	return total
}

// HandleReport takes in a report of a node's session. ok is false if it is older than what
// is known already.
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

// retireOtherSessions notes that earlier runs of a session's node are over: one run lives at a time.
func (a *Allocator) retireOtherSessions(entry *tenantEntry, session string) {
	for other, node := range entry.nodes {
		if other != session && lease.SameNode(other, session) {
			node.demand = 0
		}
	}
}

// available is how many more requests may run now.
func (a *Allocator) available(entry *tenantEntry, tenant string, limit Limit, now time.Time) float64 {
	capacity := a.Tolerance.capacity(limit)
	var view Reachability
	if a.Reachability != nil {
		view = a.Reachability(tenant)
	}
	equalShare := capacity / float64(max(1, view.Nodes))
	unreachable := map[string]bool{}
	for _, node := range view.Unreachable {
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

// assumedUse is what a node has let through in the last window. One that is silent is taken to
// have done what Gate.mayAlone lets it, until that has left the window.
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

// addOutstanding notes what the answer to a report lets a node do alone.
func (u *nodeUsage) addOutstanding(report Report, allowed bool) {
	allowance := report.recentTotal() + u.localBudget
	if allowed {
		allowance++
	}
	u.outstanding = append(u.outstanding, outstandingGrant{number: report.Number, allowance: allowance})
}

// confirmGrants takes in which answers a node has taken in.
func (u *nodeUsage) confirmGrants(report Report) {
	u.allowance = max(report.Allowance, report.recentTotal())
	u.outstanding = slices.DeleteFunc(u.outstanding, func(grant outstandingGrant) bool { return grant.number <= report.LastGrant })
}

// maxWithoutOwner is what a node's window may come to by any of the answers that it may hold.
func (u *nodeUsage) maxWithoutOwner() float64 {
	highest := u.allowance
	for _, grant := range u.outstanding {
		highest = max(highest, grant.allowance)
	}
	return highest
}

// allowedSilence is how long nothing need be heard of a node that can be reached.
func (u *nodeUsage) allowedSilence() time.Duration {
	if u.localBudget > 0 {
		return maxSilence
	}
	return min(maxSilence, minSilence+time.Duration(silenceRequests/u.demand*float64(time.Second)))
}

// addReport takes in what the node let through since its last report. If it has let through
// less than was counted, answers to it were lost, unless they are under way.
func (u *nodeUsage) addReport(report Report) {
	more := report.Admitted - u.counted
	switch {
	case more < 0 && report.Pending > 0:
		return
	case more < 0:
		u.used.removeNewest(float64(-more))
	default:
		// What a node that was silent let through longer ago than a window counts no more.
		u.used.add(min(float64(more), report.recentTotal()))
	}
	u.counted = report.Admitted
}

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

// hasTenants reports whether this node hasTenants for any tenant.
func (a *Allocator) hasTenants() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tenants) > 0
}

// sweep forgets tenants that nobody has reported for long. The caller holds mu.
func (a *Allocator) sweep(now time.Time) {
	a.lastSweep = now
	for name, entry := range a.tenants {
		// After a window nothing of it counts any more.
		if now.Sub(entry.lastReport) > forgetNodeAfter {
			delete(a.tenants, name)
		}
	}
}

// shareOf is a node's shareOf of the demand. Nodes that have fallen silent count for as long
// as they keep to the shareOf that they were told.
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
