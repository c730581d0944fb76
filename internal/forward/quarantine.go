package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// Quarantine keeps work from replicas that ended those it ran on. The functions that return
// the work are called only if some is suspected. It is safe for concurrent use.
type Quarantine interface {
	// RefuseRequest returns a quarantine.RefusedError for a request that must not be sent, at
	// once or after a short wait for word of other nodes,
	// Refuse for other work.
	RefuseRequest(ctx context.Context, work func() quarantine.Work) error
	Refuse(work func() quarantine.Work) error
	// EndedWell takes in a whole answer to a work.
	EndedWell(work quarantine.Work)
	// BrokeOff takes in that a replica's answer to a run broke off. It returns when it is
	// known whether the replica ended, or after a short time.
	BrokeOff(ctx context.Context, replica quarantine.Replica, run quarantine.Run)
}

// MayHaveEnded reports whether an attempt ended as it does if its replica ends: after the
// request may have begun to run, and not by an answer or by this side's giving up. status is
// that of the answer, 0 if none came.
func MayHaveEnded(err error, status int) bool {
	if err == nil || outcome.Of(err) == outcome.NotDone || status >= http.StatusInternalServerError {
		return false
	}
	for _, loss := range []error{ErrBroken, ErrSilent, ErrRestarted} {
		if errors.Is(err, loss) {
			return true
		}
	}
	return false
}

// quarantined returns the error of a request whose work must not be sent.
func (c *call) quarantined(ctx context.Context) error {
	if c.forwarder.Quarantine == nil {
		return nil
	}
	return c.forwarder.Quarantine.RefuseRequest(ctx, c.request.Work)
}

// tellQuarantine tells how an attempt ended. After one that may have ended its replica it
// waits for word of that, for the next attempt is decided about by it.
func (c *call) tellQuarantine(ctx context.Context, chosen *replica.Candidate, began time.Time, err error) {
	guard := c.forwarder.Quarantine
	switch {
	case guard == nil:
	case err == nil && c.status < http.StatusInternalServerError:
		guard.EndedWell(c.request.Work())
	case MayHaveEnded(err, c.status):
		guard.BrokeOff(ctx, quarantine.Replica{ID: chosen.ID, Born: chosen.StartedUnixMs, Address: chosen.Address}, quarantine.Run{Work: c.request.Work(), Began: began})
	}
}
