package table_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

const group = "group"

func key(name string) table.Key { return table.Key{Partition: group, Sort: name} }

func commit(t *testing.T, service *tabletest.Table, write table.Write) uint64 {
	t.Helper()
	versions, err := service.Commit(t.Context(), "op", write)
	if err != nil {
		t.Fatal(err)
	}
	return versions[0]
}

// eventually waits until holds returns true.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func TestWatcher_RemovalIsSeenAfterCompaction(t *testing.T) {
	service := tabletest.New()
	version := commit(t, service, table.Write{Key: key("a")})
	var removed, put atomic.Int32
	watcher := table.NewWatcher(service.Feed(group), func(changes table.Changes, _ bool) {
		for _, change := range changes.Changes {
			if change.Removed {
				removed.Add(1)
			} else {
				put.Add(1)
			}
		}
	})
	tabletest.Follow(t, watcher)
	eventually(t, "the first read", func() bool { return put.Load() == 1 })
	commit(t, service, table.Write{Key: key("a"), Kind: table.Delete, Expect: version})
	service.Compact()
	commit(t, service, table.Write{Key: key("b")})
	service.Compact()
	eventually(t, "the removal to be received", func() bool { return removed.Load() == 1 && put.Load() >= 2 })
}

// scriptedFeed is a feed whose answers are sent by the test.
type scriptedFeed struct {
	answers chan func() (table.Changes, error)
}

func (s *scriptedFeed) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	changes, err := s.After(ctx, 0, 0)
	if err != nil {
		return changes, cursor, err
	}
	return changes, table.Cursor{Done: true}, nil
}

func (s *scriptedFeed) After(ctx context.Context, _ uint64, _ time.Duration) (table.Changes, error) {
	select {
	case answer := <-s.answers:
		return answer()
	case <-ctx.Done():
		return table.Changes{}, ctx.Err()
	}
}

func TestWatcher_IgnoresOlderVersions(t *testing.T) {
	feed := &scriptedFeed{answers: make(chan func() (table.Changes, error))}
	applied := make(chan uint64, 10)
	watcher := table.NewWatcher(feed, func(changes table.Changes, _ bool) {
		for _, change := range changes.Changes {
			applied <- change.Version
		}
		applied <- 0
	})
	tabletest.Follow(t, watcher)
	at := func(version uint64) func() (table.Changes, error) {
		return func() (table.Changes, error) {
			row := table.Row{Key: key("a"), Version: version}
			return table.Changes{Changes: []table.Change{{Row: row}}, Revision: version}, nil
		}
	}
	feed.answers <- at(5)
	feed.answers <- at(3)
	feed.answers <- at(6)
	var seen []uint64
	for range 5 {
		seen = append(seen, <-applied)
	}
	want := []uint64{5, 0, 0, 6, 0}
	for i := range want {
		if seen[i] != want[i] {
			t.Fatalf("applied versions: %v, want %v", seen, want)
		}
	}
}

func TestWatcher_ReportsOutageBeforeChanges(t *testing.T) {
	// Guards against removals that are applied before OnRegained reports the outage that caused them.
	feed := &scriptedFeed{answers: make(chan func() (table.Changes, error))}
	order := make(chan string, 4)
	watcher := table.NewWatcher(feed, func(table.Changes, bool) { order <- "applied" })
	watcher.OnLost = func(error) { order <- "lost" }
	watcher.OnRegained = func(time.Duration) { order <- "regained" }
	tabletest.Follow(t, watcher)
	feed.answers <- func() (table.Changes, error) { return table.Changes{Revision: 1}, nil }
	feed.answers <- func() (table.Changes, error) { return table.Changes{}, errors.New("down") }
	feed.answers <- func() (table.Changes, error) { return table.Changes{Revision: 2}, nil }
	for _, want := range []string{"applied", "lost", "regained", "applied"} {
		if got := <-order; got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
}

// pagedFeed is a feed of three pages, the second of which fails three times.
type pagedFeed struct {
	failures atomic.Int32
	reads    [3]atomic.Int32
}

func (p *pagedFeed) Page(_ context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	p.reads[cursor.Part].Add(1)
	if cursor.Part == 1 && p.failures.Add(1) <= 3 {
		return table.Changes{}, cursor, table.ErrThrottled
	}
	row := table.Row{Key: key(string(rune('a' + cursor.Part))), Version: 5}
	revision := uint64(10 + cursor.Part)
	next := table.Cursor{Part: cursor.Part + 1, Done: cursor.Part == 2}
	return table.Changes{Changes: []table.Change{{Row: row}}, Revision: revision}, next, nil
}

func (p *pagedFeed) After(ctx context.Context, revision uint64, _ time.Duration) (table.Changes, error) {
	if revision != 10 {
		return table.Changes{}, errors.New("revision is not that of the first page")
	}
	<-ctx.Done()
	return table.Changes{}, ctx.Err()
}

func TestWatcher_RetriesOnlyFailedPage(t *testing.T) {
	// Guards against a rejected page that restarts the whole read: many nodes that start at the same
	// time would take long until they can serve.
	feed := &pagedFeed{}
	applied := make(chan int, 1)
	watcher := table.NewWatcher(feed, func(changes table.Changes, _ bool) { applied <- len(changes.Changes) })
	tabletest.Follow(t, watcher)
	if rows := <-applied; rows != 3 {
		t.Fatalf("%d rows read, want 3", rows)
	}
	if feed.reads[0].Load() != 1 || feed.reads[2].Load() != 1 {
		t.Fatal("pages that had succeeded were read again")
	}
}

// hangingPageFeed is a feed whose first hangs pages time out.
type hangingPageFeed struct {
	hangs    int
	timeouts []time.Duration
}

func (f *hangingPageFeed) Page(ctx context.Context, _ table.Cursor) (table.Changes, table.Cursor, error) {
	deadline, _ := ctx.Deadline()
	f.timeouts = append(f.timeouts, time.Until(deadline))
	if len(f.timeouts) <= f.hangs {
		return table.Changes{}, table.Cursor{}, context.DeadlineExceeded
	}
	return table.Changes{}, table.Cursor{Done: true}, nil
}

func (f *hangingPageFeed) After(ctx context.Context, _ uint64, _ time.Duration) (table.Changes, error) {
	<-ctx.Done()
	return table.Changes{}, ctx.Err()
}

// Guards against a page that is never read because the service needs longer for it than the watcher
// waits, and against one that is waited for without a limit. Lost pages are left to HedgedFeed.
func TestWatcher_PageHasItsWholeTime(t *testing.T) {
	const want, tolerance = 4 * time.Second, 500 * time.Millisecond
	feed := &hangingPageFeed{hangs: 3}
	ready := make(chan struct{})
	watcher := table.NewWatcher(feed, func(table.Changes, bool) { close(ready) })
	tabletest.Follow(t, watcher)
	<-ready
	if len(feed.timeouts) != 4 {
		t.Errorf("%d attempts, want 4", len(feed.timeouts))
	}
	for i, timeout := range feed.timeouts {
		if timeout > want || timeout < want-tolerance {
			t.Errorf("timeout of attempt %d is %v, want %v", i, timeout, want)
		}
	}
}
