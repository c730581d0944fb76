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

// toldNodes records whom a service tells of news.
type toldNodes struct {
	mu    sync.Mutex
	nodes []string
}

func (n *toldNodes) tell(nodes []string, _ string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes = append(n.nodes, nodes...)
}

func (n *toldNodes) take() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	told := slices.Sorted(slices.Values(n.nodes))
	n.nodes = nil
	return told
}

// TestService_TellsThoseWhoRunItems has a node accept and end a job: those who are to
// run its items, or to stop them, need not wait for their next look.
func TestService_TellsThoseWhoRunItems(t *testing.T) {
	shared := tabletest.New()
	node := detachedNode(t, shared, shared.Feed(Group), "a#1")
	node.Fleet = &someOwners{live: []string{"a#1", "b#1", "c#1", "d#1"}}
	var told toldNodes
	node.Notify = told.tell
	if err := node.Submit(t.Context(), submission("j", 3)); err != nil {
		t.Fatal(err)
	}
	runners := node.View.Get("j").activeNodes()
	if got := told.take(); len(got) != 3 || !slices.Equal(got, slices.Sorted(slices.Values(runners))) {
		t.Errorf("told %v of a job that %v run", got, runners)
	}
	if err := node.End(t.Context(), "j"); err != nil {
		t.Fatal(err)
	}
	if got := told.take(); len(got) != 3 {
		t.Errorf("told %v of the end of a job with three unlisted items", got)
	}
}

// TestRead_WaitingIsAnnounced has a caller wait for a result: a look is asked for, and
// the caller is counted until it has its answer.
func TestRead_WaitingIsAnnounced(t *testing.T) {
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

// TestSubmit_LooksBeforeAJobIsRefusedForItsSize has the room that a job needs become
// free where the node has not looked yet.
func TestSubmit_LooksBeforeAJobIsRefusedForItsSize(t *testing.T) {
	shared := tabletest.New()
	feed := shared.Feed(Group)
	const quota = 300
	node, other := detachedNode(t, shared, feed, "a#1"), detachedNode(t, shared, feed, "b#1")
	if err := node.Submit(t.Context(), limited("first", 2, quota)); err != nil {
		t.Fatal(err)
	}
	look := func() {
		all, _, err := feed.Page(context.Background(), table.Cursor{})
		if err != nil {
			t.Error(err)
		}
		node.View.Apply(all, true)
	}
	looked := 0
	node.RequestUpdate = func() { looked++; look() }
	if err := node.Submit(t.Context(), limited("full", 2, quota)); !errors.Is(err, ErrQuota) || looked != 1 {
		t.Fatalf("a job beyond the quota: %v after %d looks, want ErrQuota after 1", err, looked)
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
