package clock_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/clock/clocktest"
)

var errLate = errors.New("late")

func TestNow_CountsSuspensions(t *testing.T) {
	machine := clocktest.New(t)
	before := clock.Now()
	for _, duration := range []time.Duration{5 * time.Second, 20 * time.Millisecond, time.Hour} {
		monotonicStart := time.Now()
		start := clock.Now()
		machine.Suspend(duration)
		elapsed := clock.Since(start)
		if excess := elapsed - duration - time.Since(monotonicStart); excess.Abs() > 10*time.Millisecond {
			t.Errorf("with a suspension of %v, %v elapsed", duration, elapsed)
		}
	}
	if suspended := clock.Suspended(); (suspended - time.Hour - 5020*time.Millisecond).Abs() > 10*time.Millisecond {
		t.Errorf("suspended for %v", suspended)
	}
	if since, resumed := clock.SinceResume(); !resumed || since > time.Second {
		t.Errorf("resumed %v ago, reported %v", since, resumed)
	}
	if clock.Since(before) < time.Hour {
		t.Error("less time has elapsed since the start of the test than was suspended")
	}
}

func TestNow_FollowsMonotonicClockBetweenSuspensions(t *testing.T) {
	start, monotonicStart := clock.Now(), time.Now()
	previous := start
	for time.Since(monotonicStart) < 300*time.Millisecond {
		now := clock.Now()
		if now.Before(previous) {
			t.Fatalf("Now went back by %v", previous.Sub(now))
		}
		previous = now
	}
	if difference := clock.Since(start) - time.Since(monotonicStart); difference.Abs() > 10*time.Millisecond {
		t.Errorf("elapsed time differs from the monotonic clock by %v", difference)
	}
	if difference := time.Until(start) - clock.Until(start); difference.Abs() > 100*time.Millisecond {
		t.Errorf("Until differs from time.Until by %v", difference)
	}
}

func TestNow_UsesSynctestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := clock.Now()
		time.Sleep(time.Hour)
		if elapsed := clock.Since(before); elapsed != time.Hour {
			t.Errorf("%v elapsed, want 1h", elapsed)
		}
	})
}

func TestWithDeadline_ExpiresAtDeadline(t *testing.T) {
	ctx, cancel := clock.WithDeadline(t.Context(), clock.Now().Add(50*time.Millisecond), errLate)
	defer cancel()
	if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) > 60*time.Millisecond {
		t.Errorf("the deadline is in %v", time.Until(deadline))
	}
	<-ctx.Done()
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || !errors.Is(context.Cause(ctx), errLate) {
		t.Errorf("error %v, cause %v", ctx.Err(), context.Cause(ctx))
	}
}

func TestWithDeadline_ExpiresAfterSuspension(t *testing.T) {
	machine := clocktest.New(t)
	ctx, cancel := clock.WithDeadline(t.Context(), clock.Now().Add(time.Hour), errLate)
	defer cancel()
	machine.Suspend(2 * time.Hour)
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the context did not expire after the suspension")
	}
}

func TestWithDeadline_ReportsCancellation(t *testing.T) {
	ctx, cancel := clock.WithDeadline(t.Context(), clock.Now().Add(time.Hour), errLate)
	cancel()
	if !errors.Is(ctx.Err(), context.Canceled) {
		t.Errorf("error %v", ctx.Err())
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}

// Times of Now must be comparable with times of package time by their monotonic readings, because the
// wall clock may be set or slewed in the meantime.
func TestNow_HasMonotonicReading(t *testing.T) {
	before := time.Now()
	now := clock.Now()
	if strings.Contains(now.String(), "m=") != strings.Contains(before.String(), "m=") {
		t.Fatalf("%v has no monotonic reading as %v has", now, before)
	}
	if elapsed := now.Sub(before); elapsed < 0 || elapsed > time.Minute {
		t.Errorf("%v elapsed", elapsed)
	}
}
