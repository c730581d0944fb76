package quarantine

import "context"

// HasEnded reports whether a replica that has just closed a connection seems to have ended, planned or not:
// nothing listens at its address, it has started again, or it was to end and nobody answers. It returns
// after probeWait at the latest.
func (g *Guard) HasEnded(ctx context.Context, replica Replica) bool {
	state := g.Replicas.State(replica)
	if state == Restarted || state == Left {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	switch g.Replicas.Probe(ctx, replica.Address) {
	case ConnectionRefused:
		return true
	case Accepted:
		return false
	default:
		return state != Serving
	}
}

// IsLeaving reports whether a replica has announced its shutdown or is no longer listed, in which case it may
// have left without a notice.
func (g *Guard) IsLeaving(replica Replica) bool {
	state := g.Replicas.State(replica)
	return state == Leaving || state == Left || state == Gone
}
