package quarantine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestTrials_OverdueOnesRunApart guards against the refusal of harmless work that meets harmful
// work in both of its first trials, because both became overdue while nothing could be tried.
func TestTrials_OverdueOnesRunApart(t *testing.T) {
	const outage = 2500 * time.Millisecond
	for name, noReplica := range map[string]bool{"no replica is up": true, "no owner of trials is reachable": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				harmful, harmless := &poolWork{name: "harmful", harmful: true}, &poolWork{name: "harmless"}
				p := newTrialPool(t, harmful, harmless)
				p.addCrashes(DefaultCrashLimit, harmful, harmless)
				if noReplica {
					p.restartDelay = outage
					// Of the two requests that look for a replica, the harmful one finds it first.
					time.AfterFunc(outage-poolRecheckInterval/2, func() { p.startReplicas(1) })
				} else {
					p.startReplicas(1)
					// The outages end between two requests for a trial. The second one begins when the
					// first trials are over.
					p.loseOwners(outage + poolReplyTimeout/2)
					time.AfterFunc(outage+time.Second, func() { p.loseOwners(outage + poolReplyTimeout/2) })
				}
				var group sync.WaitGroup
				group.Go(func() { _ = p.call(t.Context(), harmful) })
				time.Sleep(poolStagger)
				p.checkServed(harmless)
				group.Wait()
				p.drain()
			})
		})
	}
}

// TestTrials_StartWhenClaimIsKnown guards against other work that is sent to the replica of a trial because
// its node has not heard of the claim yet.
func TestTrials_StartWhenClaimIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tried, other := &poolWork{name: "tried"}, &poolWork{name: "other"}
		p := newTrialPool(t, tried, other)
		p.claimLatency = ClaimSettleTime / 2
		p.addCrashes(DefaultCrashLimit, tried)
		p.startReplicas(2)
		var trialOn atomic.Pointer[poolReplica]
		p.onTrial = func(_ *poolWork, _ int, r *poolReplica) { trialOn.Store(r) }
		var group sync.WaitGroup
		group.Go(func() { p.checkServed(tried) })
		choices := map[*poolReplica]int{}
		for range int(poolRunTime / poolStagger) {
			r := p.chooseReplica(other.guard.ClaimedReplicas())
			choices[r]++
			if r == trialOn.Load() {
				t.Errorf("other work is sent to %s, where a trial runs", r.ID)
				break
			}
			time.Sleep(poolStagger)
		}
		if trialOn.Load() == nil || choices[trialOn.Load()] == 0 {
			t.Error("the replica of the trial was not chosen for other work before")
		}
		group.Wait()
		p.drain()
	})
}

// TestTrials_BesideUnknownHarmfulWork guards against the refusal of harmless work whose trials run on
// replicas on which harmful work runs that is not suspect yet.
func TestTrials_BesideUnknownHarmfulWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harmful, harmless := &poolWork{name: "harmful", harmful: true}, &poolWork{name: "harmless"}
		unknown := &poolWork{name: "unknown", harmful: true}
		p := newTrialPool(t, harmful, harmless, unknown)
		p.addCrashes(DefaultCrashLimit, harmful, harmless)
		p.startReplicas(2)
		// Its node has not heard of the claims of the first two trials.
		p.onTrial = func(_ *poolWork, number int, r *poolReplica) {
			if number < 2 && p.start(unknown, nil, r) {
				p.runOn(t.Context(), unknown, nil, r)
			}
		}
		p.checkServed(harmless)
		p.drain()
	})
}

// TestTrials_InLostZone guards against the refusal of harmless work whose trials run on replicas
// that are lost together with others, and not by any work.
func TestTrials_InLostZone(t *testing.T) {
	const zoneSize = 4
	for name, script := range map[string]struct {
		losses int
		// unknownWork lets the second trial run beside harmful work that is not suspect yet.
		unknownWork bool
	}{
		"one zone":                          {losses: 1},
		"two zones in turn":                 {losses: 2},
		"one zone, then a new harmful work": {losses: 1, unknownWork: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				harmful, harmless := &poolWork{name: "harmful", harmful: true}, &poolWork{name: "harmless"}
				unknown := &poolWork{name: "unknown", harmful: true}
				var others []*poolWork
				for i := range zoneSize - 1 {
					others = append(others, &poolWork{name: fmt.Sprintf("other%d", i)})
				}
				p := newTrialPool(t, append(others, harmful, harmless, unknown)...)
				p.addCrashes(DefaultCrashLimit, harmful, harmless)
				p.startReplicas(zoneSize)
				const untilLoss = poolRunTime / 4
				p.onTrial = func(_ *poolWork, number int, r *poolReplica) {
					switch {
					case number < script.losses:
						time.Sleep(untilLoss / 2)
						p.runOnIdle(others)
						time.Sleep(untilLoss / 2)
						p.lose("zone lost", p.upReplicas()...)
					case number == script.losses && script.unknownWork && p.start(unknown, nil, r):
						p.runOn(context.Background(), unknown, nil, r)
					}
				}
				p.checkServed(harmless)
				p.drain()
			})
		})
	}
}

// TestTrials_OfTwoHarmfulWorksAreLimited guards against more late crashes than the schedule of trials
// allows, because the trials of two harmful works meet and one explains those of the other.
func TestTrials_OfTwoHarmfulWorksAreLimited(t *testing.T) {
	for name, soleCrashes := range map[string][2]int{"one is more suspect": {0, 1}, "equally suspect": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := &poolWork{name: "first", harmful: true}, &poolWork{name: "second", harmful: true}
				p := newTrialPool(t, first, second)
				p.addCrashes(soleCrashes[0], first)
				p.addCrashes(soleCrashes[1], second)
				p.addCrashes(DefaultCrashLimit, first, second)
				// Trials that are due wait for the one replica, so that they begin together.
				p.restartDelay = repeatedTrialDelay + maxTrialSpread + poolRecheckInterval/2
				p.startReplicas(1)
				var group sync.WaitGroup
				group.Go(func() { p.callRepeatedly(first) })
				time.Sleep(poolStagger)
				group.Go(func() { p.callRepeatedly(second) })
				group.Wait()
				p.checkTrials(first)
				p.checkTrials(second)
				p.drain()
			})
		})
	}
}
