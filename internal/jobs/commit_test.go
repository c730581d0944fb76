package jobs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// TestListResults_PositionsAreStable lets two owners list the results of one job concurrently under
// faults. Each item must be listed once, results that were read must stay, and nothing may be
// listed after the end.
func TestListResults_PositionsAreStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const items = 6
		shared := tabletest.New()
		objects := &objecttest.Store{}
		nodes := []*testNode{startNode(t, shared, objects, "a#1"), startNode(t, shared, objects, "b#1")}
		if err := nodes[0].Submit(context.Background(), submission("j", items)); err != nil {
			rt.Fatal(err)
		}
		script := rapid.SliceOfN(rapid.SampledFrom([]tabletest.Fault{
			tabletest.None, tabletest.None, tabletest.Down, tabletest.Lost, tabletest.Late,
		}), 4, 20).Draw(rt, "faults")
		endAfter := rapid.IntRange(0, 2*items).Draw(rt, "end after")
		next := 0
		shared.CommitFault = func([]table.Write) tabletest.Fault {
			next++
			return script[next%len(script)]
		}
		listConcurrently(rt, nodes, items, endAfter)
		shared.CommitFault = nil
		before := listedAt(rt, nodes[0])
		shared.ApplyLate()
		after := listedAt(rt, nodes[1])
		checkListed(rt, before, after, items)
	})
}

func listConcurrently(rt *rapid.T, nodes []*testNode, items, endAfter int) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	var done sync.WaitGroup
	for number, node := range nodes {
		entry, err := node.find(ctx, "j")
		if err != nil {
			rt.Fatal(err)
		}
		done.Add(1)
		go func() {
			defer done.Done()
			for step := range items {
				index := step
				if number == 1 {
					index = items - 1 - step
				}
				finished := &task{index: index, text: []byte(fmt.Sprintf("text of %d by %d", index, number))}
				_ = node.listResults(ctx, entry.Job, []*task{finished})
				if number == 0 && step == endAfter {
					_ = node.End(ctx, "j")
				}
			}
		}()
	}
	done.Wait()
}

// listedAt reads the list from the store.
func listedAt(rt *rapid.T, node *testNode) []Result {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	row, err := node.getRow(ctx, progressKey("j"))
	if err != nil {
		rt.Fatal(err)
	}
	node.View.Put(row)
	reading, err := node.Read(ctx, "j", 0, 0)
	if err != nil {
		rt.Fatal(err)
	}
	return reading.Results
}

func checkListed(rt *rapid.T, before, after []Result, items int) {
	if len(after) > items {
		rt.Fatalf("%d results of %d items", len(after), items)
	}
	seen := map[string]bool{}
	for position, result := range after {
		if seen[result.Item] {
			rt.Fatalf("item %s has two positions", result.Item)
		}
		seen[result.Item] = true
		if position < len(before) && before[position] != result {
			rt.Fatalf("position %d was %+v and is %+v", position, before[position], result)
		}
	}
	if len(after) < len(before) {
		rt.Fatalf("%d results were listed, now %d are", len(before), len(after))
	}
}

func TestEnd_NothingIsListedAfterwards(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	if err := node.Submit(t.Context(), submission("j", 2)); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := node.End(t.Context(), "j"); err != nil {
			t.Fatal(err)
		}
	}
	entry := node.View.Get("j")
	if err := node.listResults(t.Context(), entry.Job, []*task{{index: 0, text: []byte("late")}}); err != nil {
		t.Fatal(err)
	}
	if listed := node.View.Get("j").Progress.Listed; len(listed) != 0 {
		t.Fatalf("an ended job lists %v", listed)
	}
}

func TestRelease_NextOwnerResumesAfterTheText(t *testing.T) {
	shared := tabletest.New()
	objects := &objecttest.Store{}
	first, second := startNode(t, shared, objects, "a#1"), startNode(t, shared, objects, "b#1")
	if err := first.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	runner := NewRunner(RunnerOptions{Service: first.Service})
	ctx, cancel := context.WithCancel(t.Context())
	owned := &ownedJob{job: first.View.Get("j").Job, ctx: ctx, cancel: cancel}
	owned.tasks = []*task{{owned: owned, state: taskRunning, text: []byte("so far"), lastEvent: 7}}
	runner.owned["j"] = owned
	runner.Release(t.Context())
	if ctx.Err() == nil {
		t.Fatal("the item runs on after its job was released")
	}
	entry, err := second.find(t.Context(), "j")
	if err != nil {
		t.Fatal(err)
	}
	checkpoints := second.loadCheckpoints(t.Context(), entry)
	if checkpoints[0].Text != "so far" || checkpoints[0].LastEvent != 7 {
		t.Fatalf("checkpoints are %+v", checkpoints)
	}
}

func TestRelease_ItemsRunOnWhileTheStoreIsDown(t *testing.T) {
	shared := tabletest.New()
	node := startNode(t, shared, &objecttest.Store{}, "a#1")
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	shared.CommitFault = func([]table.Write) tabletest.Fault { return tabletest.Down }
	runner := NewRunner(RunnerOptions{Service: node.Service})
	jobCtx, cancelJob := context.WithCancel(context.Background())
	owned := &ownedJob{job: node.View.Get("j").Job, ctx: jobCtx, cancel: cancelJob}
	runner.owned["j"] = owned
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	time.AfterFunc(100*time.Millisecond, func() {
		if jobCtx.Err() != nil {
			t.Error("items were canceled before their job was released")
		}
	})
	runner.Release(ctx)
}
