package node

import (
	"context"
	"time"

	"github.com/wheelhoist/wheelhoist/platform"
)

const (
	// listReadTimeout bounds one read of the changes of the replica list.
	listReadTimeout = 350 * time.Millisecond
	// minListReadInterval is the least time between the beginnings of two reads of a node, and
	// listReadIntervalPerNode what the other nodes add to it, so that all together make 2,000 reads a second at most.
	minListReadInterval     = 50 * time.Millisecond
	listReadIntervalPerNode = 500 * time.Microsecond
)

// confirmListWithin returns nil once the replica list of this node has all changes up to the call. It tries for the
// given time; callers share reads.
func (g *Gateway) confirmListWithin(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	interval := max(minListReadInterval, time.Duration(len(g.nodes.others()))*listReadIntervalPerNode)
	for {
		err := g.listReads.Do(ctx, interval, g.confirmList)
		if err == nil || ctx.Err() != nil {
			return Error.Wrap(err)
		}
		g.sampled.Info().Err(err).Msg("replica list not confirmed")
	}
}

func (g *Gateway) confirmList() error {
	ctx, cancel := context.WithTimeout(context.Background(), listReadTimeout)
	defer cancel()
	return g.replicaWatch.Confirm(ctx, platform.ServerFeed(g.store))
}
