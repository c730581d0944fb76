package jobs

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

func TestPreemptPool_ItemsInAnEvacuatedZoneRunOn(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	set := replica.NewSet()
	set.Put(replica.Info{ID: "r", Pool: testPool, Zone: "a", Slots: 4})
	runner := NewRunner(RunnerOptions{Service: node.Service, Replicas: set})
	running := addRunningTask(t, node, runner)
	ctx, cancel := context.WithCancelCause(t.Context())
	running.replica, running.pool, running.cancel = "r", testPool, cancel
	running.use = set.Begin("r", replica.RequestInfo{Batch: true}, time.Now())
	set.SetEvacuated(map[string]bool{"a": true})
	runner.PreemptPool(testPool, 1, replica.Pressure{})
	if ctx.Err() != nil {
		t.Fatal("an item in an evacuated zone was preempted")
	}
	set.SetEvacuated(nil)
	runner.PreemptPool(testPool, 1, replica.Pressure{})
	if ctx.Err() == nil {
		t.Fatal("the item was not preempted")
	}
}

// TestPreempt_StarvedItemKeepsItsSlot guards against online requests of the same node that preempt
// an item before its first event each time while other slots are free
// (TestRunner_NoItemWaitsWhileASlotIsFree, seed 228). A starved item keeps its slot.
func TestPreempt_StarvedItemKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSlotSite(t, 1, nodeNames("n", 1), serverSlots("n", 1, 1))
		site.itemSize = 50
		site.run()
		site.submitAt(0, "j", 1)
		site.runLoad(func(ctx context.Context) {
			for retry.Sleep(ctx, 10*time.Millisecond) {
				site.nodes[0].runner.Preempt("n-s0", 1, replica.Pressure{Queued: 1})
			}
		})
		site.awaitDone("j", replica.StarvedAfter+5*time.Second)
		if len(site.duplicates) > 0 {
			t.Fatal("the item ran twice at a time")
		}
	})
}
