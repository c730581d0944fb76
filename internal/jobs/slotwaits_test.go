package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// scenario is a random load and set of failures.
type scenario struct {
	nodes, servers, slots, jobs, items, kills, losses int
	regions                                           int
	// online is the fraction of the slots that online requests use.
	online          float64
	messageLoss     float64
	maxMessageDelay time.Duration
}

func drawScenario(rng *rand.Rand) scenario {
	return scenario{
		nodes: 2 + rng.IntN(24), servers: 2 + rng.IntN(5), slots: 1 + rng.IntN(4), regions: 1 + rng.IntN(2),
		jobs: 2 + rng.IntN(6), items: 1 + rng.IntN(30), kills: rng.IntN(3), losses: rng.IntN(3),
		online: []float64{0, 0, 0.2, 0.4, 0.8}[rng.IntN(5)], messageLoss: []float64{0, 0.5, 1}[rng.IntN(3)],
		maxMessageDelay: time.Duration(rng.IntN(1500)) * time.Millisecond,
	}
}

// bound returns how long an item may wait while a slot is free.
func (sc scenario) bound() time.Duration {
	switch {
	case sc.online > 0.3:
		// The peak demand of a node with few requests is overestimated.
		return crowdedBound
	case sc.regions > 1 || sc.messageLoss > 0 || sc.maxMessageDelay > time.Second/2:
		return backlogBound
	default:
		return slotBound
	}
}

// TestRunner_NoItemWaitsWhileASlotIsFree runs random scenarios in which jobs arrive, nodes die,
// replicas are removed and listed again, online requests use slots, and messages are lost or late.
// No item may wait for longer than the bound while a slot is free all the time, none may run twice
// at a time at live nodes, and all must be listed in the end.
func TestRunner_NoItemWaitsWhileASlotIsFree(t *testing.T) {
	seeds := 40
	if testing.Short() {
		seeds = 6
	}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		sc := drawScenario(rng)
		t.Run(fmt.Sprintf("seed %d: %+v", seed, sc), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScenario(t, uint64(seed), sc, rng) })
		})
	}
}

func runScenario(t *testing.T, seed uint64, sc scenario, rng *rand.Rand) {
	nodes, servers := []string{}, map[string]int{}
	for i := range sc.nodes {
		nodes = append(nodes, fmt.Sprintf("%c-%02d", "ns"[i%sc.regions], i))
	}
	for i := range sc.servers {
		servers[fmt.Sprintf("%c-s%d", "ns"[i%sc.regions], i)] = sc.slots
	}
	site := newSlotSite(t, seed, nodes, servers)
	site.messageLoss, site.maxMessageDelay = sc.messageLoss, sc.maxMessageDelay
	site.run()
	site.holdOnline(int(sc.online * float64(sc.servers*sc.slots)))
	time.Sleep(time.Second)
	for i := range sc.kills {
		if victim := 1 + i; victim < sc.nodes-1 {
			site.afterDelay(site.ctx, time.Duration(rng.IntN(15_000))*time.Millisecond, func() { site.kill(site.nodes[victim]) })
		}
	}
	for range sc.losses {
		server := site.servers[fmt.Sprintf("%c-s%d", "ns"[0], 0)]
		at := time.Duration(rng.IntN(10_000)) * time.Millisecond
		site.afterDelay(site.ctx, at, func() { site.setListed(server, false) })
		site.afterDelay(site.ctx, at+5*time.Second, func() { site.setListed(server, true) })
	}
	watch := site.watchWaits(sc.bound())
	for i := range sc.jobs {
		site.submitAt(0, fmt.Sprintf("j%d", i), sc.items)
		time.Sleep(time.Duration(rng.IntN(2_000)) * time.Millisecond)
	}
	for i := range sc.jobs {
		site.awaitDone(fmt.Sprintf("j%d", i), 3*time.Minute)
	}
	if violation := watch(); violation != "" {
		t.Fatalf("an item waited for more than %v while a slot was free: %s", sc.bound(), violation)
	}
	if sc.kills == 0 && len(site.duplicates) > 0 {
		t.Fatalf("items ran twice at a time: %v", site.duplicates)
	}
}

// holdOnline keeps a number of slots in use by online requests of 300 ms.
func (s *slotSite) holdOnline(slots int) {
	var servers []*slotServer
	for _, server := range s.servers {
		for range server.slots {
			servers = append(servers, server)
		}
	}
	for i := range slots {
		s.runLoad(func(ctx context.Context) {
			for at := i; retry.Sleep(ctx, time.Millisecond); at++ {
				s.nodes[at%len(s.nodes)].runOnline(servers[i], 300*time.Millisecond)
			}
		})
	}
}

// watchWaits records the first item that waits for a slot for longer than the bound while one is
// free all the time. The function returned stops it.
func (s *slotSite) watchWaits(bound time.Duration) (ended func() string) {
	const interval = 100 * time.Millisecond
	found, stop := make(chan string, 1), make(chan struct{})
	go func() {
		violation, freeSince := "", clock.Now()
		defer func() { found <- violation }()
		for {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			if s.free() == 0 {
				freeSince = clock.Now()
			}
			if longest := s.longestWait(freeSince); violation == "" && longest > bound {
				violation = fmt.Sprintf("%v by now, %d free%s", longest, s.free(), s.describeWaits())
			}
		}
	}()
	end := sync.OnceFunc(func() { close(stop) })
	s.t.Cleanup(end)
	return func() string {
		end()
		return <-found
	}
}

// longestWait returns the longest wait of an item for a slot since some were free.
func (s *slotSite) longestWait(freeSince time.Time) time.Duration {
	var longest time.Duration
	for _, node := range s.nodes {
		for _, wait := range node.runner.ItemWaits() {
			if node.dead.Load() || wait.Reason == WaitAnswer || wait.Reason == WaitListing {
				continue
			}
			since := wait.LastProgress
			if freeSince.After(since) {
				since = freeSince
			}
			longest = max(longest, clock.Since(since))
		}
	}
	return longest
}
