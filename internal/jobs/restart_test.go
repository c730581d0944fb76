package jobs

import (
	"net/http"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// TestRunner_NothingExpiresBeforeJobsAreLoaded guards against items that expire by a clock that is
// not known yet, when a restarted node takes a job over before it has read all jobs.
func TestRunner_NothingExpiresBeforeJobsAreLoaded(t *testing.T) {
	shared := tabletest.New()
	first := startNode(t, shared, &objecttest.Store{}, "node#1")
	if err := first.Submit(t.Context(), submission("job", 1)); err != nil {
		t.Fatal(err)
	}
	restarted := &testNode{session: "node#2", Service: &Service{
		Table: shared, Objects: &objecttest.Store{}, View: NewView(), Events: noEvents{},
		Session: first.Session,
	}}
	if _, err := restarted.find(t.Context(), "job"); err != nil {
		t.Fatal(err)
	}
	backend := &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		return answerOf(http.StatusOK, events(1, 2)), nil
	}}
	startRunner(t, restarted, backend)
	time.Sleep(500 * time.Millisecond)
	for _, listed := range restarted.View.Get("job").Progress.Listed {
		if listed.Dead {
			t.Fatal("an item expired before the clock was known")
		}
	}
}

// TestRead_UsesTheStoreBeforeJobsAreLoaded guards against old results: a restarted node whose first
// read of all jobs hangs must not answer from what it read for an earlier caller.
func TestRead_UsesTheStoreBeforeJobsAreLoaded(t *testing.T) {
	shared := tabletest.New()
	first := startNode(t, shared, &objecttest.Store{}, "node#1")
	if err := first.Submit(t.Context(), submission("job", 2)); err != nil {
		t.Fatal(err)
	}
	restarted := &testNode{session: "other#2", Service: &Service{
		Table: shared, Objects: &objecttest.Store{}, View: NewView(), Events: noEvents{},
		Session: first.Session,
	}}
	if reading, err := restarted.Read(t.Context(), "job", 0, 0); err != nil || len(reading.Results) != 0 {
		t.Fatalf("before anything is listed: %+v, %v", reading, err)
	}
	entry := first.View.Get("job")
	done := &task{owned: &ownedJob{job: entry.Job}, index: 0, text: []byte("text")}
	if err := first.listResults(t.Context(), entry.Job, []*task{done}); err != nil {
		t.Fatal(err)
	}
	if reading, err := restarted.Read(t.Context(), "job", 0, 0); err != nil || len(reading.Results) != 1 {
		t.Fatalf("after a result was listed: %+v, %v", reading, err)
	}
}
