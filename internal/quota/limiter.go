package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxGrantAge is the age up to which an answer tells how much room there is: two
	// reports that were answered late or not at all fit into it.
	maxGrantAge = time.Second
	// forgetTenantAfter is the pause after which a node drops a tenant.
	forgetTenantAfter = time.Minute
	// reportInterval is the time between two reports; reportLeast bounds those that are
	// made early because much was let through.
	reportInterval    = 500 * time.Millisecond
	minReportInterval = 30 * time.Millisecond
	// idleDemand, in requests a second, is not worth a report.
	idleDemand = 0.1
	// minRetryAfter and retryMost bound the time that a refused caller is told, and
	// retrySpread is the share of it by which callers are spread.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	retryJitter   = 0.5
)

// Limiter decides about requests at a node. Its fields are set before use.
type Limiter struct {
	Tolerance Tolerance
	// Nodes returns the number of nodes.
	Nodes func() int
	// WakeReporter, if set, is told that a report should be made soon. It must not block.
	WakeReporter func()

	mu       sync.Mutex
	accounts map[string]*account
	number   uint64
}

// account is what a node knows of a tenant.
type account struct {
	limit Limit
	// budget is what may be let through without asking, as of the last answer.
	budget float64
	// recent counts the requests let through in the last window, allowance is what it
	// may come to where the owner does not answer.
	recent    window
	allowance float64
	demand    meter
	// admitted counts the requests let through, counted those that an owner counted,
	// pending those that wait for its answer.
	admitted, counted, pending int64
	// share is the node's share of the demand as last told; roomy says that there was
	// much room then.
	share     float64
	localMode bool
	// available is all available as last told.
	available float64
	// grantedAt is when the owner answered last, granted the number of the report that it
	// answered; lastRequest is when the tenant last came.
	grantedAt, lastRequest time.Time
	grantNumber            uint64
	// reportedDemand is what the last report said.
	reportedDemand float64
	// reportedAt is when the last report was made.
	reportedAt time.Time
}

// TryAdmit decides about a request of a tenant if that can be done at once. If not, the
// owner is to be asked by the report; Settle or Alone then decides.
func (l *Limiter) TryAdmit(tenant string, limit Limit, now time.Time) (report Report, admitted bool) {
	if limit.Rate <= 0 {
		return Report{}, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	acct := l.account(tenant, limit, now)
	acct.demand.add(now)
	if acct.localModeAt(now) && acct.budget >= 1 {
		acct.budget--
		l.recordAdmission(acct)
		if acct.budget < 1 && now.Sub(acct.reportedAt) >= minReportInterval && l.WakeReporter != nil {
			l.WakeReporter()
		}
		return Report{}, true
	}
	acct.pending++
	return l.queryReport(tenant, acct, now), false
}

// RetryReport returns another report for a request whose first one was not answered.
func (l *Limiter) RetryReport(tenant string, now time.Time) (report Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acct := l.accounts[tenant]
	if acct == nil {
		return Report{}, false
	}
	return l.queryReport(tenant, acct, now), true
}

// queryReport makes a report for one of the requests that wait. The caller holds mu.
func (l *Limiter) queryReport(tenant string, acct *account, now time.Time) Report {
	report := l.newReport(tenant, acct, now)
	report.Query, report.Pending = true, acct.pending-1
	return report
}

// recordAdmission counts a request that is recordAdmission through. The caller holds mu.
func (l *Limiter) recordAdmission(acct *account) {
	acct.admitted++
	acct.recent.add(1)
}

// Decide decides by the owner's answer. Its error is a RefusalError.
func (l *Limiter) Decide(grant Grant, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	acct := l.accounts[grant.Tenant]
	if acct == nil {
		return &RefusalError{Tenant: grant.Tenant, GrantAge: -1, RetryAfter: maxRetryAfter}
	}
	acct.pending--
	if grant.Allowed {
		l.recordAdmission(acct)
	}
	l.applyGrant(acct, grant, now)
	if grant.Allowed {
		return nil
	}
	return acct.refusal(grant.Tenant, 1, (1-grant.Available)/acct.limit.Rate, now)
}

// DecideWithoutOwner decides where the owner does not answer, by this node's part of the demand.
func (l *Limiter) DecideWithoutOwner(tenant string, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	acct := l.accounts[tenant]
	if acct == nil {
		return &RefusalError{Tenant: tenant, GrantAge: -1, RetryAfter: maxRetryAfter}
	}
	acct.pending--
	share := acct.shareAt(l.nodes(), now)
	if l.mayAdmitWithoutOwner(acct, now) {
		l.recordAdmission(acct)
		return nil
	}
	return acct.refusal(tenant, share, 1/(share*acct.limit.Rate), now)
}

// mayAdmitWithoutOwner reports whether a request may run without an owner's word. For partKept after
// the last answer the node replaces what leaves its own window, and uses its part of
// what is not only given out to those who ask: the owner counts that. After it, the node
// has an equal part of the limit for soloKept, which the owner holds back. The node has
// one request in a window where no owner knows of it. The caller holds mu.
func (l *Limiter) mayAdmitWithoutOwner(acct *account, now time.Time) bool {
	return acct.recent.total+1 <= max(1, l.allowance(acct, now))
}

// allowance is what a node's window may come to without an owner's word. The caller
// holds mu.
func (l *Limiter) allowance(acct *account, now time.Time) float64 {
	switch age := acct.grantAge(now); {
	case age < 0 || age >= equalShareExpiry:
		return 0
	case age < shareExpiry:
		return acct.allowance
	}
	return l.Tolerance.capacity(acct.limit) / l.nodes()
}

func (a *account) refusal(tenant string, share, seconds float64, now time.Time) error {
	return &RefusalError{Tenant: tenant, Limit: a.limit, Share: share, GrantAge: a.grantAge(now), RetryAfter: retryAfter(seconds)}
}

// retryAfter spreads the callers who were refused together.
func retryAfter(seconds float64) time.Duration {
	wait := time.Duration(min(seconds, maxRetryAfter.Seconds()) * (1 + retryJitter*rand.Float64()) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Refund takes back that a request was let through: it did not run.
func (l *Limiter) Refund(tenant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if acct := l.accounts[tenant]; acct != nil {
		acct.admitted--
		acct.recent.removeNewest(1)
	}
}

func (l *Limiter) nodes() float64 {
	if l.Nodes == nil {
		return 1
	}
	return float64(max(1, l.Nodes()))
}

func (l *Limiter) account(tenant string, limit Limit, now time.Time) *account {
	if l.accounts == nil {
		l.accounts = map[string]*account{}
	}
	acct := l.accounts[tenant]
	if acct == nil {
		acct = &account{}
		l.accounts[tenant] = acct
	}
	if acct.limit != limit {
		// What was told is about another limit.
		acct.localMode = false
	}
	acct.lastRequest, acct.limit = now, limit
	acct.recent.advance(l.Tolerance.window(), now)
	return acct
}

// localModeAt reports whether there was much room a moment ago.
func (a *account) localModeAt(now time.Time) bool {
	return a.localMode && now.Sub(a.grantedAt) < maxGrantAge
}

// shareAt is the node's part of the demand as told, or an equal one.
func (a *account) shareAt(nodes float64, now time.Time) float64 {
	if !a.grantedAt.IsZero() && now.Sub(a.grantedAt) < shareExpiry {
		return a.share
	}
	return 1 / nodes
}

func (a *account) grantAge(now time.Time) time.Duration {
	if a.grantedAt.IsZero() {
		return -1
	}
	return now.Sub(a.grantedAt)
}

// prepareFinalReports makes all tenants due for a last report, without demand.
func (l *Limiter) prepareFinalReports() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, acct := range l.accounts {
		acct.demand, acct.reportedAt, acct.reportedDemand = meter{}, time.Time{}, max(acct.reportedDemand, idleDemand)
	}
}

// DueReports returns the reports that are to be made now.
func (l *Limiter) DueReports(now time.Time) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []Report
	for tenant, acct := range l.accounts {
		switch {
		case now.Sub(acct.lastRequest) > forgetTenantAfter:
			delete(l.accounts, tenant)
		case l.reportDue(acct, now):
			due = append(due, l.newReport(tenant, acct, now))
		}
	}
	return due
}

// newReport makes a newReport of a tenant. The caller holds mu.
func (l *Limiter) newReport(tenant string, acct *account, now time.Time) Report {
	l.number++
	acct.recent.advance(l.Tolerance.window(), now)
	acct.reportedAt, acct.reportedDemand = now, acct.reportableDemand(now)
	return Report{
		Tenant: tenant, Number: l.number, Admitted: acct.admitted,
		Recent: acct.recent.spanCounts(), Available: acct.availableAt(now), Demand: acct.reportedDemand, Pending: acct.pending,
		Allowance: l.allowance(acct, now), LastGrant: acct.grantNumber,
	}
}

// availableAt is the room that the owner told a moment ago; 0 if it did not.
func (a *account) availableAt(now time.Time) float64 {
	if a.grantedAt.IsZero() || now.Sub(a.grantedAt) >= maxGrantAge {
		return 0
	}
	return max(0, a.available)
}

// reportableDemand is the demand that is worth a report; once there is none the last report
// says so.
func (a *account) reportableDemand(now time.Time) float64 {
	if demand := a.demand.value(now); demand >= idleDemand {
		return demand
	}
	return 0
}

func (l *Limiter) reportDue(acct *account, now time.Time) bool {
	if acct.admitted == acct.counted && acct.reportableDemand(now) == 0 && acct.reportedDemand == 0 {
		return false
	}
	age := now.Sub(acct.reportedAt)
	return age >= reportInterval || (age >= minReportInterval && acct.localMode && acct.budget < 1)
}

// RecordGrant takes in an owner's answer to a report that nobody waits for.
func (l *Limiter) RecordGrant(grant Grant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if acct := l.accounts[grant.Tenant]; acct != nil {
		l.applyGrant(acct, grant, now)
	}
}

// applyGrant takes in what an answer tells, unless a later one has come. The caller holds mu.
func (l *Limiter) applyGrant(acct *account, grant Grant, now time.Time) {
	if grant.Number <= acct.grantNumber || !validGrant(grant) {
		return
	}
	acct.grantNumber, acct.grantedAt, acct.counted = grant.Number, now, grant.Counted
	acct.share = min(1, grant.Share)
	acct.available = grant.Available
	localBudget := max(0, grant.Available-reservedShare*l.Tolerance.capacity(acct.limit)) * acct.share
	acct.localMode = localBudget > 0
	acct.recent.advance(l.Tolerance.window(), now)
	uncounted := float64(acct.admitted - grant.Counted)
	acct.budget = localBudget - uncounted
	acct.allowance = acct.recent.total + max(0, acct.budget)
}

// validGrant reports whether an answer of another process can be taken.
func validGrant(grant Grant) bool {
	return grant.Share >= 0 && !math.IsNaN(grant.Available) && !math.IsInf(grant.Available, 0)
}

// TenantUsage is a tenant's use of its limit as a node sees it.
type TenantUsage struct {
	Tenant string
	Limit  Limit
	// Demand is in requests a second, at this node.
	Demand   float64
	Admitted int64
	Share    float64
	GrantAge time.Duration
}

// Usage returns the tenants seen of late.
func (l *Limiter) Usage(now time.Time) []TenantUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := make([]TenantUsage, 0, len(l.accounts))
	for tenant, acct := range l.accounts {
		usage = append(usage, TenantUsage{
			Tenant: tenant, Limit: acct.limit, Demand: acct.demand.value(now), Admitted: acct.admitted,
			Share: acct.shareAt(l.nodes(), now), GrantAge: acct.grantAge(now),
		})
	}
	return usage
}
