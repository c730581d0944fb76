package table

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
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

// blockingHeads blocks reads of the log heads while blocked is set.
type blockingHeads struct {
	Service
	rows    map[string][]Row
	blocked atomic.Bool
	// delay is the time that a read of the heads takes.
	delay time.Duration
}

func (h *blockingHeads) Get(ctx context.Context, key Key) (Row, error) {
	select {
	case <-ctx.Done():
	case <-time.After(h.delay):
	}
	for _, row := range h.rows[key.Partition] {
		if row.Sort == key.Sort {
			return row, nil
		}
	}
	return Row{}, outcome.AsNotDone(ErrNotFound)
}

func (h *blockingHeads) List(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	if strings.HasPrefix(partition, headsPartition) && h.blocked.Load() {
		<-ctx.Done()
		return nil, outcome.AsUnknown(ctx.Err())
	}
	if strings.HasPrefix(partition, headsPartition) {
		select {
		case <-ctx.Done():
		case <-time.After(h.delay):
		}
	}
	var found []Row
	for _, row := range h.rows[partition] {
		if row.Sort > after && len(found) < limit {
			found = append(found, row)
		}
	}
	return found, nil
}

// While no poll of the heads completes, the age of the view grows, the outage is reported once, and
// the wall clock in Changes.Now continues to advance.
func TestPolledFeed_AgeGrowsWhileNoPollIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		service := &blockingHeads{rows: map[string][]Row{headsPartition: {{Key: headKey("g"), Version: 1}}}}
		heads := NewHeads(service)
		var now time.Duration
		watcher := NewWatcher(PolledFeed{Heads: heads, Group: "g", Parts: []string{"g"}}, func(c Changes, _ bool) { now = c.Now })
		lost := 0
		watcher.OnLost = func(error) { lost++ }
		go heads.Run(ctx)
		go watcher.Run(ctx)
		time.Sleep(5 * time.Second)
		if age := watcher.Age(); age > 2*time.Second {
			t.Errorf("age %v while all polls complete", age)
		}
		service.blocked.Store(true)
		time.Sleep(time.Minute)
		if age := watcher.Age(); age < time.Minute-time.Second || lost != 1 {
			t.Errorf("age %v after a minute without responses, %d outages reported, want 1", age, lost)
		}
		if behind := wallClock() - now; behind > time.Minute+time.Second {
			t.Errorf("Changes.Now is %v behind", behind)
		}
	})
}

func TestPolledFeed_NowIsTheWallClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &blockingHeads{rows: map[string][]Row{headsPartition: {{Key: headKey("g"), Version: 1}}}}
		heads := NewHeads(service)
		feed := PolledFeed{Heads: heads, Group: "g", Parts: []string{"g"}}
		service.delay = 300 * time.Millisecond
		service.blocked.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go heads.Run(ctx)
		changes, err := feed.After(ctx, 1, time.Second)
		if !errors.Is(err, ErrUnavailable) {
			t.Errorf("before any poll completed: %+v, error %v", changes, err)
		}
		service.blocked.Store(false)
		time.Sleep(pollTimeout)
		changes, err = feed.After(ctx, 1, 3*time.Second)
		if err != nil || changes.Now != wallClock() || clock.Since(changes.AsOf) < service.delay || clock.Since(changes.AsOf) > time.Second {
			t.Errorf("Changes.Now is %v behind, AsOf %v ago, error %v", wallClock()-changes.Now, clock.Since(changes.AsOf), err)
		}
	})
}

// Guards against a page that counts as of its receipt.
func TestPolledFeed_PageIsAsOldAsItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &blockingHeads{rows: map[string][]Row{headsPartition: {{Key: headKey("g"), Version: 1}}}, delay: time.Second}
		feed := PolledFeed{Heads: NewHeads(service), Group: "g", Parts: []string{"g"}}
		sent := clock.Now()
		page, _, err := feed.Page(t.Context(), Cursor{})
		if err != nil || page.AsOf.After(sent) || page.AsOf.IsZero() {
			t.Errorf("as of %v after the request, error %v", page.AsOf.Sub(sent), err)
		}
	})
}

// Guards against a view that is more than one page behind but considered complete.
func TestPolledFeed_FullPageSetsMore(t *testing.T) {
	service := &blockingHeads{rows: map[string][]Row{headsPartition: {{Key: headKey("g"), Version: 250}}}}
	for number := uint64(1); number <= 250; number++ {
		service.rows[logPrefix+"g"] = append(service.rows[logPrefix+"g"], Row{Key: logKey("g", number), Version: number, Body: []byte{0x80}})
	}
	feed := PolledFeed{Heads: NewHeads(service), Group: "g", Parts: []string{"g"}}
	for revision, more := range map[uint64]bool{0: true, 200: false} {
		changes, err := feed.since(t.Context(), revision)
		if err != nil || changes.More != more {
			t.Errorf("changes after %d up to %d: More is %v, error %v", revision, changes.Revision, changes.More, err)
		}
	}
}

// slowFeed returns a whole read with a slow second page, then one slow answer, then blocks.
type slowFeed struct {
	delay time.Duration
	calls int
}

func (f *slowFeed) Page(_ context.Context, cursor Cursor) (Changes, Cursor, error) {
	if cursor.Part > 0 {
		time.Sleep(f.delay)
	}
	return Changes{Revision: 1, Now: wallClock()}, Cursor{Part: cursor.Part + 1, Done: cursor.Part == 1}, nil
}

func (f *slowFeed) After(ctx context.Context, _ uint64, _ time.Duration) (Changes, error) {
	if f.calls++; f.calls > 1 {
		<-ctx.Done()
		return Changes{}, outcome.AsUnknown(ctx.Err())
	}
	answer := Changes{Revision: 1, Now: wallClock()}
	time.Sleep(f.delay)
	return answer, nil
}

// Guards against an age that is measured from the receipt of an answer instead of its generation. The
// age limits how long a node relies on keys and configurations that may have been withdrawn.
func TestWatcher_AgeIncludesResponseDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		feed := &slowFeed{delay: 800 * time.Millisecond}
		watcher := NewWatcher(feed, func(Changes, bool) {})
		go watcher.Run(ctx)
		time.Sleep(feed.delay + time.Millisecond)
		if age := watcher.Age(); age < feed.delay {
			t.Errorf("age after a whole read of %v is %v", feed.delay, age)
		}
		time.Sleep(feed.delay)
		if age := watcher.Age(); age < feed.delay || age > 2*feed.delay {
			t.Errorf("age after an answer with a delay of %v is %v", feed.delay, age)
		}
	})
}

// TestWatcher_AgeIsThatOfAppliedChanges guards against an age that is already that of a new answer while
// its changes are still being applied: whoever goes by the age then uses rows that are older.
func TestWatcher_AgeIsThatOfAppliedChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const apply = 500 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(2 * apply)
		defer cancel()
		watcher := NewWatcher(&slowFeed{}, func(Changes, bool) { time.Sleep(apply) })
		go watcher.Run(ctx)
		time.Sleep(apply / 2)
		if watcher.Ready() {
			t.Errorf("ready before the first rows are applied")
		}
		time.Sleep(apply)
		// The second answer was received when the first had been applied.
		if age := watcher.Age(); age < 3*apply/2 {
			t.Errorf("age %v while the rows are %v old", age, 3*apply/2)
		}
	})
}

// partialFeed returns a whole read and then answers that say that there are more changes.
type partialFeed struct{}

func (partialFeed) Page(context.Context, Cursor) (Changes, Cursor, error) {
	return Changes{Revision: 1, AsOf: clock.Now()}, Cursor{Part: 1, Done: true}, nil
}

func (partialFeed) After(ctx context.Context, revision uint64, _ time.Duration) (Changes, error) {
	select {
	case <-ctx.Done():
	case <-time.After(100 * time.Millisecond):
	}
	return Changes{Revision: revision + 1, AsOf: clock.Now(), More: true}, nil
}

// TestWatcher_PartialAnswersMakeNothingYounger guards against a view that counts as recent while it lacks changes
// that the service has announced.
func TestWatcher_PartialAnswersMakeNothingYounger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		watcher := NewWatcher(partialFeed{}, func(Changes, bool) {})
		go watcher.Run(ctx)
		const elapsed = time.Second
		time.Sleep(elapsed)
		if age := watcher.Age(); age < elapsed {
			t.Errorf("age %v, %v after the last complete answer", age, elapsed)
		}
	})
}
