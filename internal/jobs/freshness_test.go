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

// TestRead_UnavailableIfTheTableDoesNotAnswer guards against answers from an old view while the
// table does not answer either, so that it is unknown whether there is a result.
func TestRead_UnavailableIfTheTableDoesNotAnswer(t *testing.T) {
	withStaleReader(t, func(t *testing.T, shared *tabletest.Table, lister *Service, reader *readerNode) {
		listOne(t, lister, "job", 1)
		time.Sleep(maxStaleness)
		shared.ReadFault = func() error { return outcome.AsUnknown(table.ErrUnavailable) }
		ctx, cancel := context.WithTimeout(t.Context(), 2*maxStaleness)
		defer cancel()
		reading, err := reader.Read(ctx, "job", 1, 0)
		if !errors.Is(err, ErrUnavailable) {
			t.Fatalf("read from a view that is %v old: %+v, %v", maxStaleness, reading, err)
		}
	})
}

// TestRead_FullReadIsAsOldAsItsFirstPage guards the age of a view read in pages: it lacks what was
// listed after the first page and before the last.
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
			t.Fatalf("a result listed during a full read: %+v, %v", reading, err)
		}
	})
}

// slowPages returns the whole group in the first page, and delays an empty second one. Later
// changes never arrive.
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
	return table.Changes{}, outcome.AsUnknown(ctx.Err())
}

// TestRead_DelayedAnswerIsOld guards that the age of a view counts from when the source produced
// the answer, not from when the answer arrived over a slow connection.
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
			t.Fatalf("a result whose change is delayed: %+v, %v", reading, err)
		}
	})
}

// delayedFeed delivers each answer a while after it was produced.
type delayedFeed struct {
	table.Feed
	delay atomic.Int64
}

func (f *delayedFeed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	changes, err := f.Feed.After(ctx, revision, min(wait, 100*time.Millisecond))
	select {
	case <-ctx.Done():
		return table.Changes{}, outcome.AsUnknown(ctx.Err())
	case <-time.After(time.Duration(f.delay.Load())):
		return changes, err
	}
}

// delayedTable returns a row some time after it was read.
type delayedTable struct {
	table.Service
	delay time.Duration
}

func (s *delayedTable) Get(ctx context.Context, key table.Key) (table.Row, error) {
	row, err := s.Service.Get(ctx, key)
	select {
	case <-ctx.Done():
		return table.Row{}, outcome.AsUnknown(ctx.Err())
	case <-time.After(s.delay):
		return row, err
	}
}

// TestRead_EarlierRefreshIsNotReused guards that a reader does not share a refresh that read the
// table before the reader came and may lack results: it reads the table again.
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
			t.Errorf("a result listed %v ago, with a staleness of %v: %+v, %v", refreshTimeout, reader.MaxStaleness, reading, err)
		}
		if reading := <-first; reading == nil {
			t.Error("the first reader got no answer")
		}
	})
}
