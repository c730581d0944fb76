package table

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted reports that the requested changes are no longer in the log. The group must be read
// as a whole.
var ErrCompacted = errors.New("table history compacted")

// Change is a row that was put or removed.
type Change struct {
	Row
	Removed bool
}

// Changes is a list of changes of a group, ordered by version.
type Changes struct {
	Changes []Change
	// Revision is the newest version that the changes include; pass it to the next After.
	Revision uint64
	// Now is the monotonic clock of the service. It is never compared with another clock.
	Now time.Duration
	// AsOf is the local time at which the service generated the answer; later writes are not
	// included. A feed that does not know it exactly sets an earlier time, never a later one. For a
	// whole read it is that of the first page. Zero means that Watcher derives it from Now.
	AsOf time.Time
	// More reports that further changes up to AsOf remain to be read.
	More bool
	// Repeated is the number of further calls that a HedgedFeed made for the page.
	Repeated int
}

// Cursor is a position in a whole read of a group.
type Cursor struct {
	// Part is the index of the current part.
	Part int
	// Key is the last key that was read in the part; empty at its start.
	Key  string
	Done bool
}

// Feed reads a group of rows and its changes. Implementations are safe for concurrent use.
type Feed interface {
	// Page reads one page of the whole group, as changes that are not Removed. It starts at the
	// zero Cursor and returns the Cursor of the next page, which is Done after the last one.
	Page(ctx context.Context, cursor Cursor) (Changes, Cursor, error)
	// After waits up to wait for changes after a revision. It returns empty Changes if there are
	// none, or ErrCompacted.
	After(ctx context.Context, revision uint64, wait time.Duration) (Changes, error)
}

// ConflictError is an ErrConflict with the current rows, which the caller need not read again.
type ConflictError struct {
	// Rows contains the existing rows among those that the commit had conditions on.
	Rows []Row
	// Revision is the newest version of the service at the time of the conflict.
	Revision uint64
}

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Row returns the row with the given key, if it exists.
func (e *ConflictError) Row(key Key) (Row, bool) {
	for _, row := range e.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}
