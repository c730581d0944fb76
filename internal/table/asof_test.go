package table

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
)

func TestAgeEstimator_EstimatesResponseDelay(t *testing.T) {
	var estimator AgeEstimator
	start := clock.Now()
	nodeTime := func(at time.Duration) time.Time { return start.Add(at) }
	// The clock of the service reads one hour at the local time start.
	serviceTime := func(at time.Duration) time.Duration { return time.Hour + at }
	const minDelay = 2 * time.Millisecond
	for _, c := range []struct {
		name                     string
		sent, answered, received time.Duration
		want                     time.Duration
	}{
		{"first answer", 0, 100 * time.Millisecond, 100*time.Millisecond + minDelay, 100*time.Millisecond + minDelay},
		{"delayed answer", time.Second, 1100 * time.Millisecond, 3 * time.Second, 1100*time.Millisecond + minDelay},
		{"stamped before it was requested", 4 * time.Second, 3 * time.Second, 5 * time.Second, 4 * time.Second},
		{"delayed answer that starts a window", 70 * time.Second, 70 * time.Second, 71 * time.Second, 70*time.Second + minDelay},
		{"uses the previous window", 71 * time.Second, 71 * time.Second, 72 * time.Second, 71*time.Second + minDelay},
	} {
		got := estimator.AsOf(nodeTime(c.sent), nodeTime(c.received), serviceTime(c.answered))
		if got.Sub(nodeTime(c.want)).Abs() > time.Microsecond {
			t.Errorf("%s: generated at %v, estimated %v", c.name, c.want, got.Sub(start))
		}
	}
}

// If the service's clock steps back, answers seem older than they are, but for at most two windows.
func TestAgeEstimator_RecoversFromClockStep(t *testing.T) {
	var estimator AgeEstimator
	start := clock.Now()
	estimator.AsOf(start, start, time.Hour)
	received := start
	for range 3 {
		received = received.Add(minDelayWindow + time.Second)
		estimator.AsOf(received, received, 0)
	}
	received = received.Add(time.Second)
	sent := received.Add(-time.Second)
	if got := estimator.AsOf(sent, received, received.Sub(start)-3*(minDelayWindow+time.Second)); got.Before(sent) {
		t.Errorf("the answer is estimated to be %v old, which is before its request", received.Sub(got))
	}
	if estimator.previousMinOffset < received.Sub(clockOrigin)-4*(minDelayWindow+time.Second) {
		t.Errorf("the offset before the step is still used: %v", estimator.previousMinOffset)
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

func (h *blockingHeads) Get(_ context.Context, key Key) (Row, error) {
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
