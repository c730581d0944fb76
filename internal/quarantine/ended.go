package quarantine

import (
	"context"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// endingTime is how long a replica that ends may still accept connections after it has closed one.
const endingTime = 50 * time.Millisecond

// HasEnded reports whether a replica that has just closed a connection seems to have ended, planned or not:
// nothing listens at its address, it has started again, or it was to end and nobody answers. One that is to
// end and accepts a connection is probed again after endingTime. It takes probeWait for each probe at most.
func (g *Guard) HasEnded(ctx context.Context, replica Replica) bool {
	state := g.Replicas.State(replica)
	if state == Restarted || state == Left {
		return true
	}
	result := g.probe(ctx, replica)
	if result == Accepted && state != Serving {
		retry.Sleep(ctx, endingTime)
		result = g.probe(ctx, replica)
	}
	return result == ConnectionRefused || result == Inconclusive && state != Serving
}

// probe probes a replica for probeWait at most.
func (g *Guard) probe(ctx context.Context, replica Replica) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	return g.Replicas.Probe(ctx, replica.Address)
}

// IsLeaving reports whether a replica has announced its shutdown or is no longer listed, in which case it may
// have left without a notice.
func (g *Guard) IsLeaving(replica Replica) bool {
	state := g.Replicas.State(replica)
	return state == Leaving || state == Left || state == Gone
}
