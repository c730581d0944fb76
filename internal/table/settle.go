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
// After an unknown answer it reads the first put row back. A row that carries
// the operation id proves the commit; an unchanged row means that it can be
// sent again under the same operation id. If the row has moved on under
// another operation, nobody can tell any more, and the unknown error stays.
// Put the row that is never overwritten first to make the read-back decisive.
func CommitSettled(ctx context.Context, service Service, operation string, writes ...Write) error {
	_, err := commitAndResolve(ctx, service, operation, writes...)
	return err
}

// CommitRow is CommitSettled for one row that is put. It returns the row's version.
func CommitRow(ctx context.Context, service Service, operation string, write Write) (uint64, error) {
	versions, err := commitAndResolve(ctx, service, operation, write)
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// commitAndResolve returns the versions of the rows, or only that of the first put
// row if it had to be read back.
func commitAndResolve(ctx context.Context, service Service, operation string, writes ...Write) ([]uint64, error) {
	versions, err := service.Commit(ctx, operation, writes...)
	delay := settleMinDelay
	resent := false
	for {
		switch {
		case err == nil:
			return versions, nil
		case outcome.Of(err) == outcome.NotDone && !resent:
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

// resolveConflict decides a conflict answered to a resent commit: the first
// sending may be what changed the row.
func resolveConflict(ctx context.Context, service Service, operation string, writes []Write, conflict error) ([]uint64, error) {
	firstPutWrite, ok := firstPut(writes)
	if !ok {
		return nil, outcome.Undecided(conflict)
	}
	row, err := service.Get(ctx, firstPutWrite.Key)
	switch {
	case err == nil && strings.HasPrefix(row.Operation, operation):
		// A Logged service ends the id with the number of its try.
		return []uint64{row.Version}, nil
	case err == nil && row.Version == firstPutWrite.Expect:
		return nil, conflict
	case errors.Is(err, ErrNotFound) && firstPutWrite.Expect == Absent:
		return nil, conflict
	default:
		return nil, outcome.Undecided(conflict)
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
