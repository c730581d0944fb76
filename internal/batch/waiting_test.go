package batch

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

var errUnavailable = errors.New("object store unavailable")

// failingObjects fails reads or writes while failReads or failWrites is set.
type failingObjects struct {
	objecttest.Store
	failReads, failWrites atomic.Bool
}

func (s *failingObjects) Put(ctx context.Context, key string, body []byte) error {
	if s.failWrites.Load() {
		return errUnavailable
	}
	return s.Store.Put(ctx, key, body)
}

func (s *failingObjects) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	if s.failReads.Load() {
		return nil, errUnavailable
	}
	return s.Store.Get(ctx, key)
}

// awaitGroups waits until count groups wait for a reason, and returns one of them.
func awaitGroups(t *testing.T, feeder *Feeder, reason WaitReason, count int) GroupWait {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if feeder.WaitCounts(time.Now())[reason].Count == count {
			for _, group := range feeder.GroupWaits() {
				if group.Reason == reason {
					return group
				}
			}
		}
	}
	t.Fatalf("wait counts are %+v, want %d groups that wait for %s", feeder.WaitCounts(time.Now()), count, reason)
	return GroupWait{}
}

// TestWaitCounts_ReportReasonAndCause follows a batch from its first group to its end and checks the
// reported wait reason and cause of its groups.
func TestWaitCounts_ReportReasonAndCause(t *testing.T) {
	objects := &failingObjects{}
	backend := &fakeBackend{runs: map[string]int{}, hold: make(chan struct{})}
	node := startNode(t, tabletest.New(), objects, backend, "a#1")
	batch := submitLines(t, node.Service, prompts(16*minGroupLines), time.Hour)
	awaitGroups(t, node.feeder, WaitItems, openGroupsPerTenant)
	awaitGroups(t, node.feeder, WaitTurn, batch.Groups()-openGroupsPerTenant)
	objects.failReads.Store(true)
	objects.failWrites.Store(true)
	close(backend.hold)
	if group := awaitGroups(t, node.feeder, WaitResult, openGroupsPerTenant); !errors.Is(group.Cause, errUnavailable) {
		t.Fatalf("cause of a wait for results is %v, want errUnavailable", group.Cause)
	}
	if group := awaitGroups(t, node.feeder, WaitSubmit, 1); !errors.Is(group.Cause, errUnavailable) {
		t.Fatalf("cause of a wait for submission is %v, want errUnavailable", group.Cause)
	}
	if overdue := node.feeder.Overdue(time.Now()); len(overdue) != 0 {
		t.Fatalf("%d groups are overdue immediately", len(overdue))
	}
	if overdue := node.feeder.Overdue(time.Now().Add(groupOverdueAfter)); len(overdue) != openGroupsPerTenant+1 {
		t.Fatalf("%d groups are overdue, want only those that wait for the object store", len(overdue))
	}
	objects.failReads.Store(false)
	objects.failWrites.Store(false)
	awaitFinal(t, node.Service, batch.ID)
	for deadline := time.Now().Add(5 * time.Second); len(node.feeder.GroupWaits()) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("groups of an ended batch still wait: %+v", node.feeder.GroupWaits())
		}
	}
}
