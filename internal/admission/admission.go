// Package admission decides whether an online request is admitted: it must be within its tenant's
// limits, and a replica must be able to start it in time. Other requests are refused as early as
// possible, with a retry delay.
package admission

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits are a tenant's limits across all nodes. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Concurrency is the number of requests in flight.
	Concurrency int
	// Weight is the tenant's weight for fair sharing under overload; zero means 1.
	Weight float64
}

// Reason is the reason why a request was refused.
type Reason string

// The reasons of a RefusalError.
const (
	ReasonRequestRate Reason = "request_rate"
	ReasonTokenRate   Reason = "token_rate"
	ReasonConcurrency Reason = "concurrency"
	ReasonOverload    Reason = "overload"
)

// RefusalError reports that a request was refused and did not run.
type RefusalError struct {
	Reason Reason
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("refused for %s, come back in %s", e.Reason, e.RetryAfter.Round(time.Millisecond))
}

const (
	// burstSeconds is the burst size of a rate limit, in seconds of the rate.
	burstSeconds = 1.0
	// concurrencyRetryAfter is the retry delay of a concurrency refusal.
	concurrencyRetryAfter = 500 * time.Millisecond
	// maxRetryAfter bounds RefusalError.RetryAfter.
	maxRetryAfter = 30 * time.Second
)

// tenant is the state of one tenant at this node.
type tenant struct {
	// requests and tokens are nil if the tenant has no such limit.
	requests *rate.Limiter
	tokens   *rate.Limiter
	limits   Limits
	// share is the fraction of limits that this node enforces.
	share    float64
	inFlight int
	// demand measures all requests, admitted only those admitted.
	demand   meter
	admitted meter
}

// Controller enforces this node's share of the limits of all tenants. It is safe for concurrent
// use.
type Controller struct {
	// share returns this node's share of a tenant's limits, from 0 to 1.
	share func(tenant string) float64

	mu      sync.Mutex
	tenants map[string]*tenant
	// admitted measures the admitted requests of all tenants.
	admitted meter
}

// NewController returns a Controller. The function share must return this node's share of a tenant's
// limits, from 0 to 1.
func NewController(share func(tenant string) float64) *Controller {
	return &Controller{share: share, tenants: map[string]*tenant{}}
}

// Ticket represents an admitted request until Release is called.
type Ticket struct {
	controller *Controller
	tenant     *tenant
	once       sync.Once
}

// Admit admits a request with an estimated number of tokens, or returns a RefusalError.
func (c *Controller) Admit(name string, limits Limits, tokens int, now time.Time) (*Ticket, error) {
	share := c.share(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.state(name, limits, share)
	state.demand.add(now, 1)
	if limits.Concurrency > 0 && state.inFlight >= nodeLimit(limits.Concurrency, share) {
		return nil, &RefusalError{Reason: ReasonConcurrency, RetryAfter: concurrencyRetryAfter}
	}
	if wait, ok := takeTokens(state.requests, 1, now); !ok {
		return nil, &RefusalError{Reason: ReasonRequestRate, RetryAfter: wait}
	}
	if wait, ok := takeTokens(state.tokens, tokens, now); !ok {
		return nil, &RefusalError{Reason: ReasonTokenRate, RetryAfter: wait}
	}
	state.inFlight++
	state.admitted.add(now, 1)
	c.admitted.add(now, 1)
	return &Ticket{controller: c, tenant: state}, nil
}

// nodeLimit returns a node's share of a concurrency limit, rounded up. It is at least one, so that
// every node admits some requests of every tenant.
func nodeLimit(limit int, share float64) int {
	return max(1, int(float64(limit)*share+0.999))
}

// takeTokens takes n tokens, or the burst size if n is larger, from a limiter. If too few are
// available, it takes none and returns the retry delay. A nil limiter allows everything.
func takeTokens(limiter *rate.Limiter, n int, now time.Time) (time.Duration, bool) {
	if limiter == nil {
		return 0, true
	}
	n = min(n, limiter.Burst())
	reservation := limiter.ReserveN(now, n)
	wait := reservation.DelayFrom(now)
	if wait == 0 {
		return 0, true
	}
	reservation.CancelAt(now)
	return min(wait, maxRetryAfter), false
}

// state returns the tenant's state, updated to the given limits and share. The caller holds mu.
func (c *Controller) state(name string, limits Limits, share float64) *tenant {
	state, ok := c.tenants[name]
	if !ok {
		state = &tenant{}
		c.tenants[name] = state
	}
	if !ok || state.limits != limits || state.share != share {
		state.requests = updateLimiter(state.requests, limits.RequestsPerSecond*share)
		state.tokens = updateLimiter(state.tokens, limits.TokensPerSecond*share)
		state.limits, state.share = limits, share
	}
	return state
}

// updateLimiter sets a limiter to a rate, creating it if needed. It returns nil if the rate is not
// positive.
func updateLimiter(limiter *rate.Limiter, perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	burst := max(1, int(perSecond*burstSeconds))
	if limiter == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(burst)
	return limiter
}

// Release ends an admitted request. It may be called more than once.
func (t *Ticket) Release() {
	t.once.Do(func() {
		t.controller.mu.Lock()
		defer t.controller.mu.Unlock()
		t.tenant.inFlight--
	})
}

// Demand returns the recent request rate of each active tenant at this node, including refused
// requests. It drops the state of idle tenants.
func (c *Controller) Demand(now time.Time) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand := map[string]float64{}
	for name, state := range c.tenants {
		demandRate := state.demand.rate(now)
		if demandRate > idleRate {
			demand[name] = demandRate
		} else if state.inFlight == 0 {
			delete(c.tenants, name)
		}
	}
	return demand
}

// CheckOverload returns a RefusalError if the predicted wait until a replica starts the request is
// too long. Tenants that use more than their weighted share are refused at shorter waits, so that
// the others are still served. If maxWait is not positive, no request is refused.
func (c *Controller) CheckOverload(name string, predictedWait, maxWait time.Duration, now time.Time) error {
	if maxWait <= 0 {
		return nil
	}
	c.mu.Lock()
	allowed := time.Duration(float64(maxWait) * c.waitFraction(name, now))
	c.mu.Unlock()
	if predictedWait <= allowed {
		return nil
	}
	return &RefusalError{Reason: ReasonOverload, RetryAfter: min(max(predictedWait-allowed, time.Second), maxRetryAfter)}
}

// waitFraction returns the fraction of the maximum wait that applies to a tenant. It is 1 for a
// tenant within its fair share and decreases to minFraction with heavier use. The caller holds mu.
func (c *Controller) waitFraction(name string, now time.Time) float64 {
	const minFraction = 0.25
	state, ok := c.tenants[name]
	total := c.admitted.rate(now)
	if !ok || total <= 0 {
		return 1
	}
	weights := 0.0
	for _, other := range c.tenants {
		if other.demand.rate(now) > idleRate {
			weights += other.weight()
		}
	}
	admittedShare := state.admitted.rate(now) / total
	if admittedShare <= 0 || weights <= 0 {
		return 1
	}
	fairShare := state.weight() / weights
	return min(1, max(minFraction, fairShare/admittedShare))
}

// weight returns the tenant's weight, 1 if none is set.
func (t *tenant) weight() float64 {
	if t.limits.Weight <= 0 {
		return 1
	}
	return t.limits.Weight
}
