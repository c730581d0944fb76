package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// retryCall makes a call that may be made any number of times until it succeeds,
// finds nothing, or the context ends. limit bounds one try, so that a hung
// connection is left. It returns the last error.
func retryCall(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	delay := retryDelay
	for {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err := call(callCtx)
		cancel()
		if err == nil || notFound(err) || !retry.Sleep(ctx, delay) {
			return err
		}
		delay = min(2*delay, retryDelayMax)
	}
}

func notFound(err error) bool {
	return errors.Is(err, table.ErrNotFound) || errors.Is(err, object.ErrNotFound)
}

// readError tells what is not there from a store that does not answer.
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
