package resource

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// commitAttempts bounds how often a write runs anew because another write
	// took the head revision. 16 racing operators need at most 16 rounds.
	commitAttempts = 24
	commitBackoff  = 10 * time.Millisecond
)

// Precondition says which version of the resource a write expects.
type Precondition struct {
	// Set is false when any version will do.
	Set bool
	// Version is the expected resource version; 0 means that it must not exist.
	Version uint64
}

// holds reports whether the precondition allows a write over a version.
func (p Precondition) holds(version uint64) bool { return !p.Set || p.Version == version }

// Writer commits changes to the table service.
type Writer struct {
	service table.Service
}

// NewWriter returns a writer.
func NewWriter(service table.Service) *Writer { return &Writer{service: service} }

// Commit writes a change under the operation id and returns it with its
// revision. The errors are ErrVersionMismatch, ErrNotFound,
// ErrStoreUnavailable and ErrUndecided.
func (w *Writer) Commit(ctx context.Context, change Change, precondition Precondition) (Change, error) {
	for attempt := range commitAttempts {
		committed, err := w.try(ctx, change, precondition, attempt)
		if !errors.Is(err, table.ErrConflict) {
			return committed, err
		}
		delay := commitBackoff + time.Duration(rand.Int64N(int64(commitBackoff)*int64(attempt+1)))
		select {
		case <-ctx.Done():
			return Change{}, Error.Wrap(fmt.Errorf("%w: %w", ErrStoreUnavailable, ctx.Err()))
		case <-time.After(delay):
		}
	}
	return Change{}, Error.Wrap(fmt.Errorf("%w: too many competing writes", ErrStoreUnavailable))
}

func (w *Writer) try(ctx context.Context, change Change, precondition Precondition, attempt int) (Change, error) {
	head, err := w.version(ctx, headKey)
	if err != nil {
		return Change{}, err
	}
	key := resourceKey(change.Kind, change.Name)
	current, err := w.version(ctx, key)
	if err != nil {
		return Change{}, err
	}
	if !precondition.holds(current) {
		return Change{}, Error.Wrap(fmt.Errorf("%w: it is %d", ErrVersionMismatch, current))
	}
	if change.Deleted && current == table.Absent {
		return Change{}, Error.Wrap(ErrNotFound)
	}
	change.Revision = head + 1
	writes, err := transaction(change, head, current)
	if err != nil {
		return Change{}, err
	}
	// Each attempt is an operation of its own: it carries another revision.
	operation := fmt.Sprintf("%s.%d", change.Operation, attempt)
	err = table.CommitSettled(ctx, w.service, operation, writes...)
	switch {
	case err == nil:
		return change, nil
	case errors.Is(err, table.ErrConflict) && outcome.Of(err) == outcome.NotDone:
		return Change{}, err
	case outcome.Of(err) == outcome.NotDone:
		return Change{}, Error.Wrap(fmt.Errorf("%w: %w", ErrStoreUnavailable, err))
	default:
		// The conflict, if any, is hidden: the write must not be tried anew.
		return Change{}, Error.Wrap(fmt.Errorf("%w: %v", ErrUndecided, err))
	}
}

// version reads a row's version; a missing row has table.Absent.
func (w *Writer) version(ctx context.Context, key table.Key) (uint64, error) {
	row, err := w.service.Get(ctx, key)
	if errors.Is(err, table.ErrNotFound) {
		return table.Absent, nil
	}
	if err != nil {
		return 0, Error.Wrap(fmt.Errorf("%w: %w", ErrStoreUnavailable, err))
	}
	return row.Version, nil
}

// transaction builds the writes of a change. The log row comes first: it is
// never overwritten, so reading it back decides an unknown outcome.
func transaction(change Change, head, current uint64) ([]table.Write, error) {
	body, err := encodeChange(change)
	if err != nil {
		return nil, err
	}
	resourceWrite := table.Write{
		Key: resourceKey(change.Kind, change.Name), Kind: table.Put,
		Expect: current, Next: change.Revision, Body: body,
	}
	if change.Deleted {
		resourceWrite.Kind = table.Delete
	}
	return []table.Write{
		{Key: logKey(change.Revision), Kind: table.Put, Expect: table.Absent, Next: change.Revision, Body: body},
		{Key: headKey, Kind: table.Put, Expect: head, Next: change.Revision},
		resourceWrite,
	}, nil
}

// readHead returns the latest committed revision.
func (w *Writer) readHead(ctx context.Context) (uint64, error) { return w.version(ctx, headKey) }

// readLog returns committed changes after a revision, in order.
func (w *Writer) readLog(ctx context.Context, after uint64, limit int) ([]Change, error) {
	rows, err := w.service.List(ctx, partitionLog, logKey(after).Sort, limit)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		change, err := decodeChange(row.Body)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// readAll returns the whole configuration at one revision.
func (w *Writer) readAll(ctx context.Context) (uint64, []Change, error) {
	for {
		before, err := w.readHead(ctx)
		if err != nil {
			return 0, nil, err
		}
		rows, err := table.ListAll(ctx, w.service, partitionResources)
		if err != nil {
			return 0, nil, Error.Wrap(err)
		}
		after, err := w.readHead(ctx)
		if err != nil {
			return 0, nil, err
		}
		if before != after {
			continue
		}
		resources := make([]Change, 0, len(rows))
		for _, row := range rows {
			change, err := decodeChange(row.Body)
			if err != nil {
				return 0, nil, err
			}
			resources = append(resources, change)
		}
		return after, resources, nil
	}
}

// NewChange builds the change that puts a checked resource.
func NewChange(operation string, resource *v1.Resource) Change {
	return Change{Operation: operation, Kind: resource.Kind, Name: resource.Metadata.Name, Spec: resource.Spec}
}
