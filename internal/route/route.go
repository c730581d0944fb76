// Package route holds the routes of opaque requests: which pool of replicas serves a request, how
// often it may be tried and how long it may take.
//
// A Table is immutable. Nodes replace it as a whole when a newer configuration takes effect, and
// never by an older one.
package route

import (
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/findings"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/tenant"
)

// Kind determines how often a request of a route may run.
type Kind string

// Kinds of routes.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = "repeatable"
	// Once requests run at most once.
	Once Kind = "once"
	// Stream answers consist of events; requests may run again only if the route is Resumable.
	Stream Kind = "stream"
	// Batch routes accept jobs of many items.
	Batch Kind = "batch"
)

// Share is one pool's share of a route's requests.
type Share struct {
	Pool   string
	Weight int
}

// Route determines how the requests of a host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares are the pools that serve the requests; never empty.
	Shares []Share
	// Timeout is the longest time that a request is held; 0 means no limit.
	Timeout time.Duration
	// MaxWait is the longest wait for a free replica; 0 means until Timeout.
	MaxWait time.Duration
	// Reserve is the fraction of the pool's slots, taken from its fastest replicas, that items of
	// the route leave free for other requests.
	Reserve float64
	// Adapter must be loaded by the replicas that serve the requests; may be empty.
	Adapter string
	// Objective is the target time for the answer or, for streams, its first event.
	Objective time.Duration
	// Gap is the target for the longest pause between two events of an answer.
	Gap time.Duration
	// MaxAttempts bounds the replicas that one request may run on.
	MaxAttempts int
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Resumable streams may resume at another replica after any event.
	Resumable bool
	// Public routes need no key even if the configuration has tenants.
	Public bool
	// MaxQueuedTokens bounds the tokens of a tenant's unfinished batch items across all nodes; 0
	// means no limit.
	MaxQueuedTokens int64
	// Completion is the time from a job's submission until its results are due.
	Completion time.Duration
	// Retention is the time from a job's submission after which its items may be dropped.
	Retention time.Duration
	// Regions are where the requests may be served and stored; nil allows any.
	Regions place.Regions

	sequence atomic.Uint64
}

// MayRepeat reports whether a request that may have run can be sent again.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Batch || (r.Kind == Stream && r.Resumable)
}

// goldenRatio distributes successive values evenly over the weights (a Weyl sequence).
const goldenRatio = 0x9E3779B97F4A7C15

// Pool returns the pool for the next request. Successive calls follow the weights as closely as
// possible.
func (r *Route) Pool() string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Pool
	}
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return r.Shares[0].Pool
	}
	point := float64(r.sequence.Add(goldenRatio)) / (1 << 64) * float64(total)
	for _, share := range r.Shares {
		point -= float64(share.Weight)
		if point < 0 {
			return share.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Limits bound the size and timing of requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is a declared configuration of routes.
type Config struct {
	Version uint64
	Routes  []*Route
	Limits  Limits
	// Keyed reports whether callers are identified by the keys of Tenants.
	Keyed   bool
	Tenants []*tenant.Tenant
	// Pools holds the settings of pools that differ from the defaults.
	Pools []Pool
	// PoolNames are the declared pools, in addition to those that routes refer to.
	PoolNames []string
}

// Validate reports every fault that keeps the configuration from taking effect.
func (c *Config) Validate() []findings.Finding {
	var found findings.List
	for i, route := range c.Routes {
		path := "routes[" + route.Name + "]"
		if route.Name == "" {
			found.Add("routes", "route %d has no name", i)
		}
		if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
			found.Add(path+".prefix", "must begin and end with a slash")
		}
		switch route.Kind {
		case Repeatable, Once, Stream, Batch:
		default:
			found.Add(path+".kind", "unknown kind %q", route.Kind)
		}
		if len(route.Shares) == 0 {
			found.Add(path, "names no pool")
		}
		if route.MaxAttempts < 1 {
			found.Add(path+".maxAttempts", "must be at least 1")
		}
	}
	c.validateTenants(&found)
	c.validatePools(&found)
	return found.All()
}

func (c *Config) validateTenants(found *findings.List) {
	names := map[string]bool{}
	var keys tenant.Directory[*tenant.Tenant]
	for i, declared := range c.Tenants {
		path := "tenants[" + declared.Name + "]"
		switch {
		case declared.Name == "":
			found.Add("tenants", "tenant %d has no name", i)
		case names[declared.Name]:
			found.Add(path, "is declared twice")
		}
		names[declared.Name] = true
		if declared.Rate < 0 || declared.Burst < 0 {
			found.Add(path, "rate and burst must not be negative")
		}
		for number, key := range declared.Keys {
			if !keys.Add(key, declared) {
				found.Add(path, "key %d is held already", number)
			}
		}
	}
}

// Table finds the route of a request.
type Table struct {
	Version uint64
	Limits  Limits
	// Keyed reports whether callers are identified by keys.
	Keyed  bool
	byHost map[string][]*Route
	byName map[string]*Route
	byKey  tenant.Directory[*tenant.Tenant]
	// byTenant holds the tenants by name.
	byTenant map[string]*tenant.Tenant
	// Pools holds the settings of pools that differ from the defaults.
	Pools []Pool
	// poolNames holds the pools that are declared or referred to by routes.
	poolNames map[string]bool
}

// NewTable builds the table of a valid configuration.
func NewTable(config *Config) *Table {
	table := &Table{
		Version: config.Version, Limits: config.Limits, Keyed: config.Keyed,
		byHost: map[string][]*Route{}, byName: map[string]*Route{},
		byTenant: map[string]*tenant.Tenant{}, Pools: config.Pools, poolNames: map[string]bool{},
	}
	for _, name := range config.PoolNames {
		table.poolNames[name] = true
	}
	for _, route := range config.Routes {
		table.byHost[route.Host] = append(table.byHost[route.Host], route)
		table.byName[route.Name] = route
		for _, share := range route.Shares {
			table.poolNames[share.Pool] = true
		}
	}
	for _, declared := range config.Tenants {
		table.byTenant[declared.Name] = declared
		for _, key := range declared.Keys {
			table.byKey.Add(key, declared)
		}
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return table
}

// Match returns the route whose prefix is the longest to match a path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Identify returns the tenant that owns the key of a request. It returns nil without an error if
// the configuration has no keys, or if public is set and no valid key was sent. Its errors are
// tenant.ErrNoKey and tenant.ErrUnknownKey.
func (t *Table) Identify(header http.Header, public bool) (*tenant.Tenant, error) {
	if !t.Keyed {
		return nil, nil
	}
	key, err := tenant.BearerKey(header)
	if err == nil {
		if found, ok := t.byKey.Lookup(key); ok {
			return found, nil
		}
		err = tenant.Error.Wrap(tenant.ErrUnknownKey)
	}
	if public {
		return nil, nil
	}
	return nil, err
}

// PublicBatch reports whether a host has a batch route whose jobs need no key.
func (t *Table) PublicBatch(host string) bool {
	return slices.ContainsFunc(t.byHost[host], func(r *Route) bool { return r.Kind == Batch && r.Public })
}

// Tenant returns the tenant with the given name, or nil.
func (t *Table) Tenant(name string) *tenant.Tenant { return t.byTenant[name] }

// HasPool reports whether a pool is declared or referred to by a route.
func (t *Table) HasPool(pool string) bool { return t.poolNames[pool] }

// ByName returns the route with the given name, or nil.
func (t *Table) ByName(name string) *Route { return t.byName[name] }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.byName) }

// Current holds the table in effect. It is safe for concurrent use.
type Current struct{ table atomic.Pointer[Table] }

// Load returns the table in effect, or nil before the first one.
func (c *Current) Load() *Table { return c.table.Load() }

// Replace puts a table into effect unless its version is not newer than the current one. It reports
// whether it did.
func (c *Current) Replace(next *Table) bool {
	for {
		current := c.table.Load()
		if current != nil && current.Version >= next.Version {
			return false
		}
		if c.table.CompareAndSwap(current, next) {
			return true
		}
	}
}
