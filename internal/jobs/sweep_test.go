package jobs

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

func TestSweepExpired_RemovesOnlyFinishedOldJobs(t *testing.T) {
	shared := tabletest.New()
	objects := &objecttest.Store{}
	node := startNode(t, shared, objects, "a#1")
	backend := &scriptedBackend{answer: func(attempt *forward.Attempt, _ int) (*forward.Answer, error) {
		if attempt.Request.ID == "open-0" {
			return nil, errors.New("broken")
		}
		return answerOf(http.StatusOK, events(1, 2)), nil
	}}
	runner, _ := startRunner(t, node, backend)
	large := submission("large", 2)
	large.Items[0].Body = make([]byte, maxInlineContent+1)
	for _, submitted := range []*Submission{submission("done", 2), large, submission("open", 1)} {
		if err := node.Submit(t.Context(), submitted); err != nil {
			t.Fatal(err)
		}
	}
	readAll(t, node, "done")
	readAll(t, node, "large")
	runner.sweepExpired(t.Context(), time.Hour)
	if node.View.Get("done") == nil {
		t.Fatal("a job was removed before its retention was over")
	}
	// With this retention all of them are outdated.
	runner.sweepExpired(t.Context(), -time.Hour)
	if node.View.Get("done") != nil || node.View.Get("large") != nil {
		t.Fatal("outdated jobs still exist")
	}
	if node.View.Get("open") == nil {
		t.Fatal("a job with items to run was removed")
	}
	if objects.Len() != 0 {
		t.Fatalf("objects are left: %d", objects.Len())
	}
	if _, err := node.Read(t.Context(), "done", 0, 0); !errors.Is(err, ErrNotFound) {
		t.Fatalf("reading a removed job: %v", err)
	}
}

// TestRemove_DeletesLongTextsThatWereNeverRead guards that the object of a long text is deleted
// with its job, also at a node that never read it.
func TestRemove_DeletesLongTextsThatWereNeverRead(t *testing.T) {
	shared, objects := tabletest.New(), &objecttest.Store{}
	first, other := startNode(t, shared, objects, "a#1"), startNode(t, shared, objects, "b#1")
	long := "id: 1\ndata: " + strings.Repeat("x", maxRowText+1) + "\n\n"
	startRunner(t, first, &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		return answerOf(http.StatusOK, long), nil
	}})
	if err := first.Submit(t.Context(), submission("job", 1)); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool {
		entry := other.View.Get("job")
		return entry != nil && entry.Done()
	})
	if err := other.Remove(t.Context(), other.View.Get("job")); err != nil {
		t.Fatal(err)
	}
	if objects.Len() != 0 {
		t.Fatalf("%d objects are left", objects.Len())
	}
}
