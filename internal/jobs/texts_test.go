package jobs

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// textEvents records the objects of listed items and of texts that were not listed.
type textEvents struct {
	noEvents
	mu                sync.Mutex
	listed, notListed []string
}

func (e *textEvents) ItemListed(_ *Job, _ string, _ int, _ Reason, object string, _ int, _ time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = append(e.listed, object)
}

func (e *textEvents) TextNotListed(_ *Job, _ string, _ int, object string, _ int, _ error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notListed = append(e.notListed, object)
}

// reported returns the objects that were reported so far.
func (e *textEvents) reported() (listed, notListed []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.listed), slices.Clone(e.notListed)
}

// textSite is a job of one item, its owner, and a node that was cut off from the store once it knew the
// job.
type textSite struct {
	shared      *tabletest.Table
	objects     *objecttest.Store
	owner, late *testNode
	lateEvents  *textEvents
	job         *Job
}

// withTextSite runs a test with made-up time.
func withTextSite(t *testing.T, test func(t *testing.T, site *textSite)) {
	synctest.Test(t, func(t *testing.T) {
		site := &textSite{shared: tabletest.New(), objects: &objecttest.Store{}, lateEvents: &textEvents{}}
		site.owner = startNode(t, site.shared, site.objects, "a#1")
		if err := site.owner.Submit(t.Context(), submission("j", 1)); err != nil {
			t.Fatal(err)
		}
		site.late = startCutOffNode(t, site.shared, site.objects, "b#1", "j")
		site.late.Events = site.lateEvents
		site.job = site.owner.View.Get("j").Job
		test(t, site)
	})
}

// list lists the item at a node, with a text by an author.
func (s *textSite) list(t *testing.T, node *testNode, author string) *task {
	t.Helper()
	finished := longTask(0, author)
	if err := node.listResults(t.Context(), s.job, []*task{finished}); err != nil {
		t.Fatal(err)
	}
	return finished
}

// checkObjects checks the number of objects after all texts are resolved.
func (s *textSite) checkObjects(t *testing.T, want int) {
	t.Helper()
	time.Sleep(2 * resolveTime)
	if got := s.objects.Len(); got != want {
		t.Errorf("%d objects, want %d", got, want)
	}
}

// checkLateListed checks that the late node reports its text as listed, and no other.
func (s *textSite) checkLateListed(t *testing.T) {
	t.Helper()
	if listed, notListed := s.lateEvents.reported(); len(listed) != 1 || len(notListed) != 0 {
		t.Errorf("the node reports %q as listed, %q as not", listed, notListed)
	}
}

// TestResolveText_OtherOwnersTextIsDeleted guards against texts that lost and stay in the store for
// ever, and against a log that doesn't tell which node wrote them.
func TestResolveText_OtherOwnersTextIsDeleted(t *testing.T) {
	withTextSite(t, func(t *testing.T, site *textSite) {
		listed := site.list(t, site.owner, "owner")
		lost := site.list(t, site.late, "late")
		site.checkObjects(t, 1)
		checkAuthor(t, site.shared, site.objects, "j", "owner")
		reported, notListed := site.lateEvents.reported()
		if lost.object == listed.object || len(reported) != 0 || !slices.Equal(notListed, []string{lost.object}) {
			t.Errorf("listed is %q, lost %q; the late node reports %q as listed, %q as not", listed.object, lost.object, reported, notListed)
		}
	})
}

// TestListResults_TextOfAListedItemIsNotWritten guards against objects that are written though the node knows
// that its item is listed, and against a log that calls such a text listed.
func TestListResults_TextOfAListedItemIsNotWritten(t *testing.T) {
	withTextSite(t, func(t *testing.T, site *textSite) {
		site.list(t, site.owner, "owner")
		row, err := site.shared.Get(t.Context(), progressKey("j"))
		if err != nil {
			t.Fatal(err)
		}
		site.late.View.Put(row)
		if lost := site.list(t, site.late, "late"); lost.object != "" {
			t.Errorf("the text is written to %q", lost.object)
		}
		site.checkObjects(t, 1)
		if listed, notListed := site.lateEvents.reported(); len(listed)+len(notListed) != 0 {
			t.Errorf("the node reports %q as listed, %q as not", listed, notListed)
		}
	})
}

// TestResolveText_TextOfAnEndedJobIsDeleted guards against texts that stay in the store for ever since
// their job was ended or removed before they were listed.
func TestResolveText_TextOfAnEndedJobIsDeleted(t *testing.T) {
	for name, end := range map[string]func(site *textSite) error{
		"ended": func(site *textSite) error { return site.owner.End(context.Background(), "j") },
		"removed": func(site *textSite) error {
			return site.owner.Remove(context.Background(), site.owner.View.Get("j"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			withTextSite(t, func(t *testing.T, site *textSite) {
				if err := end(site); err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				lost := longTask(0, "late")
				// A node whose view has the removed job retries until it hears of the removal.
				err := site.late.listResults(ctx, site.job, []*task{lost})
				if err != nil {
					site.late.resolveTexts(t.Context(), site.job, []*task{lost})
				}
				site.checkObjects(t, 0)
			})
		})
	}
}

// TestResolveText_TextThatMayBeListedStays guards against the deletion of a text while a transaction that
// lists it got no answer, and may be applied seconds later.
func TestResolveText_TextThatMayBeListedStays(t *testing.T) {
	withTextSite(t, func(t *testing.T, site *textSite) {
		faults := []tabletest.Fault{tabletest.Late, tabletest.Rejected}
		site.shared.CommitFault = func([]table.Write) tabletest.Fault {
			if len(faults) == 0 {
				return tabletest.None
			}
			next := faults[0]
			faults = faults[1:]
			return next
		}
		unanswered := longTask(0, "late")
		if err := site.late.listResults(t.Context(), site.job, []*task{unanswered}); !errors.Is(err, table.ErrRejected) {
			t.Fatalf("listed: %v", err)
		}
		site.late.resolveTexts(t.Context(), site.job, []*task{unanswered})
		time.Sleep(5 * time.Second)
		if applied := site.shared.ApplyLate(); applied != 1 {
			t.Fatalf("%d late transactions were applied", applied)
		}
		site.checkObjects(t, 1)
		checkAuthor(t, site.shared, site.objects, "j", "late")
		site.checkLateListed(t)
	})
}

// TestResolveText_OwnTextIsKeptAfterALostAnswer guards against a node that takes its own listed text for
// another one's, because the answer of the transaction was lost.
func TestResolveText_OwnTextIsKeptAfterALostAnswer(t *testing.T) {
	withTextSite(t, func(t *testing.T, site *textSite) {
		lost := false
		site.shared.CommitFault = func([]table.Write) tabletest.Fault {
			if lost {
				return tabletest.None
			}
			lost = true
			return tabletest.Lost
		}
		site.list(t, site.late, "late")
		site.checkObjects(t, 1)
		checkAuthor(t, site.shared, site.objects, "j", "late")
		site.checkLateListed(t)
	})
}

// TestListResults_TriesShareOneObject guards against a new object at each try to list an item while the
// store rejects the transaction.
func TestListResults_TriesShareOneObject(t *testing.T) {
	withTextSite(t, func(t *testing.T, site *textSite) {
		rejected := tabletest.Rejected
		site.shared.CommitFault = func([]table.Write) tabletest.Fault { return rejected }
		finished := longTask(0, "owner")
		for range 5 {
			if err := site.owner.listResults(t.Context(), site.job, []*task{finished}); !errors.Is(err, table.ErrRejected) {
				t.Fatalf("listed: %v", err)
			}
		}
		rejected = tabletest.None
		if err := site.owner.listResults(t.Context(), site.job, []*task{finished}); err != nil {
			t.Fatal(err)
		}
		site.checkObjects(t, 1)
	})
}

// TestRemove_DeletesTextsOfAllNames guards against objects that stay after their job was removed, and
// against results of earlier versions, named by job and item, that cannot be read.
func TestRemove_DeletesTextsOfAllNames(t *testing.T) {
	withTextSite(t, func(t *testing.T, site *textSite) {
		earlier := longTask(0, "earlier")
		earlier.object = "text-j-0"
		if err := site.owner.listResults(t.Context(), site.job, []*task{earlier}); err != nil {
			t.Fatal(err)
		}
		checkAuthor(t, site.shared, site.objects, "j", "earlier")
		if err := site.owner.Remove(t.Context(), site.owner.View.Get("j")); err != nil {
			t.Fatal(err)
		}
		site.checkObjects(t, 0)
	})
}
