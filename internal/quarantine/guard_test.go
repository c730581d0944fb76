package quarantine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fakeReplicas answers probes as told.
type fakeReplicas struct {
	mu     sync.Mutex
	states map[string]ReplicaState
	probe  ProbeResult
	probes int
}

func (f *fakeReplicas) State(replica Replica) ReplicaState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state, ok := f.states[replica.ID]; ok {
		return state
	}
	return Serving
}

func (f *fakeReplicas) Probe(context.Context, string) ProbeResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes++
	return f.probe
}

func (f *fakeReplicas) setState(id string, state ReplicaState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[id] = state
}

// recordedEvents records events.
type recordedEvents struct {
	mu          sync.Mutex
	crashed     []CrashReport
	cleared     []Verdict
	quarantined []Verdict
}

func (e *recordedEvents) ReplicaCrashed(report CrashReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = append(e.crashed, report)
}

func (e *recordedEvents) Cleared(before Verdict, _ time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cleared = append(e.cleared, before)
}

func (e *recordedEvents) Quarantined(verdict Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quarantined = append(e.quarantined, verdict)
}

func (e *recordedEvents) crashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.crashed)
}

func newGuard(probe ProbeResult) (*Guard, *fakeReplicas, *recordedEvents) {
	replicas, events := &fakeReplicas{states: map[string]ReplicaState{}, probe: probe}, &recordedEvents{}
	return &Guard{List: &List{}, Replicas: replicas, Events: events}, replicas, events
}

func (g *Guard) interrupt(ctx context.Context, replica string, work Work) {
	g.RecordInterruption(ctx, Replica{ID: replica, Address: replica}, Run{Work: work, SentAt: time.Now()})
}

func TestGuard_RefusedConnectionIsCrash(t *testing.T) {
	guard, replicas, events := newGuard(Refused)
	bad := work("bad")
	badWork := func() Work { return bad }
	for _, replica := range []string{"a", "b", "c"} {
		if err := guard.Refuse(badWork); err != nil {
			t.Fatalf("refused before %s: %v", replica, err)
		}
		guard.interrupt(t.Context(), replica, bad)
	}
	var refused *RefusedError
	if err := guard.Refuse(badWork); !errors.As(err, &refused) || len(refused.Replicas) != 3 {
		t.Fatalf("got %v", err)
	}
	if events.crashCount() != 3 || len(events.quarantined) != 1 {
		t.Fatalf("told of %d ends, %d verdicts", events.crashCount(), len(events.quarantined))
	}
	guard.interrupt(t.Context(), "a", work("beside"))
	if replicas.probes != 3 || events.crashCount() != 4 {
		t.Fatalf("%d probes, %d reports: what breaks off later at the same replica is reported without a probe", replicas.probes, events.crashCount())
	}
}

func TestGuard_InterruptedResponseAloneIsNoCrash(t *testing.T) {
	for _, probe := range []ProbeResult{Accepted, Inconclusive} {
		guard, _, events := newGuard(probe)
		for _, replica := range []string{"a", "b", "c", "d"} {
			guard.interrupt(t.Context(), replica, work("w"))
		}
		time.Sleep(3 * delistPollInterval)
		if events.crashCount() != 0 || guard.Refuse(func() Work { return work("w") }) != nil {
			t.Errorf("probe %v: an end was taken from a broken answer alone", probe)
		}
	}
}

func TestGuard_DelistingAfterInterruptionIsCrash(t *testing.T) {
	guard, replicas, events := newGuard(Accepted)
	guard.interrupt(t.Context(), "a", work("w"))
	replicas.setState("a", Gone)
	deadline := time.Now().Add(5 * time.Second)
	for events.crashCount() == 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	if verdict := guard.List.Check(work("w"), time.Now()); len(verdict.Replicas) != 1 {
		t.Fatalf("%d ends count", len(verdict.Replicas))
	}
}

func TestGuard_PlannedShutdownIsNoCrash(t *testing.T) {
	guard, replicas, events := newGuard(Refused)
	for id, state := range map[string]ReplicaState{"a": Leaving, "b": Gone} {
		replicas.setState(id, state)
		guard.interrupt(t.Context(), id, work("w"))
	}
	if events.crashCount() != 0 || replicas.probes != 0 {
		t.Fatal("an answer that broke off at a replica about to leave counts")
	}
}

func TestGuard_ShutdownNoticeAfterInterruptionIsNoCrash(t *testing.T) {
	guard, replicas, events := newGuard(Accepted)
	guard.interrupt(t.Context(), "a", work("w"))
	replicas.setState("a", Leaving)
	time.Sleep(2 * delistPollInterval)
	replicas.setState("a", Gone)
	time.Sleep(2 * delistPollInterval)
	if events.crashCount() != 0 {
		t.Fatal("a planned leave counts as an end")
	}
}

func TestGuard_SuccessClearsSuspectsOnly(t *testing.T) {
	guard, _, events := newGuard(Refused)
	guard.RecordSuccess(work("w"))
	guard.interrupt(t.Context(), "a", work("w"))
	guard.RecordSuccess(work("other"))
	guard.RecordSuccess(work("w"))
	if len(events.cleared) != 1 || events.cleared[0].Work != work("w") {
		t.Fatalf("told of %v", events.cleared)
	}
}

// TestGuard_QueriesPeersBeforeRefusing: a node that has just started knows of no
// work that it ended well. It condemns popular work after three ends and asks the other nodes,
// whose word is there some ms later; the requests that came in between were refused.
//
// Seen in a soak (seed 7215): node-1, started at 40.169 s, wrote "work quarantined" for the work of
// a tenant at 43.317 s, after three ends, and refused the next request of it, "quarantined: 3
// replicas ended", the only one of 3,094 in that play: the answers set the work free at once.
func TestGuard_QueriesPeersBeforeRefusing(t *testing.T) {
	for name, succeededElsewhere := range map[string]bool{"others saw it end well": true, "nobody did": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				guard, _, _ := newGuard(Refused)
				hasPeers, queries := false, 0
				guard.QueryPeers = func(queried Work, _ bool) bool {
					if hasPeers && queried == work("w") {
						queries++
						if succeededElsewhere {
							time.AfterFunc(queryTimeout/2, func() { guard.List.Clear(work("w"), time.Now().Add(-time.Second)) })
						}
					}
					return hasPeers
				}
				for i := range DefaultCrashLimit {
					sentAt := time.Now()
					time.Sleep(10 * time.Millisecond)
					guard.RecordCrash(CrashReport{Replica: fmt.Sprint(i), Runs: runsOf(sentAt, work("w")), At: time.Now()})
				}
				// It had heard of the ends before it knew the other nodes.
				hasPeers = true
				started := time.Now()
				err := guard.RefuseRequest(t.Context(), func() Work { return work("w") })
				if (err != nil) == succeededElsewhere {
					t.Errorf("refused with %v", err)
				}
				if elapsed := time.Since(started); elapsed > queryTimeout || queries != 1 {
					t.Errorf("held for %v, %d questions asked", elapsed, queries)
				}
				started = time.Now()
				if err := guard.RefuseRequest(t.Context(), func() Work { return work("w") }); (err != nil) == succeededElsewhere || time.Since(started) > 0 {
					t.Errorf("later refused with %v after %v", err, time.Since(started))
				}
			})
		})
	}
}

// TestGuard_ReportsSuccessOfQueriedWork: a node that has not heard of the ends which speak against
// a work tells nobody that it ends well, and a node that condemns it learns of it too late.
//
// Seen in a soak (--seed 7219 --nodes 7 --regions 2): after all nodes were started, node-6 met four ends
// under the work of a tenant before it knew the others, condemned it at 29.425 s of the minute, once it
// had read its rows, and asked. Node-2 saw the work end well at 29.463 s and told nobody; node-6
// refused a request of it at 29.526 s.
func TestGuard_ReportsSuccessOfQueriedWork(t *testing.T) {
	guard, _, events := newGuard(Refused)
	guard.RecordSuccess(work("other"))
	if _, known := guard.AnswerQuery(work("w")); known {
		t.Fatal("work that never ran is known")
	}
	guard.RecordSuccess(work("other"))
	guard.RecordSuccess(work("w"))
	guard.RecordSuccess(work("w"))
	if len(events.cleared) != 1 || events.cleared[0].Work != work("w") {
		t.Errorf("told of %v, once of the work that was asked for", events.cleared)
	}
	if _, known := guard.AnswerQuery(work("w")); !known {
		t.Error("work that ended well is not known")
	}
	for i := range 3 * maxUnanswered {
		guard.AnswerQuery(work(fmt.Sprint(i)))
	}
	if len(guard.unanswered) > maxUnanswered {
		t.Errorf("%d works are wanted", len(guard.unanswered))
	}
}
