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

// world is a fleet of real exchanges whose nodes may lose the store, each other, or both.
type world struct {
	t testing.TB
	// random plays the network, under mu, calls the callers.
	random *rand.Rand
	calls  *rand.Rand
	limit  Limit
	mu     sync.Mutex
	nodes  []*worldNode
	// members are the nodes with a session in the store, gone those that lost it, since
	// when.
	members map[string]bool
	gone    map[string]time.Time
	ran     []time.Time
	refused int
	single  window
	beyond  int
}

// worldNode is a node of a world. Nodes exchange datagrams within an island only.
type worldNode struct {
	w        *world
	name     string
	exchange *Exchange
	noStore  bool
	island   int
	dead     bool
	renewed  time.Time
	// lapse is how long after its last renewal others end its session.
	lapse time.Duration
	// members and gone are what the feed told last.
	members []string
	gone    map[string]time.Time
}

const (
	worldTimeToLive = 3 * time.Second
	worldAwayKept   = 30 * time.Second
	worldTenant     = "t"
)

func newWorld(t testing.TB, seed uint64, nodes int, limit Limit) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), calls: rand.New(rand.NewPCG(seed, 2)), limit: limit, members: map[string]bool{}, gone: map[string]time.Time{}}
	for i := range nodes {
		node := &worldNode{w: w, name: fmt.Sprintf("n%02d", i), renewed: time.Now()}
		node.exchange = NewExchange(tolerance, node)
		node.exchange.Session = node.name + "#1"
		node.exchange.Limit = func(string) (Limit, bool) { return limit, true }
		node.exchange.Sender = node
		node.lapse = worldTimeToLive + time.Duration(w.random.IntN(2500))*time.Millisecond
		w.nodes = append(w.nodes, node)
		w.members[node.name] = true
	}
	w.tick()
	return w
}

// tick plays the store and its feed.
func (w *world) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	allCut := true
	for _, node := range w.nodes {
		allCut = allCut && (node.noStore || node.dead)
		if !node.noStore && !node.dead && now.Sub(node.renewed) >= time.Second {
			node.renewed = now
			w.members[node.name] = true
			delete(w.gone, node.name)
		}
	}
	for _, node := range w.nodes {
		// While the store is away from all nobody can end a session.
		if w.members[node.name] && !allCut && now.Sub(node.renewed) > node.lapse {
			delete(w.members, node.name)
			w.gone[node.name] = now
		}
	}
	for _, node := range w.nodes {
		if !node.noStore {
			node.members, node.gone = nil, map[string]time.Time{}
			for name := range w.members {
				node.members = append(node.members, name)
			}
			for name, since := range w.gone {
				node.gone[name] = since
			}
		}
	}
}

func (n *worldNode) Self() string { return n.name }

func (n *worldNode) locked() (present, away []string) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	present = slices.Clone(n.members)
	if !slices.Contains(present, n.name) {
		present = append(present, n.name)
	}
	for name, since := range n.gone {
		if name != n.name && time.Since(since) < worldAwayKept {
			away = append(away, name)
		}
	}
	return present, away
}

func (n *worldNode) Owner(tenant string) (node, address string) {
	present, away := n.locked()
	node = lease.Preferred(append(present, away...), tenant)
	return node, n.addressOf(node)
}

func (n *worldNode) Successor(tenant string) (node, address string) {
	present, _ := n.locked()
	node = lease.Preferred(present, tenant)
	return node, n.addressOf(node)
}

func (n *worldNode) Away(node string) bool {
	_, away := n.locked()
	return slices.Contains(away, node)
}

func (n *worldNode) Others() []Other {
	present, away := n.locked()
	var others []Other
	for _, name := range append(slices.Clone(present), away...) {
		if name != n.name {
			others = append(others, Other{Node: name, Address: n.addressOf(name), Away: slices.Contains(away, name)})
		}
	}
	return others
}

func (n *worldNode) Count() int {
	present, away := n.locked()
	return len(present) + len(away)
}

func (n *worldNode) Unconfirmed() time.Duration {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return time.Since(n.renewed)
}

func (n *worldNode) addressOf(node string) string {
	for i, other := range n.w.nodes {
		if other.name == node {
			return fmt.Sprintf("127.0.0.1:%d", i+1)
		}
	}
	return ""
}

func (n *worldNode) Send(to *net.UDPAddr, kind peer.Kind, body any) error {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		n.w.t.Error(err)
		return err
	}
	target := n.w.nodes[to.Port-1]
	n.w.mu.Lock()
	lost := n.island != target.island || n.dead || target.dead || n.w.random.Float64() < 0.01
	delay := time.Duration(1+n.w.random.IntN(4)) * time.Millisecond
	n.w.mu.Unlock()
	if lost {
		return nil
	}
	index := slices.Index(n.w.nodes, n)
	time.AfterFunc(delay, func() {
		if handle := target.exchange.Handlers()[kind]; handle != nil && !target.dead {
			handle(n.exchange.Session, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: index + 1}, encoded)
		}
	})
	return nil
}

// pass lets time pass while requests come at the given rates, one a node.
func (w *world) pass(length time.Duration, rates []float64) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(step) {
		w.tick()
		for i, rate := range rates {
			for expected := rate * step.Seconds(); expected > 0; expected-- {
				if w.calls.Float64() < expected && !w.nodes[i].dead {
					w.ask(w.nodes[i])
				}
			}
		}
	}
}

func (w *world) ask(node *worldNode) {
	if w.single.advance(tolerance.Window, time.Now()); w.single.total+1 > tolerance.stated(w.limit) {
		w.beyond++
	} else {
		w.single.add(1)
	}
	go func() {
		err := node.exchange.Admit(w.t.Context(), worldTenant, w.limit)
		w.mu.Lock()
		defer w.mu.Unlock()
		if err != nil {
			w.refused++
			return
		}
		w.ran = append(w.ran, time.Now())
	}()
}

// most returns the most requests that ran in a window.
func (w *world) most() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	first, most := 0, 0
	for i, at := range w.ran {
		for at.Sub(w.ran[first]) > tolerance.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (w *world) spread(total float64, nodes []int) []float64 {
	rates := make([]float64, len(w.nodes))
	sum := 0.0
	for _, node := range nodes {
		rates[node] = 0.05 + w.calls.Float64()
		sum += rates[node]
	}
	for i := range rates {
		rates[i] *= total / sum
	}
	return rates
}

// cuts are the ways in which nodes are cut off.
var cuts = []struct {
	name                string
	noStore, eachAlone  bool
	apart, ownerAmong   bool
	everybody, callsFew bool
}{
	{name: "store only", noStore: true},
	{name: "store only, the owner among them", noStore: true, ownerAmong: true},
	{name: "store only, all nodes", noStore: true, everybody: true, ownerAmong: true},
	{name: "store only, all nodes, few callers", noStore: true, everybody: true, ownerAmong: true, callsFew: true},
	{name: "nodes only, each alone", eachAlone: true},
	{name: "nodes only, each alone, the owner among them", eachAlone: true, ownerAmong: true},
	{name: "both, each alone", noStore: true, eachAlone: true},
	{name: "both, each alone, the owner among them", noStore: true, eachAlone: true, ownerAmong: true},
	{name: "both, as a group", noStore: true, apart: true},
	{name: "both, as a group, the owner among them", noStore: true, apart: true, ownerAmong: true},
}

// TestQuota_HoldsWhileNodesAreCutOff cuts up to a third of the nodes off for 12 s, from
// the store, from other nodes, or from both, while far more comes than fits. Two nodes
// then hold themselves for the owner.
func TestQuota_HoldsWhileNodesAreCutOff(t *testing.T) {
	for number, cut := range cuts {
		t.Run(cut.name, func(t *testing.T) {
			t.Parallel()
			total, refused, beyond := 0, 0, 0
			for seed := range *partitionSeeds {
				seed += *partitionFrom
				over := ""
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, uint64(number)))
					rate := 1 + 59*random.Float64()
					w := newWorld(t, seed, 3+random.IntN(22), Limit{Rate: rate, Burst: rate * random.Float64()})
					w.playCut(number, random)
					total, refused, beyond = total+len(w.ran)+w.refused, refused+w.refused, beyond+w.beyond
					if most, allowed := w.most(), tolerance.stated(w.limit)+tolerance.beyond(w.limit); float64(most) > allowed {
						over = fmt.Sprintf("seed %d: %d requests ran in a window, %.1f are allowed (%d nodes, limit %+v)", seed, most, allowed, len(w.nodes), w.limit)
					}
				})
				if over != "" {
					t.Error(over)
				}
			}
			t.Logf("%d requests, %d refused, %d beyond one count", total, refused, beyond)
		})
	}
}

// partitionSeeds is the number of runs of each way of cutting, partitionFrom the first.
var (
	partitionSeeds = flag.Uint64("partition.seeds", 6, "runs of each way of cutting nodes off")
	partitionFrom  = flag.Uint64("partition.from", 0, "seed of the first run")
)

func (w *world) playCut(number int, random *rand.Rand) {
	cut := cuts[number]
	ctx, stop := context.WithCancel(w.t.Context())
	var running sync.WaitGroup
	for _, node := range w.nodes {
		running.Go(func() { node.exchange.Run(ctx) })
	}
	owner, _ := w.nodes[0].Owner(worldTenant)
	order := random.Perm(len(w.nodes))
	if at := slices.IndexFunc(order, func(i int) bool { return w.nodes[i].name == owner }); cut.ownerAmong {
		order[0], order[at] = order[at], order[0]
	}
	count := 1 + random.IntN(max(1, len(w.nodes)/3))
	if cut.everybody {
		count = len(w.nodes)
	}
	callers := random.Perm(len(w.nodes))
	if cut.callsFew {
		callers = callers[:min(3, len(callers))]
	}
	usual := w.spread(0.6*w.limit.Rate, callers)
	w.pass(4*time.Second, usual)
	w.mu.Lock()
	for i, at := range order[:count] {
		node := w.nodes[at]
		node.noStore = cut.noStore
		switch {
		case cut.eachAlone:
			node.island = i + 1
		case cut.apart:
			node.island = 1
		}
	}
	w.mu.Unlock()
	w.pass(time.Duration(random.IntN(7000))*time.Millisecond, usual)
	times := 1 + 4*random.Float64()
	if cut.callsFew {
		times = 0.9
	}
	w.pass(5*time.Second, w.spread(times*w.limit.Rate, callers))
	busy := w.spread(times*w.limit.Rate, callers)
	w.pass(3*time.Second, busy)
	w.mu.Lock()
	for _, node := range w.nodes {
		node.noStore, node.island = false, 0
	}
	w.mu.Unlock()
	w.pass(6*time.Second, busy)
	w.pass(time.Second, nil)
	stop()
	running.Wait()
	synctest.Wait()
}
