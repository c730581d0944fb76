package forward

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// errHeldBack reports that a cold replica must not get the request now, though it could
// when it was chosen. Nothing was sent.
var errHeldBack = errors.New("replica is cold and has been sent as much as it bears")

// coldOnly returns the error of a choice that waits for cold replicas alone, or nil.
func coldOnly(err error) *replica.NoReplicaError {
	if none := (*replica.NoReplicaError)(nil); errors.As(err, &none) && none.Cold() {
		return none
	}
	return nil
}

// waitForReplica waits until there may be a replica to choose, as long as the route
// allows.
func (c *call) waitForReplica(ctx context.Context, err error) error {
	if none := (*replica.NoReplicaError)(nil); errors.As(err, &none) && none.Lasts() {
		// Nothing that may happen in time helps.
		return err
	}
	room := waitForRoom
	if none := coldOnly(err); none != nil {
		c.forwarder.Replicas.HeldBack()
		room = max(time.Millisecond, none.ColdWait)
	}
	return c.waitForRoom(ctx, room)
}
