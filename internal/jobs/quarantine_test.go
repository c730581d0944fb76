package jobs

import (
	"context"
	"errors"
	"net/http"
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

// quarantineStub is a Quarantine that is set by tests.
type quarantineStub struct {
	mu sync.Mutex
	// claimed holds the replicas that trials have claimed.
	claimed map[string]bool
	// ended makes all replicas ended ones, leaving those that are leaving.
	ended, leaving bool
}

func (q *quarantineStub) ClaimedReplicas() map[string]bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.claimed
}

// setClaimed makes the replicas claimed by trials, and no others.
func (q *quarantineStub) setClaimed(candidates []replica.Candidate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.claimed = map[string]bool{}
	for i := range candidates {
		q.claimed[candidates[i].ID] = true
	}
}

func (q *quarantineStub) RecordPartSuccess([]quarantine.Work) {}

func (q *quarantineStub) HasEnded(context.Context, quarantine.Replica) bool { return q.ended }
func (q *quarantineStub) IsLeaving(quarantine.Replica) bool                 { return q.leaving }

var errReplicaCrashed = outcome.AsUnknown(errors.Join(forward.ErrBroken, errors.New("EOF")))

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

// TestRunner_ItemsAvoidClaimedReplicas guards against items on replicas that run a trial, whose crash
// would count against both.
func TestRunner_ItemsAvoidClaimedReplicas(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	runner, _ := startRunner(t, node, &crashingBackend{})
	guard := &quarantineStub{}
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

// Guards against an item that is given up, or sent ever more rarely, though each of its interrupted runs brings
// new events.
func TestRunner_ItemIsCompletedByInterruptedRuns(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	backend := &crashingBackend{eventsEach: 4}
	startRunner(t, node, backend)
	items := []Item{{ID: "bad", Path: "/batch/bad", Body: []byte("bad")}, {ID: "good", Path: "/batch/good", Body: []byte("good")}}
	began := time.Now()
	if err := node.Submit(t.Context(), &Submission{ID: "j", Route: "batch", Host: testHost, Items: items, Completion: time.Minute, Retention: time.Minute}); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return listedItems(node, "j") == 2 })
	if backend.sends() < 9 {
		t.Errorf("%d sends in %v", backend.sends(), time.Since(began))
	}
}

// Guards against the beginning of an item's text that counts as complete because its answer, which has neither
// a length nor chunks, ended as its replica crashed.
func TestRunner_UnframedAnswerEndsWithItsReplica(t *testing.T) {
	if backend, _ := runUnframed(t, &quarantineStub{ended: true}, false); backend.resumedAfter != 2 {
		t.Errorf("the item's second run resumed after event %d", backend.resumedAfter)
	}
}

// Guards against the beginning of an item's text that counts as complete because its replica, which is leaving,
// closed its connections before its listener.
func TestRunner_UnframedAnswerOfALeavingReplicaIsContinued(t *testing.T) {
	backend, result := runUnframed(t, &quarantineStub{leaving: true}, false)
	if backend.resumedAfter != 2 || result.Text != "piece 1\npiece 2\npiece 3\npiece 4" {
		t.Errorf("the item's second run resumed after event %d, its text is %q", backend.resumedAfter, result.Text)
	}
}

// Guards against an at-most-once item that is dead, though its answer was whole, because its replica is leaving.
func TestRunner_AtMostOnceItemIsCompletedByALeavingReplica(t *testing.T) {
	if backend, result := runUnframed(t, &quarantineStub{leaving: true}, true); backend.sent != 1 || result.Dead {
		t.Errorf("%d runs, result %+v", backend.sent, result)
	}
}

// runUnframed runs an item whose first answer has neither a length nor chunks, and returns its result.
func runUnframed(t *testing.T, guard *quarantineStub, atMostOnce bool) (*unframedBackend, Result) {
	t.Helper()
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	backend := &unframedBackend{}
	runner, _ := startRunner(t, node, backend)
	runner.mu.Lock()
	runner.Quarantine = guard
	runner.mu.Unlock()
	items := []Item{{ID: "i", Path: "/batch/i", Body: []byte("i"), AtMostOnce: atMostOnce}}
	if err := node.Submit(t.Context(), &Submission{ID: "j", Route: "batch", Host: testHost, Items: items, Completion: time.Minute, Retention: time.Minute}); err != nil {
		t.Fatal(err)
	}
	result := readAll(t, node, "j")[0]
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend, result
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

// startWithPart starts a node whose items have a part of their prompts in common with requests, and returns
// its runner's guard.
func startWithPart(t *testing.T, backend forward.Backend) (*testNode, *quarantine.Guard) {
	t.Helper()
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	runner, _ := startRunner(t, node, backend)
	list := &quarantine.List{}
	guard := &quarantine.Guard{List: list, Parts: quarantine.NewPartList(list), Events: ignoredEvents{}}
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.Quarantine, runner.DescribePrompt = guard, func(http.Header) route.Prompt {
		return route.Prompt{Parts: []route.Part{{Key: sharedPart}, {Key: 1}}}
	}
	return node, guard
}

const sharedPart = 0xbad

// Guards against items that are held because requests with a part of their prompts crashed replicas, and
// against a part that stays quarantined though items with it succeed.
func TestRunner_ItemsWithQuarantinedPartAreSent(t *testing.T) {
	node, guard := startWithPart(t, &crashingBackend{})
	part, now := quarantine.PartOf(testPool, sharedPart), time.Now()
	for i := range 8 {
		at := now.Add(time.Duration(i-10) * time.Second)
		content := quarantine.Content{Target: strconv.Itoa(i)}
		run := quarantine.Run{Work: content.Work(), SentAt: at.Add(-100 * time.Millisecond)}
		guard.RecordCrash(quarantine.CrashReport{
			Replica: strconv.Itoa(i), At: at, Runs: []quarantine.Run{run}, Parts: []quarantine.Run{{Work: part, SentAt: run.SentAt}},
		})
	}
	if !guard.Parts.AnyQuarantined() {
		t.Fatal("the part at eight crashes is not quarantined for requests")
	}
	items := []Item{{ID: "good", Path: "/batch/good"}}
	if err := node.Submit(t.Context(), &Submission{ID: "j", Route: "batch", Host: testHost, Items: items, Completion: time.Minute, Retention: time.Minute}); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return listedItems(node, "j") == 1 && !guard.Parts.AnyQuarantined() })
}

// Guards against crashes of replicas under items that count against these or the parts of their prompts,
// whether or not a run brought events: requests with such a part would be refused.
func TestRunner_CrashesUnderItemsAreNoEvidence(t *testing.T) {
	for _, eventsEach := range []int{0, 1} {
		backend := &crashingBackend{eventsEach: eventsEach}
		node, guard := startWithPart(t, backend)
		if err := node.Submit(t.Context(), &Submission{ID: "j", Route: "batch", Host: testHost, Items: []Item{{ID: "bad", Path: "/batch/bad"}}, Completion: time.Minute, Retention: time.Minute}); err != nil {
			t.Fatal(err)
		}
		eventually(t, func() bool { return backend.sends() >= 6 })
		if !guard.List.Empty() || !guard.Parts.Empty() {
			t.Errorf("with %d events a run, crashes under an item count against work", eventsEach)
		}
	}
}
