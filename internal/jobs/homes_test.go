package jobs

import (
	"context"
	"errors"
	"fmt"
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

func (e *homeEvents) Homeless(*Job, place.Regions) { e.homeless.Add(1) }

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
	return answerOf(http.StatusOK, events(attempt.After+1, 5)), nil
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
	replicas.Pressed = node.runner.Yield
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
	node.runner.paused = true
	node.runner.mu.Unlock()
	live := slices.DeleteFunc(s.fleet.Live(), func(session string) bool { return session == name+"#1" })
	s.fleet.set(live...)
}

// claim lets live nodes look for what they should take over.
func (s *homeSite) claim(names ...string) {
	for _, name := range names {
		s.nodes[name].runner.claimLost(s.t.Context())
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

func TestHomes_ItemsRunAtHomeThoughAcceptedElsewhere(t *testing.T) {
	for name, homes := range map[string][2]place.Regions{
		"of the route":  {{"n"}, nil},
		"of the tenant": {nil, {"n"}},
		"of both":       {{"n", "m"}, {"s", "n"}},
	} {
		t.Run(name, func(t *testing.T) {
			site := newHomeSite(t, homes[0], homes[1], "n-1", "n-2", "s-1")
			site.submit("s-1", "j", 9)
			readAll(t, site.nodes["s-1"].testNode, "j")
			site.checkSent("n")
			site.checkUntouched("s-1")
		})
	}
}

func TestHomes_OwnersStandAtHome(t *testing.T) {
	site := newHomeSite(t, place.Regions{"n"}, nil, "n-1", "s-1")
	submitted := onceSubmission("j", 3)
	if err := site.nodes["s-1"].Submit(t.Context(), submitted); err != nil {
		t.Fatal(err)
	}
	if owner := site.nodes["s-1"].View.Get("j").Progress.Owner; owner != "" {
		t.Errorf("owner is %s", owner)
	}
	eventually(t, func() bool { return site.nodes["n-1"].View.Get("j") != nil })
	site.claim("s-1", "n-1")
	readAll(t, site.nodes["n-1"].testNode, "j")
	site.checkSent("n")
	site.checkUntouched("s-1")
}

// TestHomes_AChangeMovesOwners changes the homes of items that may run only once while no
// replica takes them.
func TestHomes_AChangeMovesOwners(t *testing.T) {
	site := newHomeSite(t, place.Regions{"n"}, nil, "n-1", "s-1")
	site.nodes["n-1"].runner.Replicas.Remove("n-r", time.Now())
	if err := site.nodes["n-1"].Submit(t.Context(), onceSubmission("j", 2)); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return site.nodes["s-1"].View.Get("j") != nil })
	site.declare(place.Regions{"s"}, nil)
	site.claim("n-1", "s-1")
	if owner := site.nodes["s-1"].View.Get("j").Progress.Owner; owner != "s-1#1" {
		t.Fatalf("owner is %q", owner)
	}
}

func TestHomes_NobodyIsSaidToWaitBeforeAConfigurationIsKnown(t *testing.T) {
	site := newHomeSite(t, nil, nil, "n-1")
	site.submit("n-1", "j", 1)
	site.routes.Store(nil)
	site.claim("n-1")
	if site.nodes["n-1"].events.homeless.Load() != 0 {
		t.Fatal("a job waits for homes that nobody has told")
	}
}

// TestHomes_ARegionThatDiesIsWaitedFor kills all nodes at home and brings one back.
func TestHomes_ARegionThatDiesIsWaitedFor(t *testing.T) {
	site := newHomeSite(t, place.Regions{"n"}, nil, "n-1", "n-2", "s-1", "s-2")
	site.nodes["n-1"].refuse.Store(true)
	site.nodes["n-2"].refuse.Store(true)
	site.submit("s-1", "j", 6)
	site.stop("n-1")
	site.stop("n-2")
	for range 3 {
		site.claim("s-1", "s-2")
	}
	entry := site.nodes["s-1"].View.Get("j")
	if len(entry.Progress.Moved) != 0 || len(entry.Progress.Listed) != 0 {
		t.Fatalf("progress is %+v while nobody at home lives", entry.Progress)
	}
	if said := site.nodes["s-1"].events.homeless.Load() + site.nodes["s-2"].events.homeless.Load(); said != 1 {
		t.Errorf("%d lines say that items wait, want 1", said)
	}
	site.start("n-3", &objecttest.Store{})
	site.fleet.set("n-3#1", "s-1#1", "s-2#1")
	eventually(t, func() bool { return site.nodes["n-3"].View.Get("j") != nil })
	site.claim("s-1", "s-2", "n-3")
	readAll(t, site.nodes["s-1"].testNode, "j")
	site.checkSent("n")
	site.checkUntouched("s-1")
	site.checkUntouched("s-2")
}

func TestHomes_ItemsThatNobodyMayRunAreGivenUpInTheEnd(t *testing.T) {
	site := newHomeSite(t, place.Regions{"n"}, nil, "s-1", "s-2")
	submitted := submission("j", MaxItems)
	submitted.Retention = 50 * time.Millisecond
	if err := site.nodes["s-1"].Submit(t.Context(), submitted); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool {
		site.claim("s-1", "s-2")
		return site.nodes["s-1"].View.Get("j").Done()
	})
	for _, result := range readAll(t, site.nodes["s-1"].testNode, "j") {
		if !result.Dead || result.Reason != Expired {
			t.Fatalf("result is %+v", result)
		}
	}
	site.checkUntouched("s-1")
	site.checkUntouched("s-2")
}

// TestHomes_AChangeMovesWhatWaits changes the homes while no replica takes the items.
func TestHomes_AChangeMovesWhatWaits(t *testing.T) {
	site := newHomeSite(t, place.Regions{"n"}, nil, "n-1", "s-1")
	site.nodes["n-1"].refuse.Store(true)
	site.submit("n-1", "j", 4)
	eventually(t, func() bool { return site.nodes["n-1"].owned() == 1 })
	site.declare(place.Regions{"s"}, nil)
	eventually(t, func() bool { return site.nodes["n-1"].owned() == 0 })
	site.nodes["n-1"].refuse.Store(false)
	eventually(t, func() bool { return site.nodes["s-1"].View.Get("j") != nil })
	site.claim("n-1", "s-1")
	readAll(t, site.nodes["n-1"].testNode, "j")
	site.checkSent("s")
}

func TestHomes_UnknownRegionsAreNoHomes(t *testing.T) {
	site := newHomeSite(t, place.Regions{"n"}, nil, "x-1", "n-1")
	site.submit("x-1", "j", 6)
	readAll(t, site.nodes["x-1"].testNode, "j")
	site.checkSent("n")
	site.checkUntouched("x-1")
}

func TestHomes_EmptyIntersectionIsNotAccepted(t *testing.T) {
	site := newHomeSite(t, place.Regions{"n"}, place.Regions{"s"}, "n-1", "s-1")
	submitted := submission("j", 1)
	submitted.Tenant = homeTenant
	err := site.nodes["n-1"].Submit(t.Context(), submitted)
	if !errors.Is(err, ErrNotAccepted) || !errors.Is(err, ErrHomeless) {
		t.Fatalf("submission: %v", err)
	}
	if _, err := site.nodes["n-1"].Read(t.Context(), "j", 0, 0); !errors.Is(err, ErrNotFound) {
		t.Fatalf("the job is there: %v", err)
	}
}

// TestHomes_OutliveTheirRoute takes the route away while items wait.
func TestHomes_OutliveTheirRoute(t *testing.T) {
	site := newHomeSite(t, place.Regions{"n"}, nil, "n-1", "s-1")
	site.nodes["n-1"].refuse.Store(true)
	site.submit("s-1", "j", 2)
	site.routes.Store(route.NewTable(&route.Config{}))
	site.stop("n-1")
	site.claim("s-1")
	if moved := site.nodes["s-1"].View.Get("j").Progress.Moved; len(moved) != 0 {
		t.Fatalf("items moved to %v", moved)
	}
	site.checkUntouched("s-1")
}

func TestHomes_UnknownConfigurationIsNowhere(t *testing.T) {
	site := newHomeSite(t, nil, nil, "n-1")
	site.routes.Store(nil)
	if homes := site.nodes["n-1"].homes(&Job{Route: "batch"}); homes == nil || len(homes) != 0 {
		t.Fatalf("homes are %#v", homes)
	}
}

// TestHomes_CallersElsewhereAreAnswered asks a node elsewhere for a body and results.
func TestHomes_CallersElsewhereAreAnswered(t *testing.T) {
	site := newHomeSite(t, place.Regions{"n"}, nil, "n-1", "s-1")
	site.nodes["n-1"].refuse.Store(true)
	site.submit("n-1", "j", 2)
	away := site.nodes["s-1"]
	if body, err := away.Body(t.Context(), "j", "j-1"); err != nil || string(body) != "prompt" {
		t.Fatalf("body is %q, %v", body, err)
	}
	site.nodes["n-1"].refuse.Store(false)
	readAll(t, away.testNode, "j")
	if len(away.contents) != 0 || away.cache.size != 0 {
		t.Fatalf("%d contents and %d bytes of texts stay at a node elsewhere", len(away.contents), away.cache.size)
	}
	readAll(t, site.nodes["n-1"].testNode, "j")
	if site.nodes["n-1"].cache.size == 0 {
		t.Fatal("the node at home keeps no texts")
	}
}

// TestHomes_ItemsWithoutRoomAtHomeHoldUpNoOthers fills the only replica at home.
func TestHomes_ItemsWithoutRoomAtHomeHoldUpNoOthers(t *testing.T) {
	site := newHomeSite(t, place.Regions{"n"}, nil, "n-1")
	site.nodes["n-1"].runner.Replicas.Remove("n-r", time.Now())
	site.submit("n-1", "a", 2)
	free := submission("b", 2)
	free.Route = "free"
	for i := range free.Items {
		free.Items[i].Path = "/free/x"
	}
	if err := site.nodes["n-1"].Submit(t.Context(), free); err != nil {
		t.Fatal(err)
	}
	readAll(t, site.nodes["n-1"].testNode, "b")
	if listed := site.nodes["n-1"].View.Get("a").Progress.Listed; len(listed) != 0 {
		t.Fatalf("items without a replica at home are listed: %v", listed)
	}
}

// TestHomes_OfEveryRouteOfAJobBind submits items of two routes.
func TestHomes_OfEveryRouteOfAJobBind(t *testing.T) {
	site := newHomeSite(t, place.Regions{"n"}, nil, "n-1", "s-1")
	mixed := submission("j", 2)
	mixed.Route, mixed.Items[0].Path = "free", "/free/x"
	if err := site.nodes["s-1"].Submit(t.Context(), mixed); err != nil {
		t.Fatal(err)
	}
	readAll(t, site.nodes["s-1"].testNode, "j")
	site.checkUntouched("s-1")
	if sent := site.nodes["s-1"].sentTo(); len(sent) != 0 {
		t.Fatalf("the node elsewhere sent items to %v", sent)
	}
}

// TestJob_RowsOfBeforeAreRead reads a row without regions and homes.
func TestJob_RowsOfBeforeAreRead(t *testing.T) {
	var job Job
	if err := decode(encode(map[int]any{1: "j", 2: "batch", 10: []string{"a"}}), &job); err != nil {
		t.Fatal(err)
	}
	entry := &Entry{Job: &job, Progress: &Progress{}}
	if job.Homes != nil || entry.region(0) != "" {
		t.Fatalf("job is %+v", job)
	}
	if homes := (&Service{Routes: newHomeSite(t, place.Regions{"n"}, nil).routes.Load}).homes(&job); fmt.Sprint(homes) != "[n]" {
		t.Fatalf("homes are %v", homes)
	}
}
