package jobs

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// liveOwners has a fixed set of live sessions.
type liveOwners struct {
	noOwners
	live []string
	// regions maps nodes to regions; those of other nodes are unknown.
	regions map[string]string
}

func (o *liveOwners) Region(node string) string { return o.regions[node] }
func (o *liveOwners) Live() []string            { return o.live }
func (o *liveOwners) Nodes() []string {
	var nodes []string
	for _, session := range o.live {
		nodes = append(nodes, lease.Node(session))
	}
	return nodes
}
func (o *liveOwners) Places() []place.Node {
	var nodes []place.Node
	for _, node := range o.Nodes() {
		nodes = append(nodes, place.Node{ID: node})
	}
	return nodes
}
func (o *liveOwners) Gone(node string) bool {
	for _, session := range o.live {
		if lease.Node(session) == node {
			return false
		}
	}
	return true
}

func completeAnswers(attempt *forward.Attempt, _ int) (*forward.Answer, error) {
	return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
}

// spreadNodes starts nodes that share jobs.
func spreadNodes(t *testing.T, shared *tabletest.Table, owners *liveOwners) (nodes []*testNode, runners []*Runner, backends []*scriptedBackend) {
	t.Helper()
	objects := &objecttest.Store{}
	for _, session := range owners.live {
		node := startNode(t, shared, objects, session)
		node.Fleet = owners
		backend := &scriptedBackend{answer: completeAnswers}
		runner, _ := startRunner(t, node, backend)
		runner.Owners = owners
		nodes, runners, backends = append(nodes, node), append(runners, runner), append(backends, backend)
	}
	return nodes, runners, backends
}

func TestSpread_AllNodesRunItemsOfOneJob(t *testing.T) {
	owners := &liveOwners{live: []string{"a#1", "b#1", "c#1"}}
	nodes, _, backends := spreadNodes(t, tabletest.New(), owners)
	if err := nodes[0].Submit(t.Context(), submission("j", 9)); err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, result := range readAll(t, nodes[1], "j") {
		if seen[result.Item] || result.Dead {
			t.Fatalf("result is %+v", result)
		}
		seen[result.Item] = true
	}
	for i, backend := range backends {
		if backend.attempts() != 3 {
			t.Errorf("node %d ran %d items of 9, want 3", i, backend.attempts())
		}
	}
}

func TestSpread_AtMostOnceItemsStayWithTheirOwner(t *testing.T) {
	owners := &liveOwners{live: []string{"a#1", "b#1"}}
	nodes, _, backends := spreadNodes(t, tabletest.New(), owners)
	if err := nodes[0].Submit(t.Context(), atMostOnceSubmission("j", 4)); err != nil {
		t.Fatal(err)
	}
	readAll(t, nodes[0], "j")
	if backends[0].attempts() != 4 || backends[1].attempts() != 0 {
		t.Fatalf("%d and %d items ran", backends[0].attempts(), backends[1].attempts())
	}
}

func TestSpread_ItemsOfALostNodeAreTakenOver(t *testing.T) {
	shared := tabletest.New()
	owners := &liveOwners{live: []string{"a#1", "b#1"}}
	nodes, runners, _ := spreadNodes(t, shared, owners)
	hanging := make(chan struct{})
	t.Cleanup(func() { close(hanging) })
	runners[1].Backend = &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		<-hanging
		return nil, forward.ErrBroken
	}}
	if err := nodes[0].Submit(t.Context(), submission("j", 6)); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return len(nodes[0].View.Get("j").Progress.Listed) == 3 })
	runners[1].mu.Lock()
	runners[1].stopped = true
	runners[1].mu.Unlock()
	remaining := &liveOwners{live: owners.live[:1]}
	runners[0].Owners = remaining
	runners[0].claimOrphaned(t.Context())
	if results := readAll(t, nodes[0], "j"); len(results) != 6 {
		t.Fatalf("%d results of 6", len(results))
	}
	if reassigned := nodes[0].View.Get("j").Progress.Reassigned; len(reassigned) != 3 {
		t.Fatalf("reassigned items are %v, want 3", reassigned)
	}
}

func TestLoad_NewItemsGoToTheNodeWithTheFewest(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	node.Fleet = &liveOwners{live: []string{"a#1", "b#1", "c#1", "d#1"}}
	for i := range 5 {
		if err := node.Submit(context.Background(), submission(fmt.Sprint("j", i), 3)); err != nil {
			t.Fatal(err)
		}
	}
	for name, items := range node.View.load() {
		if items < 3 || items > 4 {
			t.Errorf("node %s has %d of 15 items, want 3 or 4", name, items)
		}
	}
}

// TestEnsureLoaded_SkipsUnchangedJobs guards against comparing all items with all tasks, under the
// lock, at each dispatch, which delayed online requests (lab yield).
func TestEnsureLoaded_SkipsUnchangedJobs(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	if err := node.Submit(t.Context(), submission("j", 3)); err != nil {
		t.Fatal(err)
	}
	runner := NewRunner(RunnerOptions{Service: node.Service, Owners: noOwners{}})
	tasks := func() int {
		runner.mu.Lock()
		defer runner.mu.Unlock()
		if owned := runner.owned["j"]; owned != nil && !owned.loading {
			return len(owned.tasks)
		}
		return -1
	}
	eventually(t, func() bool {
		runner.reconcile(t.Context())
		return tasks() == 3
	})
	runner.reconcile(t.Context())
	runner.mu.Lock()
	runner.owned["j"].tasks = nil
	runner.mu.Unlock()
	runner.reconcile(t.Context())
	if count := tasks(); count != 0 {
		t.Fatalf("an unchanged job was loaded again: %d tasks", count)
	}
	entry := node.View.Get("j")
	if err := node.listResults(t.Context(), entry.Job, []*task{{index: 0, text: []byte("x")}}); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool {
		runner.reconcile(t.Context())
		return tasks() == 2
	})
}
