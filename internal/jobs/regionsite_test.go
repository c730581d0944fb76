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

// homeFleet are nodes that come and go. A node's region is the part of its name before
// the dash; "x-" tells none.
type homeFleet struct {
	noOwners
	mu   sync.Mutex
	live []string
}

func (f *homeFleet) set(sessions ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = sessions
}

func (f *homeFleet) Live() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.live)
}

func (f *homeFleet) Nodes() []string {
	nodes := f.Live()
	for i := range nodes {
		nodes[i] = lease.Node(nodes[i])
	}
	return nodes
}

func (f *homeFleet) Region(node string) string {
	if !slices.Contains(f.Nodes(), node) {
		return ""
	}
	return regionOf(node)
}

func (f *homeFleet) Gone(node string) bool { return !slices.Contains(f.Nodes(), node) }

func (f *homeFleet) Expired(session string) bool { return !slices.Contains(f.Live(), session) }

func regionOf(name string) string {
	region, _, _ := strings.Cut(name, "-")
	if region == "x" {
		return ""
	}
	return region
}

// contentTable notes the reads of contents.
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

// homeEvents counts the jobs that wait for their homes.
type homeEvents struct {
	quietEvents
	homeless atomic.Int64
}

func (e *homeEvents) AwaitingRegion(*Job, place.Regions) { e.homeless.Add(1) }

// homeNode is a node of a homeFleet.
type homeNode struct {
	*testNode
	runner *Runner
	rows   *contentTable
	events *homeEvents
	mu     sync.Mutex
	// sent are the replicas that items went to.
	sent []string
	// looks counts the runner's looks at the routes, one at the begin of each dispatch.
	looks atomic.Int64
	// refuse makes replicas refuse.
	refuse atomic.Bool
}

func (n *homeNode) Send(_ context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	if n.refuse.Load() {
		return nil, outcome.Failed(forward.ErrRefused)
	}
	n.mu.Lock()
	n.sent = append(n.sent, attempt.Replica.ID)
	n.mu.Unlock()
	return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
}

func (n *homeNode) countedRoutes() *route.Table {
	n.looks.Add(1)
	return n.Routes()
}

// settled waits until nothing is under way that was chosen by routes of before.
func (n *homeNode) settled(t *testing.T) {
	for range 2 {
		seen := n.looks.Load()
		eventually(t, func() bool {
			n.runner.wake()
			return n.looks.Load() > seen
		})
	}
	eventually(t, func() bool {
		// Also a run whose job was dropped meanwhile holds its slot until it ends.
		replicas := n.runner.Replicas.List(time.Now())
		return !slices.ContainsFunc(replicas, func(one replica.Candidate) bool { return one.Open > 0 })
	})
}

// owned counts the jobs that a node has items of.
func (n *homeNode) owned() int {
	n.runner.mu.Lock()
	defer n.runner.mu.Unlock()
	return len(n.runner.owned)
}

func (n *homeNode) sentTo() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.sent)
}

// homeSite is a fleet with replicas in regions n and s, and one of an unknown region.
type homeSite struct {
	t      *testing.T
	shared *tabletest.Table
	fleet  *homeFleet
	routes atomic.Pointer[route.Table]
	nodes  map[string]*homeNode
}

const homeTenant = "miller"

// declare puts homes of the route and of the tenant in force.
func (s *homeSite) declare(ofRoute, ofTenant place.Regions) {
	s.routes.Store(route.NewTable(&route.Config{Routes: []*route.Route{
		{
			Name: "batch", Host: testHost, Prefix: "/batch/", Kind: route.Batch, MaxAttempts: 3,
			Shares: []route.Share{{Pool: testPool, Weight: 1}}, Regions: ofRoute,
		},
		{
			Name: "free", Host: testHost, Prefix: "/free/", Kind: route.Batch, MaxAttempts: 3,
			Shares: []route.Share{{Pool: testPool, Weight: 1}},
		},
	}, Tenants: []*tenant.Tenant{{Name: homeTenant, Regions: ofTenant}}}))
}

func newHomeSite(t *testing.T, ofRoute, ofTenant place.Regions, names ...string) *homeSite {
	t.Helper()
	site := &homeSite{t: t, shared: tabletest.New(), fleet: &homeFleet{}, nodes: map[string]*homeNode{}}
	site.declare(ofRoute, ofTenant)
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

func (s *homeSite) start(name string, objects *objecttest.Store) {
	node := &homeNode{
		testNode: startNode(s.t, s.shared, objects, name+"#1"),
		rows:     &contentTable{Service: s.shared}, events: &homeEvents{},
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
	replicas.Pressed = node.runner.Preempt
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

// stop makes a node run nothing any more and leave the fleet.
func (s *homeSite) stop(name string) {
	node := s.nodes[name]
	node.runner.mu.Lock()
	node.runner.stopped = true
	node.runner.mu.Unlock()
	live := slices.DeleteFunc(s.fleet.Live(), func(session string) bool { return session == name+"#1" })
	s.fleet.set(live...)
}

// claim lets live nodes look for what they should take over.
func (s *homeSite) claim(names ...string) {
	for _, name := range names {
		s.nodes[name].runner.claimOrphaned(s.t.Context())
	}
}

func (s *homeSite) submit(name, id string, items int) {
	s.t.Helper()
	submitted := submission(id, items)
	submitted.Tenant = homeTenant
	if err := s.nodes[name].Submit(s.t.Context(), submitted); err != nil {
		s.t.Fatal(err)
	}
}

// checkSent fails if a node sent anything to a replica of another region than one.
func (s *homeSite) checkSent(region string) {
	s.t.Helper()
	for name, node := range s.nodes {
		for _, id := range node.sentTo() {
			if regionOf(id) != region {
				s.t.Errorf("node %s sent an item to %s, homes are %s", name, id, region)
			}
		}
	}
}

// checkUntouched fails if a node has read or keeps bodies.
func (s *homeSite) checkUntouched(name string) {
	s.t.Helper()
	node := s.nodes[name]
	node.contentMu.Lock()
	defer node.contentMu.Unlock()
	if reads, kept := node.rows.reads.Load(), len(node.contents); reads != 0 || kept != 0 {
		s.t.Errorf("node %s has read bodies %d times and keeps those of %d jobs", name, reads, kept)
	}
}
