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

// roomDay is a day of the property, drawn from a seed.
type roomDay struct {
	nodes, servers, slots, jobs, items, kills, losses int
	regions                                           int
	// online is the part of the slots that online requests hold.
	online    float64
	lostWords float64
	lateWords time.Duration
}

func drawRoomDay(rng *rand.Rand) roomDay {
	return roomDay{
		nodes: 2 + rng.IntN(24), servers: 2 + rng.IntN(5), slots: 1 + rng.IntN(4), regions: 1 + rng.IntN(2),
		jobs: 2 + rng.IntN(6), items: 1 + rng.IntN(30), kills: rng.IntN(3), losses: rng.IntN(3),
		online: []float64{0, 0, 0.2, 0.4, 0.8}[rng.IntN(5)], lostWords: []float64{0, 0.5, 1}[rng.IntN(3)],
		lateWords: time.Duration(rng.IntN(1500)) * time.Millisecond,
	}
}

// bound is how long an item may wait while a slot is free.
func (d roomDay) bound() time.Duration {
	switch {
	case d.online > 0.3:
		// Peaks of the few requests of a node count as more.
		return crowdedWithin
	case d.regions > 1 || d.lostWords > 0 || d.lateWords > time.Second/2:
		return backlogWithin
	default:
		return roomWithin
	}
}

// TestRunner_NoItemWaitsWhileASlotIsFree plays days of a fleet with all parts real but the
// replicas and the way of the words: jobs come, nodes die, replicas go and come back, online
// requests hold slots, words are lost and late. No item waits for room for longer than the
// bound while a slot is free all the time, none runs twice at a time at living nodes, and in
// the end all are listed.
func TestRunner_NoItemWaitsWhileASlotIsFree(t *testing.T) {
	seeds := 40
	if testing.Short() {
		seeds = 6
	}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		day := drawRoomDay(rng)
		t.Run(fmt.Sprintf("seed %d: %+v", seed, day), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRoomDay(t, uint64(seed), day, rng) })
		})
	}
}

func playRoomDay(t *testing.T, seed uint64, day roomDay, rng *rand.Rand) {
	nodes, listed := []string{}, map[string]int{}
	for i := range day.nodes {
		nodes = append(nodes, fmt.Sprintf("%c-%02d", "ns"[i%day.regions], i))
	}
	for i := range day.servers {
		listed[fmt.Sprintf("%c-s%d", "ns"[i%day.regions], i)] = day.slots
	}
	site := newRoomSite(t, seed, nodes, listed)
	site.lostWords, site.lateWords = day.lostWords, day.lateWords
	site.run()
	site.holdOnline(int(day.online * float64(day.servers*day.slots)))
	time.Sleep(time.Second)
	for i := range day.kills {
		if alive := 1 + i; alive < day.nodes-1 {
			site.after(site.ctx, time.Duration(rng.IntN(15_000))*time.Millisecond, func() { site.kill(site.nodes[alive]) })
		}
	}
	for range day.losses {
		server := site.servers[fmt.Sprintf("%c-s%d", "ns"[0], 0)]
		at := time.Duration(rng.IntN(10_000)) * time.Millisecond
		site.after(site.ctx, at, func() { site.list(server, false) })
		site.after(site.ctx, at+5*time.Second, func() { site.list(server, true) })
	}
	watch := site.watchRoom(day.bound())
	for i := range day.jobs {
		site.submitAt(0, fmt.Sprintf("j%d", i), day.items)
		time.Sleep(time.Duration(rng.IntN(2_000)) * time.Millisecond)
	}
	for i := range day.jobs {
		site.awaitDone(fmt.Sprintf("j%d", i), 3*time.Minute)
	}
	if late := watch(); late != "" {
		t.Fatalf("an item waited for more than %v while a slot was free: %s", day.bound(), late)
	}
	if day.kills == 0 && len(site.overlap) > 0 {
		t.Fatalf("items ran twice at a time: %v", site.overlap)
	}
}

// holdOnline has online requests hold so many slots, for 300 ms each.
func (s *roomSite) holdOnline(slots int) {
	var listed []*roomServer
	for _, server := range s.servers {
		for range server.slots {
			listed = append(listed, server)
		}
	}
	for i := range slots {
		s.load(func(ctx context.Context) {
			for at := i; retry.Sleep(ctx, time.Millisecond); at++ {
				s.nodes[at%len(s.nodes)].online(listed[i], 300*time.Millisecond)
			}
		})
	}
}

// watchRoom notes the first item that waits for a slot for longer than a bound, in all of
// which one was free. The function returned ends it.
func (s *roomSite) watchRoom(bound time.Duration) (ended func() string) {
	const look = 100 * time.Millisecond
	found, stop := make(chan string, 1), make(chan struct{})
	go func() {
		late, free := "", clock.Now()
		defer func() { found <- late }()
		for {
			select {
			case <-stop:
				return
			case <-time.After(look):
			}
			if s.free() == 0 {
				free = clock.Now()
			}
			if one := s.longest(free); late == "" && one > bound {
				late = fmt.Sprintf("%v by now, %d free%s", one, s.free(), s.account())
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

// longest is how long one of the items has waited for a slot since some were free.
func (s *roomSite) longest(free time.Time) time.Duration {
	var longest time.Duration
	for _, node := range s.nodes {
		for _, one := range node.runner.ItemWaits() {
			if node.dead.Load() || one.For == WaitAnswer || one.For == WaitListing {
				continue
			}
			since := one.LastProgress
			if free.After(since) {
				since = free
			}
			longest = max(longest, clock.Since(since))
		}
	}
	return longest
}
