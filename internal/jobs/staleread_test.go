package jobs

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// maxStaleness is how long after a result was read at any node every node must show it.
const maxStaleness = time.Second

// stallingFeed hangs while it is stalled, as on a connection that lost an answer.
type stallingFeed struct {
	table.Feed
	stalled atomic.Bool
}

func (f *stallingFeed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	changes, err := f.Feed.After(ctx, revision, wait)
	if f.stalled.Load() {
		<-ctx.Done()
		return table.Changes{}, outcome.AsUnknown(ctx.Err())
	}
	return changes, err
}

func (f *stallingFeed) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	if f.stalled.Load() {
		<-ctx.Done()
		return table.Changes{}, cursor, outcome.AsUnknown(ctx.Err())
	}
	return f.Feed.Page(ctx, cursor)
}

// readerNode is a node whose view follows a feed that can stall.
type readerNode struct {
	*Service
	feed *stallingFeed
}

func startReaderNode(ctx context.Context, shared *tabletest.Table) *readerNode {
	node := &readerNode{feed: &stallingFeed{Feed: shared.Feed(Group)}}
	view := NewView()
	go table.NewWatcher(node.feed, view.Apply).Run(ctx)
	node.Service = &Service{
		Table: shared, Objects: &objecttest.Store{}, View: view, Events: noEvents{},
		Session: func(context.Context) (string, error) { return "reader#1", nil },
	}
	return node
}

// listOne lists the next item of a job at a node.
func listOne(t *testing.T, node *Service, id string, item int) {
	t.Helper()
	done := &task{owned: &ownedJob{job: node.View.Get(id).Job}, index: item, text: []byte("text")}
	if err := node.listResults(t.Context(), node.View.Get(id).Job, []*task{done}); err != nil {
		t.Fatal(err)
	}
}

// withStaleReader runs a test with a job of three items, one of them listed, that is known at two
// nodes, and a stalled feed at the second.
func withStaleReader(t *testing.T, test func(t *testing.T, shared *tabletest.Table, lister *Service, reader *readerNode)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		shared := tabletest.New()
		lister, reader := startReaderNode(ctx, shared), startReaderNode(ctx, shared)
		synctest.Wait()
		if err := lister.Submit(ctx, submission("job", 3)); err != nil {
			t.Fatal(err)
		}
		listOne(t, lister.Service, "job", 0)
		synctest.Wait()
		reader.feed.stalled.Store(true)
		test(t, shared, lister.Service, reader)
	})
}

// TestRead_ResultIsShownThoughTheFeedIsStalled guards against a node whose feed is stalled and that
// answers from its old view: it denied results that callers had read at other nodes, although the
// table answered.
func TestRead_ResultIsShownThoughTheFeedIsStalled(t *testing.T) {
	for name, wait := range map[string]time.Duration{"without waiting": 0, "waiting": maxStaleness} {
		t.Run(name, func(t *testing.T) {
			withStaleReader(t, func(t *testing.T, _ *tabletest.Table, lister *Service, reader *readerNode) {
				listOne(t, lister, "job", 1)
				time.Sleep(maxStaleness)
				reading, err := reader.Read(t.Context(), "job", 1, wait)
				if err != nil || len(reading.Results) != 1 {
					t.Fatalf("a result listed %v ago: %+v, %v", maxStaleness, reading, err)
				}
			})
		})
	}
}

// TestRead_SaysWhatTheAnswerWasMadeFrom guards against an answer that names a newer state than it was made
// from: an old view that has the position says its own version and age, and one that was refreshed says
// those of the row that was read.
func TestRead_SaysWhatTheAnswerWasMadeFrom(t *testing.T) {
	withStaleReader(t, func(t *testing.T, _ *tabletest.Table, lister *Service, reader *readerNode) {
		before, stalledAt := reader.View.Get("job").Version, reader.View.AsOf()
		listOne(t, lister, "job", 1)
		after := lister.View.Get("job").Version
		time.Sleep(2 * maxStaleness)
		old, err := reader.Read(t.Context(), "job", 0, 0)
		if err != nil || old.Version != before || !old.AsOf.Equal(stalledAt) {
			t.Errorf("position that the view has: %+v, %v, want version %d as of %v", old, err, before, stalledAt)
		}
		readAt := time.Now()
		refreshed, err := reader.Read(t.Context(), "job", 1, 0)
		if err != nil || refreshed.Version != after || !refreshed.AsOf.Equal(readAt) || after <= before {
			t.Errorf("position that the view lacks: %+v, %v, want version %d as of %v", refreshed, err, after, readAt)
		}
	})
}

// TestRead_NothingIsSaidOfAnUncertainState guards against an answer about a job whose newest progress nobody
// could confirm.
func TestRead_NothingIsSaidOfAnUncertainState(t *testing.T) {
	withStaleReader(t, func(t *testing.T, shared *tabletest.Table, _ *Service, reader *readerNode) {
		reader.Table = &countingTable{Service: shared, fail: outcome.AsUnknown(context.DeadlineExceeded)}
		time.Sleep(2 * maxStaleness)
		if reading, err := reader.Read(t.Context(), "job", 1, 0); reading != nil || !errors.Is(err, ErrUnavailable) {
			t.Errorf("%+v, %v", reading, err)
		}
	})
}

// TestView_OlderRowIsIgnored guards against a view that goes back because a row which was read for a reader arrives
// after a newer one came by the feed: the view counts as recent, and denies what it had shown.
func TestView_OlderRowIsIgnored(t *testing.T) {
	withStaleReader(t, func(t *testing.T, shared *tabletest.Table, lister *Service, reader *readerNode) {
		older, err := shared.Get(t.Context(), progressKey("job"))
		if err != nil {
			t.Fatal(err)
		}
		listOne(t, lister, "job", 1)
		newer, err := shared.Get(t.Context(), progressKey("job"))
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range []table.Row{newer, older} {
			reader.View.Put(row)
		}
		if entry := reader.View.Get("job"); entry.Version != newer.Version || len(entry.Progress.Listed) != 2 {
			t.Errorf("version %d with %d listed, want %d with 2", entry.Version, len(entry.Progress.Listed), newer.Version)
		}
		// A job row that arrives last brings the newest of the progress rows before it.
		job, err := shared.Get(t.Context(), jobKey("job"))
		if err != nil {
			t.Fatal(err)
		}
		view := NewView()
		view.Put(newer, older, job)
		if entry := view.Get("job"); entry == nil || entry.Version != newer.Version {
			t.Errorf("after the job row: %+v, want version %d", entry, newer.Version)
		}
	})
}
