package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxGrantAge is how long the available capacity in a grant is used. It covers two reports
	// whose grants are late or lost.
	maxGrantAge = time.Second
	// forgetTenantAfter is the time without requests after which a node drops a tenant.
	forgetTenantAfter = time.Minute
	reportInterval    = 500 * time.Millisecond
	// minReportInterval is the interval for reports that are sent early because the local budget
	// is used up.
	minReportInterval = 30 * time.Millisecond
	// idleDemand is the rate, in requests per second, below which demand is reported as zero.
	idleDemand = 0.1
	// minRetryAfter and maxRetryAfter bound RefusalError.RetryAfter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryJitter is the maximum random increase of a retry delay, as a fraction of it.
	retryJitter = 0.5
)

// Limiter admits requests at one node, within the grants of the tenants' owners. The exported
// fields must be set before use. It is safe for concurrent use.
type Limiter struct {
	Tolerance Tolerance
	// Nodes returns the number of nodes in the fleet.
	Nodes func() int
	// WakeReporter, if set, is called when a report should be sent soon. It must not block.
	WakeReporter func()

	mu       sync.Mutex
	accounts map[string]*account
	// number is the number of the last report, origin the time of the first.
	number uint64
	origin time.Time
}

// account is the state of one tenant at this node.
type account struct {
	limit Limit
	// budget is the number of requests that may still be admitted without a query.
	budget float64
	// recent counts the requests admitted in the last window.
	recent window
	// allowance is the total that recent may reach while the owner does not answer.
	allowance float64
	demand    meter
	// admitted counts the requests admitted, counted those of them that the owner has counted,
	// pending the requests that wait for a grant.
	admitted, counted, pending int64
	// share is the node's share of the tenant's demand in the last grant.
	share float64
	// localMode reports whether the last grant allowed requests without a query.
	localMode bool
	// available is the fleet-wide available capacity in the last grant.
	available float64
	// grantedAt is the time of the report that the last grant answers, lastRequest that of the last request.
	grantedAt, lastRequest time.Time
	// grantNumber is the report number of the last grant.
	grantNumber uint64
	// reportedDemand is the demand in the last report.
	reportedDemand float64
	// reportedAt is the time of the last report.
	reportedAt time.Time
}

// TryAdmit admits a request of a tenant if the local budget allows it or the tenant has no limit.
// Otherwise the caller must send the returned report to the owner, and then call Decide with the
// grant, or DecideWithoutOwner if there is none.
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

// RetryReport returns another report for a request whose first report was not answered in time.
// ok is false if the tenant is not known.
func (l *Limiter) RetryReport(tenant string, now time.Time) (report Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acct := l.accounts[tenant]
	if acct == nil {
		return Report{}, false
	}
	return l.queryReport(tenant, acct, now), true
}

// queryReport returns a report that queries the owner for one pending request. The caller holds
// mu.
func (l *Limiter) queryReport(tenant string, acct *account, now time.Time) Report {
	report := l.newReport(tenant, acct, now)
	report.Query, report.Pending = true, acct.pending-1
	return report
}

// recordAdmission counts an admitted request. The caller holds mu.
func (l *Limiter) recordAdmission(acct *account) {
	acct.admitted++
	acct.recent.add(1)
}

// Decide admits a pending request if grant allows it, or returns a RefusalError.
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

// DecideWithoutOwner decides about a pending request whose owner does not answer, by this node's
// allowance. It returns a RefusalError if the request is not admitted.
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

// mayAdmitWithoutOwner reports whether a request may run without a grant. For shareExpiry after
// the last grant, the node may replace the requests that leave its window and use its share of
// the unreserved capacity; the owner accounts for both. After that, until equalShareExpiry, it may
// use an equal share of the limit, which the owner reserves. In any case it may admit one request
// per window. The caller holds mu.
func (l *Limiter) mayAdmitWithoutOwner(acct *account, now time.Time) bool {
	return acct.recent.total+1 <= max(1, l.allowance(acct, now))
}

// allowance returns the number of requests that the node may admit in a window without another
// grant. The caller holds mu.
func (l *Limiter) allowance(acct *account, now time.Time) float64 {
	switch age := acct.grantAge(now); {
	case age < 0 || age >= equalShareExpiry:
		return 0
	case age < shareExpiry:
		return acct.allowance
	}
	return l.Tolerance.capacity(acct.limit) / l.nodes()
}

// refusal returns a RefusalError for a tenant that has capacity again after the given seconds.
func (a *account) refusal(tenant string, share, seconds float64, now time.Time) error {
	return &RefusalError{Tenant: tenant, Limit: a.limit, Share: share, GrantAge: a.grantAge(now), RetryAfter: retryAfter(seconds)}
}

// retryAfter returns a retry delay of about the given seconds. It adds jitter, so that callers
// refused at the same time do not retry together.
func retryAfter(seconds float64) time.Duration {
	wait := time.Duration(min(seconds, maxRetryAfter.Seconds()) * (1 + retryJitter*rand.Float64()) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Refund uncounts an admitted request that did not run.
func (l *Limiter) Refund(tenant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if acct := l.accounts[tenant]; acct != nil {
		acct.admitted--
		acct.recent.removeNewest(1)
	}
}

// nodes returns the number of nodes, at least one.
func (l *Limiter) nodes() float64 {
	if l.Nodes == nil {
		return 1
	}
	return float64(max(1, l.Nodes()))
}

// account returns the tenant's account, with limit and window updated. The caller holds mu.
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
		// The last grant was computed for another limit.
		acct.localMode = false
	}
	acct.lastRequest, acct.limit = now, limit
	acct.recent.advance(l.Tolerance.window(), now)
	return acct
}

// localModeAt reports whether a recent grant allows requests without a query.
func (a *account) localModeAt(now time.Time) bool {
	return a.localMode && now.Sub(a.grantedAt) < maxGrantAge
}

// shareAt returns the share in the last grant, or an equal share if the grant has expired.
func (a *account) shareAt(nodes float64, now time.Time) float64 {
	if !a.grantedAt.IsZero() && now.Sub(a.grantedAt) < shareExpiry {
		return a.share
	}
	return 1 / nodes
}

// grantAge returns the time since the last grant, or -1 if there was none.
func (a *account) grantAge(now time.Time) time.Duration {
	if a.grantedAt.IsZero() {
		return -1
	}
	return now.Sub(a.grantedAt)
}

// prepareFinalReports makes a final report with no demand due for every tenant.
func (l *Limiter) prepareFinalReports() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, acct := range l.accounts {
		acct.demand, acct.reportedAt, acct.reportedDemand = meter{}, time.Time{}, max(acct.reportedDemand, idleDemand)
	}
}

// DueReports returns the reports that are due, and drops tenants without recent requests.
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

// newReport returns the next report for a tenant. The caller holds mu.
func (l *Limiter) newReport(tenant string, acct *account, now time.Time) Report {
	l.number = l.nextNumber(now)
	acct.recent.advance(l.Tolerance.window(), now)
	acct.reportedAt, acct.reportedDemand = now, acct.reportableDemand(now)
	return Report{
		Tenant: tenant, Number: l.number, Admitted: acct.admitted,
		Recent: acct.recent.spanCounts(), Available: acct.availableAt(now), Demand: acct.reportedDemand, Pending: acct.pending,
		Allowance: l.allowance(acct, now), LastGrant: acct.grantNumber,
	}
}

// nextNumber returns the number of the next report: the nanoseconds since the first one, so that a grant
// tells the time of the report that it answers. The caller holds mu.
func (l *Limiter) nextNumber(now time.Time) uint64 {
	if l.origin.IsZero() {
		l.origin = now
	}
	return max(l.number+1, uint64(max(0, now.Sub(l.origin))))
}

// reportedAt returns the time of a report. The caller holds mu.
func (l *Limiter) reportedAt(number uint64, now time.Time) time.Time {
	since := now.Sub(l.origin)
	if since < 0 || number > uint64(since) {
		return now
	}
	return l.origin.Add(time.Duration(number))
}

// availableAt returns the available capacity in the last grant, or 0 if that is too old.
func (a *account) availableAt(now time.Time) float64 {
	if a.grantedAt.IsZero() || now.Sub(a.grantedAt) >= maxGrantAge {
		return 0
	}
	return max(0, a.available)
}

// reportableDemand returns the demand, or 0 if it is below idleDemand.
func (a *account) reportableDemand(now time.Time) float64 {
	if demand := a.demand.rate(now); demand >= idleDemand {
		return demand
	}
	return 0
}

// reportDue reports whether a report is due. An idle tenant is reported once more with no demand.
// The caller holds mu.
func (l *Limiter) reportDue(acct *account, now time.Time) bool {
	if acct.admitted == acct.counted && acct.reportableDemand(now) == 0 && acct.reportedDemand == 0 {
		return false
	}
	age := now.Sub(acct.reportedAt)
	return age >= reportInterval || (age >= minReportInterval && acct.localMode && acct.budget < 1)
}

// RecordGrant applies a grant that no request waits for.
func (l *Limiter) RecordGrant(grant Grant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if acct := l.accounts[grant.Tenant]; acct != nil {
		l.applyGrant(acct, grant, now)
	}
}

// applyGrant updates acct from a grant. It ignores invalid grants and those older than the last
// one. A grant counts as of its report: the owner may have granted the same capacity to others before a
// late grant arrives. The caller holds mu.
func (l *Limiter) applyGrant(acct *account, grant Grant, now time.Time) {
	if grant.Number <= acct.grantNumber || !validGrant(grant) {
		return
	}
	acct.grantNumber, acct.grantedAt, acct.counted = grant.Number, l.reportedAt(grant.Number, now), grant.Counted
	acct.share = min(1, grant.Share)
	acct.available = grant.Available
	localBudget := max(0, grant.Available-reservedShare*l.Tolerance.capacity(acct.limit)) * acct.share
	acct.localMode = localBudget > 0
	acct.recent.advance(l.Tolerance.window(), now)
	uncounted := float64(acct.admitted - grant.Counted)
	acct.budget = localBudget - uncounted
	acct.allowance = acct.recent.total + max(0, acct.budget)
}

// validGrant reports whether the values of a received grant are in range.
func validGrant(grant Grant) bool {
	return grant.Share >= 0 && !math.IsNaN(grant.Available) && !math.IsInf(grant.Available, 0)
}

// TenantUsage describes how a tenant uses its limit at one node.
type TenantUsage struct {
	Tenant string
	Limit  Limit
	// Demand is the rate of requests at this node per second, including refused ones.
	Demand float64
	// Admitted is the number of requests admitted at this node.
	Admitted int64
	// Share is this node's share of the limit.
	Share float64
	// GrantAge is the time since the owner's last grant, negative if there was none.
	GrantAge time.Duration
}

// Usage returns the usage of all tenants with recent requests, in no particular order.
func (l *Limiter) Usage(now time.Time) []TenantUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := make([]TenantUsage, 0, len(l.accounts))
	for tenant, acct := range l.accounts {
		usage = append(usage, TenantUsage{
			Tenant: tenant, Limit: acct.limit, Demand: acct.demand.rate(now), Admitted: acct.admitted,
			Share: acct.shareAt(l.nodes(), now), GrantAge: acct.grantAge(now),
		})
	}
	return usage
}
