package node

import (
	"context"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// coldListWait bounds one wait for changes of the replica list while cold replicas have limits.
	// If nothing changes, the known list is two waits old before the second response arrives;
	// replica.Set tolerates one second. If the rows change more often than this, the bound causes
	// no additional calls.
	coldListWait = 300 * time.Millisecond
	// coldListTimeoutMargin is how much longer than its wait a call may take.
	coldListTimeoutMargin = 900 * time.Millisecond
)

// timestampedFeed is the feed of the replica list. It records the time as of which the list is
// known. A response counts as of the time of its request: one that is read late, because the
// process was stopped or the network was slow, does not cover the time since it was made. It is for
// a single Watcher.
type timestampedFeed struct {
	table.Feed
	replicas *replica.Set
	// requestedAt is the time of the request for the last response. The watcher requests and
	// applies in one goroutine.
	requestedAt time.Time
}

// Page implements table.Feed. A full read is current as of the request for its first page, a copy from
// another node as of the time that it states.
func (f *timestampedFeed) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	requestedAt := clock.Now()
	page, next, err := f.Feed.Page(ctx, cursor)
	if err == nil && cursor == (table.Cursor{}) {
		f.requestedAt = requestedAt
		if !page.AsOf.IsZero() {
			f.requestedAt = page.AsOf
		}
	}
	return page, next, err
}

// After implements table.Feed.
func (f *timestampedFeed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	if f.replicas.HasColdLimits() {
		wait = min(wait, coldListWait)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+coldListTimeoutMargin)
	defer cancel()
	requestedAt := clock.Now()
	changes, err := f.Feed.After(callCtx, revision, wait)
	if err == nil {
		f.requestedAt = requestedAt
		if !changes.AsOf.IsZero() && changes.AsOf.Before(requestedAt) {
			f.requestedAt = changes.AsOf
		}
	}
	return changes, err
}

// wrapApply returns a function that applies changes of the list and then records the time as of
// which it is known, in this order, so that a response is in force before it counts.
func (f *timestampedFeed) wrapApply(apply func(table.Changes, bool)) func(table.Changes, bool) {
	return func(changes table.Changes, whole bool) {
		apply(changes, whole)
		f.replicas.SetListTime(f.requestedAt, clock.Now())
	}
}
