// Package table is the port to the platform's transactional table service.
//
// All lasting state that needs agreement lives in rows with a version. A row
// is only ever changed by a write that names the version it expects, so every
// change is a compare-and-set and no two writers can both succeed from the
// same version.
package table

import (
	"context"
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("table")

var (
	// ErrNotFound reports that no row has the key.
	ErrNotFound = errors.New("row not found")
	// ErrConflict reports that a condition did not hold. The write had no effect.
	ErrConflict = errors.New("row version conflict")
	// ErrThrottled reports that the service refused the call for its rate. It had no effect.
	ErrThrottled = errors.New("table service throttled")
	// ErrUnavailable reports that the service could not be reached.
	ErrUnavailable = errors.New("table service unavailable")
)

// Absent is the expected version of a row that must not exist.
const Absent uint64 = 0

// Key names a row. Rows of one partition are listed in the order of Sort.
type Key struct {
	Partition string
	Sort      string
}

// Row is a stored row.
type Row struct {
	Key
	// Version rises by every write; it is never Absent for a stored row.
	Version uint64
	// Operation is the id of the operation that wrote this version.
	Operation string
	// Body is opaque to the service.
	Body []byte
	// Unreadable says why the stored value cannot be read; nil if it can. The row is there
	// all the same: Key and Version hold, Body and Operation are empty.
	Unreadable error
}

// WriteKind says what a Write does when its condition holds.
type WriteKind int

const (
	// Put stores Body under version Next.
	Put WriteKind = iota
	// Delete removes the row.
	Delete
	// Check changes nothing; the transaction fails unless the version is Expect.
	Check
)

// Write is one conditional change within a commit.
type Write struct {
	Key
	Kind WriteKind
	// Expect is the version the row must have, or Absent.
	Expect uint64
	// Next is the version stored by Put. Zero means Expect+1.
	Next uint64
	Body []byte
}

// NextVersion returns the version the row has after the write.
func (w Write) NextVersion() uint64 {
	if w.Next != 0 {
		return w.Next
	}
	return w.Expect + 1
}

// Service is the table service. Implementations are safe for concurrent use.
//
// Errors of Commit carry an outcome (see package outcome): ErrConflict and
// ErrThrottled are not done; a lost connection or a time-out is unknown.
type Service interface {
	// Get reads one row with strong consistency. It returns ErrNotFound.
	Get(ctx context.Context, key Key) (Row, error)
	// List reads up to limit rows of a partition with Sort > after, in order.
	List(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. The operation id makes a resent
	// commit idempotent and is stored with every row that is put.
	// It returns the versions of the rows written, in the order of writes.
	Commit(ctx context.Context, operation string, writes ...Write) ([]uint64, error)
}

// ListAll reads a whole partition in pages.
func ListAll(ctx context.Context, service Service, partition string) ([]Row, error) {
	const pageSize = 500
	var rows []Row
	after := ""
	for {
		page, err := service.List(ctx, partition, after, pageSize)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < pageSize {
			return rows, nil
		}
		after = page[len(page)-1].Sort
	}
}
