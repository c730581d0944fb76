package forward

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// claimingGuard makes all requests trials if trial is set. Other trials have claimed the replicas in
// claimed until releasedAt; the request learns of them in advance if announced is set, and otherwise
// when it claims one.
type claimingGuard struct {
	recordingGuard
	trial      bool
	claimed    []string
	announced  bool
	releasedAt time.Time
	requests   int
}

func (g *claimingGuard) RefuseRequest(context.Context, func() quarantine.Work) (*quarantine.Trial, error) {
	if !g.trial {
		return nil, nil
	}
	return &quarantine.Trial{ID: 1}, nil
}

func (g *claimingGuard) ClaimReplica(_ context.Context, _ quarantine.Trial, replica string) bool {
	g.requests++
	return !slices.Contains(g.claimed, replica) || !time.Now().Before(g.releasedAt)
}

func (g *claimingGuard) ClaimedReplicas() map[string]bool {
	if !g.announced {
		return nil
	}
	claimed := map[string]bool{}
	for _, replica := range g.claimed {
		claimed[replica] = true
	}
	return claimed
}

// TestDo_TrialsHaveReplicasToThemselves guards against trials that run where another trial runs, and
// against other work there: if the replica crashes, nothing shows which work is harmful.
func TestDo_TrialsHaveReplicasToThemselves(t *testing.T) {
	const held, forever = 2 * time.Second, time.Hour
	for _, test := range []struct {
		name             string
		trial, announced bool
		replicas         int
		claimed          []string
		// held is how long they are claimed.
		held time.Duration
		// sentTo is the replica that must get the request, after sentAfter.
		sentTo    string
		sentAfter time.Duration
	}{
		{"trial", true, false, 1, nil, 0, "r0", quarantine.ClaimSettleTime},
		{"trial beside announced claims", true, true, 4, []string{"r0", "r1", "r3"}, forever, "r2", quarantine.ClaimSettleTime},
		{"trial beside unknown claims", true, false, 4, []string{"r0", "r1", "r3"}, forever, "r2", quarantine.ClaimSettleTime},
		{"trial in a pool of one claimed replica", true, true, 1, []string{"r0"}, held, "r0", held + quarantine.ClaimSettleTime},
		{"trial in a pool of one replica that stays claimed", true, true, 1, []string{"r0"}, forever, "r0", claimTimeout},
		{"request beside claims", false, true, 4, []string{"r0", "r1", "r3"}, forever, "r2", 0},
		{"request in a pool of one claimed replica", false, true, 1, []string{"r0"}, forever, "r0", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				guard := &claimingGuard{trial: test.trial, announced: test.announced, claimed: test.claimed, releasedAt: time.Now().Add(test.held)}
				started := time.Now()
				var sentAfter time.Duration
				backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
					sentAfter = time.Since(started)
					return streamAnswer(events(1, 2)), nil
				}}
				forwarder := newForwarder(backend, test.replicas)
				forwarder.Quarantine = guard
				target := patientRoute(route.Stream, true, 2)
				target.Timeout = time.Minute
				if _, _, err := do(t, forwarder, target); err != nil {
					t.Fatal(err)
				}
				if sentTo := backend.sent[0].Replica.ID; len(backend.sent) != 1 || sentTo != test.sentTo {
					t.Errorf("sent %d times, first to %s, want %s", len(backend.sent), sentTo, test.sentTo)
				}
				// Denied claims are repeated after pauses.
				if pauses := time.Duration(test.replicas) * capacityRetryInterval; sentAfter < test.sentAfter || sentAfter > test.sentAfter+pauses {
					t.Errorf("sent after %v, want %v", sentAfter, test.sentAfter)
				}
			})
		})
	}
}

// TestDo_TrialEndsWithItsCaller checks that a trial without a free replica ends when its caller has
// left, and that it asks for claims at intervals.
func TestDo_TrialEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := &claimingGuard{trial: true, claimed: []string{"r0"}, releasedAt: time.Now().Add(time.Hour)}
		forwarder := newForwarder(&scriptedBackend{}, 1)
		forwarder.Quarantine = guard
		const patience = time.Second
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		started := time.Now()
		_, err := forwarder.Do(ctx, patientRoute(route.Stream, true, 2), &Request{ID: "q", Received: started}, &recordingSink{})
		if err == nil || time.Since(started) != patience {
			t.Errorf("ended with %v after %v", err, time.Since(started))
		}
		if most := int(patience/capacityRetryInterval) + 1; guard.requests > most {
			t.Errorf("%d claims asked for, want at most %d", guard.requests, most)
		}
	})
}

// TestDo_TrialClaimsAfterLongOutage guards against trials that met because no replica was up for longer than
// claimTimeout after they were granted.
func TestDo_TrialClaimsAfterLongOutage(t *testing.T) {
	for _, outage := range []time.Duration{claimTimeout / 2, claimTimeout + time.Second} {
		synctest.Test(t, func(t *testing.T) {
			const held = 2 * time.Second
			started := time.Now()
			guard := &claimingGuard{trial: true, announced: true, claimed: []string{"r0"}, releasedAt: started.Add(outage + held)}
			var sentAfter time.Duration
			backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
				sentAfter = time.Since(started)
				return streamAnswer(events(1, 2)), nil
			}}
			forwarder := newForwarder(backend, 0)
			forwarder.Quarantine = guard
			time.AfterFunc(outage, func() {
				forwarder.Replicas.Put(replica.Info{ID: "r0", Pool: testPool, Address: "r0", Slots: 4})
			})
			target := patientRoute(route.Stream, true, 2)
			target.Timeout = time.Minute
			if _, _, err := do(t, forwarder, target); err != nil {
				t.Fatal(err)
			}
			if sentAfter < outage+held {
				t.Errorf("outage of %v: sent %v after the replica was up, while another trial had claimed it for %v; %d claims asked for",
					outage, sentAfter-outage, held, guard.requests)
			}
		})
	}
}

// TestDo_RefusedTrialAnnouncesFewClaims counts the claims, each of which is told to all nodes, of a trial in
// a pool that refuses it.
func TestDo_RefusedTrialAnnouncesFewClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := &claimingGuard{trial: true}
		backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
			return nil, outcome.AsNotDone(ErrRefused)
		}}
		forwarder := newForwarder(backend, 4)
		forwarder.Quarantine = guard
		target := patientRoute(route.Stream, true, 2)
		began := time.Now()
		_, _, err := do(t, forwarder, target)
		t.Logf("%d claims, sent %d times, %v after %v", guard.requests, len(backend.sent), err, time.Since(began))
		if most := 10; guard.requests > most {
			t.Errorf("%d claims, sent %d times, %v", guard.requests, len(backend.sent), err)
		}
	})
}

// slowClaims grants claims after a time.
type slowClaims struct {
	claimingGuard
	took time.Duration
}

func (g *slowClaims) ClaimReplica(context.Context, quarantine.Trial, string) bool {
	g.requests++
	time.Sleep(g.took)
	return true
}

// TestDo_ColdTrialWithSlowClaims counts the grants that a trial uses in a cold pool if the owner of the claim
// does not reply.
func TestDo_ColdTrialWithSlowClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := &slowClaims{claimingGuard: claimingGuard{trial: true}, took: 100 * time.Millisecond}
		forwarder := coldForwarder(answerAll(), []string{"b"}, 30*time.Second)
		forwarder.Quarantine = guard
		granter := &scriptedGranter{grant: func(int) bool { return true }}
		forwarder.ColdGranter = granter
		target := patientRoute(route.Stream, true, 2)
		target.Timeout = 20 * time.Second
		began := time.Now()
		_, _, err := do(t, forwarder, target)
		if took := time.Since(began); len(granter.asked) > 5 || took > time.Second {
			t.Errorf("sent after %v, %d grants used, %d claims announced, %v", took, len(granter.asked), guard.requests, err)
		}
	})
}

// TestDo_DeniedColdTrial counts the grants that a trial uses while another trial has claimed the cold replica.
func TestDo_DeniedColdTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := &claimingGuard{trial: true, announced: true, claimed: []string{"cold"}, releasedAt: time.Now().Add(2 * time.Second)}
		forwarder := coldForwarder(answerAll(), []string{"b"}, 30*time.Second)
		forwarder.Quarantine = guard
		granter := &scriptedGranter{grant: func(int) bool { return true }}
		forwarder.ColdGranter = granter
		target := patientRoute(route.Stream, true, 2)
		target.Timeout = 20 * time.Second
		_, _, err := do(t, forwarder, target)
		if len(granter.asked) > 5 {
			t.Errorf("%d grants used for one request, %v", len(granter.asked), err)
		}
	})
}

// TestDo_TrialIsNotSentAfterItsCaller guards against an attempt that begins after the caller has left while
// the trial waited for ClaimSettleTime.
func TestDo_TrialIsNotSentAfterItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := newForwarder(&scriptedBackend{answer: func(ctx context.Context, _ *Attempt, _ int) (*Answer, error) {
			return nil, outcome.AsUnknown(ctx.Err())
		}}, 1)
		forwarder.Quarantine = &claimingGuard{trial: true}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(quarantine.ClaimSettleTime/2, cancel)
		result, err := forwarder.Do(ctx, patientRoute(route.Stream, true, 2), &Request{ID: "q", Received: time.Now()}, &recordingSink{})
		if result.Attempts > 0 || outcome.Of(err) != outcome.NotDone {
			t.Errorf("%d attempts after the caller left, outcome %v, %v", result.Attempts, outcome.Of(err), err)
		}
		time.Sleep(2 * slotReleaseDelay)
	})
}
