package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// toldFresh is the age up to which an answer tells how much room there is: two
	// reports that were answered late or not at all fit into it.
	toldFresh = time.Second
	// forgetAfter is the pause after which a node drops a tenant.
	forgetAfter = time.Minute
	// reportEvery is the time between two reports; reportLeast bounds those that are
	// made early because much was let through.
	reportEvery = 500 * time.Millisecond
	reportLeast = 30 * time.Millisecond
	// idleDemand, in requests a second, is not worth a report.
	idleDemand = 0.1
	// retryLeast and retryMost bound the time that a refused caller is told, and
	// retrySpread is the share of it by which callers are spread.
	retryLeast  = 50 * time.Millisecond
	retryMost   = 5 * time.Second
	retrySpread = 0.5
)

// Gate decides about requests at a node. Its fields are set before use.
type Gate struct {
	Tolerance Tolerance
	// Nodes returns the number of nodes.
	Nodes func() int
	// Urgent, if set, is told that a report should be made soon. It must not block.
	Urgent func()

	mu       sync.Mutex
	accounts map[string]*account
	number   uint64
}

// account is what a node knows of a tenant.
type account struct {
	limit Limit
	// spare is what may be let through without asking, as of the last answer.
	spare float64
	// recent counts the requests let through in the last window, allowance is what it
	// may come to where the owner does not answer.
	recent    window
	allowance float64
	demand    meter
	// admitted counts the requests let through, counted those that an owner counted,
	// asking those that wait for its answer.
	admitted, counted, asking int64
	// part is the node's part of the demand as last told; roomy says that there was
	// much room then.
	part  float64
	roomy bool
	// room is all room as last told.
	room float64
	// told is when the owner answered last, granted the number of the report that it
	// answered; seen is when the tenant last came.
	told, seen time.Time
	granted    uint64
	// reportedDemand is what the last report said.
	reportedDemand float64
	// reported is when the last report was made.
	reported time.Time
}

// Begin decides about a request of a tenant if that can be done at once. If not, the
// owner is to be asked by the report; Settle or Alone then decides.
func (g *Gate) Begin(tenant string, limit Limit, now time.Time) (report Report, admitted bool) {
	if limit.Rate <= 0 {
		return Report{}, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.account(tenant, limit, now)
	known.demand.add(now)
	if known.roomyAt(now) && known.spare >= 1 {
		known.spare--
		g.let(known)
		if known.spare < 1 && now.Sub(known.reported) >= reportLeast && g.Urgent != nil {
			g.Urgent()
		}
		return Report{}, true
	}
	known.asking++
	return g.ask(tenant, known, now), false
}

// Again returns another report for a request whose first one was not answered.
func (g *Gate) Again(tenant string, now time.Time) (report Report, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.accounts[tenant]
	if known == nil {
		return Report{}, false
	}
	return g.ask(tenant, known, now), true
}

// ask makes a report for one of the requests that wait. The caller holds mu.
func (g *Gate) ask(tenant string, known *account, now time.Time) Report {
	report := g.report(tenant, known, now)
	report.Asks, report.Asking = true, known.asking-1
	return report
}

// let counts a request that is let through. The caller holds mu.
func (g *Gate) let(known *account) {
	known.admitted++
	known.recent.add(1)
}

// Settle decides by the owner's answer. Its error is a RefusalError.
func (g *Gate) Settle(grant Grant, now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.accounts[grant.Tenant]
	if known == nil {
		return &RefusalError{Tenant: grant.Tenant, ToldAge: -1, RetryAfter: retryMost}
	}
	known.asking--
	if grant.Allowed {
		g.let(known)
	}
	g.learn(known, grant, now)
	if grant.Allowed {
		return nil
	}
	return known.refusal(grant.Tenant, 1, (1-grant.Room)/known.limit.Rate, now)
}

// Alone decides where the owner does not answer, by this node's part of the demand.
func (g *Gate) Alone(tenant string, now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.accounts[tenant]
	if known == nil {
		return &RefusalError{Tenant: tenant, ToldAge: -1, RetryAfter: retryMost}
	}
	known.asking--
	part := known.partAt(g.nodes(), now)
	if g.mayAlone(known, now) {
		g.let(known)
		return nil
	}
	return known.refusal(tenant, part, 1/(part*known.limit.Rate), now)
}

// mayAlone reports whether a request may run without an owner's word. For partKept after
// the last answer the node replaces what leaves its own window, and uses its part of
// what is not only given out to those who ask: the owner counts that. After it, the node
// has an equal part of the limit for soloKept, which the owner holds back. The node has
// one request in a window where no owner knows of it. The caller holds mu.
func (g *Gate) mayAlone(known *account, now time.Time) bool {
	return known.recent.total+1 <= max(1, g.allowance(known, now))
}

// allowance is what a node's window may come to without an owner's word. The caller
// holds mu.
func (g *Gate) allowance(known *account, now time.Time) float64 {
	switch age := known.toldAge(now); {
	case age < 0 || age >= soloKept:
		return 0
	case age < partKept:
		return known.allowance
	}
	return g.Tolerance.capacity(known.limit) / g.nodes()
}

func (a *account) refusal(tenant string, part, seconds float64, now time.Time) error {
	return &RefusalError{Tenant: tenant, Limit: a.limit, Part: part, ToldAge: a.toldAge(now), RetryAfter: retryAfter(seconds)}
}

// retryAfter spreads the callers who were refused together.
func retryAfter(seconds float64) time.Duration {
	wait := time.Duration(min(seconds, retryMost.Seconds()) * (1 + retrySpread*rand.Float64()) * float64(time.Second))
	return min(max(wait, retryLeast), retryMost)
}

// GiveBack takes back that a request was let through: it did not run.
func (g *Gate) GiveBack(tenant string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.accounts[tenant]; known != nil {
		known.admitted--
		known.recent.takeBack(1)
	}
}

func (g *Gate) nodes() float64 {
	if g.Nodes == nil {
		return 1
	}
	return float64(max(1, g.Nodes()))
}

func (g *Gate) account(tenant string, limit Limit, now time.Time) *account {
	if g.accounts == nil {
		g.accounts = map[string]*account{}
	}
	known := g.accounts[tenant]
	if known == nil {
		known = &account{}
		g.accounts[tenant] = known
	}
	if known.limit != limit {
		// What was told is about another limit.
		known.roomy = false
	}
	known.seen, known.limit = now, limit
	known.recent.advance(g.Tolerance.window(), now)
	return known
}

// roomyAt reports whether there was much room a moment ago.
func (a *account) roomyAt(now time.Time) bool { return a.roomy && now.Sub(a.told) < toldFresh }

// partAt is the node's part of the demand as told, or an equal one.
func (a *account) partAt(nodes float64, now time.Time) float64 {
	if !a.told.IsZero() && now.Sub(a.told) < partKept {
		return a.part
	}
	return 1 / nodes
}

func (a *account) toldAge(now time.Time) time.Duration {
	if a.told.IsZero() {
		return -1
	}
	return now.Sub(a.told)
}

// leave makes all tenants due for a last report, without demand.
func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, known := range g.accounts {
		known.demand, known.reported, known.reportedDemand = meter{}, time.Time{}, max(known.reportedDemand, idleDemand)
	}
}

// Due returns the reports that are to be made now.
func (g *Gate) Due(now time.Time) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []Report
	for tenant, known := range g.accounts {
		switch {
		case now.Sub(known.seen) > forgetAfter:
			delete(g.accounts, tenant)
		case g.dueAt(known, now):
			due = append(due, g.report(tenant, known, now))
		}
	}
	return due
}

// report makes a report of a tenant. The caller holds mu.
func (g *Gate) report(tenant string, known *account, now time.Time) Report {
	g.number++
	known.recent.advance(g.Tolerance.window(), now)
	known.reported, known.reportedDemand = now, known.demandAt(now)
	return Report{
		Tenant: tenant, Number: g.number, Admitted: known.admitted,
		Recent: known.recent.spans(), Room: known.roomAt(now), Demand: known.reportedDemand, Asking: known.asking,
		Allowance: g.allowance(known, now), Granted: known.granted,
	}
}

// roomAt is the room that the owner told a moment ago; 0 if it did not.
func (a *account) roomAt(now time.Time) float64 {
	if a.told.IsZero() || now.Sub(a.told) >= toldFresh {
		return 0
	}
	return max(0, a.room)
}

// demandAt is the demand that is worth a report; once there is none the last report
// says so.
func (a *account) demandAt(now time.Time) float64 {
	if demand := a.demand.value(now); demand >= idleDemand {
		return demand
	}
	return 0
}

func (g *Gate) dueAt(known *account, now time.Time) bool {
	if known.admitted == known.counted && known.demandAt(now) == 0 && known.reportedDemand == 0 {
		return false
	}
	age := now.Sub(known.reported)
	return age >= reportEvery || (age >= reportLeast && known.roomy && known.spare < 1)
}

// Granted takes in an owner's answer to a report that nobody waits for.
func (g *Gate) Granted(grant Grant, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.accounts[grant.Tenant]; known != nil {
		g.learn(known, grant, now)
	}
}

// learn takes in what an answer tells, unless a later one has come. The caller holds mu.
func (g *Gate) learn(known *account, grant Grant, now time.Time) {
	if grant.Number <= known.granted || !sane(grant) {
		return
	}
	known.granted, known.told, known.counted = grant.Number, now, grant.Counted
	known.part = min(1, grant.Part)
	known.room = grant.Room
	above := max(0, grant.Room-asked*g.Tolerance.capacity(known.limit)) * known.part
	known.roomy = above > 0
	known.recent.advance(g.Tolerance.window(), now)
	uncounted := float64(known.admitted - grant.Counted)
	known.spare = above - uncounted
	known.allowance = known.recent.total + max(0, known.spare)
}

// sane reports whether an answer of another process can be taken.
func sane(grant Grant) bool {
	return grant.Part >= 0 && !math.IsNaN(grant.Room) && !math.IsInf(grant.Room, 0)
}

// Use is a tenant's use of its limit as a node sees it.
type Use struct {
	Tenant string
	Limit  Limit
	// Demand is in requests a second, at this node.
	Demand   float64
	Admitted int64
	Part     float64
	ToldAge  time.Duration
}

// Uses returns the tenants seen of late.
func (g *Gate) Uses(now time.Time) []Use {
	g.mu.Lock()
	defer g.mu.Unlock()
	uses := make([]Use, 0, len(g.accounts))
	for tenant, known := range g.accounts {
		uses = append(uses, Use{
			Tenant: tenant, Limit: known.limit, Demand: known.demand.value(now), Admitted: known.admitted,
			Part: known.partAt(g.nodes(), now), ToldAge: known.toldAge(now),
		})
	}
	return uses
}
