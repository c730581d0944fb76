package listcopy

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Error is the class of all errors of this package.
var Error = errs.Class("listcopy")

// errWaiting reports that the node neither has a copy nor reads the store yet.
var errWaiting = errors.New("no copy of the list yet")

const (
	// minCopyTimeout limits an attempt to copy, since the other node may have stopped. The limit doubles
	// up to maxCopyTimeout with each attempt that reaches it, since the list may be large and the link slow.
	minCopyTimeout = time.Second
	maxCopyTimeout = 4 * time.Second
)

// Feed is a table.Feed whose whole reads are copied from another node if the list is larger than one
// page. It is for a single table.Watcher.
type Feed struct {
	table.Feed
	// View returns what this node knows of its zone.
	View func() View
	// Copy asks another node for its list. Changes.Revision and Changes.AsOf are set.
	Copy func(ctx context.Context) (table.Changes, error)
	// Now returns the time.
	Now func() time.Time
	// Sleep, if set, replaces the wait between two attempts to copy. It reports false if there is to be
	// no other attempt in this call.
	Sleep func(ctx context.Context) bool
	// OnCopied, if set, is called for each copy that is used, OnFailed for each attempt that failed.
	OnCopied func(table.Changes)
	OnFailed func(error)

	policy Policy
	// large is set once the list is known to be larger than a page.
	large bool
	// known is the newest revision of which this node has the list; 0 if it never had it.
	known uint64
	// timedOut is the number of attempts to copy in a row that reached their time limit.
	timedOut int
}

// Page implements table.Feed.
func (f *Feed) Page(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	if cursor != (table.Cursor{}) {
		return f.readPage(ctx, cursor)
	}
	var first table.Changes
	var next table.Cursor
	if !f.large {
		var err error
		if first, next, err = f.Feed.Page(ctx, cursor); err != nil || next.Done {
			return f.record(first, next, err)
		}
		f.large = true
	}
	for {
		switch f.policy.Next(f.View(), f.known > 0, f.Now()) {
		case ReadStore:
			if next == (table.Cursor{}) {
				return f.readPage(ctx, cursor)
			}
			return f.record(first, next, nil)
		case AskPeer:
			if list, done, err := f.copyList(ctx, cursor); err == nil {
				return list, done, nil
			}
		case Wait:
		}
		if !f.sleep(ctx) {
			return table.Changes{}, cursor, Error.Wrap(errWaiting)
		}
	}
}

// sleep waits until the next attempt to copy. It reports false if the context ends first.
func (f *Feed) sleep(ctx context.Context) bool {
	if f.Sleep != nil {
		return f.Sleep(ctx)
	}
	return retry.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
}

// copyList returns the list of another node as a single page.
func (f *Feed) copyList(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	list, err := f.copyInTime(ctx)
	if err == nil && list.Revision <= f.known {
		err = errWaiting
	}
	if err != nil {
		if f.OnFailed != nil {
			f.OnFailed(err)
		}
		return table.Changes{}, cursor, Error.Wrap(err)
	}
	if f.OnCopied != nil {
		f.OnCopied(list)
	}
	return f.record(list, table.Cursor{Done: true}, nil)
}

// copyInTime calls Copy with a time limit.
func (f *Feed) copyInTime(ctx context.Context) (table.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, min(minCopyTimeout<<min(f.timedOut, 8), maxCopyTimeout))
	defer cancel()
	list, err := f.Copy(ctx)
	if err != nil && ctx.Err() != nil {
		f.timedOut++
	} else {
		f.timedOut = 0
	}
	return list, err
}

// readPage reads a page from the store.
func (f *Feed) readPage(ctx context.Context, cursor table.Cursor) (table.Changes, table.Cursor, error) {
	return f.record(f.Feed.Page(ctx, cursor))
}

// record notes the revision of a page, and the end of the read after the last one.
func (f *Feed) record(page table.Changes, next table.Cursor, err error) (table.Changes, table.Cursor, error) {
	if err == nil && next.Done {
		f.known = max(f.known, page.Revision)
		f.policy.Done()
	}
	return page, next, err
}

// After implements table.Feed.
func (f *Feed) After(ctx context.Context, revision uint64, wait time.Duration) (table.Changes, error) {
	changes, err := f.Feed.After(ctx, revision, wait)
	if err == nil {
		f.known = max(f.known, changes.Revision)
	}
	return changes, err
}
