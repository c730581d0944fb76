package node

import (
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// TestReplicaStates_DistinguishStarts checks queries about a previous start of a replica, at which
// a response was interrupted, while the list has a later one.
func TestReplicaStates_DistinguishStarts(t *testing.T) {
	set := replica.NewSet()
	states := replicaStates{&core{replicas: set}}
	info := replica.Info{ID: "r", StartedUnixMs: 3000, Address: "a", Pool: "llm", Slots: 1}
	replicaStarted := func(startedUnixMs int64) quarantine.Replica {
		return quarantine.Replica{ID: "r", StartedUnixMs: startedUnixMs, Address: "a"}
	}
	expect := func(startedUnixMs int64, want quarantine.ReplicaState) {
		t.Helper()
		if got := states.State(replicaStarted(startedUnixMs)); got != want {
			t.Errorf("state of start %d is %d, want %d", startedUnixMs, got, want)
		}
	}
	expect(3000, quarantine.Gone)
	set.Put(info)
	expect(3000, quarantine.Serving)
	expect(0, quarantine.Serving)
	// The clock of the machine is set back, and the replica restarts without having been listed as
	// leaving.
	info.StartedUnixMs = 1000
	set.Put(info)
	expect(3000, quarantine.Restarted)
	expect(1000, quarantine.Serving)
	// This start is listed as leaving before it ends.
	info.Leaving = true
	set.Put(info)
	expect(1000, quarantine.Leaving)
	info.Leaving, info.StartedUnixMs = false, 2000
	set.Put(info)
	expect(1000, quarantine.Left)
	expect(3000, quarantine.Restarted)
	expect(2000, quarantine.Serving)
	moved := replicaStarted(2000)
	moved.Address = "b"
	if got := states.State(moved); got != quarantine.Restarted {
		t.Errorf("state of a replica at another address is %d", got)
	}
	set.Remove("r", time.Now())
	expect(2000, quarantine.Gone)
}
