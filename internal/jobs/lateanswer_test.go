package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// lateFeed delivers each page of a whole read some time after the service generated it, and no
// changes after that.
type lateFeed struct {
	table.Feed
	delay time.Duration
}

func (f *lateFeed) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	changes, next, err := f.Feed.Page(ctx, cursor)
	time.Sleep(f.delay)
	return changes, next, err
}

func (f *lateFeed) After(ctx context.Context, _ uint64, _ time.Duration) (table.Changes, error) {
	<-ctx.Done()
	return table.Changes{}, outcome.AsUnknown(ctx.Err())
}

// TestRead_FirstAnswerIsLate guards against a node that takes the first answer of the table to be as
// recent as its receipt. What was listed between the generation of the answer and its receipt is
// missing from the view, and was denied without asking the table.
func TestRead_FirstAnswerIsLate(t *testing.T) {
	for _, delay := range []time.Duration{300, 480, 900} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			withStaleReader(t, func(t *testing.T, shared *tabletest.Table, lister *Service, reader *readerNode) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				late := &lateFeed{Feed: shared.Feed(Group), delay: delay}
				view := NewView()
				go table.NewWatcher(late, view.Apply).Run(ctx)
				time.Sleep(time.Millisecond)
				listOne(t, lister, "job", 1)
				listedAt := time.Now()
				time.Sleep(maxStaleness)
				node := &Service{
					Table: shared, Objects: &objecttest.Store{}, View: view, Events: noEvents{},
					Session: func(context.Context) (string, error) { return "late#1", nil },
				}
				for range 60 {
					reading, err := node.Read(t.Context(), "job", 1, 0)
					if err != nil || len(reading.Results) == 0 {
						t.Fatalf("a result listed %v ago: %+v, %v", time.Since(listedAt), reading, err)
					}
					time.Sleep(25 * time.Millisecond)
				}
			})
		})
	}
}
