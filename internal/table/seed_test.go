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

// presentKeys is a view of the keys that exist.
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

// A seed is used until the first whole read, which adds and removes the rows that have changed since.
func TestWatcher_SeedIsReplacedByFirstWholeRead(t *testing.T) {
	service := tabletest.New()
	gone := commit(t, service, table.Write{Key: key("gone")})
	commit(t, service, table.Write{Key: key("stays")})
	var first, second presentKeys
	source := table.NewWatcher(service.Feed(group), first.apply)
	source.KeepRows = true
	tabletest.Follow(t, source)
	eventually(t, "the first read", func() bool { return source.Ready() && len(first.names()) == 2 })
	snapshot, _ := source.Snapshot()
	if len(snapshot.Changes) != 2 {
		t.Fatalf("%d rows in the snapshot, want 2", len(snapshot.Changes))
	}
	starting := table.NewWatcher(service.Feed(group), second.apply)
	const age = time.Hour
	if starting.Populated() || !starting.Seed(snapshot, age, second.apply) {
		t.Fatal("the seed was rejected")
	}
	if !starting.Populated() || starting.Ready() || starting.Age() < age || len(second.names()) != 2 {
		t.Fatalf("populated %v, ready %v, age %v, rows %v", starting.Populated(), starting.Ready(), starting.Age(), second.names())
	}
	if starting.Seed(table.Changes{}, 0, second.apply) {
		t.Error("a second seed was accepted")
	}
	commit(t, service, table.Write{Key: key("gone"), Kind: table.Delete, Expect: gone})
	commit(t, service, table.Write{Key: key("new")})
	tabletest.Follow(t, starting)
	eventually(t, "the whole read", func() bool { return starting.Ready() && slices.Equal(second.names(), []string{"new", "stays"}) })
	if starting.Age() > age/2 {
		t.Errorf("age %v after a response of the service", starting.Age())
	}
	if starting.Seed(snapshot, 0, second.apply) || !slices.Equal(second.names(), []string{"new", "stays"}) {
		t.Error("a seed was accepted after a response of the service")
	}
}

// slowPages is a feed with several pages, each of which takes some time to read.
type slowPages struct {
	busyFeed
	pageDelay time.Duration
	pages     int
}

func (f *slowPages) Page(_ context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	time.Sleep(f.pageDelay)
	next := table.Cursor{Part: cursor.Part + 1}
	next.Done = next.Part == f.pages
	return table.Changes{Revision: 1}, next, nil
}

// Guards against a slow first read, as when a whole fleet starts, that is mistaken for an unresponsive
// store: all nodes would then request all rows from each other, even between regions.
func TestWatcher_SlowFirstReadIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &slowPages{pageDelay: 400 * time.Millisecond, pages: 10}
		watcher := table.NewWatcher(feed, func(table.Changes, bool) {})
		watcher.Pace = func() table.Pace { return table.Pace{AfterAnnouncement: time.Second, Default: time.Second} }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go watcher.Run(ctx)
		time.Sleep(feed.pageDelay + time.Millisecond)
		for !watcher.Ready() {
			if sinceResponse := watcher.SinceLastResponse(); sinceResponse > feed.pageDelay+time.Millisecond {
				t.Fatalf("%v since the last response while a page is read every %v", sinceResponse, feed.pageDelay)
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		time.Sleep(time.Minute)
		if sinceResponse := watcher.SinceLastResponse(); sinceResponse < time.Minute {
			t.Errorf("%v since the last response after a minute without calls", sinceResponse)
		}
	})
}
