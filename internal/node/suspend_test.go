package node

import (
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/clock/clocktest"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// TestCore_ViewFromBeforeSuspensionIsStale guards against a node that sends items after a
// suspension of any length before it has checked that they are still its own.
func TestCore_ViewFromBeforeSuspensionIsStale(t *testing.T) {
	machine := clocktest.New(t)
	c := testCore()
	c.jobWatch.Pace = func() table.Pace { return table.Pace{AfterAnnouncement: time.Millisecond, Default: time.Minute} }
	tabletest.Follow(t, c.jobWatch)
	fresh := func() bool { return c.viewAge() < time.Second }
	waitFor := func(failure string, condition func() bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal(failure)
			}
		}
	}
	waitFor("the view is never fresh", fresh)
	machine.Suspend(1500 * time.Millisecond)
	if age := c.viewAge(); age < time.Hour {
		t.Fatalf("the view has age %v", age)
	}
	c.jobWatch.Announce()
	waitFor("the view stays stale after a poll", fresh)
}

// TestCore_QuarantineTimeIncludesSuspension guards against a quarantine that lasts longer, or a
// crash that is shown as more recent, at a node that was suspended.
func TestCore_QuarantineTimeIncludesSuspension(t *testing.T) {
	machine := clocktest.New(t)
	c := testCore()
	c.quarantine.rows.Apply(table.Changes{Now: time.Hour}, true)
	work := quarantine.Work{1}
	for _, id := range []string{"a", "b", "c"} {
		now := clock.Now()
		c.quarantine.guard.RecordCrash(quarantine.CrashReport{Replica: id, Runs: []quarantine.Run{{Work: work, SentAt: now}}, At: now})
	}
	if !c.Suspects().Items[0].Quarantined {
		t.Fatal("not quarantined")
	}
	machine.Suspend(40 * time.Minute)
	if since := c.Suspects().Items[0].SecondsSinceEnd; since < 2400 {
		t.Errorf("the latest crash is shown as %v s ago", since)
	}
	machine.Suspend(25 * time.Minute)
	if items := c.Suspects().Items; len(items) != 0 {
		t.Errorf("suspected after more than an hour: %+v", items)
	}
	if jobs.QuarantinePartition() != c.quarantine.rows.Partition {
		t.Error("the rows are in another partition")
	}
}
