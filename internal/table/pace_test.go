package table_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// busyFeed returns from After immediately, as if rows changed all the time.
type busyFeed struct{ calls atomic.Int64 }

func (f *busyFeed) Page(context.Context, table.Cursor) (table.Changes, table.Cursor, error) {
	return table.Changes{Revision: 1}, table.Cursor{Done: true}, nil
}

func (f *busyFeed) After(context.Context, uint64, time.Duration) (table.Changes, error) {
	return table.Changes{Revision: uint64(f.calls.Add(1)) + 1}, nil
}

func TestWatcher_PaceShortensAfterAnnounce(t *testing.T) {
	const announced, defaultPace = 100 * time.Millisecond, time.Second
	synctest.Test(t, func(t *testing.T) {
		feed := &busyFeed{}
		watcher := table.NewWatcher(feed, func(table.Changes, bool) {})
		watcher.Pace = func() table.Pace { return table.Pace{AfterAnnouncement: announced, Default: defaultPace} }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go watcher.Run(ctx)
		time.Sleep(10*defaultPace + defaultPace/2)
		if calls := feed.calls.Load(); calls != 10 {
			t.Errorf("%d calls in 10 intervals without an announcement", calls)
		}
		before := feed.calls.Load()
		watcher.Announce()
		watcher.Announce()
		synctest.Wait()
		if calls := feed.calls.Load() - before; calls != 1 {
			t.Errorf("%d calls after an announcement in the middle of an interval, want 1", calls)
		}
		// An announcement just after a call takes effect after the shorter interval.
		watcher.Announce()
		time.Sleep(announced / 2)
		if calls := feed.calls.Load() - before; calls > 2 {
			t.Errorf("%d calls within the shorter interval", calls)
		}
		time.Sleep(announced)
		if calls := feed.calls.Load() - before; calls != 2 && calls != 3 {
			t.Errorf("%d calls after the shorter interval", calls)
		}
	})
}
