package jobs

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// failingObjects fails writes of objects while put is set.
type failingObjects struct {
	objecttest.Store
	put atomic.Pointer[error]
}

func (s *failingObjects) Put(ctx context.Context, key string, body []byte) error {
	if err := s.put.Load(); err != nil {
		return *err
	}
	return s.Store.Put(ctx, key, body)
}

func failWith(err error) *error { return &err }

// longAnswer returns a text that is too long for a row for the first item of a job.
func longAnswer(_ context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	if strings.HasSuffix(attempt.Request.ID, "-0") {
		return answerOf(200, "id: 1\ndata: "+strings.Repeat("x", 2*maxRowText)+"\n\n"), nil
	}
	return answerOf(200, events(attempt.LastEventID+1, 5)), nil
}

// TestRunner_ItemWhoseTextCannotBeWrittenIsListedLater guards against items that count as listed
// although listing them failed, so that their job never ends. While the text of the first item
// cannot be written, the others must be listed.
func TestRunner_ItemWhoseTextCannotBeWrittenIsListedLater(t *testing.T) {
	for name, err := range map[string]error{"refused": object.ErrNotFound, "unavailable": errors.New("unavailable")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				objects := &failingObjects{}
				objects.put.Store(failWith(err))
				node := startNode(t, tabletest.New(), objects, "a#1")
				runner, _ := startRunner(t, node, sendFunc(longAnswer))
				if err := node.Submit(t.Context(), submission("j", 4)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second + textPutTimeout)
				if listed := len(node.View.Get("j").Progress.Listed); listed != 3 {
					t.Fatalf("%d items are listed, want the three whose texts need no object", listed)
				}
				if waiting := runner.ItemWaits(); len(waiting) != 1 || waiting[0].Reason != WaitListing || waiting[0].Cause == nil {
					t.Fatalf("waits are %+v, want one for listing, with its cause", waiting)
				}
				objects.put.Store(nil)
				time.Sleep(textPutTimeout)
				if entry := node.View.Get("j"); !entry.Done() {
					t.Fatalf("listed are %v: %+v", entry.Progress.Listed, runner.ItemWaits())
				}
			})
		})
	}
}

// TestRunner_ItemsWhoseContentCannotBeReadExpire guards against items that neither report a wait
// nor expire because they have no tasks, and against reading missing content at each dispatch.
func TestRunner_ItemsWhoseContentCannotBeReadExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, objects := tabletest.New(), &objecttest.Store{}
		accepting := startNode(t, shared, objects, "b#1")
		job := submission("j", 3)
		job.Items[0].Body = []byte(strings.Repeat("x", 2*maxInlineContent))
		job.Retention = 20 * time.Second
		if err := accepting.Submit(t.Context(), job); err != nil {
			t.Fatal(err)
		}
		if err := objects.Delete(t.Context(), contentObject("j", accepting.View.Get("j").Job.Content)); err != nil {
			t.Fatal(err)
		}
		node := startNode(t, shared, objects, "b#2")
		runner, _ := startRunner(t, node, sendFunc(longAnswer))
		takeOver(t, runner, "j", "b#2")
		time.Sleep(5 * time.Second)
		waiting := runner.ItemWaits()
		if len(waiting) != 3 || waiting[0].Reason != WaitContent || waiting[0].Cause == nil {
			t.Fatalf("waits are %+v, want three for content, with their cause", waiting)
		}
		if since := clock.Since(waiting[0].LastProgress); since < 4*time.Second {
			t.Fatalf("waits for %v, want since it was assigned", since)
		}
		time.Sleep(20 * time.Second)
		entry := node.View.Get("j")
		if !entry.Done() || !entry.Progress.Listed[0].Dead {
			t.Fatalf("listed are %v, want three expired items", entry.Progress.Listed)
		}
	})
}

// takeOver makes a session the owner of a job.
func takeOver(t *testing.T, runner *Runner, id, session string) {
	t.Helper()
	eventually(t, func() bool { return runner.Service.View.Get(id) != nil })
	runner.claim(t.Context(), runner.Service.View.Get(id), session)
}
