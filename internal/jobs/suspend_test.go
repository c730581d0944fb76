package jobs

import (
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock/clocktest"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// TestView_StoreClockAdvancesDuringASuspension guards that a node which was suspended knows which
// items are due or expired.
func TestView_StoreClockAdvancesDuringASuspension(t *testing.T) {
	machine := clocktest.New(t)
	view := NewView()
	view.Apply(table.Changes{Now: time.Hour}, true)
	machine.Suspend(30 * time.Second)
	if now := view.Now(); now < time.Hour+30*time.Second || now > time.Hour+31*time.Second {
		t.Fatalf("the store's clock is estimated at %v", now)
	}
}
