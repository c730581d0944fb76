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

// fakeOwners implements TrialOwners on one list for several guards. The first lostReplies replies
// are lost.
type fakeOwners struct {
	list *List
	// alone makes requests impossible.
	alone bool
	// replyDelay is the time from a grant to its reply.
	replyDelay time.Duration

	mu          sync.Mutex
	lostReplies int
	requests    int
}

func (o *fakeOwners) Owns(Work) bool { return false }

func (o *fakeOwners) CanRequest() bool { return !o.alone }

func (o *fakeOwners) Request(_ context.Context, trial Trial) bool {
	time.Sleep(2 * time.Millisecond)
	granted := o.list.GrantTrial(trial, time.Now())
	time.Sleep(o.replyDelay)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests++
	if o.lostReplies > 0 {
		o.lostReplies--
		return false
	}
	return granted
}

func (o *fakeOwners) Claim(_ context.Context, claim ReplicaClaim) bool {
	return o.list.ClaimReplica(claim, time.Now())
}

func (o *fakeOwners) Renew(trial Trial, _ string) { o.list.RenewTrial(trial, time.Now()) }

func (o *fakeOwners) End(trial Trial, _ string) { o.list.EndTrial(trial) }

// quarantinedGuard returns a guard and the owners it asks, with work that three crashes have just
// quarantined.
func quarantinedGuard(work Work) (*Guard, *fakeOwners) {
	guard, _, _ := newGuard(ConnectionRefused)
	owners := &fakeOwners{list: &List{}}
	guard.Trials = owners
	for _, replica := range []string{"a", "b", "c"} {
		sentAt := time.Now()
		time.Sleep(10 * time.Millisecond)
		report := CrashReport{Replica: replica, Runs: runsOf(sentAt, work), At: time.Now()}
		guard.RecordCrash(report)
		owners.list.Add(report, time.Now())
	}
	return guard, owners
}

// TestGuard_HoldsRequestsDuringTrial covers new work that meets three crashes it did not cause. Of
// its requests one must run as a trial and the others must wait for its result, instead of being
// refused until a trial takes place seconds later (soak seeds 990631 and 8050).
func TestGuard_HoldsRequestsDuringTrial(t *testing.T) {
	for name, lostReplies := range map[string]int{"all replies arrive": 0, "two replies are lost": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := work("new")
				guard, owners := quarantinedGuard(w)
				owners.lostReplies = lostReplies
				const requests, runTime = 50, 300 * time.Millisecond
				var group sync.WaitGroup
				for range requests {
					group.Go(func() {
						trial, err := guard.RefuseRequest(t.Context(), func() Work { return w })
						if err != nil {
							t.Errorf("refused: %v", err)
						}
						if trial != nil {
							time.Sleep(runTime)
							guard.RecordSuccess(w)
						}
					})
				}
				started := time.Now()
				group.Wait()
				events := guard.Events.(*recordedEvents)
				if events.trials != 1 {
					t.Errorf("%d trials", events.trials)
				}
				// Each lost reply costs one interval, which doubles.
				if elapsed, limit := time.Since(started), runTime+time.Duration(1<<lostReplies)*firstAskDelay; elapsed > limit {
					t.Errorf("requests were held for %v, want at most %v", elapsed, limit)
				}
				if owners.requests > 4+lostReplies {
					t.Errorf("the owner was asked %d times for %d requests", owners.requests, requests)
				}
				if trial, err := guard.RefuseRequest(t.Context(), func() Work { return w }); trial != nil || err != nil {
					t.Errorf("after the trial succeeded: trial %v, error %v", trial, err)
				}
			})
		})
	}
}

// TestGuard_RunsOneTrialBesideSlowOwner guards against two trials of one work at the same time: while one
// request waits for a slow reply, another one must not ask with the same id and be granted the same trial.
func TestGuard_RunsOneTrialBesideSlowOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := work("w")
		guard, owners := quarantinedGuard(w)
		owners.replyDelay = 2*firstAskDelay - 2*time.Millisecond
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() {
				trial, err := guard.RefuseRequest(t.Context(), func() Work { return w })
				if err != nil {
					t.Errorf("refused: %v", err)
				}
				if trial != nil {
					time.Sleep(300 * time.Millisecond)
					guard.RecordSuccess(w)
				}
			})
		}
		group.Wait()
		if trials := guard.Events.(*recordedEvents).trials; trials != 1 {
			t.Errorf("%d trials", trials)
		}
	})
}

// TestGuard_RefusesAfterFailedTrials covers harmful work. Its requests crash two more replicas by
// trials within a second, and are then refused at once.
func TestGuard_RefusesAfterFailedTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := work("harmful")
		guard, owners := quarantinedGuard(w)
		trials, refused := 0, 0
		started := time.Now()
		for time.Since(started) < 5*time.Second {
			trial, err := guard.RefuseRequest(t.Context(), func() Work { return w })
			switch {
			case err != nil:
				var refusal *RefusalError
				if !errors.As(err, &refusal) || refusal.RetryAfter(time.Now()) <= trialPropagation {
					t.Fatalf("refused with %v", err)
				}
				refused++
			case trial != nil:
				trials++
				sentAt := time.Now()
				time.Sleep(20 * time.Millisecond)
				report := CrashReport{Replica: "t" + string(rune('0'+trials)), Runs: []Run{{Work: w, SentAt: sentAt, Trial: true}}, At: time.Now()}
				guard.InterruptTrial(*trial)
				guard.RecordCrash(report)
				owners.list.Add(report, time.Now())
			default:
				t.Fatal("harmful work runs without a trial")
			}
			time.Sleep(10 * time.Millisecond)
		}
		if trials != 2 || refused < 200 {
			t.Errorf("%d trials, %d requests refused", trials, refused)
		}
	})
}

// TestGuard_HoldsRequestsUntilTrialIsReported covers the second failed trial of harmless work, when
// another node has yet to report that harmful work ran on the replica as well. The requests that are
// held must not be refused before that (docs/incidents/0009).
func TestGuard_HoldsRequestsUntilTrialIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		harmless, harmful := work("harmless"), work("harmful")
		guard, owners := quarantinedGuard(harmless)
		crash := func(replica string, run Run) {
			report := CrashReport{Replica: replica, Runs: []Run{run}, At: time.Now()}
			guard.RecordCrash(report)
			owners.list.Add(report, time.Now())
		}
		for i := range 6 {
			sentAt := time.Now()
			time.Sleep(10 * time.Millisecond)
			crash(fmt.Sprintf("alone%d", i), Run{Work: harmful, SentAt: sentAt})
		}
		for i := range 2 {
			trial, err := guard.RefuseRequest(t.Context(), func() Work { return harmless })
			if err != nil || trial == nil {
				t.Fatalf("request %d is not tried: %v", i, err)
			}
			sentAt := time.Now()
			time.Sleep(10 * time.Millisecond)
			crash(fmt.Sprintf("t%d", i), Run{Work: harmless, SentAt: sentAt, Trial: true})
			guard.InterruptTrial(*trial)
			if i == 1 {
				time.AfterFunc(reportDelay/2, func() { crash("t1", Run{Work: harmful, SentAt: sentAt}) })
			}
		}
		trial, err := guard.RefuseRequest(t.Context(), func() Work { return harmless })
		if err != nil || trial == nil {
			t.Fatalf("refused although another node reports that harmful work ended the trial: %v", err)
		}
		guard.InterruptTrial(*trial)
	})
}

// TestGuard_RefusesWithoutTrials checks that requests are not held on a node that can neither grant a
// trial nor ask for one.
func TestGuard_RefusesWithoutTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := work("w")
		guard, owners := quarantinedGuard(w)
		owners.alone = true
		started := time.Now()
		if _, err := guard.RefuseRequest(t.Context(), func() Work { return w }); err == nil || time.Since(started) > queryTimeout {
			t.Errorf("error %v after %v", err, time.Since(started))
		}
	})
}

// TestGuard_HeldRequestsAreBounded checks that requests beyond maxHeld are refused at once, and that
// a held request ends with its context.
func TestGuard_HeldRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := work("w")
		guard, owners := quarantinedGuard(w)
		if !owners.list.GrantTrial(Trial{Work: w, ID: 1}, time.Now()) {
			t.Fatal("no trial granted")
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for range maxHeld {
			group.Go(func() {
				if _, err := guard.RefuseRequest(ctx, func() Work { return w }); err == nil {
					t.Error("a request ran during the trial of another one")
				}
			})
		}
		time.Sleep(queryTimeout)
		synctest.Wait()
		started := time.Now()
		if _, err := guard.RefuseRequest(ctx, func() Work { return w }); err == nil || time.Since(started) > queryTimeout {
			t.Errorf("request beyond the bound: error %v after %v", err, time.Since(started))
		}
		cancel()
		group.Wait()
		if held := guard.held.Load(); held != 0 {
			t.Errorf("%d requests are still held", held)
		}
	})
}

// TestGuard_RenewsTrialUntilItEnds checks that no second trial begins while one takes long, and that
// one begins soon after the node of the first was lost, or its message about the end.
func TestGuard_RenewsTrialUntilItEnds(t *testing.T) {
	const longRun = 6 * time.Second
	for name, lost := range map[string]bool{"long trial": false, "node lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := work("w")
				guard, owners := quarantinedGuard(w)
				if trial, err := guard.RefuseRequest(t.Context(), func() Work { return w }); trial == nil || err != nil {
					t.Fatalf("trial %v, error %v", trial, err)
				}
				if lost {
					guard.mu.Lock()
					guard.stopRenewing(w)
					guard.mu.Unlock()
				}
				time.AfterFunc(longRun, func() {
					guard.RecordSuccess(w)
					owners.list.Clear(w, time.Now())
				})
				other, _ := quarantinedGuard(w)
				other.Trials = owners
				started := time.Now()
				trial, err := other.RefuseRequest(t.Context(), func() Work { return w })
				switch elapsed := time.Since(started); {
				case err != nil:
					t.Errorf("refused after %v: %v", elapsed, err)
				case !lost && elapsed < longRun-time.Second:
					t.Errorf("a second trial began after %v", elapsed)
				case lost && (trial == nil || elapsed > trialLease+maxAskDelay):
					t.Errorf("trial %v after %v", trial, elapsed)
				}
				if trial != nil {
					other.EndTrial(*trial)
				}
				time.Sleep(longRun)
			})
		})
	}
}
