package resource

import (
	"context"
	"errors"
	"fmt"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// maxCommitAttempts limits the attempts of a write that loses to other writes of the same resource.
const maxCommitAttempts = 24

// Precondition is a condition of a write on the version of the resource.
type Precondition struct {
	// Set is false if any version is accepted.
	Set bool
	// Version is the expected version; 0 means that the resource must not exist.
	Version uint64
}

// holds reports whether the precondition allows a write to a resource with the given version.
func (p Precondition) holds(version uint64) bool { return !p.Set || p.Version == version }

// Writer commits changes to the table service.
type Writer struct {
	service table.Service
}

// NewWriter returns a writer that uses the given service.
func NewWriter(service table.Service) *Writer { return &Writer{service: service} }

// Commit writes a change and returns it with its revision. The errors are ErrVersionMismatch,
// ErrNotFound, ErrStoreUnavailable and ErrUnknownOutcome.
func (w *Writer) Commit(ctx context.Context, change Change, precondition Precondition) (Change, error) {
	for range maxCommitAttempts {
		committed, err := w.commitOnce(ctx, change, precondition)
		if !errors.Is(err, table.ErrConflict) {
			return committed, err
		}
	}
	return Change{}, Error.Wrap(fmt.Errorf("%w: too many competing writes", ErrStoreUnavailable))
}

func (w *Writer) commitOnce(ctx context.Context, change Change, precondition Precondition) (Change, error) {
	key := resourceKey(change.Kind, change.Name)
	row, version, err := w.readCurrent(ctx, key)
	if err != nil {
		return Change{}, err
	}
	if !precondition.holds(version) {
		return Change{}, Error.Wrap(fmt.Errorf("%w: it is %d", ErrVersionMismatch, version))
	}
	if change.Deleted && version == table.Absent {
		return Change{}, Error.Wrap(ErrNotFound)
	}
	body, err := encodeChange(change)
	if err != nil {
		return Change{}, err
	}
	// Each attempt needs its own operation ID because it expects a different version.
	operation := table.NewOperation()
	written, err := table.CommitRow(ctx, w.service, operation, table.Write{Key: key, Expect: row.Version, Body: body})
	switch {
	case err == nil:
		change.Revision = written
		return change, nil
	case errors.Is(err, table.ErrConflict) && outcome.Of(err) == outcome.NotDone:
		return Change{}, err
	case outcome.Of(err) == outcome.NotDone:
		return Change{}, Error.Wrap(fmt.Errorf("%w: %w", ErrStoreUnavailable, err))
	default:
		// Hides a wrapped ErrConflict, for which Commit would try the write again.
		return Change{}, Error.Wrap(fmt.Errorf("%w: %v", ErrUnknownOutcome, err))
	}
}

// readCurrent reads the row of a resource and the version that callers see, which is table.Absent for
// a deleted resource. An unreadable row has its version, so that a write can replace it.
func (w *Writer) readCurrent(ctx context.Context, key table.Key) (table.Row, uint64, error) {
	row, err := w.service.Get(ctx, key)
	if errors.Is(err, table.ErrNotFound) {
		return table.Row{}, table.Absent, nil
	}
	if err != nil {
		return row, 0, Error.Wrap(fmt.Errorf("%w: %w", ErrStoreUnavailable, err))
	}
	change, err := decodeChange(row)
	if err != nil {
		// Store.Apply reports the error.
		return row, row.Version, nil
	}
	if change.Deleted {
		return row, table.Absent, nil
	}
	return row, row.Version, nil
}

// NewChange returns the change that puts a validated resource.
func NewChange(operation string, resource *v1.Resource) Change {
	return Change{Operation: operation, Kind: resource.Kind, Name: resource.Metadata.Name, Spec: resource.Spec}
}
