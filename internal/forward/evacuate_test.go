package forward

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

func TestDo_WaitingRequestSeesEvacuation(t *testing.T) {
	set := replica.NewSet()
	set.Put(replica.Info{ID: "r", Pool: testPool, Zone: "a", Slots: 4})
	backend := &scriptedBackend{answer: func(_ context.Context, _ *Attempt, number int) (*Answer, error) {
		if number == refusalsPerPause {
			set.SetEvacuated(map[string]bool{"a": true})
		}
		return nil, outcome.AsNotDone(ErrRefused)
	}}
	began := time.Now()
	_, _, err := do(t, &Forwarder{Replicas: set, Backend: backend, Budget: retry.NewBudget(1)}, routeOf(route.Stream, true, 2))
	noReplicaErr := (*replica.NoReplicaError)(nil)
	if !errors.As(err, &noReplicaErr) || !noReplicaErr.Persistent() || outcome.Of(err) != outcome.NotDone {
		t.Fatalf("failed with %v", err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("it took %v", took)
	}
	if len(backend.sent) != refusalsPerPause {
		t.Errorf("%d attempts, want none after the evacuation", len(backend.sent))
	}
}

func TestDo_RejectionStatesReason(t *testing.T) {
	set := replica.NewSet()
	set.Put(replica.Info{ID: "r", Pool: testPool, Slots: 4})
	backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		return nil, outcome.AsNotDone(ErrRefused)
	}}
	target := routeOf(route.Stream, true, 2)
	target.Timeout = 100 * time.Millisecond
	_, _, err := do(t, &Forwarder{Replicas: set, Backend: backend, Budget: retry.NewBudget(1)}, target)
	if !errors.Is(err, ErrBusy) && !errors.Is(err, ErrTimeout) || outcome.Of(err) != outcome.NotDone {
		t.Fatalf("failed with %v", err)
	}
	// The deadline may pass after a pick that found no replica, or after an answer.
	if !strings.Contains(err.Error(), "1 tried") && !errors.Is(err, ErrRefused) {
		t.Fatalf("the reason is missing: %v", err)
	}
}

// Guards against a rejection whose log does not tell why, where the time that is left is too short for another
// attempt: refusals were slow, and another replica could have been tried.
func TestDo_RejectionForLackOfTimeStatesReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
			time.Sleep(60 * time.Millisecond)
			return nil, outcome.AsNotDone(ErrRefused)
		}}
		target := routeOf(route.Stream, true, 2)
		target.Timeout = 100 * time.Millisecond
		_, _, err := do(t, newForwarder(backend, 2), target)
		if len(backend.sent) != 1 || !errors.Is(err, ErrBusy) || outcome.Of(err) != outcome.NotDone {
			t.Fatalf("failed after %d attempts with %v", len(backend.sent), err)
		}
		if !errors.Is(err, ErrRefused) {
			t.Errorf("the reason is missing: %v", err)
		}
	})
}
