package node

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/streams"
)

// originSource is where the origin of a stream was found, as a metric label.
type originSource string

const (
	originUnknown originSource = "unknown"
	// originHere and originOtherNode are origins that were recorded.
	originHere      originSource = "here"
	originOtherNode originSource = "other_node"
	// originOnlyVersion is concluded from a pool that has run a single software version.
	originOnlyVersion originSource = "only_version"
)

// originLookup looks for the origin of one stream.
type originLookup struct {
	origins *streamOrigins
	query   streams.Query
	// history is what this node knows of the software versions of the pool.
	history replica.SoftwareHistory
	// witnesses is the number of nodes that report version as the only one of the pool, needed how many
	// have to.
	witnesses, needed int
	version           string
	// asked is the number of nodes that were asked, silent that of those which have not replied.
	asked, silent int
}

// run returns the origin of the stream and where it was found.
func (l *originLookup) run(ctx context.Context) (streams.Origin, originSource) {
	if l.query.Named {
		if origin, known := l.origins.registry.Get(l.query.ID); known {
			return origin, originHere
		}
	}
	l.history = l.origins.softwareHistory(l.query.Pool, l.query.Lifetime)
	if l.needsOthers() && l.origins.gateway.peers != nil {
		if origin, known := l.ask(ctx); known {
			return origin, originOtherNode
		}
	}
	switch {
	case l.history.Several:
		return streams.Origin{}, originUnknown
	case l.history.Single:
		return streams.Origin{Pool: l.query.Pool, SoftwareVersion: l.history.Version}, originOnlyVersion
	case l.needed > 0 && l.witnesses >= l.needed:
		return streams.Origin{Pool: l.query.Pool, SoftwareVersion: l.version}, originOnlyVersion
	case l.query.Named:
		return streams.Origin{}, originUnknown
	default:
		return l.onlyListed()
	}
}

// onlyListed returns the origin of an unnamed stream if the pool lists a single software version and
// nobody who was asked has seen another. This is all that can be known soon after all nodes have
// restarted, and clients that know of several versions name their streams.
func (l *originLookup) onlyListed() (streams.Origin, originSource) {
	if l.query.Pool == "" {
		return streams.Origin{}, originUnknown
	}
	version, ok := l.origins.gateway.replicas.OnlyListedSoftware(l.query.Pool, clock.Now())
	if !ok {
		return streams.Origin{}, originUnknown
	}
	return streams.Origin{Pool: l.query.Pool, SoftwareVersion: version}, originOnlyVersion
}

// needsOthers reports whether other nodes may know more than this one.
func (l *originLookup) needsOthers() bool {
	return l.query.Named || l.query.Pool != "" && !l.history.Single && !l.history.Several
}

// ask asks other nodes, until one has recorded the origin, all have replied, or enough of them report a
// single version for a stream that its caller did not name.
func (l *originLookup) ask(ctx context.Context) (origin streams.Origin, known bool) {
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	message := originQuery{ID: rand.Uint64(), Stream: l.query.ID, Pool: l.query.Pool, PeriodMs: l.query.Lifetime.Milliseconds()}
	if !l.query.Named {
		// No node can hold the origin of an unnamed stream, so any are asked.
		binary.LittleEndian.PutUint64(message.Stream[:], message.ID)
	}
	silent := l.origins.holders(message.Stream, originQueries)
	l.needed, l.asked = min(originWitnesses, len(silent)), len(silent)
	defer func() { l.silent = len(silent) }()
	const sendsPerNode = 1 + int(originQueryTimeout/originRequeryInterval)
	replies := l.origins.pending.RegisterMany(message.ID, max(1, len(silent)*sendsPerNode))
	defer l.origins.pending.Forget(message.ID)
	resend := time.NewTicker(originRequeryInterval)
	defer resend.Stop()
	l.send(silent, message)
	for len(silent) > 0 {
		select {
		case reply := <-replies:
			if l.query.Named && reply.Known {
				return reply.origin(), true
			}
			if i := slices.Index(silent, reply.from); i >= 0 {
				silent = slices.Delete(silent, i, i+1)
				l.count(reply.history())
			}
			if !l.query.Named && (l.history.Several || l.witnesses >= l.needed) {
				return streams.Origin{}, false
			}
		case <-resend.C:
			l.send(silent, message)
		case <-ctx.Done():
			return streams.Origin{}, false
		}
	}
	return streams.Origin{}, false
}

// count takes another node's knowledge of the pool into account.
func (l *originLookup) count(history replica.SoftwareHistory) {
	switch {
	case history.Several, history.Single && l.witnesses > 0 && history.Version != l.version:
		l.history = replica.SoftwareHistory{Several: true}
	case history.Single:
		l.witnesses, l.version = l.witnesses+1, history.Version
	}
}

// send sends a query to nodes.
func (l *originLookup) send(nodes []string, message originQuery) {
	for _, node := range nodes {
		l.origins.gateway.sendToNode(node, peer.KindStreamQuery, message)
	}
}
