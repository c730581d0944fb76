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
	for _, length := range []time.Duration{5 * time.Second, 20 * time.Millisecond, time.Hour} {
		steady := time.Now()
		at := clock.Now()
		machine.Suspend(length)
		passed := clock.Since(at)
		if beyond := passed - length - time.Since(steady); beyond.Abs() > 10*time.Millisecond {
			t.Errorf("after a suspension of %v, %v have passed", length, passed)
		}
	}
	if slept := clock.Suspended(); (slept - time.Hour - 5020*time.Millisecond).Abs() > 10*time.Millisecond {
		t.Errorf("slept for %v", slept)
	}
	if since, woke := clock.SinceWake(); !woke || since > time.Second {
		t.Errorf("woke %v ago, %v", since, woke)
	}
	if clock.Since(before) < time.Hour {
		t.Error("an earlier time is not as long ago as the suspensions are long")
	}
}

func TestNow_GoesWithTheSteadyClockMeanwhile(t *testing.T) {
	began, steady := clock.Now(), time.Now()
	previous := began
	for time.Since(steady) < 300*time.Millisecond {
		now := clock.Now()
		if now.Before(previous) {
			t.Fatalf("went back by %v", previous.Sub(now))
		}
		previous = now
	}
	if apart := clock.Since(began) - time.Since(steady); apart.Abs() > 10*time.Millisecond {
		t.Errorf("%v apart from the steady clock", apart)
	}
	if apart := time.Until(began) - clock.Until(began); apart.Abs() > 100*time.Millisecond {
		t.Errorf("%v apart from the time of day", apart)
	}
}

func TestNow_IsThatOfTheBubble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := clock.Now()
		time.Sleep(time.Hour)
		if passed := clock.Since(before); passed != time.Hour {
			t.Errorf("%v have passed in an hour", passed)
		}
	})
}

func TestWithDeadline_EndsAtItsTime(t *testing.T) {
	ctx, cancel := clock.WithDeadline(t.Context(), clock.Now().Add(50*time.Millisecond), errLate)
	defer cancel()
	if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) > 60*time.Millisecond {
		t.Errorf("deadline in %v", time.Until(deadline))
	}
	<-ctx.Done()
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || !errors.Is(context.Cause(ctx), errLate) {
		t.Errorf("ended with %v, %v", ctx.Err(), context.Cause(ctx))
	}
}

func TestWithDeadline_NoticesOneThatPassedInASuspension(t *testing.T) {
	machine := clocktest.New(t)
	ctx, cancel := clock.WithDeadline(t.Context(), clock.Now().Add(time.Hour), errLate)
	defer cancel()
	machine.Suspend(2 * time.Hour)
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("not noticed")
	}
}

func TestWithDeadline_CancelsOnce(t *testing.T) {
	ctx, cancel := clock.WithDeadline(t.Context(), clock.Now().Add(time.Hour), errLate)
	cancel()
	if !errors.Is(ctx.Err(), context.Canceled) {
		t.Errorf("ended with %v", ctx.Err())
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}

// TestNow_GoesByTheSteadyClock guards that times of Now can be told from those of package time by
// what passed between them: the time of day may be set, or brought into line, meanwhile.
func TestNow_GoesByTheSteadyClock(t *testing.T) {
	before := time.Now()
	now := clock.Now()
	if strings.Contains(now.String(), "m=") != strings.Contains(before.String(), "m=") {
		t.Fatalf("%v has no monotonic reading as %v has", now, before)
	}
	if passed := now.Sub(before); passed < 0 || passed > time.Minute {
		t.Errorf("%v passed", passed)
	}
}
