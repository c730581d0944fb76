package table

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

// TestServiceClock_AnswerIsNeverYoungerThanItIs guards against answers that count as complete up to a
// time after they were generated, in particular late answers to the first calls, and against bounds
// that are less exact than the fastest call.
func TestServiceClock_AnswerIsNeverYoungerThanItIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var service ServiceClock
		now := clock.Now()
		start := now
		offset := rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset")
		drift := rapid.Float64Range(-maxClockDrift, maxClockDrift).Draw(t, "drift")
		stampAt := func(at time.Time) time.Duration {
			elapsed := at.Sub(start)
			exact := time.Duration(offset) + elapsed + time.Duration(drift*float64(elapsed))
			return exact.Truncate(stampResolution)
		}
		delay := rapid.Int64Range(0, int64(4*time.Second))
		fastest, fastestAt := time.Hour, now
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			sent := now.Add(time.Duration(delay.Draw(t, "pause")))
			generated := sent.Add(time.Duration(delay.Draw(t, "request")))
			received := generated.Add(time.Duration(delay.Draw(t, "response")))
			now = received
			asOf := service.AsOf(sent, received, stampAt(generated))
			if asOf.After(generated) || asOf.Before(sent) {
				t.Fatalf("as of %v after the request, generated %v after it", asOf.Sub(sent), generated.Sub(sent))
			}
			if generated.Sub(sent) < fastest {
				fastest, fastestAt = generated.Sub(sent), received
			}
			drifted := time.Duration(2 * maxClockDrift * float64(received.Sub(fastestAt)+8*time.Second))
			if bound := fastest + 2*stampResolution + drifted; generated.Sub(asOf) > bound {
				t.Fatalf("as of %v before it was generated, the fastest call took %v", generated.Sub(asOf), fastest)
			}
		}
	})
}

// TestServiceClock_RecoversFromSteps guards against an offset from before a step of the service's clock:
// answers would count as complete up to their receipt, or only up to their request.
func TestServiceClock_RecoversFromSteps(t *testing.T) {
	for name, step := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			var service ServiceClock
			at := clock.Now()
			stamp := 2 * time.Hour
			service.AsOf(at, at, stamp)
			for range 3 {
				sent := at.Add(time.Second)
				generated := sent.Add(time.Second)
				at = generated.Add(time.Second)
				stamp += 3 * time.Second
				asOf := service.AsOf(sent, at, stamp+step-time.Second)
				if asOf.After(generated) || asOf.Before(sent) {
					t.Fatalf("as of %v after the request, generated 1s after it", asOf.Sub(sent))
				}
			}
			quick := at.Add(time.Second)
			service.AsOf(quick, quick, stamp+step+time.Second)
			late := service.AsOf(quick, quick.Add(2*time.Second), stamp+step+2*time.Second)
			if want := quick.Add(time.Second); want.Sub(late) > 2*stampResolution || late.After(want) {
				t.Fatalf("as of %v, generated at %v", late.Sub(quick), want.Sub(quick))
			}
		})
	}
}

// TestServiceClock_DriftSinceALateAnswer guards against drift that is counted only from the receipt of the answer
// that measured the offset, or not at all for an answer that was requested before: the clocks drift from the
// generation of one answer to that of the other.
func TestServiceClock_DriftSinceALateAnswer(t *testing.T) {
	const late = 4 * time.Second
	for name, c := range map[string]struct {
		drift float64
		// wait is the time from the generation of the measuring answer, which arrives late, to that of the
		// other one, which takes response to arrive.
		wait, response time.Duration
	}{
		"fast service, later answer":   {maxClockDrift, late, stampResolution},
		"slow service, earlier answer": {-maxClockDrift, -late, late},
	} {
		t.Run(name, func(t *testing.T) {
			start := clock.Now()
			stampAt := func(at time.Time) time.Duration {
				elapsed := at.Sub(start)
				return (time.Hour + elapsed + time.Duration(c.drift*float64(elapsed))).Truncate(stampResolution)
			}
			worst := -time.Hour
			for i := range 1000 {
				measured := start.Add(2*late + time.Duration(i)*stampResolution/1000)
				for k := range 50 {
					var service ServiceClock
					service.AsOf(measured, measured.Add(late), stampAt(measured))
					generated := measured.Add(c.wait + time.Duration(k)*stampResolution/50)
					asOf := service.AsOf(generated.Add(-late), generated.Add(c.response), stampAt(generated))
					worst = max(worst, asOf.Sub(generated))
				}
			}
			if worst > 0 {
				t.Errorf("as of %v after it was generated", worst)
			}
		})
	}
}
