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
	var estimator ageEstimator
	start := clock.Now()
	nodeTime := func(at time.Duration) time.Time { return start.Add(at) }
	// The service's clock reads an hour when this node's reads begin.
	serviceTime := func(at time.Duration) time.Duration { return time.Hour + at }
	const minDelay = 2 * time.Millisecond
	for _, c := range []struct {
		name                     string
		sent, answered, received time.Duration
		want                     time.Duration
	}{
		{"the first", 0, 100 * time.Millisecond, 100*time.Millisecond + minDelay, 100*time.Millisecond + minDelay},
		{"a late one", time.Second, 1100 * time.Millisecond, 3 * time.Second, 1100*time.Millisecond + minDelay},
		{"stamped before it was asked for", 4 * time.Second, 3 * time.Second, 5 * time.Second, 4 * time.Second},
		{"a late one that begins a window", 70 * time.Second, 70 * time.Second, 71 * time.Second, 70*time.Second + minDelay},
		{"by the window before", 71 * time.Second, 71 * time.Second, 72 * time.Second, 71*time.Second + minDelay},
	} {
		got := estimator.asOf(nodeTime(c.sent), nodeTime(c.received), serviceTime(c.answered))
		if got.Sub(nodeTime(c.want)).Abs() > time.Microsecond {
			t.Errorf("%s: given at %v, taken for given at %v", c.name, c.want, got.Sub(start))
		}
	}
}

// TestAgeEstimator_RecoversFromClockStep has the service's clock step back: answers look old, but
// not for longer than two windows.
func TestAgeEstimator_RecoversFromClockStep(t *testing.T) {
	var estimator ageEstimator
	start := clock.Now()
	estimator.asOf(start, start, time.Hour)
	received := start
	for range 3 {
		received = received.Add(minDelayWindow + time.Second)
		estimator.asOf(received, received, 0)
	}
	received = received.Add(time.Second)
	sent := received.Add(-time.Second)
	if got := estimator.asOf(sent, received, received.Sub(start)-3*(minDelayWindow+time.Second)); got.Before(sent) {
		t.Errorf("an answer counts as given %v before it came", received.Sub(got))
	}
	if estimator.previousMinOffset < received.Sub(clockOrigin)-4*(minDelayWindow+time.Second) {
		t.Errorf("the clock before the step is remembered: %v", estimator.previousMinOffset)
	}
}

// blockingHeads loses the answers to looks at the heads while it is held.
type blockingHeads struct {
	Service
	rows    map[string][]Row
	blocked atomic.Bool
	// delay is how long an answer to a look is on its delay.
	delay time.Duration
}

func (h *blockingHeads) Get(_ context.Context, key Key) (Row, error) {
	for _, row := range h.rows[key.Partition] {
		if row.Sort == key.Sort {
			return row, nil
		}
	}
	return Row{}, outcome.Failed(ErrNotFound)
}

func (h *blockingHeads) List(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	if strings.HasPrefix(partition, headsPartition) && h.blocked.Load() {
		<-ctx.Done()
		return nil, outcome.Undecided(ctx.Err())
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

// TestPolledFeed_AgeGrowsWhileNoPollIsAnswered has a table fall silent for a minute. No look at the heads
// is answered, which is no news that there is none, and the clock goes on.
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
			t.Errorf("%v old while all is answered", age)
		}
		service.blocked.Store(true)
		time.Sleep(time.Minute)
		if age := watcher.Age(); age < time.Minute-time.Second || lost != 1 {
			t.Errorf("%v old after a minute of silence, told as lost %d times", age, lost)
		}
		if behind := wallClock() - now; behind > time.Minute+time.Second {
			t.Errorf("the clock is %v behind", behind)
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
			t.Errorf("before any look was answered: %+v, %v", changes, err)
		}
		service.blocked.Store(false)
		time.Sleep(pollTimeout)
		changes, err = feed.After(ctx, 1, 3*time.Second)
		if err != nil || changes.Now != wallClock() || clock.Since(changes.AsOf) < service.delay || clock.Since(changes.AsOf) > time.Second {
			t.Errorf("%v behind, as of %v ago, %v", wallClock()-changes.Now, clock.Since(changes.AsOf), err)
		}
	})
}

// TestPolledFeed_FullPageSetsMore guards that a view which is more than a page
// behind is not taken for complete.
func TestPolledFeed_FullPageSetsMore(t *testing.T) {
	service := &blockingHeads{rows: map[string][]Row{headsPartition: {{Key: headKey("g"), Version: 250}}}}
	for number := uint64(1); number <= 250; number++ {
		service.rows[logPrefix+"g"] = append(service.rows[logPrefix+"g"], Row{Key: logKey("g", number), Version: number, Body: []byte{0x80}})
	}
	feed := PolledFeed{Heads: NewHeads(service), Group: "g", Parts: []string{"g"}}
	for revision, more := range map[uint64]bool{0: true, 200: false} {
		changes, err := feed.since(t.Context(), revision)
		if err != nil || changes.More != more {
			t.Errorf("after %d up to %d: more %v, %v", revision, changes.Revision, changes.More, err)
		}
	}
}

// slowFeed brings a whole read whose second page takes a while, and one answer that is as
// long on its way; then it falls silent.
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
		return Changes{}, outcome.Undecided(ctx.Err())
	}
	answer := Changes{Revision: 1, Now: wallClock()}
	time.Sleep(f.delay)
	return answer, nil
}

// TestWatcher_AgeIncludesResponseDelay guards that the age is that of the source's answer: keys that
// were taken away and configurations are judged by it.
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
			t.Errorf("a whole read that took %v counts as %v old", feed.delay, age)
		}
		time.Sleep(feed.delay)
		if age := watcher.Age(); age < feed.delay || age > 2*feed.delay {
			t.Errorf("an answer that was %v on its way counts as %v old", feed.delay, age)
		}
	})
}
