package table

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
)

const (
	settleFirstDelay = 50 * time.Millisecond
	settleMaxDelay   = time.Second
)

// CommitSettled commits and resolves an unknown outcome before it returns.
//
// After an unknown answer it reads the first put row back. A row that carries
// the operation id proves the commit; an unchanged row means that it can be
// sent again under the same operation id. If the row has moved on under
// another operation, nobody can tell any more, and the unknown error stays.
// Put the row that is never overwritten first to make the read-back decisive.
func CommitSettled(ctx context.Context, service Service, operation string, writes ...Write) error {
	_, err := service.Commit(ctx, operation, writes...)
	delay := settleFirstDelay
	sentBefore := false
	for {
		switch {
		case err == nil:
			return nil
		case outcome.Of(err) == outcome.NotDone && !sentBefore:
			return err
		case errors.Is(err, ErrConflict):
			return resolveConflict(ctx, service, operation, writes, err)
		}
		sentBefore = true
		if !pause(ctx, delay) {
			return err
		}
		delay = min(2*delay, settleMaxDelay)
		_, err = service.Commit(ctx, operation, writes...)
	}
}

// resolveConflict decides a conflict answered to a resent commit: the first
// sending may be what changed the row.
func resolveConflict(ctx context.Context, service Service, operation string, writes []Write, conflict error) error {
	probe, ok := firstPut(writes)
	if !ok {
		return outcome.Undecided(conflict)
	}
	row, err := service.Get(ctx, probe.Key)
	switch {
	case err == nil && row.Operation == operation:
		return nil
	case err == nil && row.Version == probe.Expect:
		return conflict
	case errors.Is(err, ErrNotFound) && probe.Expect == Absent:
		return conflict
	default:
		return outcome.Undecided(conflict)
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

func pause(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
