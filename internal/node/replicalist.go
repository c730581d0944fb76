package node

import (
	"context"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// coldListWait bounds one wait for changes of the list of replicas while cold ones bear
	// less. Where nothing changes, the list is as old as two waits before the second is
	// answered; a second is what replica.Set allows it. On a deployment whose rows change
	// more often it costs no call.
	coldListWait = 300 * time.Millisecond
	// coldListTimeoutMargin is how much longer than its wait a call may take.
	coldListTimeoutMargin = 900 * time.Millisecond
)

// timestampedFeed follows the list of replicas and tells as of when it is known. An answer
// counts as of when it was asked for: one that is read late, for the node was stopped or
// the way was slow, tells nothing of the time since it was made. It is for one Watcher.
type timestampedFeed struct {
	table.Feed
	replicas *replica.Set
	// requestedAt is when the last answer was requestedAt for. The watcher asks and applies in one
	// goroutine.
	requestedAt time.Time
}

// Page implements table.Feed. A whole read is known as of its first page.
func (f *timestampedFeed) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	requestedAt := clock.Now()
	page, next, err := f.Feed.Page(ctx, cursor)
	if err == nil && cursor == (table.Cursor{}) {
		f.requestedAt = requestedAt
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
	}
	return changes, err
}

// wrapApply returns a function that takes in changes of the list and tells as of when it is
// known, in this order: what an answer tells is in force before the answer counts.
func (f *timestampedFeed) wrapApply(apply func(table.Changes, bool)) func(table.Changes, bool) {
	return func(changes table.Changes, whole bool) {
		apply(changes, whole)
		f.replicas.SetListTime(f.requestedAt, clock.Now())
	}
}
