package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

const (
	// partAllowed is the number of crashes under a part before it must be quarantined.
	partAllowed = 5
	// partTools and partDocuments are the numbers of the parts that sound requests hold besides the first
	// one: some that all requests share, and many that few do.
	partTools     = 9
	partDocuments = 3000
	// partSoundRequests is the number of sound requests for each harmful one.
	partSoundRequests = 4
	partPool          = "pool"
	firstPart         = 1
)

// partMutation is what a simulation of parts of prompts varies.
type partMutation struct {
	// harmful is the number of harmful parts, which come by turns.
	harmful int
	// faults restarts nodes and makes the table unavailable.
	faults bool
	// kills takes a third of the replicas down from time to time, without a request as the cause.
	kills bool
	// lossRate is the share of messages that are lost.
	lossRate float64
}

// partResult is what a simulation of parts found.
type partResult struct {
	// crashes is the number of crashes under harmful parts, late the most of them that one part caused
	// later than fleetConvergence after partAllowed of them.
	crashes, late int
	// sound counts sound requests, refused those of them that were refused.
	sound, refused int
}

// partRequest is a request whose prompt has parts.
type partRequest struct {
	work  quarantine.Work
	parts []quarantine.Work
	// harmful is the part that crashes the replica; zero if there is none.
	harmful quarantine.Work
}

// partRequests makes requests of which no two are alike.
type partRequests struct {
	random *rand.Rand
	made   int
}

// next returns a request with the first part, a tool, a document, and a harmful part if key is not 0.
func (r *partRequests) next(key uint64) partRequest {
	r.made++
	content := quarantine.Content{Body: fmt.Append(nil, r.made)}
	request := partRequest{work: content.Work()}
	keys := []uint64{firstPart, 10 + r.random.Uint64N(partTools), 1000 + r.random.Uint64N(partDocuments)}
	if key != 0 {
		keys = append(keys, key)
		request.harmful = quarantine.PartOf(partPool, key)
	}
	for _, key := range keys {
		request.parts = append(request.parts, quarantine.PartOf(partPool, key))
	}
	return request
}

// sendPrompt sends a request to a node, which makes up to two attempts. It reports whether the request was
// refused.
func (f *fleet) sendPrompt(ctx context.Context, n *fleetNode, request partRequest) (refused bool) {
	for range 2 {
		trial, err := n.guard.RefuseParts(n.ctx, func() []quarantine.Work { return request.parts }, func() quarantine.Work { return request.work })
		if err != nil {
			return n.ctx.Err() == nil
		}
		chosen, target := n.pick(trial)
		if chosen == nil {
			n.endTrial(trial)
			return false
		}
		sent := time.Now()
		time.Sleep(fleetRunTime)
		if request.harmful != (quarantine.Work{}) {
			f.crash(ctx, chosen, target, fleetCrash{at: time.Now(), sent: sent, node: n.name, work: request.harmful, stableSince: n.started})
		} else if time.Sleep(2 * fleetRunTime); f.isUp(chosen, target) {
			n.guard.RecordSuccess(request.work)
			n.guard.RecordPartSuccess(request.parts)
			return false
		}
		run := quarantine.Run{Work: request.work, SentAt: sent, Parts: request.parts}
		if trial != nil {
			run.TriedPart = trial.Work
			n.guard.InterruptTrial(*trial)
		}
		n.guard.RecordInterruption(ctx, target, run)
	}
	return false
}

// simulateParts runs the simulation for a seed.
func simulateParts(t *testing.T, seed uint64, m partMutation) partResult {
	var result partResult
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{random: rand.New(rand.NewPCG(seed, 18)), table: &flakyTable{Table: tabletest.New()}, lossRate: m.lossRate}
		f.tableRestored = time.Now()
		for i := range 12 {
			f.replicas = append(f.replicas, &fleetReplica{name: fmt.Sprintf("r%d", i)})
		}
		for i := range 6 {
			f.nodes = append(f.nodes, f.startNode(ctx, fmt.Sprintf("n%d", i)))
		}
		requests := &partRequests{random: rand.New(rand.NewPCG(seed, 19))}
		var harmful []quarantine.Work
		for i := range m.harmful {
			harmful = append(harmful, quarantine.PartOf(partPool, uint64(100+i)))
		}
		send := func(request partRequest) {
			f.mu.Lock()
			chosen := f.nodes[f.random.IntN(len(f.nodes))]
			f.mu.Unlock()
			go func() {
				refused := f.sendPrompt(ctx, chosen, request)
				if request.harmful != (quarantine.Work{}) {
					return
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				result.sound++
				if refused {
					result.refused++
				}
			}()
		}
		if m.faults {
			go f.injectFaults(ctx)
		}
		started := time.Now()
		for number := 0; time.Since(started) < fleetConvergence+fleetDuration; number++ {
			for range partSoundRequests {
				send(requests.next(0))
			}
			if time.Since(started) > fleetConvergence && m.harmful > 0 {
				send(requests.next(uint64(100 + number%m.harmful)))
			}
			if m.kills && f.intN(40) == 0 {
				f.loseReplicas(ctx)
			}
			time.Sleep(fleetArrivalInterval)
		}
		time.Sleep(fleetHold)
		for _, part := range harmful {
			all, late := f.countCrashes(part, partAllowed)
			result.crashes += all
			result.late = max(result.late, late)
		}
		cancel()
		time.Sleep(time.Minute)
	})
	return result
}

// TestFleet_PartsOfPrompts runs seeded simulations of prompts that share parts, some of them harmful. Of the
// requests with a harmful part, three may crash replicas later than fleetConvergence after the fifth, and
// sound requests must be refused less often than every second time.
func TestFleet_PartsOfPrompts(t *testing.T) {
	for name, m := range map[string]partMutation{
		"one":                       {harmful: 1},
		"two":                       {harmful: 2},
		"five":                      {harmful: 5},
		"one, messages lost":        {harmful: 1, lossRate: 0.3},
		"one, faults":               {harmful: 1, faults: true, lossRate: 0.1},
		"two, replicas killed":      {harmful: 2, kills: true},
		"none, replicas killed":     {kills: true},
		"none, kills, other faults": {kills: true, faults: true, lossRate: 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var total partResult
			for seed := range uint64(partSeeds) {
				result := simulateParts(t, seed, m)
				if result.late > fleetMaxLate || 2*result.refused > result.sound {
					t.Errorf("seed %d: %+v", seed, result)
				}
				total.crashes, total.late = total.crashes+result.crashes, max(total.late, result.late)
				total.sound, total.refused = total.sound+result.sound, total.refused+result.refused
			}
			t.Logf("%d seeds: %+v", partSeeds, total)
		})
	}
}

// partSeeds is the number of seeds of each simulation.
const partSeeds = 8
