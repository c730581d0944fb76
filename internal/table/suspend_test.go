package table_test

import (
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock/clocktest"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// Guards against a node that treats data from before a suspension as current.
func TestWatcher_AgeIncludesSuspension(t *testing.T) {
	machine := clocktest.New(t)
	watcher := table.NewWatcher(tabletest.New().Feed("g"), func(table.Changes, bool) {})
	watcher.Pace = func() table.Pace { return table.Pace{AfterAnnouncement: time.Minute, Default: time.Minute} }
	tabletest.Follow(t, watcher)
	for deadline := time.Now().Add(10 * time.Second); !watcher.Ready(); {
		if time.Now().After(deadline) {
			t.Fatal("the whole read did not complete in time")
		}
		time.Sleep(time.Millisecond)
	}
	machine.Suspend(9 * time.Second)
	if age, sinceResponse := watcher.Age(), watcher.SinceLastResponse(); age < 9*time.Second || sinceResponse < 9*time.Second {
		t.Fatalf("age %v, last response %v ago after a suspension of 9 s", age, sinceResponse)
	}
}
