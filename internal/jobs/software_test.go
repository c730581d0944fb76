package jobs

import (
	"net/http"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// listVersioned lists the replicas r0, r1 and r2 with the given software versions.
func listVersioned(replicas *replica.Set, versions ...string) {
	for i, id := range []string{"r0", "r1", "r2"} {
		replicas.Put(replica.Info{ID: id, Pool: testPool, Address: id, Slots: 8, SoftwareVersion: versions[i]})
	}
}

// softwareSend is an attempt at an item: the replica's software version and the last event.
type softwareSend struct {
	software string
	after    int
}

// runInterrupted runs an item whose first attempt breaks off after three events, and returns its
// attempts and result. afterFirst is called when the first attempt is sent.
func runInterrupted(t *testing.T, versions []string, afterFirst func(replicas *replica.Set, chosen replica.Info)) ([]softwareSend, Result) {
	t.Helper()
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	var sends []softwareSend
	var replicas *replica.Set
	backend := &scriptedBackend{answer: func(attempt *forward.Attempt, number int) (*forward.Answer, error) {
		sends = append(sends, softwareSend{attempt.Replica.SoftwareVersion, attempt.LastEventID})
		if number == 1 {
			afterFirst(replicas, attempt.Replica)
			return answerOf(http.StatusOK, events(1, 3)+"id: 4\ndata: half"), nil
		}
		return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
	}}
	_, replicas = startRunner(t, node, backend)
	listVersioned(replicas, versions...)
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	result := readAll(t, node, "j")[0]
	return sends, result
}

// Guards against a text that goes on at another software version although a replica of its own has a
// free slot.
func TestRunner_InterruptedItemGoesOnAtItsSoftwareVersion(t *testing.T) {
	sends, result := runInterrupted(t, []string{"v1", "v2", "v1"}, func(replicas *replica.Set, chosen replica.Info) {
		// A second replica of the version that was chosen.
		listVersioned(replicas, chosen.SoftwareVersion, "v3", chosen.SoftwareVersion)
	})
	last := sends[len(sends)-1]
	if result.Dead || last.software != sends[0].software || last.after != 3 {
		t.Fatalf("attempts %+v, result %+v", sends, result)
	}
}

// Guards against a text that is continued by another software version, and against an item that waits
// for one which no replica runs.
func TestRunner_ItemStartsOverIfItsSoftwareVersionIsGone(t *testing.T) {
	began := time.Now()
	sends, result := runInterrupted(t, []string{"v1", "v1", "v1"}, func(replicas *replica.Set, _ replica.Info) {
		listVersioned(replicas, "v2", "v2", "v2")
	})
	last := sends[len(sends)-1]
	if result.Dead || last.software != "v2" || last.after != 0 {
		t.Fatalf("attempts %+v, result %+v", sends, result)
	}
	if took := time.Since(began); took >= maxResumeWait {
		t.Fatalf("the item started over after %v", took)
	}
}

// Guards against an item that waits without bound for the only replica of its software version while
// others have free slots.
func TestRunner_ItemStartsOverIfItsSoftwareVersionHasNoRoom(t *testing.T) {
	began := time.Now()
	sends, result := runInterrupted(t, []string{"v1", "v1", "v1"}, func(replicas *replica.Set, chosen replica.Info) {
		for _, id := range []string{"r0", "r1", "r2"} {
			if id != chosen.ID {
				replicas.Put(replica.Info{ID: id, Pool: testPool, Address: id, Slots: 8, SoftwareVersion: "v2"})
			}
		}
		for range 8 {
			replicas.Begin(chosen.ID, replica.RequestInfo{}, time.Now())
		}
	})
	last := sends[len(sends)-1]
	if result.Dead || last.software != "v2" || last.after != 0 {
		t.Fatalf("attempts %+v, result %+v", sends, result)
	}
	if took := time.Since(began); took < maxResumeWait {
		t.Fatalf("the text was discarded after %v", took)
	}
}

// Guards against a checkpoint that another node continues at any software version.
func TestCheckpoint_KeepsTheSoftwareVersion(t *testing.T) {
	shared := tabletest.New()
	node := startNode(t, shared, &objecttest.Store{}, "a#1")
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	runner := NewRunner(RunnerOptions{Service: node.Service})
	running := addRunningTask(t, node, runner)
	running.software, running.softwareUncertain = "v1", true
	if runner.checkpoint(t.Context(), running.owned, minCheckpointEvents); running.checkpointEvent != 0 {
		t.Fatal("a text of an uncertain software version was saved")
	}
	running.softwareUncertain = false
	runner.checkpoint(t.Context(), running.owned, minCheckpointEvents)
	if checkpoints := node.loadCheckpoints(t.Context(), node.View.Get("j")); checkpoints[0].Software != "v1" {
		t.Fatalf("checkpoints are %+v", checkpoints)
	}
}
