package jobs

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// hangingAnswer returns an answer that brings some events and then blocks until the attempt is
// abandoned.
func hangingAnswer(ctx context.Context, text string) *forward.Answer {
	answer := answerOf(http.StatusOK, "")
	answer.Body = &stalledBody{ctx: ctx, text: []byte(text)}
	return answer
}

// stalledBody returns a text and then blocks until its context ends.
type stalledBody struct {
	ctx  context.Context
	text []byte
}

func (b *stalledBody) Read(into []byte) (int, error) {
	if len(b.text) > 0 {
		count := copy(into, b.text)
		b.text = b.text[count:]
		return count, nil
	}
	<-b.ctx.Done()
	return 0, context.Cause(b.ctx)
}

func (b *stalledBody) Close() error { return nil }

// sendFunc implements forward.Backend with a function.
type sendFunc func(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error)

// Send implements forward.Backend.
func (f sendFunc) Send(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	return f(ctx, attempt)
}

func TestItemWaits_ReasonOfEachItem(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	runner, replicas := startRunner(t, node, sendFunc(func(ctx context.Context, _ *forward.Attempt) (*forward.Answer, error) {
		return hangingAnswer(ctx, events(1, 3)), nil
	}))
	for _, id := range []string{"r1", "r2"} {
		replicas.Remove(id, clock.Now())
	}
	if err := node.Submit(t.Context(), submission("j", 10)); err != nil {
		t.Fatal(err)
	}
	count := func(kind WaitReason) int { return runner.WaitCounts(clock.Now())[kind].Count }
	for deadline := time.Now().Add(5 * time.Second); count(WaitAnswer) < 8 || count(WaitSlot) < 2; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waits are %+v, want 8 of 10 items running in 8 slots and 2 waiting for one", runner.WaitCounts(clock.Now()))
		}
	}
	if overdue := runner.Overdue(clock.Now()); len(overdue) > 0 {
		t.Fatalf("%d items are overdue at once", len(overdue))
	}
	overdue := runner.Overdue(clock.Now().Add(maxStall))
	if len(overdue) != 10 || overdue[0].Job != "j" {
		t.Fatalf("overdue are %+v, want all 10", overdue)
	}
}

// Each reason must have a name of its own, and a bound unless others decide when the wait ends.
func TestWait_NamesAndBounds(t *testing.T) {
	names := map[string]bool{}
	for kind := range waitKinds {
		names[kind.String()] = true
		if bound := kind.OverdueAfter(); bound <= 0 || bound > maxStall && bound != neverOverdue {
			t.Errorf("%s is bounded by %v", kind, bound)
		}
	}
	if len(names) != int(waitKinds) || names["unknown"] {
		t.Errorf("the names of %d waits are %v", waitKinds, names)
	}
}

// The cause of a wait for a slot shows what limits the slots.
func TestItemWaits_CauseOfAWaitForASlot(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	runner, replicas := startRunner(t, node, sendFunc(func(ctx context.Context, _ *forward.Attempt) (*forward.Answer, error) {
		return hangingAnswer(ctx, events(1, 3)), nil
	}))
	nodes := []place.Node{{ID: "a"}}
	for _, id := range nodeNames("n", 60) {
		nodes = append(nodes, place.Node{ID: id})
	}
	replicas.Divide("a", nodes)
	if err := node.Submit(t.Context(), submission("j", 10)); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return runner.WaitCounts(clock.Now())[WaitSlot].Count > 0 })
	for _, wait := range runner.ItemWaits() {
		var room replica.ItemCapacity
		if wait.Reason == WaitSlot && (!errors.As(wait.Cause, &room) || room.Share > 1) {
			t.Fatalf("item waits for a slot because of %v", wait.Cause)
		}
	}
}

// The cause of a wait beside a slot of another node shows why none is borrowed; without it nobody can tell
// an item that may not ask from one that is refused.
func TestItemWaits_WhyNoSlotIsBorrowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSlotSite(t, 1, nodeNames("n", 6), serverSlots("n", 1, 1))
		site.run()
		for _, node := range site.nodes {
			site.runLoad(func(ctx context.Context) {
				for retry.Sleep(ctx, 50*time.Millisecond) {
					node.set.RecordDemand(testPool, 8, 4, clock.Now())
				}
			})
		}
		time.Sleep(time.Second)
		site.submitAt(0, "j", 6)
		time.Sleep(replica.BorrowAfter + time.Second)
		waiting := 0
		for _, node := range site.nodes {
			for _, wait := range node.runner.NotSent(replica.BorrowAfter, clock.Now()) {
				waiting++
				if !errors.Is(wait.BorrowErr, replica.ErrFullyUsed) || clock.Since(wait.BorrowedAt) > 2*dispatchInterval {
					t.Fatalf("item of %s borrows no slot because of %v as of %v, want %v", node.name, wait.BorrowErr, wait.BorrowedAt, replica.ErrFullyUsed)
				}
			}
		}
		if waiting == 0 {
			t.Fatal("no item waits")
		}
	})
}

// One node reports the items whose node is gone and those that no live node may run, with the time
// since they were first found.
func TestItemWaits_OrphansAreReportedByOneNode(t *testing.T) {
	site := newRegionSite(t, nil, nil, "n-1", "s-1")
	site.nodes["n-1"].refuse.Store(true)
	site.submit("n-1", "j", 4)
	site.setRegions(place.Regions{"m"}, nil)
	eventually(t, func() bool { return site.nodes["s-1"].View.Get("j") != nil })
	site.claim("n-1", "s-1")
	time.Sleep(20 * time.Millisecond)
	site.claim("n-1", "s-1")
	waiting := 0
	for _, node := range site.nodes {
		waiting += node.runner.WaitCounts(clock.Now())[WaitRegion].Count
		if oldest := node.runner.WaitCounts(clock.Now())[WaitRegion].Oldest; oldest > 0 && oldest < 20*time.Millisecond {
			t.Errorf("waits for %v, want at least the time since it was found", oldest)
		}
	}
	if waiting != 4 {
		t.Fatalf("%d items wait for a region, want 4 at one node", waiting)
	}
}

// Every node must know which nodes run the unlisted items of a job.
func TestWaitsByNode_NamesTheNodesThatRunItems(t *testing.T) {
	site := newRegionSite(t, nil, nil, "n-1", "s-1")
	for _, node := range site.nodes {
		node.refuse.Store(true)
	}
	site.submit("n-1", "j", 4)
	at := site.nodes["s-1"]
	var waits []NodeWaitCount
	eventually(t, func() bool {
		waits = at.runner.WaitsByNode(at.session, clock.Now(), func(job string) bool { return job == "j" })
		items := 0
		for _, wait := range waits {
			items += wait.Items
		}
		return items == 4
	})
	for _, wait := range waits {
		if wait.Known != (wait.Node == "s-1") {
			t.Fatalf("waits by node are %+v", waits)
		}
	}
	if other := at.runner.WaitsByNode(at.session, clock.Now(), func(string) bool { return false }); len(other) > 0 {
		t.Fatalf("waits of no job are %+v", other)
	}
}
