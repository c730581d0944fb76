package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// countingTable counts the rows that are asked for, and answers after delay with fail, if set.
type countingTable struct {
	table.Service
	delay time.Duration
	fail  error
	reads atomic.Int64
}

func (a *countingTable) Get(ctx context.Context, key table.Key) (table.Row, error) {
	a.reads.Add(1)
	select {
	case <-ctx.Done():
		return table.Row{}, outcome.Undecided(ctx.Err())
	case <-time.After(a.delay):
	}
	if a.fail != nil {
		return table.Row{}, a.fail
	}
	return a.Service.Get(ctx, key)
}

// TestEnsureFresh_ChangeBetweenWaitAndAnswer has the feed come back just when a reader's wait is
// over: its view is young again, and the job must not be answered as it was before. It was for
// 162 of 300 readers.
func TestEnsureFresh_ChangeBetweenWaitAndAnswer(t *testing.T) {
	withStaleReader(t, func(t *testing.T, _ *tabletest.Table, lister *Service, reader *readerNode) {
		listOne(t, lister, "job", 1)
		time.Sleep(5 * maxStaleness)
		before := reader.View.Get("job")
		reader.feed.stalled.Store(false)
		time.Sleep(3 * maxStaleness)
		entry, err := reader.ensureFresh(t.Context(), before, 1)
		if err != nil || len(entry.Progress.Listed) != 2 {
			t.Fatalf("%d listed, %v; the view has %d", len(entry.Progress.Listed), err, len(reader.View.Get("job").Progress.Listed))
		}
	})
}

func TestEnsureFresh_ReadersShareARefresh(t *testing.T) {
	withStaleReader(t, func(t *testing.T, shared *tabletest.Table, _ *Service, reader *readerNode) {
		counting := &countingTable{Service: shared, delay: 100 * time.Millisecond}
		reader.Table = counting
		time.Sleep(2 * maxStaleness)
		answers := make(chan error)
		for range 20 {
			go func() {
				_, err := reader.Read(t.Context(), "job", 1, 0)
				answers <- err
			}()
		}
		for range 20 {
			if err := <-answers; err != nil {
				t.Error(err)
			}
		}
		if count := counting.reads.Load(); count != 1 {
			t.Errorf("the table was asked %d times for 20 readers of a job", count)
		}
	})
}

// TestEnsureFresh_RefreshOutlivesTheFirstReader has the first reader leave: the others have their answer.
func TestEnsureFresh_RefreshOutlivesTheFirstReader(t *testing.T) {
	withStaleReader(t, func(t *testing.T, shared *tabletest.Table, _ *Service, reader *readerNode) {
		counting := &countingTable{Service: shared, delay: 300 * time.Millisecond}
		reader.Table = counting
		time.Sleep(2 * maxStaleness)
		ctx, leave := context.WithCancel(t.Context())
		go func() { _, _ = reader.Read(ctx, "job", 1, 0) }()
		synctest.Wait()
		second := make(chan error)
		go func() {
			_, err := reader.Read(t.Context(), "job", 1, 0)
			second <- err
		}()
		synctest.Wait()
		leave()
		if err := <-second; err != nil || counting.reads.Load() != 1 {
			t.Errorf("%v, asked %d times", err, counting.reads.Load())
		}
	})
}

// TestEnsureFresh_EndedJobIsNotRefreshed guards the calls: it gets no more results.
func TestEnsureFresh_EndedJobIsNotRefreshed(t *testing.T) {
	withStaleReader(t, func(t *testing.T, shared *tabletest.Table, _ *Service, reader *readerNode) {
		if err := reader.End(t.Context(), "job"); err != nil {
			t.Fatal(err)
		}
		counting := &countingTable{Service: shared}
		reader.Table = counting
		time.Sleep(2 * maxStaleness)
		reading, err := reader.Read(t.Context(), "job", 1, 0)
		if err != nil || len(reading.Results) != 0 || counting.reads.Load() != 0 {
			t.Errorf("%+v, %v, asked %d times", reading, err, counting.reads.Load())
		}
	})
}

// TestEnsureFresh_UnreadableRow guards that nobody is sure where the answer of the table cannot be
// read: versions that could be may have come and gone while the view was old.
func TestEnsureFresh_UnreadableRow(t *testing.T) {
	withStaleReader(t, func(t *testing.T, shared *tabletest.Table, lister *Service, reader *readerNode) {
		listOne(t, lister, "job", 1)
		overwrite(t, shared, progressKey("job"), damage)
		time.Sleep(maxStaleness)
		reading, err := reader.Read(t.Context(), "job", 1, 0)
		if !errors.Is(err, ErrUnavailable) || !errors.Is(err, ErrUnreadable) {
			t.Errorf("%+v, %v", reading, err)
		}
	})
}

// TestView_AsOfTheNewestCompleteAnswer guards the age of a view: answers that come out of order, or
// that are not all of the news, make it no younger and no older.
func TestView_AsOfTheNewestCompleteAnswer(t *testing.T) {
	now := time.Now()
	view := NewView()
	for _, answer := range []struct {
		given time.Time
		more  bool
		want  time.Time
	}{
		{now, true, time.Time{}},
		{now, false, now},
		{now.Add(-time.Second), false, now},
		{now.Add(time.Second), true, now},
		{now.Add(time.Second), false, now.Add(time.Second)},
	} {
		view.Apply(table.Changes{AsOf: answer.given, More: answer.more}, false)
		if got := view.AsOf(); !got.Equal(answer.want) {
			t.Errorf("as of %v after %+v", got, answer)
		}
	}
}

// TestEnsureFresh_BeforeAWaitIfTheFeedIsStalled guards that a reader does not wait a second
// for news that cannot come by the feed.
func TestEnsureFresh_BeforeAWaitIfTheFeedIsStalled(t *testing.T) {
	withStaleReader(t, func(t *testing.T, _ *tabletest.Table, lister *Service, reader *readerNode) {
		listOne(t, lister, "job", 1)
		time.Sleep(stalledFeedAge)
		start := time.Now()
		reading, err := reader.Read(t.Context(), "job", 1, maxStaleness)
		if err != nil || len(reading.Results) != 1 || time.Since(start) > 0 {
			t.Errorf("%+v, %v after %v", reading, err, time.Since(start))
		}
	})
}

// TestEnsureFresh_RateIsLimited has readers of 2,000 jobs come twice a second to a node whose feed
// stands still. Without a bound a table that refuses was asked 960 times a second for 200.
func TestEnsureFresh_RateIsLimited(t *testing.T) {
	const jobCount, seconds = 2000, 5
	for name, fail := range map[string]error{"answers": nil, "refuses": outcome.Failed(table.ErrThrottled)} {
		t.Run(name, func(t *testing.T) {
			withStaleReader(t, func(t *testing.T, shared *tabletest.Table, _ *Service, reader *readerNode) {
				counting := &countingTable{Service: shared, delay: 5 * time.Millisecond, fail: fail}
				reader.Table = counting
				time.Sleep(2 * maxStaleness)
				job := reader.View.Get("job").Job
				for i := range jobCount {
					id := fmt.Sprint("job", i)
					copied := *job
					copied.ID = id
					reader.View.Put(table.Row{Key: jobKey(id), Version: 1, Body: encode(copied)}, table.Row{Key: progressKey(id), Version: 1, Body: encode(&Progress{})})
					go func() {
						for range 2 * seconds {
							_, _ = reader.Read(t.Context(), id, 1, 0)
							time.Sleep(time.Second / 2)
						}
					}()
				}
				time.Sleep(seconds * time.Second)
				if count := counting.reads.Load(); count > fleetRefreshRate*(seconds+1) || count < fleetRefreshRate*seconds/2 {
					t.Errorf("the table was asked %d times in %d s", count, seconds)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestSubmit_ResentToANodeWithAnOldView has a job come again at a node whose view is old and full: it was
// accepted elsewhere, and items have been listed since. It must not be refused as one that never
// runs, nor another as one for which there is no room.
func TestSubmit_ResentToANodeWithAnOldView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		shared := tabletest.New()
		lister, reader := startReaderNode(ctx, shared), startReaderNode(ctx, shared)
		synctest.Wait()
		if err := lister.Submit(ctx, limited("old", 4, 500)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * maxStaleness)
		reader.feed.stalled.Store(true)
		time.Sleep(2 * maxStaleness)
		for item := range 4 {
			listOne(t, lister.Service, "old", item)
		}
		if err := lister.Submit(ctx, limited("again", 2, 500)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(maxStaleness)
		if err := reader.Submit(ctx, limited("again", 2, 500)); err != nil {
			t.Errorf("a job that was accepted elsewhere: %v", err)
		}
		err := reader.Submit(ctx, limited("other", 2, 500))
		if !errors.Is(err, ErrNotAccepted) || errors.Is(err, ErrQuota) {
			t.Errorf("a job that fits by what has been listed since: %v", err)
		}
		shared.ReadFault = func() error { return outcome.Undecided(table.ErrUnavailable) }
		callCtx, end := context.WithTimeout(ctx, 2*maxStaleness)
		defer end()
		if err := reader.Submit(callCtx, limited("unheard", 2, 500)); !errors.Is(err, ErrUndecided) {
			t.Errorf("a job of which nobody can tell: %v", err)
		}
	})
}
