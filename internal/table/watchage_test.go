package table

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
)

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

// shrinkingFeed returns a row at version 10 in its first whole read, and none at an earlier revision in the
// next. It drops its history at once.
type shrinkingFeed struct{ reads int }

func (f *shrinkingFeed) Page(context.Context, Cursor) (Changes, Cursor, error) {
	f.reads++
	if f.reads > 1 {
		return Changes{Revision: 5, AsOf: clock.Now()}, Cursor{Done: true}, nil
	}
	row := Row{Key: Key{Partition: "g", Sort: "a"}, Version: 10}
	return Changes{Revision: 10, AsOf: clock.Now(), Changes: []Change{{Row: row}}}, Cursor{Done: true}, nil
}

func (f *shrinkingFeed) After(ctx context.Context, _ uint64, _ time.Duration) (Changes, error) {
	if f.reads == 1 {
		return Changes{}, ErrCompacted
	}
	<-ctx.Done()
	return Changes{}, outcome.AsUnknown(ctx.Err())
}

// TestWatcher_EarlierWholeReadRemovesNothing guards against a row that counts as removed because a whole read that
// is older than the known state lacks it, and against a state that counts as more recent for such a read.
func TestWatcher_EarlierWholeReadRemovesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		feed, applied := &shrinkingFeed{}, 0
		watcher := NewWatcher(feed, func(changes Changes, _ bool) {
			applied++
			for _, change := range changes.Changes {
				if change.Removed {
					t.Errorf("%v is removed", change.Key)
				}
			}
		})
		go watcher.Run(ctx)
		synctest.Wait()
		if feed.reads != 2 || applied != 1 {
			t.Errorf("%d whole reads, %d applied; want 2 and 1", feed.reads, applied)
		}
	})
}
