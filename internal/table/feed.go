package table

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted reports that the service has forgotten the changes asked for.
// A whole read is needed to go on.
var ErrCompacted = errors.New("table history compacted")

// Change is a row that was put, or one that was removed.
type Change struct {
	Row
	Removed bool
}

// Changes are changes of a group of rows in the order of their versions.
type Changes struct {
	Changes []Change
	// Revision is the newest version that the changes reflect; the next call
	// goes on from here.
	Revision uint64
	// Now is the service's steady clock; clocks of machines are never compared.
	Now time.Duration
	// AsOf is when the service gave this answer, by this node's clock: of what was written
	// later nothing is known. Of a whole read it is when its first page was given. A feed whose
	// service stamps its answers by Now leaves it to the Watcher. Zero is never.
	AsOf time.Time
	// More says that changes up to AsOf are still to come.
	More bool
}

// Cursor is a place within the whole read of a group.
type Cursor struct {
	// Part counts the parts that have been read.
	Part int
	// Key is the first key to read of the next part.
	Key  string
	Done bool
}

// Feed delivers a group of rows and its changes. Implementations are safe for
// concurrent use.
type Feed interface {
	// Page reads a piece of the whole group as changes, none of them Removed.
	// It begins at the zero Cursor and returns the Cursor to go on from, which
	// is Done after the last piece.
	Page(ctx context.Context, cursor Cursor) (Changes, Cursor, error)
	// After waits for changes after a revision, up to wait. It returns none,
	// or ErrCompacted.
	After(ctx context.Context, revision uint64, wait time.Duration) (Changes, error)
}

// ConflictError is an ErrConflict that carries the rows named by the conditions
// as they stand, so that the caller need not read them again.
type ConflictError struct {
	// Rows that exist, of those that the commit had conditions on.
	Rows []Row
	// Revision is the newest version of the service at that moment.
	Revision uint64
}

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Row returns the row with a key, if it exists.
func (e *ConflictError) Row(key Key) (Row, bool) {
	for _, row := range e.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}
