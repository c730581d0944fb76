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

// slotOwners are the live nodes of a slotSite.
type slotOwners struct {
	regionFleet
	refreshInterval time.Duration
	// idle are nodes that have slots, run no items and report nothing.
	idle []string
}

func (o *slotOwners) RefreshInterval() time.Duration { return o.refreshInterval }

func (o *slotOwners) Places() []place.Node {
	var nodes []place.Node
	for _, node := range append(o.Nodes(), o.idle...) {
		nodes = append(nodes, place.Node{ID: node, Place: place.Place{Region: regionOf(node)}})
	}
	return nodes
}

// slotNode is a node of a slotSite.
type slotNode struct {
	*testNode
	site   *slotSite
	name   string
	set    *replica.Set
	runner *Runner
	cancel context.CancelFunc
	dead   atomic.Bool
}

// slotSite is a fleet in which everything is real except the replicas, the table and the messages
// between nodes.
type slotSite struct {
	t *testing.T
	// ctx ends with the test; background tracks goroutines started by afterDelay.
	ctx        context.Context
	background sync.WaitGroup
	shared     *tabletest.Table
	owners     *slotOwners
	nodes      []*slotNode
	servers    map[string]*slotServer
	// messageLoss is the probability that a message between nodes is lost, maxMessageDelay the
	// longest delay of the others.
	messageLoss     float64
	maxMessageDelay time.Duration
	eventTime       time.Duration
	itemSize        int

	mu         sync.Mutex
	rng        *rand.Rand
	running    map[string]int
	duplicates []string
}

func newSlotSite(t *testing.T, seed uint64, nodes []string, servers map[string]int) *slotSite {
	t.Helper()
	s := &slotSite{
		t: t, shared: tabletest.New(), owners: &slotOwners{refreshInterval: 500 * time.Millisecond}, servers: map[string]*slotServer{},
		eventTime: 20 * time.Millisecond, itemSize: 10, rng: rand.New(rand.NewPCG(seed, seed)), running: map[string]int{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.ctx = ctx
	t.Cleanup(func() {
		cancel()
		s.background.Wait()
	})
	for name, slots := range servers {
		s.servers[name] = &slotServer{name: name, slots: slots, reservations: map[string]time.Time{}, listed: true}
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

// run starts the nodes. The fields of the site must be set before.
func (s *slotSite) run() {
	for _, node := range s.nodes {
		node.start()
	}
}

func (s *slotSite) add(name string, objects *objecttest.Store) {
	node := &slotNode{testNode: startNode(s.t, s.shared, objects, name+"#1"), site: s, name: name, set: replica.NewSet()}
	for _, server := range s.servers {
		node.set.Put(server.info())
	}
	node.set.Divide(name, s.owners.Places())
	node.Fleet = s.owners
	node.runner = NewRunner(RunnerOptions{
		Service: node.Service, Replicas: node.set, Backend: node, Reserver: node, Routes: batchTable, Owners: s.owners,
		ViewAge: func() time.Duration { return 0 }, Region: regionOf(name),
	})
	node.set.OnPressure = node.runner.Preempt
	s.nodes = append(s.nodes, node)
}

func (n *slotNode) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	var loops sync.WaitGroup
	loops.Go(func() { n.runner.Run(ctx) })
	loops.Go(func() { n.runner.RunClaims(ctx) })
	loops.Go(func() { n.publishDemand(ctx) })
	n.site.t.Cleanup(func() {
		cancel()
		loops.Wait()
	})
}

// publishDemand preempts items for the demand of online requests and sends this node's demand to
// other nodes, as a gateway does.
func (n *slotNode) publishDemand(ctx context.Context) {
	for retry.Sleep(ctx, 100*time.Millisecond) {
		for _, demand := range n.set.UpdateDemand(clock.Now()) {
			pressure := replica.Pressure{Fleet: demand.FleetUsage}
			if demand.Excess > 0 {
				n.runner.PreemptPool(demand.Pool, demand.Excess, pressure)
			}
			if demand.BorrowedExcess > 0 {
				n.runner.PreemptBorrowed(demand.Pool, demand.BorrowedExcess, pressure)
			}
			for _, other := range n.site.randomPeers(n, 3, true) {
				n.site.deliver(ctx, func() { other.receiveDemand(demand) })
			}
			for _, other := range n.site.randomPeers(n, 1, false) {
				n.site.deliver(ctx, func() { other.set.RecordIdleElsewhere(demand.Pool, demand.Idle, clock.Now()) })
			}
		}
	}
}

// deliver delivers a message between nodes, unless it is lost.
func (s *slotSite) deliver(ctx context.Context, receive func()) {
	if delay := s.messageDelay(); delay >= 0 {
		s.afterDelay(ctx, delay, receive)
	}
}

// receiveDemand records the demand sent by another node.
func (n *slotNode) receiveDemand(demand replica.PoolDemand) {
	n.set.RecordDemand(demand.Pool, demand.Level, demand.Share, clock.Now())
	n.set.RecordIdle(demand.Pool, float64(demand.Idle), clock.Now())
}

// afterDelay runs f later. It sleeps in a goroutine, because timers that run functions crash the
// race detector's runtime in a synctest bubble.
func (s *slotSite) afterDelay(ctx context.Context, delay time.Duration, f func()) {
	if delay == 0 {
		f()
		return
	}
	s.background.Go(func() {
		if retry.Sleep(ctx, delay) {
			f()
		}
	})
}

// messageDelay returns the delay of a message; negative if it is lost.
func (s *slotSite) messageDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.Float64() < s.messageLoss {
		return -1
	}
	return time.Duration(s.rng.Float64() * float64(s.maxMessageDelay))
}

// randomPeers returns up to count random other nodes of the same region, or of other regions.
func (s *slotSite) randomPeers(self *slotNode, count int, sameRegion bool) []*slotNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []*slotNode
	for _, at := range s.rng.Perm(len(s.nodes)) {
		peer := s.nodes[at]
		if peer != self && (regionOf(peer.name) == regionOf(self.name)) == sameRegion && len(others) < count {
			others = append(others, peer)
		}
	}
	return others
}

// Reserve implements forward.Reserver.
func (n *slotNode) Reserve(ctx context.Context, chosen replica.Info, _ int, ttl time.Duration) (string, error) {
	retry.Sleep(ctx, time.Millisecond)
	return n.site.servers[chosen.ID].reserve(ttl)
}

// Send implements forward.Backend.
func (n *slotNode) Send(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	retry.Sleep(ctx, time.Millisecond)
	server := n.site.servers[attempt.Replica.ID]
	if !server.acquire(attempt.Reservation) {
		return nil, outcome.AsNotDone(forward.ErrRefused)
	}
	n.site.runStarted(attempt.Request.ID)
	body := &pacedBody{ctx: ctx, node: n, server: server, item: attempt.Request.ID, next: attempt.LastEventID + 1}
	return &forward.Answer{Status: http.StatusOK, Header: http.Header{}, EventStream: true, Body: body}, nil
}

func (s *slotSite) runStarted(item string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[item]++
	if s.running[item] > 1 {
		s.duplicates = append(s.duplicates, item)
	}
}

func (s *slotSite) runEnded(item string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[item]--
}

// pacedBody is an answer whose events arrive one by one.
type pacedBody struct {
	ctx      context.Context
	node     *slotNode
	server   *slotServer
	item     string
	next     int
	buffered []byte
	once     sync.Once
}

func (b *pacedBody) Read(into []byte) (int, error) {
	if len(b.buffered) == 0 {
		if b.next > b.node.site.itemSize {
			return 0, io.EOF
		}
		if !retry.Sleep(b.ctx, b.node.site.eventTime) {
			return 0, context.Cause(b.ctx)
		}
		b.buffered = []byte(events(b.next, b.next))
		b.next++
	}
	count := copy(into, b.buffered)
	b.buffered = b.buffered[count:]
	return count, nil
}

func (b *pacedBody) Close() error {
	b.once.Do(func() {
		b.server.release()
		b.node.site.runEnded(b.item)
	})
	return nil
}

// runLoad generates load until the test ends.
func (s *slotSite) runLoad(run func(ctx context.Context)) {
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

// kill stops a node. For the other nodes it is live until its session expires.
func (s *slotSite) kill(node *slotNode) {
	node.dead.Store(true)
	node.cancel()
	s.afterDelay(s.ctx, 3*time.Second, func() {
		var live []string
		for _, session := range s.owners.Live() {
			if session != node.session {
				live = append(live, session)
			}
		}
		s.owners.set(live...)
	})
}

// setListed adds a server to the replicas of all nodes, or removes it.
func (s *slotSite) setListed(server *slotServer, listed bool) {
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

func (s *slotSite) free() int {
	free := 0
	for _, server := range s.servers {
		free += server.free()
	}
	return free
}

// runOnline runs an online request of a node at a server, if a slot is free.
func (n *slotNode) runOnline(server *slotServer, hold time.Duration) {
	now := clock.Now()
	use := n.set.Begin(server.name, replica.RequestInfo{Tokens: 10, Objective: time.Second}, now)
	if use == nil {
		return
	}
	result := replica.Refused
	if server.acquire("") {
		use.FirstEvent(clock.Now())
		time.Sleep(hold)
		server.release()
		result = replica.Succeeded
	}
	use.End(result, clock.Now())
}
