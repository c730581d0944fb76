// Package table defines the interface to the platform's transactional table service, and an
// adapter to the DynamoDB protocol.
//
// All persistent state that nodes must agree on is stored in versioned rows. A row is only changed by
// a write that names the version it expects, so every change is a compare-and-set and no two
// writers can both succeed from the same version.
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
	// ErrThrottled reports that the service rejected the call by rate limiting. It had no effect.
	ErrThrottled = errors.New("table service throttled")
	// ErrUnavailable reports that the service could not be reached.
	ErrUnavailable = errors.New("table service unavailable")
)

// Absent is the expected version of a row that must not exist.
const Absent uint64 = 0

// Key identifies a row. The rows of a partition are ordered by Sort.
type Key struct {
	Partition string
	Sort      string
}

// Row is a stored row.
type Row struct {
	Key
	// Version increases with every write. It is never Absent for a stored row.
	Version uint64
	// Operation is the ID of the operation that wrote this version.
	Operation string
	// Body is opaque to the service.
	Body []byte
	// Unreadable is the error from decoding the stored value, or nil. If set, the row exists and
	// Key is valid, but Body is empty. Version is 0 if it is missing from the stored value.
	Unreadable error
}

// WriteKind is the effect of a Write whose condition holds.
type WriteKind int

const (
	// Put stores Body under version Next.
	Put WriteKind = iota
	// Delete removes the row.
	Delete
	// Check changes nothing; the transaction fails unless the version is Expect.
	Check
)

// Write is a conditional change within a commit.
type Write struct {
	Key
	Kind WriteKind
	// Expect is the version that the row must have, or Absent.
	Expect uint64
	// Next is the version stored by Put. Zero means Expect+1.
	Next uint64
	Body []byte
}

// NextVersion returns the version that the row has after the write.
func (w Write) NextVersion() uint64 {
	if w.Next != 0 {
		return w.Next
	}
	return w.Expect + 1
}

// Service is the table service. Implementations are safe for concurrent use.
//
// Errors of Commit carry an outcome (see package outcome): NotDone for ErrConflict, ErrThrottled and
// ErrRejected, unknown for a lost connection or a timeout.
type Service interface {
	// Get reads a row with strong consistency. It returns ErrNotFound if there is none.
	Get(ctx context.Context, key Key) (Row, error)
	// List reads up to limit rows of a partition with Sort > after, in order.
	List(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Commit applies all writes or none (at most MaxWrites with MaxBodyBytes), and returns the versions of the rows in the order of
	// writes. The operation ID makes a commit that is sent again idempotent, and is stored with
	// every row that is put.
	Commit(ctx context.Context, operation string, writes ...Write) ([]uint64, error)
}

// ListAll reads all rows of a partition, in pages.
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
