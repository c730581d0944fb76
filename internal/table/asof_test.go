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

func TestSourceClock_SeesHowLongAnAnswerWasOnItsWay(t *testing.T) {
	var source sourceClock
	begin := clock.Now()
	asked := func(at time.Duration) time.Time { return begin.Add(at) }
	// The service's clock reads an hour when this node's reads begin.
	stamp := func(at time.Duration) time.Duration { return time.Hour + at }
	const way = 2 * time.Millisecond
	for _, c := range []struct {
		name                   string
		asked, given, received time.Duration
		want                   time.Duration
	}{
		{"the first", 0, 100 * time.Millisecond, 100*time.Millisecond + way, 100*time.Millisecond + way},
		{"a late one", time.Second, 1100 * time.Millisecond, 3 * time.Second, 1100*time.Millisecond + way},
		{"stamped before it was asked for", 4 * time.Second, 3 * time.Second, 5 * time.Second, 4 * time.Second},
		{"a late one that begins a window", 70 * time.Second, 70 * time.Second, 71 * time.Second, 70*time.Second + way},
		{"by the window before", 71 * time.Second, 71 * time.Second, 72 * time.Second, 71*time.Second + way},
	} {
		got := source.asOf(asked(c.asked), asked(c.received), stamp(c.given))
		if got.Sub(asked(c.want)).Abs() > time.Microsecond {
			t.Errorf("%s: given at %v, taken for given at %v", c.name, c.want, got.Sub(begin))
		}
	}
}

// TestSourceClock_ForgetsAClockThatWasSet has the service's clock step back: answers look old, but
// not for longer than two windows.
func TestSourceClock_ForgetsAClockThatWasSet(t *testing.T) {
	var source sourceClock
	begin := clock.Now()
	source.asOf(begin, begin, time.Hour)
	received := begin
	for range 3 {
		received = received.Add(delayWindow + time.Second)
		source.asOf(received, received, 0)
	}
	received = received.Add(time.Second)
	asked := received.Add(-time.Second)
	if got := source.asOf(asked, received, received.Sub(begin)-3*(delayWindow+time.Second)); got.Before(asked) {
		t.Errorf("an answer counts as given %v before it came", received.Sub(got))
	}
	if source.before < received.Sub(clockOrigin)-4*(delayWindow+time.Second) {
		t.Errorf("the clock before the step is remembered: %v", source.before)
	}
}

// heldHeads loses the answers to looks at the heads while it is held.
type heldHeads struct {
	Service
	rows map[string][]Row
	held atomic.Bool
	// way is how long an answer to a look is on its way.
	way time.Duration
}

func (h *heldHeads) Get(_ context.Context, key Key) (Row, error) {
	for _, row := range h.rows[key.Partition] {
		if row.Sort == key.Sort {
			return row, nil
		}
	}
	return Row{}, outcome.Failed(ErrNotFound)
}

func (h *heldHeads) List(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	if strings.HasPrefix(partition, headsPartition) && h.held.Load() {
		<-ctx.Done()
		return nil, outcome.Undecided(ctx.Err())
	}
	if strings.HasPrefix(partition, headsPartition) {
		select {
		case <-ctx.Done():
		case <-time.After(h.way):
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

// TestPolledFeed_WhatNobodyAnsweredIsOld has a table fall silent for a minute. No look at the heads
// is answered, which is no news that there is none, and the clock goes on.
func TestPolledFeed_WhatNobodyAnsweredIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		service := &heldHeads{rows: map[string][]Row{headsPartition: {{Key: headKey("g"), Version: 1}}}}
		heads := NewHeads(service)
		var now time.Duration
		watcher := NewWatcher(PolledFeed{Heads: heads, Group: "g", Parts: []string{"g"}}, func(c Changes, _ bool) { now = c.Now })
		lost := 0
		watcher.Lost = func(error) { lost++ }
		go heads.Run(ctx)
		go watcher.Run(ctx)
		time.Sleep(5 * time.Second)
		if age := watcher.Age(); age > 2*time.Second {
			t.Errorf("%v old while all is answered", age)
		}
		service.held.Store(true)
		time.Sleep(time.Minute)
		if age := watcher.Age(); age < time.Minute-time.Second || lost != 1 {
			t.Errorf("%v old after a minute of silence, told as lost %d times", age, lost)
		}
		if behind := timeOfDay() - now; behind > time.Minute+time.Second {
			t.Errorf("the clock is %v behind", behind)
		}
	})
}

func TestPolledFeed_TheClockIsTheTimeOfDayWhateverTheLooks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &heldHeads{rows: map[string][]Row{headsPartition: {{Key: headKey("g"), Version: 1}}}}
		heads := NewHeads(service)
		feed := PolledFeed{Heads: heads, Group: "g", Parts: []string{"g"}}
		service.way = 300 * time.Millisecond
		service.held.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go heads.Run(ctx)
		changes, err := feed.After(ctx, 1, time.Second)
		if !errors.Is(err, ErrUnavailable) {
			t.Errorf("before any look was answered: %+v, %v", changes, err)
		}
		service.held.Store(false)
		time.Sleep(pollTimeout)
		changes, err = feed.After(ctx, 1, 3*time.Second)
		if err != nil || changes.Now != timeOfDay() || clock.Since(changes.AsOf) < service.way || clock.Since(changes.AsOf) > time.Second {
			t.Errorf("%v behind, as of %v ago, %v", timeOfDay()-changes.Now, clock.Since(changes.AsOf), err)
		}
	})
}

// TestPolledFeed_APageOfManySaysThatThereIsMore guards that a view which is more than a page
// behind is not taken for complete.
func TestPolledFeed_APageOfManySaysThatThereIsMore(t *testing.T) {
	service := &heldHeads{rows: map[string][]Row{headsPartition: {{Key: headKey("g"), Version: 250}}}}
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

// stampedFeed brings a whole read whose second page takes a while, and one answer that is as
// long on its way; then it falls silent.
type stampedFeed struct {
	way   time.Duration
	calls int
}

func (f *stampedFeed) Page(_ context.Context, cursor Cursor) (Changes, Cursor, error) {
	if cursor.Part > 0 {
		time.Sleep(f.way)
	}
	return Changes{Revision: 1, Now: timeOfDay()}, Cursor{Part: cursor.Part + 1, Done: cursor.Part == 1}, nil
}

func (f *stampedFeed) After(ctx context.Context, _ uint64, _ time.Duration) (Changes, error) {
	if f.calls++; f.calls > 1 {
		<-ctx.Done()
		return Changes{}, outcome.Undecided(ctx.Err())
	}
	answer := Changes{Revision: 1, Now: timeOfDay()}
	time.Sleep(f.way)
	return answer, nil
}

// TestWatcher_IsAsOldAsWhatItWasTold guards that the age is that of the source's answer: keys that
// were taken away and configurations are judged by it.
func TestWatcher_IsAsOldAsWhatItWasTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		feed := &stampedFeed{way: 800 * time.Millisecond}
		watcher := NewWatcher(feed, func(Changes, bool) {})
		go watcher.Run(ctx)
		time.Sleep(feed.way + time.Millisecond)
		if age := watcher.Age(); age < feed.way {
			t.Errorf("a whole read that took %v counts as %v old", feed.way, age)
		}
		time.Sleep(feed.way)
		if age := watcher.Age(); age < feed.way || age > 2*feed.way {
			t.Errorf("an answer that was %v on its way counts as %v old", feed.way, age)
		}
	})
}
