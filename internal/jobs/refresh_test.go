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

// countingTable counts reads of rows, and answers them after delay, with fail if it is set.
type countingTable struct {
	table.Service
	delay time.Duration
	fail  error
	reads atomic.Int64
}

func (c *countingTable) Get(ctx context.Context, key table.Key) (table.Row, error) {
	c.reads.Add(1)
	select {
	case <-ctx.Done():
		return table.Row{}, outcome.AsUnknown(ctx.Err())
	case <-time.After(c.delay):
	}
	if c.fail != nil {
		return table.Row{}, c.fail
	}
	return c.Service.Get(ctx, key)
}

// TestEnsureFresh_ChangeBetweenWaitAndAnswer lets the feed recover just when a reader's wait is
// over. The view is recent again, so the reader must not get the state from before.
func TestEnsureFresh_ChangeBetweenWaitAndAnswer(t *testing.T) {
	withStaleReader(t, func(t *testing.T, _ *tabletest.Table, lister *Service, reader *readerNode) {
		listOne(t, lister, "job", 1)
		time.Sleep(5 * maxStaleness)
		before := reader.View.Get("job")
		reader.feed.stalled.Store(false)
		time.Sleep(3 * maxStaleness)
		entry, _, err := reader.ensureFresh(t.Context(), before, 1)
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
			t.Errorf("%d reads of the table for 20 readers of a job, want 1", count)
		}
	})
}

// TestEnsureFresh_RefreshOutlivesTheFirstReader cancels the first reader: the others must still get
// their answer.
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
			t.Errorf("%v, %d reads of the table", err, counting.reads.Load())
		}
	})
}

// TestEnsureFresh_EndedJobIsNotRefreshed guards against needless calls: an ended job gets no more
// results.
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
			t.Errorf("%+v, %v, %d reads of the table", reading, err, counting.reads.Load())
		}
	})
}

// TestEnsureFresh_UnreadableRow guards that an unreadable row makes the state unknown: readable
// versions may have been written and overwritten while the view was old.
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

// TestView_AsOfTheNewestCompleteAnswer guards the age of a view against answers that are out of
// order or incomplete.
func TestView_AsOfTheNewestCompleteAnswer(t *testing.T) {
	now := time.Now()
	view := NewView()
	for _, answer := range []struct {
		asOf time.Time
		more bool
		want time.Time
	}{
		{now, true, time.Time{}},
		{now, false, now},
		{now.Add(-time.Second), false, now},
		{now.Add(time.Second), true, now},
		{now.Add(time.Second), false, now.Add(time.Second)},
	} {
		view.Apply(table.Changes{AsOf: answer.asOf, More: answer.more}, false)
		if got := view.AsOf(); !got.Equal(answer.want) {
			t.Errorf("as of %v after %+v", got, answer)
		}
	}
}

// TestEnsureFresh_BeforeAWaitIfTheFeedIsStalled guards that a reader does not wait for changes that
// a stalled feed cannot bring.
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

// TestEnsureFresh_RateIsLimited lets readers of 2,000 jobs read twice a second at a node whose feed
// is stalled: the calls to the table must stay limited, also if it throttles them.
func TestEnsureFresh_RateIsLimited(t *testing.T) {
	const jobCount, seconds = 2000, 5
	for name, fail := range map[string]error{"answers": nil, "refuses": outcome.AsNotDone(table.ErrThrottled)} {
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
					t.Errorf("%d reads of the table in %d s", count, seconds)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestSubmit_ResentToANodeWithAnOldView sends a job again to a node with an old view and a full
// quota. The job was accepted elsewhere and items have been listed since, so it must be accepted,
// and another job must not be refused for the quota.
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
			t.Errorf("a job that fits after the latest results: %v", err)
		}
		shared.ReadFault = func() error { return outcome.AsUnknown(table.ErrUnavailable) }
		callCtx, end := context.WithTimeout(ctx, 2*maxStaleness)
		defer end()
		if err := reader.Submit(callCtx, limited("unknown", 2, 500)); !errors.Is(err, ErrUnknownOutcome) {
			t.Errorf("a job of unknown state: %v", err)
		}
	})
}

// leavingTable makes a job leave the view while its progress is read for the first time.
type leavingTable struct {
	table.Service
	view *View
	left atomic.Bool
}

func (l *leavingTable) Get(ctx context.Context, key table.Key) (table.Row, error) {
	if key == progressKey("job") && !l.left.Swap(true) {
		removed := table.Change{Row: table.Row{Key: jobKey("job")}, Removed: true}
		l.view.Apply(table.Changes{Changes: []table.Change{removed}}, false)
	}
	return l.Service.Get(ctx, key)
}

// TestEnsureFresh_JobLeavesTheViewMeanwhile guards against a reader who is answered from the state
// before the read of the table, because the job left the view during the read.
func TestEnsureFresh_JobLeavesTheViewMeanwhile(t *testing.T) {
	withStaleReader(t, func(t *testing.T, shared *tabletest.Table, lister *Service, reader *readerNode) {
		listOne(t, lister, "job", 1)
		time.Sleep(maxStaleness)
		reader.Table = &leavingTable{Service: shared, view: reader.View}
		reading, err := reader.Read(t.Context(), "job", 1, 0)
		if err != nil || len(reading.Results) != 1 {
			t.Errorf("a result listed %v ago: %+v, %v", maxStaleness, reading, err)
		}
	})
}
