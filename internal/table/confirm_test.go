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

func TestWatcher_ConfirmAwaitsChanges(t *testing.T) {
	service := tabletest.New()
	feed := &scriptedFeed{answers: make(chan func() (table.Changes, error))}
	var applied atomic.Uint64
	watcher := table.NewWatcher(feed, func(changes table.Changes, _ bool) {
		for _, change := range changes.Changes {
			applied.Store(change.Version)
		}
	})
	if err := watcher.Confirm(t.Context(), service.Feed(group)); err == nil {
		t.Error("confirmed before the first read")
	}
	tabletest.Follow(t, watcher)
	version := commit(t, service, table.Write{Key: key("a")})
	answer := func(version uint64, removed bool) func() (table.Changes, error) {
		return func() (table.Changes, error) {
			change := table.Change{Row: table.Row{Key: key("a"), Version: version}, Removed: removed}
			return table.Changes{Changes: []table.Change{change}, Revision: version}, nil
		}
	}
	feed.answers <- answer(version, false)
	eventually(t, "the first read", func() bool { return applied.Load() == version })
	if err := watcher.Confirm(t.Context(), service.Feed(group)); err != nil {
		t.Errorf("without changes: %v", err)
	}
	removal := commit(t, service, table.Write{Key: key("a"), Kind: table.Delete, Expect: version})
	short, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if err := watcher.Confirm(short, service.Feed(group)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("before a change was applied: %v", err)
	}
	confirmed := make(chan error, 1)
	go func() { confirmed <- watcher.Confirm(t.Context(), service.Feed(group)) }()
	feed.answers <- answer(removal, true)
	if err := <-confirmed; err != nil || applied.Load() != removal {
		t.Errorf("after a change was applied: %v, applied %d, want %d", err, applied.Load(), removal)
	}
}

func TestWatcher_ConfirmFailsWithoutTheService(t *testing.T) {
	service := tabletest.New()
	commit(t, service, table.Write{Key: key("a")})
	watcher := table.NewWatcher(service.Feed(group), func(table.Changes, bool) {})
	tabletest.Follow(t, watcher)
	eventually(t, "the first read", watcher.Ready)
	failed := errors.New("failed")
	broken := &scriptedFeed{answers: make(chan func() (table.Changes, error), 1)}
	broken.answers <- func() (table.Changes, error) { return table.Changes{}, failed }
	if err := watcher.Confirm(t.Context(), broken); !errors.Is(err, failed) {
		t.Errorf("%v", err)
	}
}
