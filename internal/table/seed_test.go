package table_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// presentKeys is a view of the keys that are there.
type presentKeys struct {
	mu   sync.Mutex
	keys map[string]uint64
}

func (p *presentKeys) apply(changes table.Changes, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keys == nil {
		p.keys = map[string]uint64{}
	}
	for _, change := range changes.Changes {
		if change.Removed {
			delete(p.keys, change.Sort)
		} else {
			p.keys[change.Sort] = change.Version
		}
	}
}

func (p *presentKeys) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.keys))
}

// TestWatcher_SeedIsReplacedByFirstWholeRead has a watcher start by what another one
// held, of which a row has gone and another has come since.
func TestWatcher_SeedIsReplacedByFirstWholeRead(t *testing.T) {
	service := tabletest.New()
	gone := commit(t, service, table.Write{Key: key("gone")})
	commit(t, service, table.Write{Key: key("stays")})
	var first, second presentKeys
	source := table.NewWatcher(service.Feed(group), first.apply)
	source.KeepRows = true
	tabletest.Follow(t, source)
	eventually(t, "first read", func() bool { return source.Ready() && len(first.names()) == 2 })
	snapshot, _ := source.Snapshot()
	if len(snapshot.Changes) != 2 {
		t.Fatalf("%d rows held", len(snapshot.Changes))
	}
	starting := table.NewWatcher(service.Feed(group), second.apply)
	const age = time.Hour
	if starting.Populated() || !starting.Seed(snapshot, age, second.apply) {
		t.Fatal("seed not taken")
	}
	if !starting.Populated() || starting.Ready() || starting.Age() < age || len(second.names()) != 2 {
		t.Fatalf("informed %v, ready %v, age %v, rows %v", starting.Populated(), starting.Ready(), starting.Age(), second.names())
	}
	if starting.Seed(table.Changes{}, 0, second.apply) {
		t.Error("a second seed was taken")
	}
	commit(t, service, table.Write{Key: key("gone"), Kind: table.Delete, Expect: gone})
	commit(t, service, table.Write{Key: key("new")})
	tabletest.Follow(t, starting)
	eventually(t, "whole read", func() bool { return starting.Ready() && slices.Equal(second.names(), []string{"new", "stays"}) })
	if starting.Age() > age/2 {
		t.Errorf("age %v after the service has answered", starting.Age())
	}
	if starting.Seed(snapshot, 0, second.apply) || !slices.Equal(second.names(), []string{"new", "stays"}) {
		t.Error("a seed was taken after the service had answered")
	}
}

// slowPages is a feed of many pages, each of which takes a while.
type slowPages struct {
	busyFeed
	page  time.Duration
	pages int
}

func (f *slowPages) Page(_ context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	time.Sleep(f.page)
	next := table.Cursor{Part: cursor.Part + 1}
	next.Done = next.Part == f.pages
	return table.Changes{Revision: 1}, next, nil
}

// TestWatcher_SlowFirstReadIsNotSilence has a first read take long, as it does when a whole
// fleet starts. In a sweep, 300 machines before 3,000 replicas took that for a store that is
// away: they asked each other for all they knew, some 300 MB between regions.
func TestWatcher_SlowFirstReadIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &slowPages{page: 400 * time.Millisecond, pages: 10}
		watcher := table.NewWatcher(feed, func(table.Changes, bool) {})
		watcher.Pace = func() table.Pace { return table.Pace{AfterAnnouncement: time.Second, Default: time.Second} }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go watcher.Run(ctx)
		time.Sleep(feed.page + time.Millisecond)
		for !watcher.Ready() {
			if silence := watcher.SinceLastResponse(); silence > feed.page+time.Millisecond {
				t.Fatalf("silent for %v while pages come each %v", silence, feed.page)
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		time.Sleep(time.Minute)
		if silence := watcher.SinceLastResponse(); silence < time.Minute {
			t.Errorf("silent for %v after a minute without a call", silence)
		}
	})
}
