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

var errAway = errors.New("objects are away")

// awayObjects fails every call while it is away.
type awayObjects struct {
	objecttest.Store
	reads, writes atomic.Bool
}

func (s *awayObjects) Put(ctx context.Context, key string, body []byte) error {
	if s.writes.Load() {
		return errAway
	}
	return s.Store.Put(ctx, key, body)
}

func (s *awayObjects) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	if s.reads.Load() {
		return nil, errAway
	}
	return s.Store.Get(ctx, key)
}

// awaitGroups waits until so many groups wait for something, and returns one of them.
func awaitGroups(t *testing.T, feeder *Feeder, what GroupWait, count int) WaitingGroup {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if feeder.Account(time.Now())[what].Count == count {
			for _, one := range feeder.Waiting() {
				if one.For == what {
					return one
				}
			}
		}
	}
	t.Fatalf("account is %+v, want %d groups that wait for %s", feeder.Account(time.Now()), count, what)
	return WaitingGroup{}
}

// A batch is followed from its first group to its end: each of its groups says what it waits
// for, and why.
func TestAccount_TellsWhatGroupsWaitFor(t *testing.T) {
	objects := &awayObjects{}
	backend := &answeringBackend{runs: map[string]int{}, hold: make(chan struct{})}
	node := startMember(t, tabletest.New(), objects, backend, "a#1")
	batch := submitLines(t, node.Service, prompts(16*minGroup), time.Hour)
	awaitGroups(t, node.feeder, WaitItems, groupsOpen)
	awaitGroups(t, node.feeder, WaitTurn, batch.Groups()-groupsOpen)
	objects.reads.Store(true)
	objects.writes.Store(true)
	close(backend.hold)
	if one := awaitGroups(t, node.feeder, WaitResult, groupsOpen); !errors.Is(one.Cause, errAway) {
		t.Fatalf("group waits for its result because of %v", one.Cause)
	}
	if one := awaitGroups(t, node.feeder, WaitBegin, 1); !errors.Is(one.Cause, errAway) {
		t.Fatalf("group waits to be begun because of %v", one.Cause)
	}
	if overdue := node.feeder.Overdue(time.Now()); len(overdue) != 0 {
		t.Fatalf("%d groups are overdue at once", len(overdue))
	}
	if overdue := node.feeder.Overdue(time.Now().Add(groupBound)); len(overdue) != groupsOpen+1 {
		t.Fatalf("%d groups are overdue, want those that wait for the objects alone", len(overdue))
	}
	objects.reads.Store(false)
	objects.writes.Store(false)
	awaitFinal(t, node.Service, batch.ID)
	for deadline := time.Now().Add(5 * time.Second); len(node.feeder.Waiting()) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("groups of an ended batch wait: %+v", node.feeder.Waiting())
		}
	}
}
