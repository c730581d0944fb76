package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

func TestYieldPool_ItemsInAnEvacuatedZoneRunOn(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	set := replica.NewSet()
	set.Put(replica.Info{ID: "r", Pool: testPool, Zone: "a", Slots: 4})
	runner := NewRunner(RunnerOptions{Service: node.Service, Replicas: set})
	one := runningTask(t, node, runner)
	ctx, cancel := context.WithCancelCause(t.Context())
	one.replica, one.pool, one.cancel = "r", testPool, cancel
	one.use = set.Begin("r", replica.Ask{Batch: true}, time.Now())
	set.Evacuate(map[string]bool{"a": true})
	runner.YieldPool(testPool, 1, replica.Pressure{})
	if ctx.Err() != nil {
		t.Fatal("an item gave up a slot that nobody may use")
	}
	set.Evacuate(nil)
	runner.YieldPool(testPool, 1, replica.Pressure{})
	if ctx.Err() == nil {
		t.Fatal("an item did not give way")
	}
}
