package jobs

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

func TestSweepOld_RemovesWhatIsDoneAndOldOnly(t *testing.T) {
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
	large.Items[0].Body = make([]byte, maxInline+1)
	for _, submitted := range []*Submission{submission("done", 2), large, submission("open", 1)} {
		if err := node.Submit(t.Context(), submitted); err != nil {
			t.Fatal(err)
		}
	}
	readAll(t, node, "done")
	readAll(t, node, "large")
	runner.sweepOld(t.Context(), time.Hour)
	if node.View.Get("done") == nil {
		t.Fatal("a job was removed before its time")
	}
	// By this promise all of them are outdated.
	runner.sweepOld(t.Context(), -time.Hour)
	if node.View.Get("done") != nil || node.View.Get("large") != nil {
		t.Fatal("outdated jobs are still there")
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
