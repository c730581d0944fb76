package jobs

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// These tests guard against items that never complete because their answer went silent. A
// connection may die without a reset while new connections to the replica work. If the silence of
// the replica as a whole were the only criterion, an attempt would count as running as long as the
// replica answers other requests, and its slot would be lost too.

// stallBound is how long an item may take to make progress after its answer went silent.
const stallBound = 15 * time.Second

// stallSite is a runner with one replica that answers other requests all the time.
type stallSite struct {
	node   *testNode
	runner *Runner
	mu     sync.Mutex
	sends  map[string]int
}

// newStallSite starts a site. Attempts at an item are numbered from 1.
func newStallSite(t *testing.T, answer func(ctx context.Context, attempt *forward.Attempt, number int) (*forward.Answer, error)) *stallSite {
	site := &stallSite{node: startNode(t, tabletest.New(), &objecttest.Store{}, "a#1"), sends: map[string]int{}}
	runner, replicas := startRunner(t, site.node, sendFunc(func(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
		return answer(ctx, attempt, site.countSend(attempt.Request.ID))
	}))
	site.runner = runner
	replicas.Remove("r1", clock.Now())
	replicas.Remove("r2", clock.Now())
	answerOthers(t, replicas, "r0")
	return site
}

// startReplica lists the replica with a start time.
func (s *stallSite) startReplica(startedUnixMs int64) {
	known, _ := s.runner.Replicas.Get("r0")
	known.StartedUnixMs = startedUnixMs
	s.runner.Replicas.Put(known)
}

// firstSilent makes the first answers go silent after a text, and completes later ones.
func firstSilent(silent int, before string) func(context.Context, *forward.Attempt, int) (*forward.Answer, error) {
	return func(ctx context.Context, attempt *forward.Attempt, number int) (*forward.Answer, error) {
		if number <= silent {
			return hangingAnswer(ctx, before), nil
		}
		return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
	}
}

// countSend counts an attempt at an item and returns its number.
func (s *stallSite) countSend(item string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends[item]++
	return s.sends[item]
}

// answerOthers makes a replica answer another request of the node every 100 ms until the test ends.
func answerOthers(t *testing.T, replicas *replica.Set, id string) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for retry.Sleep(ctx, 100*time.Millisecond) {
			now := clock.Now()
			if use := replicas.Begin(id, replica.RequestInfo{Tokens: 100}, now); use != nil {
				use.Received(now)
				use.FirstEvent(now)
				use.End(replica.Succeeded, now)
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// awaitDone waits until all items of a job are listed, and fails with their waits after within.
func (s *stallSite) awaitDone(t *testing.T, job string, within time.Duration) []Result {
	t.Helper()
	for deadline := clock.Now().Add(within); clock.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		reading, err := s.node.Read(t.Context(), job, 0, 0)
		if err == nil && len(reading.Results) == reading.Total {
			return reading.Results
		}
	}
	t.Fatalf("after %v items of job %s are not listed: %+v", within, job, s.runner.ItemWaits())
	return nil
}

func TestRunner_SilentAnswerIsAbandonedThoughItsReplicaAnswersOthers(t *testing.T) {
	cases := map[string]struct {
		silent int
		before string
	}{
		"in the answer":                {1, events(1, 3)},
		"in an event":                  {1, events(1, 2) + "id: 3\ndata: ha"},
		"before the first event":       {1, ""},
		"again on the next connection": {2, events(1, 3)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newStallSite(t, firstSilent(tc.silent, tc.before))
				if err := site.node.Submit(t.Context(), submission("j", 3)); err != nil {
					t.Fatal(err)
				}
				for _, result := range site.awaitDone(t, "j", time.Duration(tc.silent)*stallBound) {
					if want := "piece 1\npiece 2\npiece 3\npiece 4\npiece 5"; result.Dead || result.Text != want {
						t.Fatalf("result is %+v, want the text %q", result, want)
					}
				}
			})
		})
	}
}

// An at-most-once item is not sent again: it ends as undecided.
func TestRunner_AtMostOnceItemWithASilentAnswerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newStallSite(t, firstSilent(1, events(1, 3)))
		job := submission("j", 1)
		job.Items[0].AtMostOnce = true
		job.Completion = time.Hour
		if err := site.node.Submit(t.Context(), job); err != nil {
			t.Fatal(err)
		}
		result := site.awaitDone(t, "j", time.Minute)[0]
		if !result.Dead || result.Reason != Undecided || site.sends["j-0"] != 1 {
			t.Fatalf("result is %+v after %d sends, want undecided after one", result, site.sends["j-0"])
		}
	})
}

// An attempt sent to the previous process of a replica is abandoned as soon as the list shows the
// restart, long before its own silence would show it.
func TestRunner_ItemAtARestartedReplicaIsAbandonedAtOnce(t *testing.T) {
	for name, once := range map[string]bool{"item that may run again": false, "item that may run once": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newStallSite(t, firstSilent(1, ""))
				site.startReplica(1000)
				job := submission("j", 1)
				job.Items[0].AtMostOnce = once
				if err := site.node.Submit(t.Context(), job); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				site.startReplica(2000)
				result := site.awaitDone(t, "j", 1500*time.Millisecond)[0]
				if once && result.Reason != Undecided || !once && result.Dead {
					t.Fatalf("result is %+v", result)
				}
			})
		})
	}
}

// Timeouts must not prevent items of a replica that is slow to begin from completing.
func TestRunner_SlowAnswersComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 40 * time.Second
		site := newStallSite(t, delayedAnswer(delay))
		job := submission("j", 3)
		job.Completion, job.Retention = time.Hour, time.Hour
		if err := site.node.Submit(t.Context(), job); err != nil {
			t.Fatal(err)
		}
		for _, result := range site.awaitDone(t, "j", 2*time.Minute) {
			if result.Dead || !strings.HasSuffix(result.Text, "piece 5") {
				t.Fatalf("result is %+v", result)
			}
			if sends := site.sends[result.Item]; sends > 5 {
				t.Fatalf("%s was sent %d times, want a timeout doubled with each", result.Item, sends)
			}
		}
	})
}

// delayedAnswer returns whole answers after a delay.
func delayedAnswer(delay time.Duration) func(context.Context, *forward.Attempt, int) (*forward.Answer, error) {
	return func(ctx context.Context, attempt *forward.Attempt, _ int) (*forward.Answer, error) {
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-time.After(delay):
			return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
		}
	}
}

// submitLasting submits a job whose items do not expire during the test.
func (s *stallSite) submitLasting(t *testing.T, id string, items int, once bool) {
	t.Helper()
	job := submission(id, items)
	job.Completion, job.Retention = time.Hour, time.Hour
	for i := range job.Items {
		job.Items[i].AtMostOnce = once
	}
	if err := s.node.Submit(t.Context(), job); err != nil {
		t.Fatal(err)
	}
}

// A replica that is slow to begin must not be abandoned each time if this node has no other request
// there.
func TestRunner_SlowAnswersOfReplicasWithoutOtherRequestsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := delayedAnswer(3 * time.Second)
		site := &stallSite{node: startNode(t, tabletest.New(), &objecttest.Store{}, "a#1"), sends: map[string]int{}}
		site.runner, _ = startRunner(t, site.node, sendFunc(func(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
			return answer(ctx, attempt, site.countSend(attempt.Request.ID))
		}))
		site.submitLasting(t, "j", 3, false)
		site.awaitDone(t, "j", 10*time.Second)
	})
}

// An at-most-once item may wait in the queue of a replica that answers other requests.
func TestRunner_AtMostOnceItemInALongQueueIsNotAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newStallSite(t, delayedAnswer(40*time.Second))
		site.submitLasting(t, "j", 1, true)
		if result := site.awaitDone(t, "j", time.Minute)[0]; result.Dead {
			t.Fatalf("result is %+v", result)
		}
	})
}

// A replica that answers other requests must not be ejected for attempts that waited long there.
func TestRunner_StalledAttemptsDoNotEjectTheirReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newStallSite(t, delayedAnswer(10*time.Second))
		ejected := 0
		site.runner.Replicas.OnEjected = func(replica.Info, replica.Result) { ejected++ }
		site.submitLasting(t, "j", 3, false)
		site.awaitDone(t, "j", 3*time.Minute)
		if ejected > 0 {
			t.Fatalf("ejected %d times, sends %v", ejected, site.sends)
		}
	})
}

// Dead connections in a row delay an item for a bounded time, also if answers were slow before.
func TestRunner_ManyDeadConnectionsInARow(t *testing.T) {
	for silent, within := range map[int]time.Duration{1: 11 * time.Second, 2: 32 * time.Second, 3: 73 * time.Second, 4: 134 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			slow := true
			site := newStallSite(t, func(ctx context.Context, attempt *forward.Attempt, number int) (*forward.Answer, error) {
				if slow {
					return delayedAnswer(9*time.Second)(ctx, attempt, number)
				}
				return firstSilent(silent, "")(ctx, attempt, number)
			})
			site.submitLasting(t, "slow", 3, false)
			site.awaitDone(t, "slow", time.Minute)
			slow = false
			site.submitLasting(t, "j", 1, false)
			site.awaitDone(t, "j", within)
		})
	}
}

// A silence check that fires as an attempt ends must not cancel the next attempt, and must not race
// with it.
func TestRunner_LateSilenceCheckDoesNotCancelTheNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := &stallSite{node: startNode(t, tabletest.New(), &objecttest.Store{}, "a#1"), sends: map[string]int{}}
		site.runner, _ = startRunner(t, site.node, sendFunc(func(_ context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
			if site.countSend(attempt.Request.ID) > 20 {
				return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
			}
			time.Sleep(maxReplicaSilence + maxReplicaSilence/silenceChecks)
			return nil, io.ErrUnexpectedEOF
		}))
		site.submitLasting(t, "j", 20, false)
		site.awaitDone(t, "j", 5*time.Minute)
	})
}
