package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

const (
	// crashAfter is how long a run goes on before its replica crashes, restartAfter the time from a crash
	// to the replacement of the replica under a new id, delistAfter that to the end of the old entry.
	crashAfter   = 250 * time.Millisecond
	restartAfter = 400 * time.Millisecond
	delistAfter  = time.Second
	// retryBound is how long after a crash an item must be sent again.
	retryBound = 1500 * time.Millisecond
)

// crashingReplicas is a backend whose replicas crash under the first runs of item "unlucky", before
// their first event. All other runs succeed.
type crashingReplicas struct {
	set *replica.Set
	// crashes is the number of runs that crash their replicas.
	crashes int

	mu sync.Mutex
	// down are the addresses of crashed replicas.
	down map[string]bool
	// sent and ended are the times at which the runs of the item were sent, and ended with a crash.
	sent, ended []time.Time
	// used are the replicas of these runs.
	used []string
}

// Send implements forward.Backend.
func (c *crashingReplicas) Send(_ context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	if attempt.Request.ID != "unlucky" {
		return answerOf(200, events(attempt.LastEventID+1, 3)), nil
	}
	c.mu.Lock()
	c.sent, c.used = append(c.sent, time.Now()), append(c.used, attempt.Replica.ID)
	crash := len(c.sent) <= c.crashes
	c.mu.Unlock()
	if !crash {
		return answerOf(200, events(attempt.LastEventID+1, 3)), nil
	}
	time.Sleep(crashAfter)
	c.crash(attempt.Replica)
	return nil, errReplicaCrashed
}

// crash ends a replica and replaces it under a new id.
func (c *crashingReplicas) crash(crashed replica.Info) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[crashed.Address] = true
	c.ended = append(c.ended, time.Now())
	next := crashed
	next.ID = fmt.Sprintf("r-new-%d", len(c.ended))
	next.Address = next.ID
	time.AfterFunc(restartAfter, func() { c.set.Put(next) })
	time.AfterFunc(delistAfter, func() { c.set.Remove(crashed.ID, time.Now()) })
}

// State implements quarantine.Replicas.
func (c *crashingReplicas) State(queried quarantine.Replica) quarantine.ReplicaState {
	if _, _, listed := c.set.CurrentAndPrevious(queried.ID); !listed {
		return quarantine.Gone
	}
	return quarantine.Serving
}

// Probe implements quarantine.Replicas.
func (c *crashingReplicas) Probe(_ context.Context, address string) quarantine.ProbeResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[address] {
		return quarantine.ConnectionRefused
	}
	return quarantine.Accepted
}

// ignoredEvents implements quarantine.Events.
type ignoredEvents struct{}

func (ignoredEvents) ReplicaCrashed(quarantine.CrashReport)  {}
func (ignoredEvents) Cleared(quarantine.Verdict, time.Time)  {}
func (ignoredEvents) Quarantined(quarantine.Verdict)         {}
func (ignoredEvents) TrialBegun(quarantine.Verdict)          {}
func (ignoredEvents) ReplicaClaimed(quarantine.ReplicaClaim) {}
func (ignoredEvents) ClaimDenied(quarantine.ReplicaClaim)    {}
func (ignoredEvents) TrialInconclusive(work quarantine.Work) {}

// startCrashingReplicas starts a node whose runner and guard know the replicas of a crashingReplicas.
func startCrashingReplicas(t *testing.T, crashes int) (*testNode, *crashingReplicas, *quarantine.Guard) {
	t.Helper()
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	backend := &crashingReplicas{crashes: crashes, down: map[string]bool{}}
	runner, replicas := startRunner(t, node, backend)
	backend.set = replicas
	list := &quarantine.List{}
	guard := &quarantine.Guard{List: list, Parts: quarantine.NewPartList(list), Replicas: backend, Events: ignoredEvents{}}
	runner.mu.Lock()
	runner.Quarantine = guard
	runner.mu.Unlock()
	return node, backend, guard
}

// Guards against an item that is not placed again, or only minutes later, because several replicas crashed
// while they ran it: it is still owed, and never their cause.
func TestRunner_ItemIsSentAgainHoweverManyReplicasCrashed(t *testing.T) {
	for _, crashes := range []int{1, 3, 6, 7, 30} {
		t.Run(fmt.Sprint(crashes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node, backend, _ := startCrashingReplicas(t, crashes)
				items := []Item{{ID: "unlucky", Path: "/batch/x", Body: []byte("x")}}
				if err := node.Submit(t.Context(), &Submission{ID: "j", Route: "batch", Host: testHost, Items: items, Completion: time.Minute, Retention: time.Hour}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Duration(crashes+2) * (crashAfter + retryBound))
				backend.mu.Lock()
				defer backend.mu.Unlock()
				if len(backend.ended) != crashes {
					t.Errorf("%d of %d replicas crashed", len(backend.ended), crashes)
				}
				for i, ended := range backend.ended {
					switch {
					case i+1 >= len(backend.sent):
						t.Fatalf("the item is not sent again after %d crashes", i+1)
					case backend.sent[i+1].Sub(ended) > retryBound:
						t.Errorf("after crash %d the item is sent again %v later, want %v at most", i+1, backend.sent[i+1].Sub(ended), retryBound)
					case backend.used[i+1] == backend.used[i]:
						t.Errorf("run %d is at the replica of the one before", i+1)
					}
				}
				if listedItems(node, "j") != 1 {
					t.Errorf("the item is not listed after %d crashes", len(backend.ended))
				}
			})
		})
	}
}

// Guards against a request that crashes replicas and is not held because an item ran beside it each time,
// and against that item, which must not be held for it.
func TestRunner_ItemNeitherExcusesARequestNorIsHeldForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const crashes = 4
		node, backend, guard := startCrashingReplicas(t, crashes)
		items := []Item{{ID: "unlucky", Path: "/batch/x", Body: []byte("x")}}
		if err := node.Submit(t.Context(), &Submission{ID: "j", Route: "batch", Host: testHost, Items: items, Completion: time.Minute, Retention: time.Hour}); err != nil {
			t.Fatal(err)
		}
		content := quarantine.Content{Target: "/x", Body: []byte("harmful")}
		harmful := content.Work()
		reported := 0
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			backend.mu.Lock()
			ended, used := len(backend.ended), append([]string(nil), backend.used...)
			backend.mu.Unlock()
			for ; reported < ended; reported++ {
				crashed := quarantine.Replica{ID: used[reported], Address: used[reported]}
				guard.RecordCrash(quarantine.CrashReport{
					Replica: crashed.ID, At: time.Now(), Runs: []quarantine.Run{{Work: harmful, SentAt: time.Now().Add(-crashAfter)}},
				})
			}
		}
		if listedItems(node, "j") != 1 {
			t.Errorf("the item is not listed after %d crashes", reported)
		}
		var refusal *quarantine.RefusalError
		if err := guard.Refuse(func() quarantine.Work { return harmful }); !errors.As(err, &refusal) || len(refusal.OtherSuspects) > 0 {
			t.Errorf("the request that was at %d crashes: %v, other suspects %v", reported, err, refusal)
		}
	})
}
