// Package admission decides whether an online request may enter: within its
// tenant's limits, and while a replica can begin it in time. What cannot be
// served is refused as early as possible, with the time to come back.
package admission

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits are a tenant's limits over all nodes; zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int
	Weight            float64
}

// Reason says why a request was refused.
type Reason string

// Reasons.
const (
	ReasonRequestRate Reason = "request_rate"
	ReasonTokenRate   Reason = "token_rate"
	ReasonConcurrency Reason = "concurrency"
	ReasonOverload    Reason = "overload"
)

// RefusalError is a refusal; the request did not run.
type RefusalError struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("refused for %s, come back in %s", e.Reason, e.RetryAfter.Round(time.Millisecond))
}

const (
	// burstSeconds is how much of a rate may be used at once.
	burstSeconds = 1.0
	// concurrencyRetryAfter is the time to come back after a concurrency refusal.
	concurrencyRetryAfter = 500 * time.Millisecond
	// maxRetryAfter bounds the time told to a caller.
	maxRetryAfter = 30 * time.Second
)

// tenant is the state of one tenant at this node.
type tenant struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
	limits   Limits
	share    float64
	inFlight int
	demand   meter
	admitted meter
}

// Controller enforces this node's share of all tenants' limits. It is safe for
// concurrent use.
type Controller struct {
	// share returns the part of a tenant's limits that this node may use.
	share func(tenant string) float64

	mu       sync.Mutex
	tenants  map[string]*tenant
	admitted meter
}

// NewController returns a controller; share returns a node's part, 0 to 1.
func NewController(share func(tenant string) float64) *Controller {
	return &Controller{share: share, tenants: map[string]*tenant{}}
}

// Ticket is an admitted request.
type Ticket struct {
	controller *Controller
	tenant     *tenant
	once       sync.Once
}

// Admit lets a request of an estimated number of tokens in, or returns a
// RefusalError.
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

// nodeLimit is a node's part of a count; at least one, so that no tenant is
// locked out of a node.
func nodeLimit(count int, share float64) int {
	return max(1, int(float64(count)*share+0.999))
}

// takeTokens uses n of a limiter at once or returns the time to come back.
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

// state returns the tenant's state with limits brought up to date. The caller
// holds mu.
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

// Demand returns the recent request rates of the tenants seen at this node,
// refused requests included.
func (c *Controller) Demand(now time.Time) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand := map[string]float64{}
	for name, state := range c.tenants {
		rate := state.demand.rate(now)
		if rate > idleRate {
			demand[name] = rate
		} else if state.inFlight == 0 {
			delete(c.tenants, name)
		}
	}
	return demand
}

// CheckOverload decides about a request that a replica is predicted to begin only
// after the given time. Tenants that use more than their weight's share are
// refused earlier, so that the others keep their service.
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

// waitFraction is the part of the limit that a tenant gets, from 0.25 for a heavy
// user to 1. The caller holds mu.
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

func (t *tenant) weight() float64 {
	if t.limits.Weight <= 0 {
		return 1
	}
	return t.limits.Weight
}
