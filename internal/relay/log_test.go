package relay

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// changedDuringRead is the feed of a store in which row x changes at version 105, between the first page
// of a whole read, at version 100, and the page that holds the row. Row y changes afterwards.
type changedDuringRead struct{}

var (
	rowX = table.Change{Row: table.Row{Key: table.Key{Partition: testGroup, Sort: "x"}, Version: 105}}
	rowY = table.Change{Row: table.Row{Key: table.Key{Partition: testGroup, Sort: "y"}, Version: 108}}
)

func (changedDuringRead) Page(_ context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	if cursor.Part == 0 {
		return table.Changes{Revision: 100, AsOf: clock.Now()}, table.Cursor{Part: 1}, nil
	}
	return table.Changes{Revision: 106, AsOf: clock.Now(), Changes: []table.Change{rowX}}, table.Cursor{Part: 2, Done: true}, nil
}

func (changedDuringRead) After(ctx context.Context, revision uint64, _ time.Duration) (table.Changes, error) {
	if revision >= 110 {
		<-ctx.Done()
		return table.Changes{}, ctx.Err()
	}
	return table.Changes{Revision: 110, AsOf: clock.Now(), Changes: []table.Change{rowX, rowY}}, nil
}

// TestLog_RowsThatChangeDuringAWholeRead guards against followers that never get a change: one that the
// relay saw in a late page of a whole read, newer than the first page, and that the feed then repeats.
func TestLog_RowsThatChangeDuringAWholeRead(t *testing.T) {
	for name, reread := range map[string]bool{"first read": false, "later read": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log Log
				if reread {
					log.Append(table.Changes{Revision: 90, AsOf: clock.Now()})
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				watcher := table.NewWatcher(changedDuringRead{}, func(changes table.Changes, _ bool) { log.Append(changes) })
				go watcher.Run(ctx)
				synctest.Wait()
				for _, revision := range []uint64{95, 100, 102, 104} {
					changes, err := log.After(ctx, revision, 0)
					if errors.Is(err, ErrBehind) {
						continue
					}
					got := slices.ContainsFunc(changes.Changes, func(c table.Change) bool { return c.Version == rowX.Version })
					if err != nil || !got {
						t.Errorf("a follower at version %d gets %d changes up to %d without that of version %d, error %v", revision, len(changes.Changes), changes.Revision, rowX.Version, err)
					}
				}
				for _, revision := range []uint64{105, 106} {
					changes, err := log.After(ctx, revision, 0)
					if err != nil || len(changes.Changes) != 1 || changes.Changes[0].Version != rowY.Version {
						t.Errorf("a follower at version %d gets %+v, error %v", revision, changes.Changes, err)
					}
				}
			})
		})
	}
}

// slowPages is the feed of a store with a clock of its own and a whole read of two pages, the second of which
// is slow to be asked for and to arrive.
type slowPages struct {
	start time.Time
	delay time.Duration
}

func (f slowPages) changes() table.Changes {
	return table.Changes{Revision: 1, Now: time.Hour + clock.Since(f.start)}
}

func (f slowPages) Page(_ context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	if cursor.Part == 0 {
		return f.changes(), table.Cursor{Part: 1}, nil
	}
	time.Sleep(f.delay)
	page := f.changes()
	time.Sleep(f.delay)
	return page, table.Cursor{Part: 2, Done: true}, nil
}

func (f slowPages) After(ctx context.Context, _ uint64, _ time.Duration) (table.Changes, error) {
	<-ctx.Done()
	return table.Changes{}, ctx.Err()
}

// TestFeed_NowIsNotAheadOfTheStore guards against followers whose estimate of the store's clock is ahead of it:
// items would expire before their retention has passed.
func TestFeed_NowIsNotAheadOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log Log
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := slowPages{start: clock.Now(), delay: 900 * time.Millisecond}
		watcher := table.NewWatcher(store, func(changes table.Changes, _ bool) { log.Append(changes) })
		go watcher.Run(ctx)
		time.Sleep(2*store.delay + time.Millisecond)
		feed := &Feed{
			Role: func() Role { return Role{Follows: []string{"a"}} },
			Ask: func(ctx context.Context, _ string, revision uint64, wait time.Duration) (Answer, error) {
				changes, err := log.After(ctx, revision, wait)
				return Answer{Changes: changes, Stamp: clock.Since(store.start), Age: clock.Since(changes.AsOf)}, err
			},
		}
		changes, err := feed.After(ctx, 1, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if ahead := changes.Now - store.changes().Now; ahead > 0 || ahead < -2*store.delay {
			t.Errorf("the estimate of the store's clock is %v ahead", ahead)
		}
	})
}

// TestFeed_AnswersAreAsOldAsTheRelaySays guards against a follower that takes an answer for younger than it is: one
// whose age is left out, one that arrives late, and one of another relay, or of the same one after a restart,
// whose clock is ahead of or behind the one that was measured.
func TestFeed_AnswersAreAsOldAsTheRelaySays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const age = 200 * time.Millisecond
		start := clock.Now()
		clocks := map[string]time.Duration{"a": time.Hour, "b": time.Hour + 300*time.Millisecond}
		relays := []string{"a"}
		var delay time.Duration
		var complete time.Time
		feed := &Feed{
			Role: func() Role { return Role{Follows: relays} },
			Ask: func(_ context.Context, relay string, _ uint64, wait time.Duration) (Answer, error) {
				time.Sleep(wait)
				complete = clock.Now().Add(-age)
				stamp := clocks[relay] + clock.Since(start)
				time.Sleep(delay)
				return Answer{Changes: table.Changes{Revision: 1}, Stamp: stamp, Age: age}, nil
			},
		}
		ask := func(step string, relay string, late, exact time.Duration) {
			t.Helper()
			relays[0], delay = relay, late
			changes, err := feed.After(t.Context(), 1, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			if ahead := changes.AsOf.Sub(complete); ahead > 0 || ahead < -exact {
				t.Errorf("%s: as of %v after the time that the relay states", step, ahead)
			}
		}
		const exact, wait = 2 * time.Millisecond, time.Second
		ask("first answer, late", "a", 400*time.Millisecond, exact)
		ask("late answer after a wait", "a", 400*time.Millisecond, exact)
		ask("other relay, clock ahead", "b", 400*time.Millisecond, exact)
		ask("other relay, late answer", "b", 400*time.Millisecond, exact)
		ask("back at the first one", "a", 400*time.Millisecond, exact)
		clocks["a"] = 0
		ask("after a restart", "a", 400*time.Millisecond, wait)
		ask("late answer after a restart", "a", 400*time.Millisecond, wait)
	})
}

// TestLog_IncompleteAnswerMakesNothingYounger guards against followers that take a relay's state for recent though
// the store has told the relay that there is more to read.
func TestLog_IncompleteAnswerMakesNothingYounger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log Log
		read := clock.Now()
		log.Append(table.Changes{Revision: 100, AsOf: read})
		time.Sleep(time.Second)
		log.Append(table.Changes{Revision: 105, AsOf: clock.Now(), Changes: []table.Change{rowX}, More: true})
		changes, err := log.After(t.Context(), 100, 0)
		if err != nil || len(changes.Changes) != 1 || !changes.AsOf.Equal(read) {
			t.Errorf("%d changes as of %v after the whole read, %v", len(changes.Changes), changes.AsOf.Sub(read), err)
		}
	})
}
