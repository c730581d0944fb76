package table_test

import (
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock/clocktest"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// TestWatcher_AgeIncludesSuspension guards that what a node knew before it slept is not
// taken for what is so now.
func TestWatcher_AgeIncludesSuspension(t *testing.T) {
	machine := clocktest.New(t)
	watcher := table.NewWatcher(tabletest.New().Feed("g"), func(table.Changes, bool) {})
	watcher.Pace = func() table.Pace { return table.Pace{AfterAnnouncement: time.Minute, Default: time.Minute} }
	tabletest.Follow(t, watcher)
	for deadline := time.Now().Add(10 * time.Second); !watcher.Ready(); {
		if time.Now().After(deadline) {
			t.Fatal("not read")
		}
		time.Sleep(time.Millisecond)
	}
	machine.Suspend(9 * time.Second)
	if age, silence := watcher.Age(), watcher.SinceLastResponse(); age < 9*time.Second || silence < 9*time.Second {
		t.Fatalf("aged %v, silent for %v after a sleep of 9 s", age, silence)
	}
}
