package coalesce

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestRuns_CallersShareRunsThatBeginAfterThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval, took = 50 * time.Millisecond, 20 * time.Millisecond
		var runs Runs
		var began []time.Time
		operation := func() error {
			began = append(began, time.Now())
			time.Sleep(took)
			return nil
		}
		var callers sync.WaitGroup
		for i := range 10 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				called := time.Now()
				if err := runs.Do(t.Context(), interval, operation); err != nil {
					t.Error(err)
				}
				if last := began[len(began)-1]; last.Before(called) {
					t.Errorf("called at %v, run began at %v", called, last)
				}
			})
		}
		callers.Wait()
		if len(began) != 3 {
			t.Errorf("%d runs, want 3", len(began))
		}
		for i := 1; i < len(began); i++ {
			if pause := began[i].Sub(began[i-1]); pause < interval {
				t.Errorf("a run began %v after the one before", pause)
			}
		}
	})
}

func TestRuns_CallerLeavesAndErrorsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs Runs
		failed := errors.New("failed")
		operation := func() error {
			time.Sleep(time.Second)
			return failed
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		var patient sync.WaitGroup
		patient.Go(func() {
			if err := runs.Do(t.Context(), 0, operation); !errors.Is(err, failed) {
				t.Error(err)
			}
		})
		if err := runs.Do(ctx, 0, operation); !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
		patient.Wait()
	})
}
