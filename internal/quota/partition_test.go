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

// cluster simulates a fleet of coordinators whose nodes may be cut off from the store, from each
// other, or both.
type cluster struct {
	t testing.TB
	// networkRandom drives the network and is guarded by mu. callRandom drives the callers.
	networkRandom *rand.Rand
	callRandom    *rand.Rand
	limit         Limit
	mu            sync.Mutex
	nodes         []*clusterNode
	// members holds the nodes with a session in the store. lostAt is when each other node lost
	// its session.
	members map[string]bool
	lostAt  map[string]time.Time
	// admittedAt holds the times of the admitted requests.
	admittedAt []time.Time
	refused    int
	// reference is a single counter for all nodes, which would refuse referenceRefused requests.
	reference        window
	referenceRefused int
}

// clusterNode is a node of a cluster.
type clusterNode struct {
	cluster     *cluster
	name        string
	coordinator *Coordinator
	// storeCut reports whether the node is cut off from the store.
	storeCut bool
	// group is the network partition of the node. Datagrams between groups are lost.
	group     int
	dead      bool
	renewedAt time.Time
	// sessionTimeout is the time since renewedAt after which other nodes end the session.
	sessionTimeout time.Duration
	// members and lostAt are the cluster's, as of the node's last contact with the store.
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

// updateSessions simulates the store: it renews and ends sessions, and updates the nodes that reach
// the store.
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
		// If no node reaches the store, no node can end a session.
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

// membership returns the nodes with a session and those that lost theirs, as seen by n.
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

// runFor sends requests for duration, at the given rate per second for each node.
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

// sendRequest sends a request to node and records whether it is admitted.
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

// maxInWindow returns the largest number of requests admitted in any window.
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

// randomRates distributes a total rate randomly over the given nodes.
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

// partitions lists the ways in which nodes are cut off.
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

// TestQuota_HoldsDuringPartitions checks that no window exceeds the limit and its tolerance while
// up to a third of the nodes, or all, are cut off from the store, from other nodes, or from both.
// Two nodes may then act as the owner, and most callers exceed the limit.
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
						failure = fmt.Sprintf("seed %d: %d requests admitted in a window, want at most %.1f (%d nodes, limit %+v)", seed, highest, allowed, len(c.nodes), c.limit)
					}
				})
				if failure != "" {
					t.Error(failure)
				}
			}
			t.Logf("%d requests, %d refused, a single counter would refuse %d", total, refused, referenceRefused)
		})
	}
}

// partitionSeeds is the number of seeds to run for each partition, partitionFrom the first seed.
var (
	partitionSeeds = flag.Uint64("partition.seeds", 6, "runs of each way of cutting nodes off")
	partitionFrom  = flag.Uint64("partition.from", 0, "seed of the first run")
)

// runPartition runs the cluster through the partition with the given index and its end.
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
