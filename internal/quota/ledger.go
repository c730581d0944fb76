package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/lease"
)

const (
	// partKept is how long a part that was told holds without another word: as long as a
	// lost session is waited for. A node that dies holds its part back from others until
	// that would have left the window, or until its next run reports.
	partKept = 3 * time.Second
	// soloKept is how long a node that was told a part once goes on alone with an equal
	// part of the limit, without another word: as long as cuts of nodes have been seen
	// to last (12 s). An owner holds that part back for as long.
	soloKept = 4 * partKept
	// forgetNode is the silence after which nothing of a node's counts any more: what it
	// let through alone has left all windows.
	forgetNode = 2 * soloKept
	// asked is the share of the capacity that is given out to those who ask only; what
	// is above it, nodes use by their parts without asking.
	asked = 0.5
	// hearing is how long a new owner waits to hear from all nodes, which report each
	// half second. Until then it lets through what the owner before it had room for, or
	// half of what tolerance is left.
	hearing = 800 * time.Millisecond
	// silentAfter is how long a node that has requests may be silent before it is taken
	// to decide alone: one report and a late answer. One with many requests, which asks
	// for each, is after silentLeast and the time of silentRequests of them.
	silentAfter    = 650 * time.Millisecond
	silentLeast    = 200 * time.Millisecond
	silentRequests = 3
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
	// Room is what an owner told a moment ago; 0 if none did.
	Room float64 `cbor:"8,keyasint,omitempty"`
	// Demand is the rate of requests that came, refused ones included, per second.
	Demand float64 `cbor:"5,keyasint"`
	// Asks says that one more request waits for the answer, Asking how many others of
	// the node do.
	Asks   bool  `cbor:"6,keyasint,omitempty"`
	Asking int64 `cbor:"7,keyasint,omitempty"`
	// Allowance is what the node's own window may come to without another word, as the
	// answer to the report with the number Granted told it.
	Allowance float64 `cbor:"9,keyasint,omitempty"`
	Granted   uint64  `cbor:"10,keyasint,omitempty"`
}

// Grant is the owner's answer.
type Grant struct {
	Tenant string `cbor:"1,keyasint"`
	// Number is the report's, Counted what the owner has counted of the node's requests.
	Number  uint64 `cbor:"2,keyasint"`
	Counted int64  `cbor:"3,keyasint"`
	// Room is how many more requests may run now, over all nodes, Part the node's part
	// of the demand.
	Room float64 `cbor:"4,keyasint"`
	Part float64 `cbor:"5,keyasint"`
	// Allowed says that the request which waits may run; it is counted.
	Allowed bool `cbor:"6,keyasint,omitempty"`
}

// Ledger counts the requests of the tenants that this node owns. The zero value owns
// nothing yet. It is safe for concurrent use.
type Ledger struct {
	Tolerance Tolerance
	// Outside, if set, tells which nodes may be serving a tenant by another owner.
	Outside func(tenant string) Outside

	mu      sync.Mutex
	tenants map[string]*ledgerEntry
	swept   time.Time
}

// Outside is the part of a fleet that an owner cannot count for.
type Outside struct {
	// Nodes is the number of all nodes.
	Nodes int
	// Unheard are the names of nodes that do not answer this one and may serve by the
	// word of another owner, or alone.
	Unheard []string
}

type ledgerEntry struct {
	// nodes are those that have reported, by the session of the node.
	nodes map[string]*usage
	// begun is when this node became the owner, allowed counts the requests that it has
	// let through for those who asked since, inherited is the least room that its
	// predecessor had as nodes tell, 0 if none does.
	begun, heard       time.Time
	allowed, inherited float64
}

// usage is what a node has told.
type usage struct {
	number  uint64
	counted int64
	// used counts the node's requests of the last window.
	used window
	// above is the node's part of what it may use without asking.
	above  float64
	demand float64
	// allowance is what the node's window may come to without another word as it told,
	// promised what answers that it has not confirmed would raise that to.
	allowance float64
	promised  []promise
	// part is the node's part of the limit as it was told.
	part  float64
	heard time.Time
}

// promise is what an answer lets a node's window come to without another word.
type promise struct {
	number    uint64
	allowance float64
}

// recent returns the number of requests of the last window that a report tells of.
func (r *Report) recent() float64 {
	total := 0.0
	for _, count := range r.Recent[:min(len(r.Recent), spans)] {
		total += float64(count)
	}
	return total
}

// Report takes in a report of a node's session. ok is false if it is older than what
// is known already.
func (l *Ledger) Report(session string, report Report, limit Limit, now time.Time) (grant Grant, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entry(report.Tenant, now)
	known := entry.nodes[session]
	if known == nil {
		known = &usage{counted: report.Admitted}
		known.used.advance(l.Tolerance.window(), now)
		known.used.takeSpans(report.Recent)
		entry.nodes[session] = known
		if now.Sub(entry.begun) < hearing && report.Room > 0 && (entry.inherited == 0 || report.Room < entry.inherited) {
			entry.inherited = report.Room
		}
	}
	if report.Number <= known.number {
		return Grant{}, false
	}
	entry.heard = now
	known.used.advance(l.Tolerance.window(), now)
	known.count(report)
	known.number, known.demand, known.heard = report.Number, report.Demand, now
	known.confirm(report)
	l.replace(entry, session)
	allowed := report.Asks && l.room(entry, report.Tenant, limit, now) >= 1
	if allowed {
		known.used.add(1)
		known.counted++
		entry.allowed++
	}
	room := l.room(entry, report.Tenant, limit, now)
	known.part = entry.part(known, now)
	known.above = max(0, room-asked*l.Tolerance.capacity(limit)) * known.part
	known.promise(report, allowed)
	return Grant{
		Tenant: report.Tenant, Number: report.Number, Counted: known.counted,
		Room: room, Part: known.part, Allowed: allowed,
	}, true
}

// replace notes that earlier runs of a session's node are over: one run lives at a time.
func (l *Ledger) replace(entry *ledgerEntry, session string) {
	for other, usage := range entry.nodes {
		if other != session && lease.SameNode(other, session) {
			usage.demand = 0
		}
	}
}

// room is how many more requests may run now.
func (l *Ledger) room(entry *ledgerEntry, tenant string, limit Limit, now time.Time) float64 {
	capacity := l.Tolerance.capacity(limit)
	var outside Outside
	if l.Outside != nil {
		outside = l.Outside(tenant)
	}
	solo := capacity / float64(max(1, outside.Nodes))
	unheard := map[string]bool{}
	for _, node := range outside.Unheard {
		unheard[node] = true
	}
	room := capacity
	for session, node := range entry.nodes {
		used := l.used(node, solo, now)
		if name := lease.Node(session); unheard[name] {
			used = max(used, solo)
			delete(unheard, name)
		}
		room -= used
	}
	room -= solo * float64(len(unheard))
	if now.Sub(entry.begun) < hearing {
		first := entry.inherited
		if first == 0 {
			first = max(1, (1-toleranceShare)*l.Tolerance.beyond(limit)/2)
		}
		room = min(room, first-entry.allowed)
	}
	return room
}

// used is what a node has let through in the last window. One that is silent is taken to
// have done what Gate.mayAlone lets it, until that has left the window.
func (l *Ledger) used(node *usage, solo float64, now time.Time) float64 {
	node.used.advance(l.Tolerance.window(), now)
	silent := now.Sub(node.heard)
	window := l.Tolerance.window() + silentAfter
	switch {
	case node.demand == 0 || silent <= node.mayBeSilent():
		return node.used.total
	case silent < partKept+window:
		return max(node.used.total, node.mostAlone(), solo)
	case silent < soloKept+window:
		return max(node.used.total, solo)
	}
	return node.used.total
}

// promise notes what the answer to a report lets a node do alone.
func (u *usage) promise(report Report, allowed bool) {
	most := report.recent() + u.above
	if allowed {
		most++
	}
	u.promised = append(u.promised, promise{number: report.Number, allowance: most})
}

// confirm takes in which answers a node has taken in.
func (u *usage) confirm(report Report) {
	u.allowance = max(report.Allowance, report.recent())
	u.promised = slices.DeleteFunc(u.promised, func(one promise) bool { return one.number <= report.Granted })
}

// mostAlone is what a node's window may come to by any of the answers that it may hold.
func (u *usage) mostAlone() float64 {
	most := u.allowance
	for _, one := range u.promised {
		most = max(most, one.allowance)
	}
	return most
}

// mayBeSilent is how long nothing need be heard of a node that can be reached.
func (u *usage) mayBeSilent() time.Duration {
	if u.above > 0 {
		return silentAfter
	}
	return min(silentAfter, silentLeast+time.Duration(silentRequests/u.demand*float64(time.Second)))
}

// count takes in what the node let through since its last report. If it has let through
// less than was counted, answers to it were lost, unless they are under way.
func (u *usage) count(report Report) {
	more := report.Admitted - u.counted
	switch {
	case more < 0 && report.Asking > 0:
		return
	case more < 0:
		u.used.takeBack(float64(-more))
	default:
		// What a node that was silent let through longer ago than a window counts no more.
		u.used.add(min(float64(more), report.recent()))
	}
	u.counted = report.Admitted
}

func (l *Ledger) entry(tenant string, now time.Time) *ledgerEntry {
	if l.tenants == nil {
		l.tenants = map[string]*ledgerEntry{}
	}
	if now.Sub(l.swept) > forgetNode {
		l.sweep(now)
	}
	entry := l.tenants[tenant]
	if entry == nil {
		entry = &ledgerEntry{nodes: map[string]*usage{}, begun: now}
		l.tenants[tenant] = entry
	}
	return entry
}

// counts reports whether this node counts for any tenant.
func (l *Ledger) counts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tenants) > 0
}

// sweep forgets tenants that nobody has reported for long. The caller holds mu.
func (l *Ledger) sweep(now time.Time) {
	l.swept = now
	for name, entry := range l.tenants {
		// After a window nothing of it counts any more.
		if now.Sub(entry.heard) > forgetNode {
			delete(l.tenants, name)
		}
	}
}

// part is a node's part of the demand. Nodes that have fallen silent count for as long
// as they keep to the part that they were told.
func (e *ledgerEntry) part(node *usage, now time.Time) float64 {
	total := 0.0
	for session, other := range e.nodes {
		switch silent := now.Sub(other.heard); {
		case silent > forgetNode:
			delete(e.nodes, session)
		case silent <= partKept:
			total += other.demand
		}
	}
	if total <= 0 {
		return 1 / float64(len(e.nodes))
	}
	return node.demand / total
}
