package quota

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// cluster is a fleet of real exchanges whose nodes may lose the store, each other, or both.
type cluster struct {
	t testing.TB
	// networkRandom plays the network, under mu, calls the callers.
	networkRandom *rand.Rand
	callRandom    *rand.Rand
	limit         Limit
	mu            sync.Mutex
	nodes         []*clusterNode
	// members are the nodes with a session in the store, gone those that lost it, since
	// when.
	members          map[string]bool
	lostAt           map[string]time.Time
	admittedAt       []time.Time
	refused          int
	reference        window
	referenceRefused int
}

// clusterNode is a node of a world. Nodes exchange datagrams within an island only.
type clusterNode struct {
	cluster     *cluster
	name        string
	coordinator *Coordinator
	storeCut    bool
	group       int
	dead        bool
	renewedAt   time.Time
	// sessionTimeout is how long after its last renewal others end its session.
	sessionTimeout time.Duration
	// members and gone are what the feed told last.
	members []string
	lostAt  map[string]time.Time
}

const (
	sessionTTL  = 3 * time.Second
	lostNodeTTL = 30 * time.Second
	testTenant  = "t"
)

func newCluster(t testing.TB, seed uint64, nodes int, limit Limit) *cluster {
	c := &cluster{t: t, networkRandom: rand.New(rand.NewPCG(seed, 1)), callRandom: rand.New(rand.NewPCG(seed, 2)), limit: limit, members: map[string]bool{}, lostAt: map[string]time.Time{}}
	for i := range nodes {
		node := &clusterNode{cluster: c, name: fmt.Sprintf("n%02d", i), renewedAt: time.Now()}
		node.coordinator = NewCoordinator(tolerance, node)
		node.coordinator.Session = node.name + "#1"
		node.coordinator.Limit = func(string) (Limit, bool) { return limit, true }
		node.coordinator.Sender = node
		node.sessionTimeout = sessionTTL + time.Duration(c.networkRandom.IntN(2500))*time.Millisecond
		c.nodes = append(c.nodes, node)
		c.members[node.name] = true
	}
	c.updateSessions()
	return c
}

// updateSessions plays the store and its feed.
func (c *cluster) updateSessions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	allCut := true
	for _, node := range c.nodes {
		allCut = allCut && (node.storeCut || node.dead)
		if !node.storeCut && !node.dead && now.Sub(node.renewedAt) >= time.Second {
			node.renewedAt = now
			c.members[node.name] = true
			delete(c.lostAt, node.name)
		}
	}
	for _, node := range c.nodes {
		// While the store is away from all nobody can end a session.
		if c.members[node.name] && !allCut && now.Sub(node.renewedAt) > node.sessionTimeout {
			delete(c.members, node.name)
			c.lostAt[node.name] = now
		}
	}
	for _, node := range c.nodes {
		if !node.storeCut {
			node.members, node.lostAt = nil, map[string]time.Time{}
			for name := range c.members {
				node.members = append(node.members, name)
			}
			for name, since := range c.lostAt {
				node.lostAt[name] = since
			}
		}
	}
}

func (n *clusterNode) Self() string { return n.name }

func (n *clusterNode) membership() (present, lost []string) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	present = slices.Clone(n.members)
	if !slices.Contains(present, n.name) {
		present = append(present, n.name)
	}
	for name, since := range n.lostAt {
		if name != n.name && time.Since(since) < lostNodeTTL {
			lost = append(lost, name)
		}
	}
	return present, lost
}

func (n *clusterNode) Owner(tenant string) (node, address string) {
	present, lost := n.membership()
	node = lease.Preferred(append(present, lost...), tenant)
	return node, n.addressOf(node)
}

func (n *clusterNode) Successor(tenant string) (node, address string) {
	present, _ := n.membership()
	node = lease.Preferred(present, tenant)
	return node, n.addressOf(node)
}

func (n *clusterNode) SessionLost(node string) bool {
	_, lost := n.membership()
	return slices.Contains(lost, node)
}

func (n *clusterNode) Peers() []Peer {
	present, lost := n.membership()
	var peers []Peer
	for _, name := range append(slices.Clone(present), lost...) {
		if name != n.name {
			peers = append(peers, Peer{Node: name, Address: n.addressOf(name), SessionLost: slices.Contains(lost, name)})
		}
	}
	return peers
}

func (n *clusterNode) Count() int {
	present, lost := n.membership()
	return len(present) + len(lost)
}

func (n *clusterNode) SinceConfirmed() time.Duration {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return time.Since(n.renewedAt)
}

func (n *clusterNode) addressOf(node string) string {
	for i, other := range n.cluster.nodes {
		if other.name == node {
			return fmt.Sprintf("127.0.0.1:%d", i+1)
		}
	}
	return ""
}

func (n *clusterNode) Send(to *net.UDPAddr, kind peer.Kind, body any) error {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		n.cluster.t.Error(err)
		return err
	}
	target := n.cluster.nodes[to.Port-1]
	n.cluster.mu.Lock()
	dropped := n.group != target.group || n.dead || target.dead || n.cluster.networkRandom.Float64() < 0.01
	delay := time.Duration(1+n.cluster.networkRandom.IntN(4)) * time.Millisecond
	n.cluster.mu.Unlock()
	if dropped {
		return nil
	}
	index := slices.Index(n.cluster.nodes, n)
	time.AfterFunc(delay, func() {
		if handle := target.coordinator.Handlers()[kind]; handle != nil && !target.dead {
			handle(n.coordinator.Session, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: index + 1}, encoded)
		}
	})
	return nil
}

// runFor lets time runFor while requests come at the given rates, one a node.
func (c *cluster) runFor(duration time.Duration, rates []float64) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(step) {
		c.updateSessions()
		for i, rate := range rates {
			for expected := rate * step.Seconds(); expected > 0; expected-- {
				if c.callRandom.Float64() < expected && !c.nodes[i].dead {
					c.sendRequest(c.nodes[i])
				}
			}
		}
	}
}

func (c *cluster) sendRequest(node *clusterNode) {
	if c.reference.advance(tolerance.Window, time.Now()); c.reference.total+1 > tolerance.nominal(c.limit) {
		c.referenceRefused++
	} else {
		c.reference.add(1)
	}
	go func() {
		err := node.coordinator.Admit(c.t.Context(), testTenant, c.limit)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil {
			c.refused++
			return
		}
		c.admittedAt = append(c.admittedAt, time.Now())
	}()
}

// maxInWindow returns the maxInWindow requests that ran in a window.
func (c *cluster) maxInWindow() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, highest := 0, 0
	for i, at := range c.admittedAt {
		for at.Sub(c.admittedAt[first]) > tolerance.Window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

func (c *cluster) randomRates(total float64, nodes []int) []float64 {
	rates := make([]float64, len(c.nodes))
	sum := 0.0
	for _, node := range nodes {
		rates[node] = 0.05 + c.callRandom.Float64()
		sum += rates[node]
	}
	for i := range rates {
		rates[i] *= total / sum
	}
	return rates
}

// partitions are the ways in which nodes are cut off.
var partitions = []struct {
	name                        string
	storeCut, isolated          bool
	separateGroup, includeOwner bool
	allNodes, fewCallers        bool
}{
	{name: "store only", storeCut: true},
	{name: "store only, the owner among them", storeCut: true, includeOwner: true},
	{name: "store only, all nodes", storeCut: true, allNodes: true, includeOwner: true},
	{name: "store only, all nodes, few callers", storeCut: true, allNodes: true, includeOwner: true, fewCallers: true},
	{name: "nodes only, each alone", isolated: true},
	{name: "nodes only, each alone, the owner among them", isolated: true, includeOwner: true},
	{name: "both, each alone", storeCut: true, isolated: true},
	{name: "both, each alone, the owner among them", storeCut: true, isolated: true, includeOwner: true},
	{name: "both, as a group", storeCut: true, separateGroup: true},
	{name: "both, as a group, the owner among them", storeCut: true, separateGroup: true, includeOwner: true},
}

// TestQuota_HoldsDuringPartitions cuts up to a third of the nodes off for 12 s, from
// the store, from other nodes, or from both, while far more comes than fits. Two nodes
// then hold themselves for the owner.
func TestQuota_HoldsDuringPartitions(t *testing.T) {
	for number, partition := range partitions {
		t.Run(partition.name, func(t *testing.T) {
			t.Parallel()
			total, refused, referenceRefused := 0, 0, 0
			for seed := range *partitionSeeds {
				seed += *partitionFrom
				failure := ""
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, uint64(number)))
					rate := 1 + 59*random.Float64()
					c := newCluster(t, seed, 3+random.IntN(22), Limit{Rate: rate, Burst: rate * random.Float64()})
					c.runPartition(number, random)
					total, refused, referenceRefused = total+len(c.admittedAt)+c.refused, refused+c.refused, referenceRefused+c.referenceRefused
					if highest, allowed := c.maxInWindow(), tolerance.nominal(c.limit)+tolerance.overshoot(c.limit); float64(highest) > allowed {
						failure = fmt.Sprintf("seed %d: %d requests ran in a window, %.1f are allowed (%d nodes, limit %+v)", seed, highest, allowed, len(c.nodes), c.limit)
					}
				})
				if failure != "" {
					t.Error(failure)
				}
			}
			t.Logf("%d requests, %d refused, %d beyond one count", total, refused, referenceRefused)
		})
	}
}

// partitionSeeds is the number of runs of each way of cutting, partitionFrom the first.
var (
	partitionSeeds = flag.Uint64("partition.seeds", 6, "runs of each way of cutting nodes off")
	partitionFrom  = flag.Uint64("partition.from", 0, "seed of the first run")
)

func (c *cluster) runPartition(number int, random *rand.Rand) {
	partition := partitions[number]
	ctx, stop := context.WithCancel(c.t.Context())
	var running sync.WaitGroup
	for _, node := range c.nodes {
		running.Go(func() { node.coordinator.Run(ctx) })
	}
	owner, _ := c.nodes[0].Owner(testTenant)
	order := random.Perm(len(c.nodes))
	if at := slices.IndexFunc(order, func(i int) bool { return c.nodes[i].name == owner }); partition.includeOwner {
		order[0], order[at] = order[at], order[0]
	}
	count := 1 + random.IntN(max(1, len(c.nodes)/3))
	if partition.allNodes {
		count = len(c.nodes)
	}
	callers := random.Perm(len(c.nodes))
	if partition.fewCallers {
		callers = callers[:min(3, len(callers))]
	}
	normalRates := c.randomRates(0.6*c.limit.Rate, callers)
	c.runFor(4*time.Second, normalRates)
	c.mu.Lock()
	for i, at := range order[:count] {
		node := c.nodes[at]
		node.storeCut = partition.storeCut
		switch {
		case partition.isolated:
			node.group = i + 1
		case partition.separateGroup:
			node.group = 1
		}
	}
	c.mu.Unlock()
	c.runFor(time.Duration(random.IntN(7000))*time.Millisecond, normalRates)
	loadFactor := 1 + 4*random.Float64()
	if partition.fewCallers {
		loadFactor = 0.9
	}
	c.runFor(5*time.Second, c.randomRates(loadFactor*c.limit.Rate, callers))
	overloadRates := c.randomRates(loadFactor*c.limit.Rate, callers)
	c.runFor(3*time.Second, overloadRates)
	c.mu.Lock()
	for _, node := range c.nodes {
		node.storeCut, node.group = false, 0
	}
	c.mu.Unlock()
	c.runFor(6*time.Second, overloadRates)
	c.runFor(time.Second, nil)
	stop()
	running.Wait()
	synctest.Wait()
}
