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

// fakeReplicas returns configured states and probe results. Replicas without a state are serving.
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

// recordedEvents implements Events.
type recordedEvents struct {
	mu          sync.Mutex
	crashed     []CrashReport
	cleared     []Verdict
	quarantined []Verdict
	trials      int
	claims      int
}

func (e *recordedEvents) ReplicaCrashed(report CrashReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = append(e.crashed, report)
}

func (e *recordedEvents) Cleared(previous Verdict, _ time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cleared = append(e.cleared, previous)
}

func (e *recordedEvents) Quarantined(verdict Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quarantined = append(e.quarantined, verdict)
}

func (e *recordedEvents) TrialBegun(Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trials++
}

func (e *recordedEvents) ReplicaClaimed(ReplicaClaim) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claims++
}

func (e *recordedEvents) ClaimDenied(ReplicaClaim) {}

func (e *recordedEvents) TrialInconclusive(Work) {}

func (e *recordedEvents) crashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.crashed)
}

func newGuard(probe ProbeResult) (*Guard, *fakeReplicas, *recordedEvents) {
	replicas, events := &fakeReplicas{states: map[string]ReplicaState{}, probe: probe}, &recordedEvents{}
	return &Guard{List: &List{}, Replicas: replicas, Events: events}, replicas, events
}

// interrupt records an interrupted run on a replica.
func (g *Guard) interrupt(ctx context.Context, replica string, work Work) {
	g.RecordInterruption(ctx, Replica{ID: replica, Address: replica}, Run{Work: work, SentAt: time.Now()})
}

func TestGuard_RefusedConnectionIsCrash(t *testing.T) {
	guard, replicas, events := newGuard(ConnectionRefused)
	bad := work("bad")
	badWork := func() Work { return bad }
	for _, replica := range []string{"a", "b", "c"} {
		if err := guard.Refuse(badWork); err != nil {
			t.Fatalf("refused before %s: %v", replica, err)
		}
		guard.interrupt(t.Context(), replica, bad)
	}
	var refusal *RefusalError
	if err := guard.Refuse(badWork); !errors.As(err, &refusal) || len(refusal.Replicas) != 3 {
		t.Fatalf("got %v", err)
	}
	if events.crashCount() != 3 || len(events.quarantined) != 1 {
		t.Fatalf("%d crashes and %d quarantines reported", events.crashCount(), len(events.quarantined))
	}
	guard.interrupt(t.Context(), "a", work("beside"))
	if replicas.probes != 3 || events.crashCount() != 4 {
		t.Fatalf("%d probes, %d reports: a later interruption on the same replica must be reported without another probe", replicas.probes, events.crashCount())
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
			t.Errorf("probe %v: an interrupted response alone counts as a crash", probe)
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
		t.Fatalf("%d crashes count, want 1", len(verdict.Replicas))
	}
}

func TestGuard_PlannedShutdownIsNoCrash(t *testing.T) {
	guard, replicas, events := newGuard(ConnectionRefused)
	for id, state := range map[string]ReplicaState{"a": Leaving, "b": Gone} {
		replicas.setState(id, state)
		guard.interrupt(t.Context(), id, work("w"))
	}
	if events.crashCount() != 0 || replicas.probes != 0 {
		t.Fatal("an interruption on a replica that is shutting down counts as a crash")
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
		t.Fatal("a planned shutdown counts as a crash")
	}
}

func TestGuard_SuccessClearsSuspectsOnly(t *testing.T) {
	guard, _, events := newGuard(ConnectionRefused)
	guard.RecordSuccess(work("w"))
	guard.interrupt(t.Context(), "a", work("w"))
	guard.RecordSuccess(work("other"))
	guard.RecordSuccess(work("w"))
	if len(events.cleared) != 1 || events.cleared[0].Work != work("w") {
		t.Fatalf("cleared events %v", events.cleared)
	}
}

// TestGuard_QueriesPeersBeforeRefusing covers a node that has just started, knows no successes and
// quarantines popular work after three crashes. Requests must wait for the answers of its peers
// instead of being refused (soak seed 7215).
func TestGuard_QueriesPeersBeforeRefusing(t *testing.T) {
	for name, succeededElsewhere := range map[string]bool{"succeeded elsewhere": true, "never succeeded": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				guard, _, _ := newGuard(ConnectionRefused)
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
				// The node received the crash reports before it knew its peers.
				hasPeers = true
				started := time.Now()
				_, err := guard.RefuseRequest(t.Context(), func() Work { return work("w") })
				if (err != nil) == succeededElsewhere {
					t.Errorf("first request: got error %v", err)
				}
				if elapsed := time.Since(started); elapsed > queryTimeout || queries != 1 {
					t.Errorf("held for %v, %d queries sent", elapsed, queries)
				}
				started = time.Now()
				if _, err := guard.RefuseRequest(t.Context(), func() Work { return work("w") }); (err != nil) == succeededElsewhere || time.Since(started) > 0 {
					t.Errorf("second request: got error %v after %v", err, time.Since(started))
				}
			})
		})
	}
}

// TestGuard_ReportsSuccessOfQueriedWork covers a node that could not answer a query because the
// work had not succeeded there, and that does not consider the work suspect. It must still report
// the next success, or the peer that asked keeps refusing the work (soak --seed 7219 --nodes 7
// --regions 2).
func TestGuard_ReportsSuccessOfQueriedWork(t *testing.T) {
	guard, _, events := newGuard(ConnectionRefused)
	guard.RecordSuccess(work("other"))
	if _, known := guard.AnswerQuery(work("w")); known {
		t.Fatal("work that never ran has a success")
	}
	guard.RecordSuccess(work("other"))
	guard.RecordSuccess(work("w"))
	guard.RecordSuccess(work("w"))
	if len(events.cleared) != 1 || events.cleared[0].Work != work("w") {
		t.Errorf("cleared events %v, want one for the queried work", events.cleared)
	}
	if _, known := guard.AnswerQuery(work("w")); !known {
		t.Error("work that succeeded has no success")
	}
	for i := range 3 * maxUnanswered {
		guard.AnswerQuery(work(fmt.Sprint(i)))
	}
	if len(guard.unanswered) > maxUnanswered {
		t.Errorf("%d unanswered queries are kept", len(guard.unanswered))
	}
}

// Guards against answers that count as complete, since their replica had announced its shutdown, though it ended
// before their end, and against whole ones of a replica that still runs that don't count.
func TestGuard_HasEnded(t *testing.T) {
	cases := map[string]struct {
		state ReplicaState
		probe ProbeResult
		want  bool
	}{
		"serving, runs":                  {Serving, Accepted, false},
		"serving, nobody listens":        {Serving, ConnectionRefused, true},
		"serving, no answer":             {Serving, Inconclusive, false},
		"leaving, runs":                  {Leaving, Accepted, false},
		"leaving, nobody listens":        {Leaving, ConnectionRefused, true},
		"leaving, no answer":             {Leaving, Inconclusive, true},
		"not listed, runs":               {Gone, Accepted, false},
		"not listed, nobody listens":     {Gone, ConnectionRefused, true},
		"not listed, no answer":          {Gone, Inconclusive, true},
		"started again after a notice":   {Left, Accepted, true},
		"started again without a notice": {Restarted, Accepted, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			guard, replicas, _ := newGuard(tc.probe)
			replicas.setState("a", tc.state)
			if got := guard.HasEnded(t.Context(), Replica{ID: "a"}); got != tc.want {
				t.Errorf("has ended: %v", got)
			}
			listed := tc.state == Serving || tc.state == Restarted
			if got := guard.IsLeaving(Replica{ID: "a"}); got == listed {
				t.Errorf("is leaving: %v", got)
			}
		})
	}
}

// Guards against planned ends that count as crashes of the work that ran there.
func TestGuard_EndAfterNoticeIsNoCrash(t *testing.T) {
	for _, state := range []ReplicaState{Leaving, Left, Gone} {
		guard, replicas, events := newGuard(ConnectionRefused)
		replicas.setState("a", state)
		guard.interrupt(t.Context(), "a", work("w"))
		if events.crashCount() != 0 {
			t.Errorf("state %d: %d crashes reported", state, events.crashCount())
		}
	}
}
