package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// silentStore is a feed that forgets its history at the start of an outage and leaves all calls that
// are made in the outage without an answer, also after its end. Other pages take pageTime.
type silentStore struct {
	outageStart, outageEnd time.Time
	compacted              atomic.Bool
	// pages counts the calls for pages made in the outage.
	pages atomic.Int64
}

const silentStorePageTime = 20 * time.Millisecond

func (s *silentStore) silent() bool {
	now := time.Now()
	return !now.Before(s.outageStart) && now.Before(s.outageEnd)
}

func (s *silentStore) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	if s.silent() {
		s.pages.Add(1)
		<-ctx.Done()
		return table.Changes{}, cursor, ctx.Err()
	}
	time.Sleep(silentStorePageTime)
	return table.Changes{Revision: 1}, table.Cursor{Done: true}, nil
}

func (s *silentStore) After(ctx context.Context, _ uint64, wait time.Duration) (table.Changes, error) {
	if !time.Now().Before(s.outageStart) && s.compacted.CompareAndSwap(false, true) {
		return table.Changes{}, table.ErrCompacted
	}
	select {
	case <-ctx.Done():
		return table.Changes{}, ctx.Err()
	case <-time.After(min(wait, 100*time.Millisecond)):
		return table.Changes{Revision: 1}, nil
	}
}

// TestFeed_WholeReadEndsSoonAfterOutage guards against views that stand still for seconds after the
// store answers again, because each node waits for a page that was lost in the outage.
func TestFeed_WholeReadEndsSoonAfterOutage(t *testing.T) {
	const calm, allowed = 2 * time.Second, 1200 * time.Millisecond
	for outage := 500 * time.Millisecond; outage <= 13*time.Second; outage += 250 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				store := &silentStore{outageStart: start.Add(calm), outageEnd: start.Add(calm + outage)}
				late := store.readAfterOutage(t)
				t.Logf("%d pages asked in the outage", store.pages.Load())
				if late > allowed {
					t.Errorf("whole read ended %v after the outage, at most %v allowed", late, allowed)
				}
			})
		})
	}
}

// readAfterOutage follows the store's feed as a gateway does. It returns when the whole read that the
// outage requires ended, as the time since the outage.
func (s *silentStore) readAfterOutage(t *testing.T) time.Duration {
	t.Helper()
	const patience = 5 * time.Second
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	readAt := make(chan time.Time, 1)
	watcher := table.NewWatcher(newRelays(0, nil).feed(jobGroup, s), func(table.Changes, bool) {})
	watcher.OnReread = func(table.WholeRead) { readAt <- time.Now() }
	go watcher.Run(ctx)
	select {
	case at := <-readAt:
		return at.Sub(s.outageEnd)
	case <-time.After(time.Until(s.outageEnd) + patience):
		t.Fatalf("no whole read within %v after the outage", patience)
		return 0
	}
}
