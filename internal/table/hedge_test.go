package table_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	usualPageTime = 20 * time.Millisecond
	// maxPageCalls is the number of calls for a page that may be outstanding.
	maxPageCalls = 3
)

// connFeed is a feed whose pages are read over connections. A call takes an idle connection if there is
// one and the call does not request a new one. An answer that is lost ends all answers of its connection.
type connFeed struct {
	mu sync.Mutex
	// pageTime is the time that a page takes, pages the number of pages.
	pageTime time.Duration
	pages    int
	// silentUntil is until when all answers are lost.
	silentUntil time.Time
	// refuse, if set, decides by the number of a call whether it is refused at once.
	refuse func(call int) bool
	// idle holds the idle connections, as whether they answer.
	idle []bool
	// calledAt are the times of all calls.
	calledAt []time.Time
	// outstanding holds the contexts of the calls that have not returned. Those that are cancelled do not
	// count in maxOutstanding.
	outstanding    []context.Context
	maxOutstanding int
}

func (f *connFeed) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	answers, pageTime, err := f.begin(ctx)
	defer f.end(ctx)
	switch {
	case err != nil:
		return table.Changes{}, cursor, err
	case !answers:
		pageTime = time.Hour
	}
	select {
	case <-ctx.Done():
		return table.Changes{}, cursor, ctx.Err()
	case <-time.After(pageTime):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle = append(f.idle, true)
	next := table.Cursor{Part: cursor.Part + 1}
	next.Done = next.Part >= f.pages
	return table.Changes{Revision: 1}, next, nil
}

// begin records a call. It returns whether the call is answered and the time that it takes.
func (f *connFeed) begin(ctx context.Context) (answers bool, pageTime time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calledAt = append(f.calledAt, time.Now())
	f.outstanding = append(f.outstanding, ctx)
	live := 0
	for _, call := range f.outstanding {
		if call.Err() == nil {
			live++
		}
	}
	f.maxOutstanding = max(f.maxOutstanding, live)
	if f.refuse != nil && f.refuse(len(f.calledAt)) {
		return false, 0, table.ErrThrottled
	}
	answers = true
	if last := len(f.idle) - 1; last >= 0 && !table.NewConnectionRequested(ctx) {
		answers, f.idle = f.idle[last], f.idle[:last]
	}
	return answers && !time.Now().Before(f.silentUntil), f.pageTime, nil
}

func (f *connFeed) end(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outstanding = slices.DeleteFunc(f.outstanding, func(call context.Context) bool { return call == ctx })
}

func (f *connFeed) After(ctx context.Context, _ uint64, _ time.Duration) (table.Changes, error) {
	<-ctx.Done()
	return table.Changes{}, ctx.Err()
}

// callTimes returns the times of all calls since start.
func (f *connFeed) callTimes(start time.Time) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var times []time.Duration
	for _, at := range f.calledAt {
		times = append(times, at.Sub(start))
	}
	return times
}

// page reads the first page. It returns the time that it took and the number of calls made for it.
func page(t *testing.T, feed *table.HedgedFeed) (took time.Duration, calls int) {
	t.Helper()
	service := feed.Feed.(*connFeed)
	start, before := time.Now(), len(service.callTimes(time.Now()))
	answer, _, err := feed.Page(t.Context(), table.Cursor{})
	if err != nil {
		t.Fatal(err)
	}
	took = time.Since(start)
	// A call may have begun at the same moment.
	synctest.Wait()
	calls = len(service.callTimes(start)) - before
	if answer.Repeated != calls-1 {
		t.Errorf("Repeated is %d after %d calls", answer.Repeated, calls)
	}
	return took, calls
}

// Guards against additional load on a service that answers in time.
func TestHedgedFeed_QuickPageIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &table.HedgedFeed{Feed: &connFeed{pageTime: usualPageTime}}
		for range 100 {
			if took, calls := page(t, feed); took != usualPageTime || calls != 1 {
				t.Fatalf("a page took %v and %d calls", took, calls)
			}
		}
	})
}

// Guards against a second call that is lost like the first because it is made on a connection that
// stopped answering at the same time.
func TestHedgedFeed_SecondCallUsesNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &connFeed{pageTime: usualPageTime}
		feed := &table.HedgedFeed{Feed: service}
		page(t, feed)
		service.idle = make([]bool, 16)
		if took, calls := page(t, feed); took > 300*time.Millisecond || calls != 2 {
			t.Errorf("a page took %v and %d calls after all connections had stopped answering", took, calls)
		}
	})
}

// Guards against pages that are never read because they take longer than a call may, and against
// additional load on a service that is slow because of its load.
func TestHedgedFeed_SlowServiceIsRead(t *testing.T) {
	const pages = 5
	for _, pageTime := range []time.Duration{900 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 3900 * time.Millisecond} {
		for _, fastBefore := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				service := &connFeed{pageTime: usualPageTime}
				feed := &table.HedgedFeed{Feed: service}
				if fastBefore {
					page(t, feed)
				}
				service.pageTime = pageTime
				took, calls := page(t, feed)
				t.Logf("pages of %v, fast before %t: %d calls for the first", pageTime, fastBefore, calls)
				firstCalls := 3
				if fastBefore {
					firstCalls = 6
				}
				if took != pageTime || calls > firstCalls {
					t.Errorf("the first page took %v and %d calls, want %v and at most %d calls", took, calls, pageTime, firstCalls)
				}
				for range pages - 1 {
					if took, calls := page(t, feed); took != pageTime || calls != 1 {
						t.Errorf("a later page took %v and %d calls, want %v and one call", took, calls, pageTime)
					}
				}
				synctest.Wait()
				if service.maxOutstanding > maxPageCalls || len(service.outstanding) != 0 {
					t.Errorf("%d calls at the same time, %d after the last page", service.maxOutstanding, len(service.outstanding))
				}
			})
		}
	}
}

// Guards against a start of many nodes at the same time that is made slower by calls repeated too soon:
// until a page has been read, it is asked for again no sooner and hardly more often than with a
// timeout of one second that doubles up to four seconds.
func TestWatcher_FirstPageIsRepeatedSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		service := &connFeed{pageTime: usualPageTime, silentUntil: start.Add(time.Minute)}
		ctx, cancel := context.WithCancel(t.Context())
		go table.NewWatcher(&table.HedgedFeed{Feed: service}, func(table.Changes, bool) {}).Run(ctx)
		time.Sleep(19 * time.Second)
		cancel()
		synctest.Wait()
		for i, want := range []time.Duration{0, 1, 3, 4, 8, 12, 16} {
			times := service.callTimes(start)
			if len(times) != 7 || times[i].Truncate(10*time.Millisecond) != want*time.Second {
				t.Fatalf("calls at %v", times)
			}
		}
	})
}

// Guards against calls that load a service in a long outage, and against a count of lost calls that
// leaves some out.
func TestWatcher_CallsInLongOutageAreBounded(t *testing.T) {
	const calm, outage = time.Second, 60 * time.Second
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		service := &connFeed{pageTime: usualPageTime, pages: 4}
		watcher := table.NewWatcher(&table.HedgedFeed{Feed: service}, func(table.Changes, bool) {})
		var read table.WholeRead
		watcher.OnReread = func(whole table.WholeRead) { read = whole }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go watcher.Run(ctx)
		time.Sleep(calm)
		synctest.Wait()
		service.silentUntil = start.Add(calm + outage)
		watcher.Refresh()
		before := len(service.callTimes(start))
		time.Sleep(outage + 5*time.Second)
		synctest.Wait()
		calls := service.callTimes(start)[before:]
		inOutage := slices.IndexFunc(calls, func(at time.Duration) bool { return at >= calm+outage })
		t.Logf("%d calls in an outage of %v", inOutage, outage)
		if limit := int(outage/time.Second) + 3; inOutage > limit {
			t.Errorf("%d calls in an outage of %v, at most %d allowed", inOutage, outage, limit)
		}
		if service.maxOutstanding > maxPageCalls {
			t.Errorf("%d calls at the same time", service.maxOutstanding)
		}
		if read.Pages != service.pages || read.Failures != len(calls)-service.pages {
			t.Errorf("%d calls reported as %+v", len(calls), read)
		}
	})
}

// Guards against calls that go on after the watcher has ended.
func TestHedgedFeed_CancellationEndsAllCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &connFeed{pageTime: usualPageTime}
		feed := &table.HedgedFeed{Feed: service}
		page(t, feed)
		service.silentUntil = time.Now().Add(time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		answer, _, err := feed.Page(ctx, table.Cursor{})
		synctest.Wait()
		if !errors.Is(err, context.DeadlineExceeded) || answer.Repeated != 2 || len(service.outstanding) != 0 {
			t.Errorf("error %v after %d further calls, %d outstanding", err, answer.Repeated, len(service.outstanding))
		}
	})
}

// Guards against a refused call that is repeated without the watcher's pause, and against one that
// ends an earlier call which the service is about to answer.
func TestHedgedFeed_RefusedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &connFeed{pageTime: usualPageTime}
		feed := &table.HedgedFeed{Feed: service}
		page(t, feed)
		service.refuse = func(call int) bool { return call == 2 }
		if _, _, err := feed.Page(t.Context(), table.Cursor{}); !errors.Is(err, table.ErrThrottled) || len(service.calledAt) != 2 {
			t.Errorf("a refused page: error %v after %d calls", err, len(service.calledAt)-1)
		}
		service.pageTime = time.Second
		service.refuse = func(call int) bool { return call > 3 }
		if took, calls := page(t, feed); took != time.Second || calls != 3 {
			t.Errorf("a page whose repeated calls are refused took %v and %d calls", took, calls)
		}
	})
}

// Guards against a whole read that never reports that the service refuses all calls.
func TestWatcher_RefusedPagesEndTheRead(t *testing.T) {
	const maxFailures = 20
	synctest.Test(t, func(t *testing.T) {
		service := &connFeed{refuse: func(int) bool { return true }}
		watcher := table.NewWatcher(&table.HedgedFeed{Feed: service}, func(table.Changes, bool) {})
		lost := make(chan int, 1)
		watcher.OnLost = func(error) { lost <- len(service.callTimes(time.Time{})) }
		ctx, cancel := context.WithCancel(t.Context())
		go watcher.Run(ctx)
		if calls := <-lost; calls != maxFailures+1 {
			t.Errorf("the read ended after %d refused calls, want %d", calls, maxFailures+1)
		}
		cancel()
		synctest.Wait()
	})
}
