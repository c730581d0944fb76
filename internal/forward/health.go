package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// resultOfError maps the error of an attempt to its meaning for the replica's health.
func resultOfError(ctx context.Context, err error) replica.Result {
	switch {
	case err == nil:
		return replica.Succeeded
	case errors.Is(err, ErrNotAccepted):
		return replica.NotAccepted
	case errors.Is(err, ErrUnreachable), errors.Is(err, ErrMoved):
		return replica.Unreachable
	case errors.Is(err, ErrRefused):
		return replica.Refused
	case errors.Is(err, ErrCallerDisconnected), errors.Is(err, ErrStalled), LacksMemory(err), ctx.Err() != nil:
		return replica.Abandoned
	default:
		return replica.Failed
	}
}

// IsNotListening reports whether an error proves that the replica was not listening at its address.
func IsNotListening(err error) bool {
	return errors.Is(err, ErrMoved) || errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrNotAccepted)
}

// LacksMemory reports whether an attempt was ended because this node has no memory left for its answer, which
// is not the replica's fault.
func LacksMemory(err error) bool {
	return errors.Is(err, bytebudget.ErrFull) && !errors.Is(err, errTooLong)
}

// silenceFailureThreshold is the silence of a replica, toward all requests of this node, that
// counts as a failure when a request ends during it. Batch items use the same limit.
const silenceFailureThreshold = 2 * time.Second

// healthResult returns what the end of an attempt means for the replica's health. An answer that
// was relayed because no retry was left may still be a failure.
func (c *call) healthResult(ctx context.Context, use *replica.Use, err error) replica.Result {
	result := resultOfError(ctx, err)
	switch {
	case result == replica.Abandoned && !c.sentAt.IsZero() && use.Silence(clock.Now()) >= silenceFailureThreshold:
		return replica.Failed
	case err == nil && c.status == http.StatusGatewayTimeout:
		// The replica stopped at the deadline that it was given.
		return replica.Abandoned
	case err == nil && c.status >= http.StatusInternalServerError:
		return replica.Failed
	default:
		return result
	}
}
