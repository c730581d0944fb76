package table

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	settleMinDelay = 50 * time.Millisecond
	settleMaxDelay = time.Second
)

// CommitSettled commits and resolves an unknown outcome before it returns.
//
// After an unknown outcome it reads back the row of the first put. If the row has the operation ID,
// the commit has succeeded; if the row is unchanged, the commit is sent again with the same
// operation ID. If another operation has changed the row, the outcome cannot be determined and the
// error remains unknown. To avoid this, callers should first put a row that is never overwritten.
func CommitSettled(ctx context.Context, service Service, operation string, writes ...Write) error {
	_, err := commitAndResolve(ctx, service, operation, writes...)
	return err
}

// CommitRow is like CommitSettled for a single put, and returns the version of the row.
func CommitRow(ctx context.Context, service Service, operation string, write Write) (uint64, error) {
	versions, err := commitAndResolve(ctx, service, operation, write)
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// commitAndResolve implements CommitSettled. It returns the versions of the rows, or only that of
// the first put if the row had to be read back.
func commitAndResolve(ctx context.Context, service Service, operation string, writes ...Write) ([]uint64, error) {
	versions, err := service.Commit(ctx, operation, writes...)
	delay := settleMinDelay
	resent := false
	for {
		switch {
		case err == nil:
			return versions, nil
		case outcome.Of(err) == outcome.NotDone && !resent, errors.Is(err, ErrRejected):
			return nil, err
		case errors.Is(err, ErrConflict):
			return resolveConflict(ctx, service, operation, writes, err)
		}
		resent = true
		if !retry.Sleep(ctx, delay) {
			return nil, err
		}
		delay = min(2*delay, settleMaxDelay)
		versions, err = service.Commit(ctx, operation, writes...)
	}
}

// resolveConflict handles a conflict of a commit that was sent more than once, since an earlier
// attempt may be what changed the row.
func resolveConflict(ctx context.Context, service Service, operation string, writes []Write, conflict error) ([]uint64, error) {
	firstPutWrite, ok := firstPut(writes)
	if !ok {
		return nil, outcome.AsUnknown(conflict)
	}
	row, err := service.Get(ctx, firstPutWrite.Key)
	switch {
	case err == nil && strings.HasPrefix(row.Operation, operation):
		// Logged.Commit appends the number of its attempt to the operation ID.
		return []uint64{row.Version}, nil
	case err == nil && row.Version == firstPutWrite.Expect:
		return nil, conflict
	case errors.Is(err, ErrNotFound) && firstPutWrite.Expect == Absent:
		return nil, conflict
	default:
		return nil, outcome.AsUnknown(conflict)
	}
}

func firstPut(writes []Write) (Write, bool) {
	for _, write := range writes {
		if write.Kind == Put {
			return write, true
		}
	}
	return Write{}, false
}
