package jobs

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// roomOwners are the live nodes of a roomSite.
type roomOwners struct {
	homeFleet
	look time.Duration
}

func (o *roomOwners) RefreshInterval() time.Duration { return o.look }

func (o *roomOwners) Places() []place.Node {
	var nodes []place.Node
	for _, node := range o.Nodes() {
		nodes = append(nodes, place.Node{ID: node, Place: place.Place{Region: regionOf(node)}})
	}
	return nodes
}

// roomNode is a node of a roomSite.
type roomNode struct {
	*testNode
	site   *roomSite
	name   string
	set    *replica.Set
	runner *Runner
	cancel context.CancelFunc
	dead   atomic.Bool
}

// roomSite is a fleet before replicas, with all parts real but the replicas, the table and
// the way of the words between nodes.
type roomSite struct {
	t *testing.T
	// ctx ends with the test, later is what is under way by itself.
	ctx     context.Context
	later   sync.WaitGroup
	shared  *tabletest.Table
	owners  *roomOwners
	nodes   []*roomNode
	servers map[string]*roomServer
	// lostWords is the part of the words between nodes that are lost, lateWords how late
	// the others come at most.
	lostWords float64
	lateWords time.Duration
	eventTime time.Duration
	itemSize  int

	mu      sync.Mutex
	rng     *rand.Rand
	open    map[string]int
	overlap []string
}

func newRoomSite(t *testing.T, seed uint64, nodes []string, servers map[string]int) *roomSite {
	t.Helper()
	s := &roomSite{
		t: t, shared: tabletest.New(), owners: &roomOwners{look: 500 * time.Millisecond}, servers: map[string]*roomServer{},
		eventTime: 20 * time.Millisecond, itemSize: 10, rng: rand.New(rand.NewPCG(seed, seed)), open: map[string]int{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.ctx = ctx
	t.Cleanup(func() {
		cancel()
		s.later.Wait()
	})
	for name, slots := range servers {
		s.servers[name] = &roomServer{name: name, slots: slots, holds: map[string]time.Time{}, listed: true}
	}
	var live []string
	for _, name := range nodes {
		live = append(live, name+"#1")
	}
	s.owners.set(live...)
	objects := &objecttest.Store{}
	for _, name := range nodes {
		s.add(name, objects)
	}
	return s
}

// run starts the nodes. What is set of the site is set before.
func (s *roomSite) run() {
	for _, node := range s.nodes {
		node.start()
	}
}

func (s *roomSite) add(name string, objects *objecttest.Store) {
	node := &roomNode{testNode: startNode(s.t, s.shared, objects, name+"#1"), site: s, name: name, set: replica.NewSet()}
	for _, server := range s.servers {
		node.set.Put(server.info())
	}
	node.set.Divide(name, s.owners.Places())
	node.Fleet = s.owners
	node.runner = NewRunner(RunnerOptions{
		Service: node.Service, Replicas: node.set, Backend: node, Reserver: node, Routes: batchTable, Owners: s.owners,
		ViewAge: func() time.Duration { return 0 }, Region: regionOf(name),
	})
	node.set.Pressed = node.runner.Preempt
	s.nodes = append(s.nodes, node)
}

func (n *roomNode) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	var running sync.WaitGroup
	running.Go(func() { n.runner.Run(ctx) })
	running.Go(func() { n.runner.RunClaims(ctx) })
	running.Go(func() { n.tell(ctx) })
	n.site.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// tell does what a gateway does with its needs.
func (n *roomNode) tell(ctx context.Context) {
	for retry.Sleep(ctx, 100*time.Millisecond) {
		for _, need := range n.set.Needs(clock.Now()) {
			why := replica.Pressure{Fleet: need.Fleet}
			if need.Excess > 0 {
				n.runner.PreemptPool(need.Pool, need.Excess, why)
			}
			if need.BorrowedExcess > 0 {
				n.runner.PreemptBorrowed(need.Pool, need.BorrowedExcess, why)
			}
			for _, other := range n.site.someOthers(n, 3) {
				if late := n.site.late(); late >= 0 {
					n.site.after(ctx, late, func() { other.hear(need) })
				}
			}
		}
	}
}

// hear takes in a word of another node.
func (n *roomNode) hear(need replica.Need) {
	n.set.Told(need.Pool, need.Level, need.Share, clock.Now())
	n.set.ToldIdle(need.Pool, float64(need.Idle), clock.Now())
}

// after does something later. Timers that run functions of their own end the runtime with the
// race detector in a bubble of made-up time, so it waits in a goroutine.
func (s *roomSite) after(ctx context.Context, delay time.Duration, do func()) {
	if delay == 0 {
		do()
		return
	}
	s.later.Go(func() {
		if retry.Sleep(ctx, delay) {
			do()
		}
	})
}

// late is how late a word comes; negative if it is lost.
func (s *roomSite) late() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.Float64() < s.lostWords {
		return -1
	}
	return time.Duration(s.rng.Float64() * float64(s.lateWords))
}

// someOthers returns random other nodes of the same region.
func (s *roomSite) someOthers(self *roomNode, count int) []*roomNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []*roomNode
	for _, at := range s.rng.Perm(len(s.nodes)) {
		one := s.nodes[at]
		if one != self && regionOf(one.name) == regionOf(self.name) && len(others) < count {
			others = append(others, one)
		}
	}
	return others
}

// Reserve implements forward.Reserver.
func (n *roomNode) Reserve(ctx context.Context, chosen replica.Info, _ int, hold time.Duration) (string, error) {
	retry.Sleep(ctx, time.Millisecond)
	return n.site.servers[chosen.ID].reserve(hold)
}

// Send implements forward.Backend.
func (n *roomNode) Send(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	retry.Sleep(ctx, time.Millisecond)
	server := n.site.servers[attempt.Replica.ID]
	if !server.take(attempt.Reservation) {
		return nil, outcome.Failed(forward.ErrRefused)
	}
	n.site.began(attempt.Request.ID)
	body := &roomBody{ctx: ctx, node: n, server: server, item: attempt.Request.ID, next: attempt.LastEventID + 1}
	return &forward.Answer{Status: http.StatusOK, Header: http.Header{}, EventStream: true, Body: body}, nil
}

func (s *roomSite) began(item string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[item]++
	if s.open[item] > 1 {
		s.overlap = append(s.overlap, item)
	}
}

func (s *roomSite) ended(item string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[item]--
}

// roomBody is an answer whose events come one by one.
type roomBody struct {
	ctx    context.Context
	node   *roomNode
	server *roomServer
	item   string
	next   int
	left   []byte
	once   sync.Once
}

func (b *roomBody) Read(into []byte) (int, error) {
	if len(b.left) == 0 {
		if b.next > b.node.site.itemSize {
			return 0, io.EOF
		}
		if !retry.Sleep(b.ctx, b.node.site.eventTime) {
			return 0, context.Cause(b.ctx)
		}
		b.left = []byte(events(b.next, b.next))
		b.next++
	}
	count := copy(into, b.left)
	b.left = b.left[count:]
	return count, nil
}

func (b *roomBody) Close() error {
	b.once.Do(func() {
		b.server.leave()
		b.node.site.ended(b.item)
	})
	return nil
}

// load runs a part of the load until the test ends.
func (s *roomSite) load(run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// kill ends a node's processes; the others learn of it when its session has run out.
func (s *roomSite) kill(node *roomNode) {
	node.dead.Store(true)
	node.cancel()
	s.after(s.ctx, 3*time.Second, func() {
		var live []string
		for _, session := range s.owners.Live() {
			if session != node.session {
				live = append(live, session)
			}
		}
		s.owners.set(live...)
	})
}

// list lists a server, or takes it off the list.
func (s *roomSite) list(server *roomServer, listed bool) {
	server.mu.Lock()
	server.listed = listed
	server.mu.Unlock()
	for _, node := range s.nodes {
		if listed {
			node.set.Put(server.info())
		} else {
			node.set.Remove(server.name, clock.Now())
		}
	}
}

func (s *roomSite) free() int {
	free := 0
	for _, server := range s.servers {
		free += server.free()
	}
	return free
}

// online holds a slot of a server for a request of a node, if one is free.
func (n *roomNode) online(server *roomServer, hold time.Duration) {
	now := clock.Now()
	use := n.set.Begin(server.name, replica.Ask{Tokens: 10, Objective: time.Second}, now)
	if use == nil {
		return
	}
	result := replica.Refused
	if server.take("") {
		use.First(clock.Now())
		time.Sleep(hold)
		server.leave()
		result = replica.Succeeded
	}
	use.End(result, clock.Now())
}
