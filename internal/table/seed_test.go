package table_test

import (
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// present is a view of the keys that are there.
type present struct {
	mu   sync.Mutex
	keys map[string]uint64
}

func (p *present) apply(changes table.Changes, _ bool) {
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

func (p *present) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.keys))
}

// TestWatcher_ASeedHoldsUntilTheFirstWholeRead has a watcher start by what another one
// held, of which a row has gone and another has come since.
func TestWatcher_ASeedHoldsUntilTheFirstWholeRead(t *testing.T) {
	service := tabletest.New()
	gone := commit(t, service, table.Write{Key: key("gone")})
	commit(t, service, table.Write{Key: key("stays")})
	var first, second present
	holder := table.NewWatcher(service.Feed(group), first.apply)
	holder.Keep = true
	tabletest.Follow(t, holder)
	eventually(t, "first read", func() bool { return holder.Ready() && len(first.names()) == 2 })
	held, _ := holder.Held()
	if len(held.Changes) != 2 {
		t.Fatalf("%d rows held", len(held.Changes))
	}
	starting := table.NewWatcher(service.Feed(group), second.apply)
	const age = time.Hour
	if starting.Informed() || !starting.Seed(held, age, second.apply) {
		t.Fatal("seed not taken")
	}
	if !starting.Informed() || starting.Ready() || starting.Age() < age || len(second.names()) != 2 {
		t.Fatalf("informed %v, ready %v, age %v, rows %v", starting.Informed(), starting.Ready(), starting.Age(), second.names())
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
	if starting.Seed(held, 0, second.apply) || !slices.Equal(second.names(), []string{"new", "stays"}) {
		t.Error("a seed was taken after the service had answered")
	}
}
