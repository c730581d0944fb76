package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// retryCall makes an idempotent call until it succeeds, finds nothing, is rejected for good, or the
// context ends, and returns the last error. timeout bounds one attempt, so that a hung connection is abandoned.
func retryCall(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	delay := retryDelay
	for {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err := call(callCtx)
		cancel()
		if err == nil || notFound(err) || errors.Is(err, table.ErrRejected) || !retry.Sleep(ctx, delay) {
			return err
		}
		delay = min(2*delay, retryDelayMax)
	}
}

func notFound(err error) bool {
	return errors.Is(err, table.ErrNotFound) || errors.Is(err, object.ErrNotFound)
}

// readError wraps the error of a read as ErrNotFound if nothing is there, else as ErrUnavailable.
func readError(err error) error {
	switch {
	case err == nil:
		return nil
	case notFound(err):
		return Error.Wrap(errors.Join(ErrNotFound, err))
	default:
		return Error.Wrap(errors.Join(ErrUnavailable, err))
	}
}
