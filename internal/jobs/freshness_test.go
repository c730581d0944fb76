package jobs

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// TestRead_UnavailableIfTheTableDoesNotAnswer guards that an old view is not taken for the truth
// where the table does not answer either: then nobody knows whether there is a result.
func TestRead_UnavailableIfTheTableDoesNotAnswer(t *testing.T) {
	withStaleReader(t, func(t *testing.T, shared *tabletest.Table, lister *Service, reader *readerNode) {
		listOne(t, lister, "job", 1)
		time.Sleep(maxStaleness)
		shared.ReadFault = func() error { return outcome.Undecided(table.ErrUnavailable) }
		ctx, cancel := context.WithTimeout(t.Context(), 2*maxStaleness)
		defer cancel()
		reading, err := reader.Read(ctx, "job", 1, 0)
		if !errors.Is(err, ErrUnavailable) {
			t.Fatalf("a view that is %v old answers %+v, %v", maxStaleness, reading, err)
		}
	})
}

// TestRead_FullReadIsAsOldAsItsFirstPage guards the age of a view that was read in pages:
// what was listed after the first page, and before the last, is not in it.
func TestRead_FullReadIsAsOldAsItsFirstPage(t *testing.T) {
	withStaleReader(t, func(t *testing.T, _ *tabletest.Table, lister *Service, reader *readerNode) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		slow := &slowPages{Feed: reader.feed.Feed, page: 3 * maxStaleness}
		view := NewView()
		go table.NewWatcher(slow, view.Apply).Run(ctx)
		time.Sleep(maxStaleness)
		listOne(t, lister, "job", 1)
		time.Sleep(2*maxStaleness + maxStaleness/2)
		reader.View = view
		reading, err := reader.Read(t.Context(), "job", 1, 0)
		if err != nil || len(reading.Results) != 1 {
			t.Fatalf("a result listed during a whole read: %+v, %v", reading, err)
		}
	})
}

// slowPages answers the whole group with the first page, and takes its time for a second
// one that holds nothing. Changes after it come late.
type slowPages struct {
	table.Feed
	page time.Duration
}

func (f *slowPages) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	if cursor.Part == 0 {
		changes, _, err := f.Feed.Page(ctx, cursor)
		return changes, table.Cursor{Part: 1}, err
	}
	time.Sleep(f.page)
	changes, _, err := f.Feed.Page(ctx, cursor)
	changes.Changes = nil
	return changes, table.Cursor{Done: true}, err
}

func (f *slowPages) After(ctx context.Context, _ uint64, _ time.Duration) (table.Changes, error) {
	<-ctx.Done()
	return table.Changes{}, outcome.Undecided(ctx.Err())
}

// TestRead_DelayedAnswerIsOld guards that the age of a view counts from when the
// source knew it, not from when its answer came: a slow connection brings old news.
func TestRead_DelayedAnswerIsOld(t *testing.T) {
	withStaleReader(t, func(t *testing.T, _ *tabletest.Table, lister *Service, reader *readerNode) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		delayed := &delayedFeed{Feed: reader.feed.Feed}
		view := NewView()
		go table.NewWatcher(delayed, view.Apply).Run(ctx)
		time.Sleep(maxStaleness)
		delayed.delay.Store(int64(2 * maxStaleness))
		time.Sleep(3 * maxStaleness)
		listOne(t, lister, "job", 1)
		time.Sleep(maxStaleness + maxStaleness/4)
		reader.View = view
		reading, err := reader.Read(t.Context(), "job", 1, 0)
		if err != nil || len(reading.Results) != 1 {
			t.Fatalf("a result whose news is on its way: %+v, %v", reading, err)
		}
	})
}

// delayedFeed brings each answer a while after it was given.
type delayedFeed struct {
	table.Feed
	delay atomic.Int64
}

func (f *delayedFeed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	changes, err := f.Feed.After(ctx, revision, min(wait, 100*time.Millisecond))
	select {
	case <-ctx.Done():
		return table.Changes{}, outcome.Undecided(ctx.Err())
	case <-time.After(time.Duration(f.delay.Load())):
		return changes, err
	}
}

// delayedTable answers what it held when it was asked, a while later.
type delayedTable struct {
	table.Service
	delay time.Duration
}

func (s *delayedTable) Get(ctx context.Context, key table.Key) (table.Row, error) {
	row, err := s.Service.Get(ctx, key)
	select {
	case <-ctx.Done():
		return table.Row{}, outcome.Undecided(ctx.Err())
	case <-time.After(s.delay):
		return row, err
	}
}

// TestRead_EarlierRefreshIsNotReused guards readers that share a question: one
// who came later than the table looked, and than results may be missing for, asks again.
func TestRead_EarlierRefreshIsNotReused(t *testing.T) {
	withStaleReader(t, func(t *testing.T, shared *tabletest.Table, lister *Service, reader *readerNode) {
		reader.Table = &delayedTable{Service: shared, delay: refreshTimeout - time.Millisecond}
		reader.MaxStaleness = maxStaleness / 4
		time.Sleep(maxStaleness)
		first := make(chan *ReadResult)
		go func() {
			reading, _ := reader.Read(t.Context(), "job", 1, 0)
			first <- reading
		}()
		synctest.Wait()
		listOne(t, lister, "job", 1)
		time.Sleep(refreshTimeout - 10*time.Millisecond)
		reading, err := reader.Read(t.Context(), "job", 1, 0)
		if err != nil || len(reading.Results) != 1 {
			t.Errorf("a result listed %v ago, settled after %v: %+v, %v", refreshTimeout, reader.MaxStaleness, reading, err)
		}
		if reading := <-first; reading == nil {
			t.Error("the first reader had no answer")
		}
	})
}
