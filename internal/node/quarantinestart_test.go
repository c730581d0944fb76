package node

import (
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// TestStandings_TellStartsApart: the quarantine asks about the start at which an answer broke
// off, and what is listed may be the next one.
func TestStandings_TellStartsApart(t *testing.T) {
	set := replica.NewSet()
	asked := replicaStates{&core{replicas: set}}
	info := replica.Info{ID: "r", StartedUnixMs: 3000, Address: "a", Pool: "llm", Slots: 1}
	start := func(born int64) quarantine.Replica { return quarantine.Replica{ID: "r", StartTime: born, Address: "a"} }
	expect := func(born int64, want quarantine.ReplicaState) {
		t.Helper()
		if got := asked.State(start(born)); got != want {
			t.Errorf("start %d stands as %d, not %d", born, got, want)
		}
	}
	expect(3000, quarantine.Gone)
	set.Put(info)
	expect(3000, quarantine.Serving)
	expect(0, quarantine.Serving)
	// Its clock steps back, and it starts again without a word.
	info.StartedUnixMs = 1000
	set.Put(info)
	expect(3000, quarantine.Restarted)
	expect(1000, quarantine.Serving)
	// This one says that it will end before it does.
	info.Leaving = true
	set.Put(info)
	expect(1000, quarantine.Leaving)
	info.Leaving, info.StartedUnixMs = false, 2000
	set.Put(info)
	expect(1000, quarantine.Leaving)
	expect(3000, quarantine.Restarted)
	expect(2000, quarantine.Serving)
	moved := start(2000)
	moved.Address = "b"
	if got := asked.State(moved); got != quarantine.Restarted {
		t.Errorf("a replica at another address stands as %d", got)
	}
	set.Remove("r", time.Now())
	expect(2000, quarantine.Gone)
}
