package jobs

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// atMostOnceSubmission returns a job whose items may run only once.
func atMostOnceSubmission(id string, items int) *Submission {
	submitted := submission(id, items)
	for i := range submitted.Items {
		submitted.Items[i].AtMostOnce = true
	}
	return submitted
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition does not hold in time")
		}
	}
}

func TestRunner_AtMostOnceItemIsMarkedBeforeItIsSent(t *testing.T) {
	shared := tabletest.New()
	node := startNode(t, shared, &objecttest.Store{}, "node#1")
	var unmarked []int
	backend := &scriptedBackend{answer: func(attempt *forward.Attempt, _ int) (*forward.Answer, error) {
		entry := node.View.Get("job")
		for index, item := range entry.Job.Items {
			if item.ID == attempt.Request.ID && !slices.Contains(entry.Progress.Started, index) {
				unmarked = append(unmarked, index)
			}
		}
		return answerOf(http.StatusOK, events(1, 2)), nil
	}}
	startRunner(t, node, backend)
	if err := node.Submit(t.Context(), atMostOnceSubmission("job", 3)); err != nil {
		t.Fatal(err)
	}
	results := readAll(t, node, "job")
	if len(unmarked) > 0 {
		t.Fatalf("items %v were sent before they were marked", unmarked)
	}
	for _, result := range results {
		if result.Dead {
			t.Fatalf("result %+v of an item that ran", result)
		}
	}
}

func TestRunner_AtMostOnceItemOfUnknownOutcomeIsNotSentAgain(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "node#1")
	backend := &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		return nil, outcome.AsUnknown(forward.ErrBroken)
	}}
	startRunner(t, node, backend)
	if err := node.Submit(t.Context(), atMostOnceSubmission("job", 1)); err != nil {
		t.Fatal(err)
	}
	results := readAll(t, node, "job")
	if results[0].Reason != Undecided || backend.attempts() != 1 {
		t.Fatalf("result %+v after %d attempts", results[0], backend.attempts())
	}
}

func TestRunner_AtMostOnceItemOfALostOwnerIsNotSentAgain(t *testing.T) {
	shared := tabletest.New()
	lost := startNode(t, shared, &objecttest.Store{}, "node#1")
	released := make(chan struct{})
	hanging := &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		<-released
		return nil, outcome.AsUnknown(forward.ErrBroken)
	}}
	runner, _ := startRunner(t, lost, hanging)
	t.Cleanup(func() { close(released) })
	if err := lost.Submit(t.Context(), atMostOnceSubmission("job", 1)); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return hanging.attempts() == 1 })
	runner.mu.Lock()
	runner.stopped = true
	runner.mu.Unlock()
	next := startNode(t, shared, &objecttest.Store{}, "node#2")
	backend := &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		return answerOf(http.StatusOK, events(1, 2)), nil
	}}
	successor, _ := startRunner(t, next, backend)
	eventually(t, func() bool { return next.View.Get("job") != nil })
	successor.claim(t.Context(), next.View.Get("job"), "node#2")
	results := readAll(t, next, "job")
	if results[0].Reason != Undecided || backend.attempts() != 0 {
		t.Fatalf("result %+v after %d attempts of the successor", results[0], backend.attempts())
	}
}

func TestService_RemovedJobLeavesNothing(t *testing.T) {
	shared := tabletest.New()
	node := startNode(t, shared, &objecttest.Store{}, "node#1")
	backend := &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		return answerOf(http.StatusOK, events(1, 2)), nil
	}}
	startRunner(t, node, backend)
	if err := node.Submit(t.Context(), submission("job", 2)); err != nil {
		t.Fatal(err)
	}
	readAll(t, node, "job")
	if err := node.Remove(t.Context(), node.View.Get("job")); err != nil {
		t.Fatal(err)
	}
	rows, err := shared.List(t.Context(), resultPartition("job"), "", MaxItems)
	if err != nil || len(rows) != 0 || node.View.Get("job") != nil {
		t.Fatalf("%d rows are left, %v", len(rows), err)
	}
}

func TestService_FailedGuardRefusesAJob(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "node#1")
	submitted := submission("job", 1)
	submitted.Guards = []table.Write{{Key: jobKey("other"), Expect: 7}}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := node.Submit(ctx, submitted); outcome.Of(err) != outcome.NotDone {
		t.Fatalf("error is %v", err)
	}
	if node.View.Get("job") != nil {
		t.Fatal("the job was accepted")
	}
}

// TestWriteStartMarks_OnlyTheOwnerMarks guards against an item that is sent twice: a previous owner
// must not mistake the mark of the next owner for its own (lab batch-kill-after-ack, seed 52).
func TestWriteStartMarks_OnlyTheOwnerMarks(t *testing.T) {
	shared := tabletest.New()
	first, next := startNode(t, shared, &objecttest.Store{}, "a#1"), startNode(t, shared, &objecttest.Store{}, "b#1")
	if err := first.Submit(t.Context(), atMostOnceSubmission("job", 1)); err != nil {
		t.Fatal(err)
	}
	entry, err := next.find(t.Context(), "job")
	if err != nil {
		t.Fatal(err)
	}
	takenOver := entry.Progress.clone()
	takenOver.Owner, takenOver.Started = "b#1", []int{0}
	if err := next.commitProgress(t.Context(), "job", entry.Version, takenOver, table.NewOperation(), nil); err != nil {
		t.Fatal(err)
	}
	runner := NewRunner(RunnerOptions{Service: first.Service, Owners: noOwners{}})
	owned := &ownedJob{job: entry.Job, ctx: t.Context(), cancel: func() {}}
	item := &task{owned: owned, atMostOnce: true}
	owned.tasks = []*task{item}
	runner.writeStartMarks(owned, owned.tasks)
	if item.startMarked {
		t.Fatal("a mark of the next owner counts as one of this node")
	}
}
