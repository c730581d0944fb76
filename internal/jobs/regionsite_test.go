package jobs

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
	"github.com/wheelhoist/wheelhoist/internal/tenant"
)

// regionFleet is a changing set of nodes. The region of a node is the part of its name before the
// dash; "x" is unknown.
type regionFleet struct {
	noOwners
	mu   sync.Mutex
	live []string
}

func (f *regionFleet) set(sessions ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = sessions
}

func (f *regionFleet) Live() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.live)
}

func (f *regionFleet) Nodes() []string {
	nodes := f.Live()
	for i := range nodes {
		nodes[i] = lease.Node(nodes[i])
	}
	return nodes
}

func (f *regionFleet) Region(node string) string {
	if !slices.Contains(f.Nodes(), node) {
		return ""
	}
	return regionOf(node)
}

func (f *regionFleet) Gone(node string) bool { return !slices.Contains(f.Nodes(), node) }

func (f *regionFleet) Expired(session string) bool { return !slices.Contains(f.Live(), session) }

func regionOf(name string) string {
	region, _, _ := strings.Cut(name, "-")
	if region == "x" {
		return ""
	}
	return region
}

// contentTable counts the reads of contents.
type contentTable struct {
	table.Service
	reads atomic.Int64
}

func (c *contentTable) List(ctx context.Context, partition, after string, limit int) ([]table.Row, error) {
	if strings.Contains(after, "/content/") {
		c.reads.Add(1)
	}
	return c.Service.List(ctx, partition, after, limit)
}

// regionEvents counts reports of jobs that wait for a node in their regions.
type regionEvents struct {
	noEvents
	awaiting atomic.Int64
}

func (e *regionEvents) AwaitingRegion(*Job, place.Regions) { e.awaiting.Add(1) }

// regionNode is a node of a regionSite.
type regionNode struct {
	*testNode
	runner *Runner
	rows   *contentTable
	events *regionEvents
	mu     sync.Mutex
	// sent are the replicas that items went to.
	sent []string
	// dispatches counts the reads of the routes, one at the start of each dispatch.
	dispatches atomic.Int64
	// refuse makes all replicas refuse items.
	refuse atomic.Bool
}

func (n *regionNode) Send(_ context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	if n.refuse.Load() {
		return nil, outcome.AsNotDone(forward.ErrRefused)
	}
	n.mu.Lock()
	n.sent = append(n.sent, attempt.Replica.ID)
	n.mu.Unlock()
	return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
}

func (n *regionNode) countedRoutes() *route.Table {
	n.dispatches.Add(1)
	return n.Routes()
}

// awaitSettled waits until no attempt is running that was dispatched under earlier routes.
func (n *regionNode) awaitSettled(t *testing.T) {
	for range 2 {
		seen := n.dispatches.Load()
		eventually(t, func() bool {
			n.runner.wake()
			return n.dispatches.Load() > seen
		})
	}
	eventually(t, func() bool {
		// A run whose job was dropped also holds its slot until it ends.
		replicas := n.runner.Replicas.List(time.Now())
		return !slices.ContainsFunc(replicas, func(one replica.Candidate) bool { return one.Open > 0 })
	})
}

// owned returns the number of jobs of which the node runs items.
func (n *regionNode) owned() int {
	n.runner.mu.Lock()
	defer n.runner.mu.Unlock()
	return len(n.runner.owned)
}

func (n *regionNode) sentTo() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.sent)
}

// regionSite is a fleet with replicas in regions n and s, and one in an unknown region.
type regionSite struct {
	t      *testing.T
	shared *tabletest.Table
	fleet  *regionFleet
	routes atomic.Pointer[route.Table]
	nodes  map[string]*regionNode
}

const testTenant = "miller"

// setRegions sets the regions of the route and of the tenant.
func (s *regionSite) setRegions(ofRoute, ofTenant place.Regions) {
	s.routes.Store(route.NewTable(&route.Config{Routes: []*route.Route{
		{
			Name: "batch", Host: testHost, Prefix: "/batch/", Kind: route.Batch, MaxAttempts: 3,
			Shares: []route.Share{{Pool: testPool, Weight: 1}}, Regions: ofRoute,
		},
		{
			Name: "free", Host: testHost, Prefix: "/free/", Kind: route.Batch, MaxAttempts: 3,
			Shares: []route.Share{{Pool: testPool, Weight: 1}},
		},
	}, Tenants: []*tenant.Tenant{{Name: testTenant, Regions: ofTenant}}}))
}

func newRegionSite(t *testing.T, ofRoute, ofTenant place.Regions, names ...string) *regionSite {
	t.Helper()
	site := &regionSite{t: t, shared: tabletest.New(), fleet: &regionFleet{}, nodes: map[string]*regionNode{}}
	site.setRegions(ofRoute, ofTenant)
	var live []string
	for _, name := range names {
		live = append(live, name+"#1")
	}
	site.fleet.set(live...)
	objects := &objecttest.Store{}
	for _, name := range names {
		site.start(name, objects)
	}
	return site
}

func (s *regionSite) start(name string, objects *objecttest.Store) {
	node := &regionNode{
		testNode: startNode(s.t, s.shared, objects, name+"#1"),
		rows:     &contentTable{Service: s.shared}, events: &regionEvents{},
	}
	replicas := replica.NewSet()
	for _, id := range []string{"n-r", "s-r", "x-r"} {
		replicas.Put(replica.Info{ID: id, Pool: testPool, Address: id, Slots: 8, Region: regionOf(id)})
	}
	node.Service.Table, node.Service.Events = node.rows, node.events
	node.Fleet, node.Routes, node.Slots = s.fleet, s.routes.Load, replicas.RegionSlots
	node.runner = NewRunner(RunnerOptions{
		Service: node.Service, Replicas: replicas, Backend: node, Routes: node.countedRoutes, Owners: s.fleet,
		ViewAge: func() time.Duration { return 0 },
	})
	replicas.OnPressure = node.runner.Preempt
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		node.runner.Run(ctx)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
	s.nodes[name] = node
}

// stop stops a node's runner and removes the node from the fleet.
func (s *regionSite) stop(name string) {
	node := s.nodes[name]
	node.runner.mu.Lock()
	node.runner.stopped = true
	node.runner.mu.Unlock()
	live := slices.DeleteFunc(s.fleet.Live(), func(session string) bool { return session == name+"#1" })
	s.fleet.set(live...)
}

// claim runs a round of claims at some nodes.
func (s *regionSite) claim(names ...string) {
	for _, name := range names {
		s.nodes[name].runner.claimOrphaned(s.t.Context())
	}
}

func (s *regionSite) submit(name, id string, items int) {
	s.t.Helper()
	submitted := submission(id, items)
	submitted.Tenant = testTenant
	if err := s.nodes[name].Submit(s.t.Context(), submitted); err != nil {
		s.t.Fatal(err)
	}
}

// checkSent fails if any node sent an item to a replica in another region.
func (s *regionSite) checkSent(region string) {
	s.t.Helper()
	for name, node := range s.nodes {
		for _, id := range node.sentTo() {
			if regionOf(id) != region {
				s.t.Errorf("node %s sent an item to %s, want region %s", name, id, region)
			}
		}
	}
}

// checkStoresNothing fails if a node has read bodies or caches some.
func (s *regionSite) checkStoresNothing(name string) {
	s.t.Helper()
	node := s.nodes[name]
	node.contentMu.Lock()
	defer node.contentMu.Unlock()
	if reads, cached := node.rows.reads.Load(), len(node.contents); reads != 0 || cached != 0 {
		s.t.Errorf("node %s read bodies %d times and caches those of %d jobs", name, reads, cached)
	}
}
