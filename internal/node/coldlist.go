package node

import (
	"context"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// listWait bounds one wait for changes of the list of replicas while cold ones bear
	// less. Where nothing changes, the list is as old as two waits before the second is
	// answered; a second is what replica.Set allows it. On a deployment whose rows change
	// more often it costs no call.
	listWait = 300 * time.Millisecond
	// listSlack is how much longer than its wait a call may take.
	listSlack = 900 * time.Millisecond
)

// datedList follows the list of replicas and tells as of when it is known. An answer
// counts as of when it was asked for: one that is read late, for the node was stopped or
// the way was slow, tells nothing of the time since it was made. It is for one Watcher.
type datedList struct {
	table.Feed
	replicas *replica.Set
	// asked is when the last answer was asked for. The watcher asks and applies in one
	// goroutine.
	asked time.Time
}

// Page implements table.Feed. A whole read is known as of its first page.
func (l *datedList) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	asked := clock.Now()
	page, next, err := l.Feed.Page(ctx, cursor)
	if err == nil && cursor == (table.Cursor{}) {
		l.asked = asked
	}
	return page, next, err
}

// After implements table.Feed.
func (l *datedList) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	if l.replicas.HasColdLimits() {
		wait = min(wait, listWait)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+listSlack)
	defer cancel()
	asked := clock.Now()
	changes, err := l.Feed.After(callCtx, revision, wait)
	if err == nil {
		l.asked = asked
	}
	return changes, err
}

// applied returns a function that takes in changes of the list and tells as of when it is
// known, in this order: what an answer tells is in force before the answer counts.
func (l *datedList) applied(apply func(table.Changes, bool)) func(table.Changes, bool) {
	return func(changes table.Changes, whole bool) {
		apply(changes, whole)
		l.replicas.SetListTime(l.asked, clock.Now())
	}
}
