package jobs

import (
	"bytes"
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// startFinishing submits job j with the given number of items and returns a runner for which finish
// can be called with its tasks.
func startFinishing(t *testing.T, shared *tabletest.Table, items int) (*testNode, *Runner, *ownedJob) {
	t.Helper()
	node := startNode(t, shared, &objecttest.Store{}, "a#1")
	if err := node.Submit(t.Context(), submission("j", items)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	owned := &ownedJob{job: node.View.Get("j").Job, ctx: ctx, cancel: cancel}
	for i := range items {
		owned.tasks = append(owned.tasks, &task{owned: owned, index: i, state: taskRunning, text: []byte("text")})
	}
	runner := NewRunner(RunnerOptions{Service: node.Service})
	runner.owned["j"] = owned
	return node, runner, owned
}

// listedCount returns the number of listed items of job j.
func listedCount(node *testNode) int { return len(node.View.Get("j").Progress.Listed) }

// Guards against results that are never listed: those that finish during an outage of the table go
// into one transaction, which the table rejects each time if it has more writes than are allowed.
func TestFinish_ResultsOfAnOutageFitIntoTransactions(t *testing.T) {
	for name, text := range map[string][]byte{"short": []byte("text"), "longest in a row": bytes.Repeat([]byte("x"), maxRowText)} {
		t.Run(name, func(t *testing.T) {
			shared := tabletest.New()
			node, runner, owned := startFinishing(t, shared, MaxItems)
			var down atomic.Bool
			down.Store(true)
			shared.CommitFault = func([]table.Write) tabletest.Fault {
				if down.Load() {
					return tabletest.Down
				}
				return tabletest.None
			}
			for _, finished := range owned.tasks {
				finished.text = text
				runner.finish(finished, "")
			}
			down.Store(false)
			eventually(t, func() bool { return listedCount(node) == MaxItems })
		})
	}
}

// Guards against a job that stops if the table accepts fewer writes than is known: a rejected
// transaction must not be repeated as it is.
func TestFinish_RejectedTransactionsGetSmaller(t *testing.T) {
	shared := tabletest.New()
	node, runner, owned := startFinishing(t, shared, MaxItems)
	const limit = 11
	var rejected atomic.Int64
	shared.CommitFault = func(writes []table.Write) tabletest.Fault {
		if len(writes) <= limit {
			return tabletest.None
		}
		rejected.Add(1)
		return tabletest.Rejected
	}
	for _, finished := range owned.tasks {
		runner.finish(finished, "")
	}
	eventually(t, func() bool { return listedCount(node) == MaxItems })
	if count := rejected.Load(); count > 4 {
		t.Errorf("%d transactions were rejected, want at most 4", count)
	}
}

// Guards against one result that the table never accepts and that keeps those behind it from being
// listed, or is sent again without a pause.
func TestFinish_RejectedResultDelaysNoOther(t *testing.T) {
	shared := tabletest.New()
	node, runner, owned := startFinishing(t, shared, MaxItems)
	poison := []byte("poison")
	owned.tasks[0].text = poison
	var rejected atomic.Int64
	shared.CommitFault = func(writes []table.Write) tabletest.Fault {
		holdsPoison := func(write table.Write) bool { return bytes.Contains(write.Body, poison) }
		if !slices.ContainsFunc(writes, holdsPoison) {
			return tabletest.None
		}
		rejected.Add(1)
		return tabletest.Rejected
	}
	for _, finished := range owned.tasks {
		runner.finish(finished, "")
	}
	eventually(t, func() bool { return listedCount(node) == MaxItems-1 })
	before := rejected.Load()
	time.Sleep(3 * commitRetryDelay)
	if more := rejected.Load() - before; more > 0 {
		t.Errorf("the rejected result was sent %d times more in %v", more, 3*commitRetryDelay)
	}
}

// Guards against checkpoints that are never stored: many long texts in one transaction exceed what
// the table accepts, and the next checkpoint begins with the same texts.
func TestCheckpoint_LongTextsFitIntoTransactions(t *testing.T) {
	shared := tabletest.New()
	node, runner, owned := startFinishing(t, shared, 2*maxCheckpointRows)
	for _, running := range owned.tasks {
		running.text, running.lastEvent = bytes.Repeat([]byte("x"), maxRowText), minCheckpointEvents
	}
	for range 5 {
		if !runner.checkpoint(t.Context(), owned, minCheckpointEvents) {
			t.Fatal("the checkpoint was not written")
		}
	}
	if saved := node.loadCheckpoints(t.Context(), node.View.Get("j")); len(saved) != len(owned.tasks) {
		t.Errorf("%d of %d texts are saved", len(saved), len(owned.tasks))
	}
}

// Guards against a text that the table never accepts and that keeps all others of its job from being
// saved.
func TestCheckpoint_RejectedTextDelaysNoOther(t *testing.T) {
	shared := tabletest.New()
	node, runner, owned := startFinishing(t, shared, 2*maxCheckpointRows)
	poison := []byte("poison")
	for _, running := range owned.tasks {
		running.lastEvent = minCheckpointEvents
	}
	owned.tasks[0].text = poison
	shared.CommitFault = func(writes []table.Write) tabletest.Fault {
		for _, write := range writes {
			if bytes.Contains(write.Body, poison) {
				return tabletest.Rejected
			}
		}
		return tabletest.None
	}
	for range 2 * len(owned.tasks) {
		runner.checkpoint(t.Context(), owned, minCheckpointEvents)
	}
	if saved := node.loadCheckpoints(t.Context(), node.View.Get("j")); len(saved) != len(owned.tasks)-1 {
		t.Errorf("%d of %d texts are saved, want all but one", len(saved), len(owned.tasks))
	}
}
