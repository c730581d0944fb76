package node

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// testCore returns a core with a table in memory. None of its goroutines run.
func testCore() *core {
	shared := tabletest.New()
	return newCore(zerolog.Nop(), newCoreMetrics(), dependencies{
		id: "n", table: shared, jobFeed: shared.Feed(jobs.Group), timing: fastTiming(),
		sessions: func(*lease.Session) sessionView { return lease.NewWatcher(shared, time.Now, fastTiming()) },
	})
}

// TestCore_ReplicasAreKeptOnlyAfterOutageOfTheirList guards against keeping a replica that leaves
// the list just after the connection of another feed is regained: that connection may have been
// stuck seconds longer than the store's outage.
func TestCore_ReplicasAreKeptOnlyAfterOutageOfTheirList(t *testing.T) {
	c := testCore()
	list := c.watchReplicas(tabletest.New().Feed("servers"), func(table.Changes, bool) {})
	keptAfter := func(watcher *table.Watcher) int {
		c.replicas.Put(replica.Info{ID: "r", Pool: "p", Slots: 1})
		watcher.OnRegained(6 * time.Second)
		c.replicas.Remove("r", time.Now())
		return len(c.replicas.Snapshot("p", 0, time.Now()))
	}
	if kept := keptAfter(c.jobWatch); kept != 0 {
		t.Fatal("a replica that left the list after the jobs' feed was regained is kept")
	}
	if kept := keptAfter(list); kept != 1 {
		t.Fatal("a replica that is missing after an outage of the list is not kept")
	}
}
