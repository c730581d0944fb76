package placement

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/resource"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// planInterval is the time between two plans of a lease holder.
	planInterval = 500 * time.Millisecond
	// contendInterval is the time between two attempts of a node to acquire the leases. It grows by
	// contendPerNode for each node, so that the load on the store does not grow with the fleet.
	contendInterval = 2 * time.Second
	contendPerNode  = 100 * time.Millisecond
	// orderTimeout is how long an order may take to appear in the reports before it is sent again.
	orderTimeout = 10 * time.Second
	callTimeout  = 3 * time.Second
)

// Orders sends fenced orders to engines.
type Orders interface {
	Order(ctx context.Context, base string, order engine.Order) error
}

// Options configures a Controller.
type Options struct {
	Table    table.Service
	Session  *lease.Session
	Watcher  *lease.Watcher
	Store    *resource.Store
	Orders   Orders
	Replicas func() []Replica
	Nodes    func() int
	Log      zerolog.Logger
}

// Controller executes plans for the pools whose leases it holds.
type Controller struct {
	options Options
	held    map[string]*heldPool
}

// heldPool is the state of a pool whose lease is held.
type heldPool struct {
	grant lease.Grant
	// orderCount counts the orders under the lease epoch. Epoch and count make up the fence.
	orderCount    uint64
	pendingOrders map[string]sentOrder
}

type sentOrder struct {
	content Content
	fence   uint64
	at      time.Time
}

// NewController returns a controller. It does nothing until Run is called.
func NewController(options Options) *Controller {
	return &Controller{options: options, held: map[string]*heldPool{}}
}

// Run contends for the leases of the pools and executes plans until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	nextContend := clock.Now()
	for {
		if now := clock.Now(); now.After(nextContend) {
			nextContend = now.Add(contendInterval + time.Duration(c.options.Nodes())*contendPerNode)
			c.contend(ctx)
		}
		c.planAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Controller) pools() []Pool {
	var pools []Pool
	for _, entry := range c.options.Store.Snapshot().List(v1.KindModelPool) {
		if spec, ok := entry.Spec.(*v1.ModelPoolSpec); ok {
			pools = append(pools, Pool{Name: entry.Change.Name, Spec: spec})
		}
	}
	return pools
}

func (c *Controller) roles() []*v1.MachineRoleSpec {
	var roles []*v1.MachineRoleSpec
	for _, entry := range c.options.Store.Snapshot().List(v1.KindMachineRole) {
		if spec, ok := entry.Spec.(*v1.MachineRoleSpec); ok {
			roles = append(roles, spec)
		}
	}
	return roles
}

// contend tries to acquire the leases of all pools. A holder that cannot reach the store continues:
// either no other node has taken over the lease, or the engines refuse the lower fence.
func (c *Controller) contend(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, pool := range c.pools() {
		grant, err := lease.Acquire(callCtx, c.options.Table, c.options.Session, c.options.Watcher, "placement/"+pool.Name)
		switch {
		case errors.Is(err, lease.ErrHeld):
			delete(c.held, pool.Name)
		case err == nil:
			c.recordGrant(pool.Name, grant)
		}
	}
}

func (c *Controller) recordGrant(pool string, grant lease.Grant) {
	current, ok := c.held[pool]
	if ok && current.grant.Epoch == grant.Epoch {
		return
	}
	c.held[pool] = &heldPool{grant: grant, pendingOrders: map[string]sentOrder{}}
	c.options.Log.Info().Str("pool", pool).Uint64("epoch", grant.Epoch).Msg("placement lease taken")
}

func (c *Controller) planAll(ctx context.Context) {
	if len(c.held) == 0 {
		return
	}
	replicas := c.options.Replicas()
	roles := c.roles()
	for _, pool := range c.pools() {
		held, ok := c.held[pool.Name]
		if !ok {
			continue
		}
		held.markOrdered(replicas, clock.Now())
		for _, action := range Plan(pool, roles, replicas) {
			if !c.sendOrder(ctx, pool.Name, held, action) {
				delete(c.held, pool.Name)
				break
			}
		}
	}
}

// markOrdered sets Ordered on the replicas whose order does not appear in a report yet.
func (p *heldPool) markOrdered(replicas []Replica, now time.Time) {
	for i := range replicas {
		pending, ok := p.pendingOrders[replicas[i].ID]
		if !ok {
			continue
		}
		if replicas[i].Fence >= pending.fence || now.Sub(pending.at) > orderTimeout {
			delete(p.pendingOrders, replicas[i].ID)
			continue
		}
		content := pending.content
		replicas[i].Ordered = &content
	}
}

// fenceBits is the number of bits of a fence that count the orders of one epoch.
const fenceBits = 24

// sendOrder sends one order. It returns false if a newer lease holder has sent orders.
func (c *Controller) sendOrder(ctx context.Context, pool string, held *heldPool, action Action) bool {
	held.orderCount++
	fence := held.grant.Epoch<<fenceBits | held.orderCount
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.options.Orders.Order(callCtx, action.Address, engine.Order{
		Fence: fence, Version: action.Content.Version, Adapters: action.Content.Adapters, Role: action.Content.Role,
	})
	if errors.Is(err, engine.ErrStaleFence) {
		c.options.Log.Warn().Str("pool", pool).Str("replica", action.Replica).Msg("order refused, the lease has moved")
		return false
	}
	if err == nil {
		held.pendingOrders[action.Replica] = sentOrder{content: action.Content, fence: fence, at: clock.Now()}
		c.options.Log.Info().Str("pool", pool).Str("replica", action.Replica).Uint64("fence", fence).
			Str("version", action.Content.Version).Str("role", string(action.Content.Role)).Msg("order sent")
	}
	return true
}
