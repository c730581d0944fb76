package jobs

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// startUnawareNode returns a node that takes the table for empty, and hears of no changes.
func startUnawareNode(shared *tabletest.Table, objects object.Store, session string) *testNode {
	view := NewView()
	view.Apply(table.Changes{Now: time.Second}, true)
	service := &Service{
		Table: shared, Objects: objects, View: view, Events: noEvents{},
		Session: func(context.Context) (string, error) { return session, nil },
	}
	return &testNode{Service: service, session: session}
}

// submissionOf returns a submission whose bodies have a size and consist of one letter.
func submissionOf(letter string, size int) *Submission {
	submitted := submission("j", 3)
	for i := range submitted.Items {
		submitted.Items[i].Body = bytes.Repeat([]byte(letter), size)
	}
	return submitted
}

// largeBody is the size of bodies of which three are too large for rows.
const largeBody = maxInlineContent / 2

// checkBody checks the body of an item at a node.
func checkBody(t *testing.T, node *testNode, letter string) {
	t.Helper()
	body, err := node.Body(t.Context(), "j", "j-2")
	if err != nil || len(body) == 0 || string(body[:1]) != letter {
		t.Errorf("the body is %.3q, %d bytes, %v; want letters %q", body, len(body), err, letter)
	}
}

// TestSubmit_OtherLargeContentKeepsTheAcceptedOne guards against items that change after their job was
// accepted: a node that does not know the job yet gets other items under its id.
func TestSubmit_OtherLargeContentKeepsTheAcceptedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, objects := tabletest.New(), &objecttest.Store{}
		unaware := startUnawareNode(shared, objects, "b#1")
		accepting := startUnawareNode(shared, objects, "a#1")
		if err := accepting.Submit(t.Context(), submissionOf("a", largeBody)); err != nil {
			t.Fatal(err)
		}
		if err := unaware.Submit(t.Context(), submissionOf("b", largeBody)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		checkBody(t, startCutOffNode(t, shared, objects, "reader#1", "j"), "a")
		checkBody(t, unaware, "a")
		if count := objects.Len(); count != 1 {
			t.Errorf("%d objects, want only that of the accepted submission", count)
		}
	})
}

// TestSubmit_OtherContentIsNotRun guards against a node that runs the items of a submission that was not
// accepted, because it keeps them in memory under the id of the job that was.
func TestSubmit_OtherContentIsNotRun(t *testing.T) {
	shared, objects := tabletest.New(), &objecttest.Store{}
	unaware := startUnawareNode(shared, objects, "a#1")
	if err := startUnawareNode(shared, objects, "a#1").Submit(t.Context(), submissionOf("a", 10)); err != nil {
		t.Fatal(err)
	}
	if err := unaware.Submit(t.Context(), submissionOf("b", 10)); err != nil {
		t.Fatal(err)
	}
	if !unaware.runsHere(t.Context(), "j") {
		t.Fatal("the node does not run the job")
	}
	checkBody(t, unaware, "a")
}

// TestSubmit_UnansweredLargeContentStays guards against the deletion of a content while a transaction that
// accepts its job got no answer, and may be applied seconds later.
func TestSubmit_UnansweredLargeContentStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, objects := tabletest.New(), &objecttest.Store{}
		shared.CommitFault = func([]table.Write) tabletest.Fault { return tabletest.Late }
		node := startUnawareNode(shared, objects, "a#1")
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		defer cancel()
		if err := node.Submit(ctx, submissionOf("a", largeBody)); !errors.Is(err, ErrUnknownOutcome) {
			t.Fatalf("submitted: %v", err)
		}
		time.Sleep(5 * time.Second)
		if shared.ApplyLate() == 0 {
			t.Fatal("no late transaction was applied")
		}
		time.Sleep(2 * time.Minute)
		checkBody(t, startCutOffNode(t, shared, objects, "reader#1", "j"), "a")
	})
}

// TestSubmit_RefusedLargeContentIsDeleted guards against contents of refused submissions that stay in the
// store for ever.
func TestSubmit_RefusedLargeContentIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, objects := tabletest.New(), &objecttest.Store{}
		node := startUnawareNode(shared, objects, "a#1")
		refused := submissionOf("a", largeBody)
		refused.Guards = []table.Write{{Key: table.Key{Partition: "other", Sort: "gone"}, Expect: 1}}
		if err := node.Submit(t.Context(), refused); !errors.Is(err, ErrSuperseded) {
			t.Fatalf("submitted: %v", err)
		}
		time.Sleep(2 * time.Minute)
		if count := objects.Len(); count != 0 {
			t.Errorf("%d objects are left", count)
		}
	})
}

// TestContent_OfEarlierVersionsIsReadAndRemoved guards against jobs of earlier versions, whose rows name no
// content, that can't be run after an update.
func TestContent_OfEarlierVersionsIsReadAndRemoved(t *testing.T) {
	shared, objects := tabletest.New(), &objecttest.Store{}
	submitted := submissionOf("a", largeBody)
	job := &Job{ID: "j", Route: "batch", Created: time.Second, Due: time.Minute, Expires: time.Minute}
	for _, item := range submitted.Items {
		job.Items = append(job.Items, ItemHead{ID: item.ID, Tokens: item.Tokens})
	}
	if err := objects.Put(t.Context(), "job-j", encode(submitted.Items)); err != nil {
		t.Fatal(err)
	}
	_, err := shared.Commit(t.Context(), table.NewOperation(),
		table.Write{Key: jobKey("j"), Body: encode(job)}, table.Write{Key: progressKey("j"), Body: encode(&Progress{})})
	if err != nil {
		t.Fatal(err)
	}
	node := startCutOffNode(t, shared, objects, "a#1", "j")
	checkBody(t, node, "a")
	if err := node.Remove(t.Context(), node.View.Get("j")); err != nil {
		t.Fatal(err)
	}
	if count := objects.Len(); count != 0 {
		t.Errorf("%d objects are left", count)
	}
}
