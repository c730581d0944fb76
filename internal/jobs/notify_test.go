package jobs

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// notifiedNodes records the nodes that a service notifies.
type notifiedNodes struct {
	mu    sync.Mutex
	nodes []string
}

func (n *notifiedNodes) notify(nodes []string, _ string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes = append(n.nodes, nodes...)
}

func (n *notifiedNodes) take() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	sorted := slices.Sorted(slices.Values(n.nodes))
	n.nodes = nil
	return sorted
}

// TestService_NotifiesNodesThatRunItems accepts and ends a job: the nodes that must run or stop its
// items are notified, so that they need not wait for the feed.
func TestService_NotifiesNodesThatRunItems(t *testing.T) {
	shared := tabletest.New()
	node := detachedNode(t, shared, shared.Feed(Group), "a#1")
	node.Fleet = &liveOwners{live: []string{"a#1", "b#1", "c#1", "d#1"}}
	var notified notifiedNodes
	node.Notify = notified.notify
	if err := node.Submit(t.Context(), submission("j", 3)); err != nil {
		t.Fatal(err)
	}
	runners := node.View.Get("j").activeNodes()
	if got := notified.take(); len(got) != 3 || !slices.Equal(got, slices.Sorted(slices.Values(runners))) {
		t.Errorf("notified %v of a job that %v run", got, runners)
	}
	if err := node.End(t.Context(), "j"); err != nil {
		t.Fatal(err)
	}
	if got := notified.take(); len(got) != 3 {
		t.Errorf("notified %v of the end of a job with three unlisted items", got)
	}
}

// TestRead_WaitRequestsAnUpdate guards that a caller who waits for a result requests an update, and
// is counted until it is answered.
func TestRead_WaitRequestsAnUpdate(t *testing.T) {
	shared := tabletest.New()
	node := detachedNode(t, shared, shared.Feed(Group), "a#1")
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	waiting := make(chan int, 1)
	node.RequestUpdate = func() { waiting <- node.Waiters() }
	if _, err := node.Read(t.Context(), "j", 0, 20*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if got := <-waiting; got != 1 {
		t.Errorf("%d callers wait, want 1", got)
	}
	if got := node.Waiters(); got != 0 {
		t.Errorf("%d callers wait after the answer", got)
	}
}

// TestSubmit_UpdatesTheViewBeforeRefusingForTheQuota frees the quota that a job needs while the
// node's view is out of date.
func TestSubmit_UpdatesTheViewBeforeRefusingForTheQuota(t *testing.T) {
	shared := tabletest.New()
	feed := shared.Feed(Group)
	const quota = 300
	node, other := detachedNode(t, shared, feed, "a#1"), detachedNode(t, shared, feed, "b#1")
	if err := node.Submit(t.Context(), limited("first", 2, quota)); err != nil {
		t.Fatal(err)
	}
	update := func() {
		all, _, err := feed.Page(context.Background(), table.Cursor{})
		if err != nil {
			t.Error(err)
		}
		node.View.Apply(all, true)
	}
	updates := 0
	node.RequestUpdate = func() { updates++; update() }
	if err := node.Submit(t.Context(), limited("full", 2, quota)); !errors.Is(err, ErrQuota) || updates != 1 {
		t.Fatalf("a job beyond the quota: %v after %d updates, want ErrQuota after 1", err, updates)
	}
	if _, err := other.find(t.Context(), "first"); err != nil {
		t.Fatal(err)
	}
	if err := other.End(t.Context(), "first"); err != nil {
		t.Fatal(err)
	}
	if err := node.Submit(t.Context(), limited("second", 2, quota)); err != nil {
		t.Errorf("a job that fits since another one ended: %v", err)
	}
}
