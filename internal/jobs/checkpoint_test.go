package jobs

import (
	"context"
	"testing"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

func addRunningTask(t *testing.T, node *testNode, runner *Runner) *task {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	owned := &ownedJob{job: node.View.Get("j").Job, ctx: ctx, cancel: cancel}
	running := &task{owned: owned, state: taskRunning, text: []byte("so far"), lastEvent: minCheckpointEvents}
	owned.tasks = []*task{running}
	runner.owned["j"] = owned
	return running
}

func TestCheckpoint_CrashCostsOnlyLaterEvents(t *testing.T) {
	shared := tabletest.New()
	objects := &objecttest.Store{}
	first, second := startNode(t, shared, objects, "a#1"), startNode(t, shared, objects, "b#1")
	if err := first.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	runner := NewRunner(RunnerOptions{Service: first.Service})
	running := addRunningTask(t, first, runner)
	if !runner.checkpoint(t.Context(), running.owned, minCheckpointEvents) {
		t.Fatal("the checkpoint was not written")
	}
	entry, err := second.find(t.Context(), "j")
	if err != nil {
		t.Fatal(err)
	}
	if checkpoints := second.loadCheckpoints(t.Context(), entry); checkpoints[0].Text != "so far" || checkpoints[0].LastEvent != minCheckpointEvents {
		t.Fatalf("checkpoints are %+v", checkpoints)
	}
}

func TestCheckpoint_LostAnswerDoesNotBlockLaterOnes(t *testing.T) {
	shared := tabletest.New()
	node := startNode(t, shared, &objecttest.Store{}, "a#1")
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	runner := NewRunner(RunnerOptions{Service: node.Service})
	running := addRunningTask(t, node, runner)
	shared.CommitFault = func([]table.Write) tabletest.Fault { return tabletest.Lost }
	runner.checkpoint(t.Context(), running.owned, minCheckpointEvents)
	shared.CommitFault = nil
	running.text, running.lastEvent = []byte("further"), 2*minCheckpointEvents
	for range 2 {
		runner.checkpoint(t.Context(), running.owned, minCheckpointEvents)
	}
	entry := node.View.Get("j")
	if checkpoints := node.loadCheckpoints(t.Context(), entry); checkpoints[0].Text != "further" {
		t.Fatalf("checkpoints are %+v", checkpoints)
	}
}
