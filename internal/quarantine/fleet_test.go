package quarantine_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// Bounds that the simulation checks.
const (
	// fleetConvergence is the time within which connected nodes must learn of crashes.
	fleetConvergence = 3 * time.Second
	// fleetAllowed is the number of crashes before the work must be quarantined.
	fleetAllowed = 3
	// fleetMaxLate bounds the crashes by connected nodes after that.
	fleetMaxLate = 3
	// fleetMaxCrashes bounds all crashes: the allowed ones, those of runs sent before any node can
	// know, and those whose reports were lost because a node stopped.
	fleetMaxCrashes = 12
)

// Times of the simulation.
const (
	fleetDuration     = 60 * time.Second
	fleetLatency      = 2 * time.Millisecond
	fleetPollInterval = time.Second
	fleetRunTime      = 30 * time.Millisecond
	fleetDowntime     = 2 * time.Second
	// fleetDowntimeSameID is less than fleetEntryTTL.
	fleetDowntimeSameID  = 300 * time.Millisecond
	fleetEntryTTL        = 700 * time.Millisecond
	fleetArrivalInterval = 60 * time.Millisecond
	fleetRecovery        = 8 * time.Second
	// fleetNewWorkInterval is the time after which other works replace the new ones, fleetNewWorks
	// the number of new works at a time, and fleetNewRequests that of their requests at a time.
	fleetNewWorkInterval = 2 * time.Second
	fleetNewWorks        = 4
	fleetNewRequests     = 4
	// fleetHarmfulWorkInterval is the time between the arrivals of two harmful works.
	fleetHarmfulWorkInterval = 2 * time.Second
)

// mutation disables parts of the mechanism.
type mutation struct {
	name string
	// noMessages sends no messages, noRows ignores all rows, ignorePeers ignores messages and rows
	// of other nodes, skipInitialRows ignores the rows read at the start of a node.
	noMessages, noRows, ignorePeers, skipInitialRows bool
	// sameIDs disables nothing: replicas restart under their previous ids. newWork disables nothing
	// either: other works are new, and some replicas are lost at the same time.
	sameIDs, newWork bool
	// harmfulWorks is the number of harmful works, which arrive one after the other; 0 means one.
	harmfulWorks int
	// maxLossRate bounds the share of messages that are lost; 0 means 0.5.
	maxLossRate float64
}

// simulateFleet runs the simulation for a seed. It returns the highest numbers of crashes and of late
// crashes that one work caused (see countCrashes), and the number of refused requests of harmless
// work.
func simulateFleet(t *testing.T, seed uint64, m mutation) (all, late, refused int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		random := rand.New(rand.NewPCG(seed, 17))
		f := &fleet{mutation: m, random: random, table: &flakyTable{Table: tabletest.New()}, lossRate: cmp.Or(m.maxLossRate, 0.5) * random.Float64()}
		f.tableRestored = time.Now()
		for i := range 6 + random.IntN(6) {
			f.replicas = append(f.replicas, &fleetReplica{name: fmt.Sprintf("r%d", i), keepsID: m.sameIDs})
		}
		for i := range 3 + random.IntN(6) {
			f.nodes = append(f.nodes, f.startNode(ctx, fmt.Sprintf("n%d", i)))
		}
		var harmful []quarantine.Work
		for i := range max(m.harmfulWorks, 1) {
			content := quarantine.Content{Body: fmt.Appendf(nil, "ends what runs it %d", i)}
			harmful = append(harmful, content.Work())
		}
		popular := quarantine.Content{Body: []byte("everybody asks this")}
		faultsStarted := false
		for started := time.Now(); time.Since(started) < fleetConvergence+fleetDuration; time.Sleep(fleetArrivalInterval) {
			f.mu.Lock()
			chosen := f.nodes[random.IntN(len(f.nodes))]
			f.mu.Unlock()
			go f.callPopular(ctx, chosen, popular.Work())
			if time.Since(started) < fleetConvergence {
				continue
			}
			if m.newWork {
				f.sendNewWork(ctx, time.Since(started))
			}
			arrived := 1 + int((time.Since(started)-fleetConvergence)/fleetHarmfulWorkInterval)
			for _, work := range harmful[:min(arrived, len(harmful))] {
				go f.call(ctx, chosen, work)
			}
			if !faultsStarted {
				go f.injectFaults(ctx)
				faultsStarted = true
			}
		}
		for _, work := range harmful {
			crashes, afterwards := f.countCrashes(work, fleetAllowed)
			all, late = max(all, crashes), max(late, afterwards)
		}
		f.mu.Lock()
		refused = f.refused
		f.mu.Unlock()
		cancel()
		time.Sleep(time.Minute)
	})
	return all, late, refused
}

// countCrashes returns the number of crashes that work caused, and how many of them come from runs
// that a connected node sent after it had to know that the work is harmful, which is so after the
// allowed number of crashes.
func (f *fleet) countCrashes(work quarantine.Work, allowed int) (all, late int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var crashes []fleetCrash
	for _, crash := range f.crashes {
		if crash.work == work {
			crashes = append(crashes, crash)
		}
	}
	if len(crashes) <= allowed {
		return len(crashes), 0
	}
	deadline := crashes[allowed-1].at.Add(fleetConvergence)
	for _, crash := range crashes[allowed:] {
		if crash.sent.After(deadline) && crash.sent.Sub(crash.stableSince) > fleetConvergence && !f.table.isUnavailable() {
			late++
		}
	}
	return len(crashes), late
}

// checkFleet runs the simulation for seeds 0 to seeds-1. Harmful work must crash few replicas, and
// harmless work must not be refused.
func checkFleet(t *testing.T, seeds uint64, m mutation) {
	t.Helper()
	highest := 0
	for seed := range seeds {
		all, late, refused := simulateFleet(t, seed, m)
		highest = max(highest, all)
		if late > fleetMaxLate || all > fleetMaxCrashes {
			t.Errorf("seed %d: %d replicas crashed, %d of them late", seed, all, late)
		}
		if refused > 0 {
			t.Errorf("seed %d: %d requests of harmless work were refused", seed, refused)
		}
	}
	t.Logf("at most %d replicas crashed per seed", highest)
}

// TestFleet_LimitsCrashes runs seeded simulations with lost, duplicated and delayed messages,
// restarts of single and of all nodes, and an unavailable table.
func TestFleet_LimitsCrashes(t *testing.T) {
	checkFleet(t, 100, mutation{})
}

// TestFleet_LimitsCrashesWithStableIDs covers replicas that restart under the same id before their
// entries expire.
func TestFleet_LimitsCrashesWithStableIDs(t *testing.T) {
	checkFleet(t, 50, mutation{sameIDs: true})
}

// TestFleet_ServesNewWork covers work that no node has seen succeed yet, on replicas that harmful work
// crashes and that are lost several at a time.
func TestFleet_ServesNewWork(t *testing.T) {
	checkFleet(t, 50, mutation{newWork: true})
}

// TestFleet_ServesNewWorkBesideHarmfulWorks covers several harmful works that arrive one after the
// other, so that the trials of new work run on replicas that the trials of harmful work crash
// (docs/incidents/0009).
func TestFleet_ServesNewWorkBesideHarmfulWorks(t *testing.T) {
	checkFleet(t, 50, mutation{newWork: true, harmfulWorks: 4, maxLossRate: 0.1})
}

// TestFleet_CatchesMutations checks that the simulation fails if parts of the mechanism are
// disabled.
func TestFleet_CatchesMutations(t *testing.T) {
	for _, m := range []mutation{
		{name: "no messages, no rows", noMessages: true, noRows: true},
		{name: "no exchange between nodes", ignorePeers: true},
		{name: "no messages, initial rows ignored", skipInitialRows: true, noMessages: true},
	} {
		caught := 0
		for seed := range uint64(10) {
			if all, late, _ := simulateFleet(t, seed, m); late > fleetMaxLate || all > fleetMaxCrashes {
				caught++
			}
		}
		t.Logf("%s: caught by %d of 10 seeds", m.name, caught)
		if caught == 0 {
			t.Errorf("%s: not caught", m.name)
		}
	}
}
