package jobs

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// countingQuarantine refuses work after three interrupted answers.
type countingQuarantine struct {
	mu          sync.Mutex
	interrupted map[quarantine.Work]int
	successes   int
	// trial makes refused work due for a trial.
	trial bool
	// claimed holds the replicas that were claimed for trials.
	claimed []string
	// unavailable holds the replicas that other trials have claimed.
	unavailable map[string]bool
	// refusedPart is a quarantined part of prompts, partSuccesses are the parts that succeeded.
	refusedPart   quarantine.Work
	partSuccesses []quarantine.Work
	// partsInterrupted are the parts of runs that say nothing about the item as a whole.
	partsInterrupted []quarantine.Work
	// crashed makes all replicas known to have crashed.
	crashed bool
}

func (q *countingQuarantine) Refuse(work func() quarantine.Work) error {
	identity := work()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.interrupted[identity] < 3 {
		return nil
	}
	refusal := &quarantine.RefusalError{}
	refusal.Quarantined, refusal.Limit, refusal.LastCrash = true, 3, time.Now()
	if refusal.FailedTrials = q.interrupted[identity] - 3; refusal.FailedTrials > 0 {
		refusal.LastTrial = time.Now()
	}
	if q.trial {
		refusal.LastCrash = time.Time{}
	}
	return refusal
}

func (q *countingQuarantine) ClaimForItem(_ quarantine.Work, replica string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.claimed = append(q.claimed, replica)
}

func (q *countingQuarantine) ClaimedReplicas() map[string]bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unavailable
}

// setClaimed makes the replicas claimed by other trials, and no others.
func (q *countingQuarantine) setClaimed(candidates []replica.Candidate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unavailable = map[string]bool{}
	for i := range candidates {
		q.unavailable[candidates[i].ID] = true
	}
}

func (q *countingQuarantine) RefuseItemParts(parts func() []quarantine.Work) (quarantine.Work, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, part := range parts() {
		if part == q.refusedPart {
			return quarantine.Work{}, &quarantine.RefusalError{Verdict: quarantine.Verdict{Work: part, Part: true, Quarantined: true}}
		}
	}
	return quarantine.Work{}, nil
}

func (q *countingQuarantine) RecordPartSuccess(parts []quarantine.Work) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.partSuccesses = append(q.partSuccesses, parts...)
}

func (q *countingQuarantine) RecordSuccess(quarantine.Work) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.successes++
}

func (q *countingQuarantine) HasCrashed(context.Context, quarantine.Replica) bool { return q.crashed }

func (q *countingQuarantine) RecordInterruption(_ context.Context, _ quarantine.Replica, run quarantine.Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.interrupted == nil {
		q.interrupted = map[quarantine.Work]int{}
	}
	if run.PartsOnly {
		q.partsInterrupted = append(q.partsInterrupted, run.Parts...)
		return
	}
	q.interrupted[run.Work]++
}

var errReplicaCrashed = outcome.AsUnknown(errors.Join(forward.ErrBroken, errors.New("EOF")))

// startCrashingJob starts a job with one item whose answers are all interrupted, each after
// eventsEach new events, and one that completes.
func startCrashingJob(t *testing.T, end bool, eventsEach int) (*testNode, *crashingBackend, *countingQuarantine) {
	t.Helper()
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	backend := &crashingBackend{eventsEach: eventsEach}
	runner, _ := startRunner(t, node, backend)
	guard := &countingQuarantine{}
	runner.mu.Lock()
	runner.Quarantine, runner.EndQuarantined = guard, end
	runner.mu.Unlock()
	items := []Item{{ID: "bad", Path: "/batch/bad", Body: []byte("bad")}, {ID: "good", Path: "/batch/good", Body: []byte("good")}}
	if err := node.Submit(t.Context(), &Submission{ID: "j", Route: "batch", Host: testHost, Items: items, Completion: time.Minute, Retention: time.Minute}); err != nil {
		t.Fatal(err)
	}
	return node, backend, guard
}

// crashingBackend interrupts the answers to the item "bad".
type crashingBackend struct {
	eventsEach int
	mu         sync.Mutex
	sent       int
}

func (b *crashingBackend) Send(_ context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	if attempt.Request.ID != "bad" {
		return answerOf(200, events(attempt.LastEventID+1, 3)), nil
	}
	b.mu.Lock()
	b.sent++
	b.mu.Unlock()
	if b.eventsEach == 0 {
		return nil, errReplicaCrashed
	}
	last := attempt.LastEventID + b.eventsEach
	if last >= 40 {
		return answerOf(200, events(attempt.LastEventID+1, 40)), nil
	}
	return answerOf(200, events(attempt.LastEventID+1, last)+"id: "), nil
}

func (b *crashingBackend) sends() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent
}

// listedItems returns the number of listed items of a job.
func listedItems(node *testNode, id string) int {
	if entry := node.View.Get(id); entry != nil {
		return len(entry.Progress.Listed)
	}
	return 0
}

func TestRunner_QuarantinedItemIsNoLongerSent(t *testing.T) {
	node, backend, _ := startCrashingJob(t, false, 0)
	eventually(t, func() bool { return listedItems(node, "j") == 1 })
	eventually(t, func() bool { return backend.sends() == 3 })
	time.Sleep(1500 * time.Millisecond)
	if backend.sends() != 3 || listedItems(node, "j") != 1 {
		t.Fatalf("%d sends, %d items listed", backend.sends(), listedItems(node, "j"))
	}
}

// An item that has ended is not run again, so three crashes, which other work may have caused, must
// not end it before a trial has failed.
func TestRunner_QuarantinedItemEndsWithItsReason(t *testing.T) {
	node, backend, guard := startCrashingJob(t, true, 0)
	eventually(t, func() bool { return backend.sends() == 3 })
	time.Sleep(1500 * time.Millisecond)
	if backend.sends() != 3 || listedItems(node, "j") != 1 {
		t.Fatalf("before a trial: %d sends, %d items listed", backend.sends(), listedItems(node, "j"))
	}
	guard.mu.Lock()
	guard.trial = true
	guard.mu.Unlock()
	eventually(t, func() bool { return listedItems(node, "j") == 2 })
	reading, err := node.Read(t.Context(), "j", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, result := range reading.Results {
		if result.Item == "bad" && (!result.Dead || result.Reason != Quarantined) {
			t.Errorf("the item ended as %+v", result)
		}
	}
	if backend.sends() != 4 {
		t.Errorf("%d sends", backend.sends())
	}
}

func TestRunner_QuarantinedItemIsRetriedWhenATrialIsDue(t *testing.T) {
	_, backend, guard := startCrashingJob(t, false, 0)
	eventually(t, func() bool { return backend.sends() == 3 })
	guard.mu.Lock()
	guard.trial = true
	guard.mu.Unlock()
	eventually(t, func() bool { return backend.sends() == 4 })
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if len(guard.claimed) == 0 {
		t.Error("the trial did not claim its replica")
	}
}

// TestRunner_ItemsAvoidClaimedReplicas guards against items on replicas that run a trial, whose crash
// would count against both.
func TestRunner_ItemsAvoidClaimedReplicas(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	runner, _ := startRunner(t, node, &crashingBackend{})
	guard := &countingQuarantine{}
	runner.mu.Lock()
	runner.Quarantine = guard
	runner.mu.Unlock()
	guard.setClaimed(runner.Replicas.Snapshot(testPool, 0, time.Now()))
	items := []Item{{ID: "good", Path: "/batch/good", Body: []byte("good")}}
	if err := node.Submit(t.Context(), &Submission{ID: "j", Route: "batch", Host: testHost, Items: items, Completion: time.Minute, Retention: time.Minute}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	if listed := listedItems(node, "j"); listed != 0 {
		t.Errorf("%d items ran while all replicas were claimed", listed)
	}
	guard.setClaimed(nil)
	eventually(t, func() bool { return listedItems(node, "j") == 1 })
}

func TestRunner_RunsWithNewEventsDoNotCountAgainstAnItem(t *testing.T) {
	node, backend, guard := startCrashingJob(t, true, 4)
	eventually(t, func() bool { return listedItems(node, "j") == 2 })
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if len(guard.interrupted) != 0 || backend.sends() < 9 {
		t.Fatalf("%d items suspected after %d sends", len(guard.interrupted), backend.sends())
	}
}

// Guards against the beginning of an item's text that counts as complete because its answer, which has neither
// a length nor chunks, ended as its replica crashed.
func TestRunner_UnframedAnswerEndsWithItsReplica(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	backend := &unframedBackend{}
	runner, _ := startRunner(t, node, backend)
	runner.mu.Lock()
	runner.Quarantine = &countingQuarantine{crashed: true}
	runner.mu.Unlock()
	items := []Item{{ID: "i", Path: "/batch/i", Body: []byte("i")}}
	if err := node.Submit(t.Context(), &Submission{ID: "j", Route: "batch", Host: testHost, Items: items, Completion: time.Minute, Retention: time.Minute}); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return listedItems(node, "j") == 1 })
	backend.mu.Lock()
	defer backend.mu.Unlock()
	if backend.resumedAfter != 2 {
		t.Errorf("the item's second run resumed after event %d", backend.resumedAfter)
	}
}

// unframedBackend answers the first attempt with two events without length or chunks, and later ones with
// the rest.
type unframedBackend struct {
	mu           sync.Mutex
	sent         int
	resumedAfter int
}

func (b *unframedBackend) Send(_ context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	if b.sent == 1 {
		answer := answerOf(http.StatusOK, events(1, 2))
		answer.Unframed = true
		return answer, nil
	}
	b.resumedAfter = attempt.LastEventID
	return answerOf(http.StatusOK, events(attempt.LastEventID+1, 4)), nil
}

// Guards against items that are sent though a part of their prompts crashes replicas: the quarantine of parts
// knew requests only.
func TestRunner_ItemsWithQuarantinedPartWait(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	backend := &crashingBackend{}
	runner, _ := startRunner(t, node, backend)
	guard := &countingQuarantine{refusedPart: quarantine.PartOf(testPool, 0xbad)}
	runner.mu.Lock()
	runner.Quarantine, runner.DescribePrompt = guard, func(header http.Header) route.Prompt {
		key, _ := strconv.ParseUint(header.Get("Part"), 16, 64)
		return route.Prompt{Parts: []route.Part{{Key: key}, {Key: 1}}}
	}
	runner.mu.Unlock()
	items := []Item{
		{ID: "bad", Path: "/batch/bad", Header: map[string]string{"Part": "bad"}},
		{ID: "good", Path: "/batch/good", Header: map[string]string{"Part": "aa"}},
	}
	if err := node.Submit(t.Context(), &Submission{ID: "j", Route: "batch", Host: testHost, Items: items, Completion: time.Minute, Retention: time.Minute}); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return listedItems(node, "j") == 1 })
	time.Sleep(2 * quarantineRecheckDelay)
	if backend.sends() > 0 {
		t.Errorf("an item with a quarantined part was sent %d times", backend.sends())
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if len(guard.partSuccesses) == 0 || slices.Contains(guard.partSuccesses, guard.refusedPart) {
		t.Errorf("the successes %v were recorded", guard.partSuccesses)
	}
}

// Guards against a harmful part of items that is never found because each run brings an event before its replica
// crashes: such runs do not count against the item, which would be done in the end, but against its parts.
func TestRunner_CrashAfterEventsCountsAgainstParts(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	runner, _ := startRunner(t, node, &crashingBackend{eventsEach: 1})
	guard, part := &countingQuarantine{}, quarantine.PartOf(testPool, 0xbad)
	runner.mu.Lock()
	runner.Quarantine, runner.DescribePrompt = guard, func(http.Header) route.Prompt {
		return route.Prompt{Parts: []route.Part{{Key: 0xbad}, {Key: 1}}}
	}
	runner.mu.Unlock()
	items := []Item{{ID: "bad", Path: "/batch/bad"}}
	if err := node.Submit(t.Context(), &Submission{ID: "j", Route: "batch", Host: testHost, Items: items, Completion: time.Minute, Retention: time.Minute}); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool {
		guard.mu.Lock()
		defer guard.mu.Unlock()
		return len(guard.partsInterrupted) >= 4 && guard.partsInterrupted[0] == part
	})
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if len(guard.interrupted) > 0 {
		t.Errorf("runs that brought events count against the item: %v", guard.interrupted)
	}
}
