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
	// asked are the nodes that were asked, silent those of them that have not replied.
	asked, silent []string
	// lastAskedAt is when the last of them was asked for the first time.
	lastAskedAt time.Time
}

// run returns the origin of the stream and where it was found.
func (l *originLookup) run(ctx context.Context) (streams.Origin, originSource) {
	if l.query.Named {
		if origin, known := l.origins.registry.Get(l.query.ID); known {
			return origin, originHere
		}
	}
	l.refreshHistory()
	if l.needsOthers() && l.origins.gateway.peers != nil {
		if origin, known := l.ask(ctx); known {
			return origin, originOtherNode
		}
		l.refreshHistory()
	}
	switch {
	case l.history.Several:
		return streams.Origin{}, originUnknown
	case l.history.Single:
		return streams.Origin{Pool: l.query.Pool, SoftwareVersion: l.history.Version}, originOnlyVersion
	case l.needed > 0 && l.witnesses >= l.needed:
		return streams.Origin{Pool: l.query.Pool, SoftwareVersion: l.version}, originOnlyVersion
	default:
		return streams.Origin{}, originUnknown
	}
}

// refreshHistory brings the history up to date. A node that has just started may not have read the list of
// replicas, or the table, when the lookup began.
func (l *originLookup) refreshHistory() {
	if !l.history.Several {
		l.history = l.origins.gateway.softwareHistory(l.query.Pool, l.query.Lifetime)
	}
}

// needsOthers reports whether other nodes may know more than this one.
func (l *originLookup) needsOthers() bool {
	return l.query.Named || l.query.Pool != "" && !l.history.Single && !l.history.Several
}

// ask asks other nodes, until one has recorded the origin, all have replied, or enough of them report a
// single version for a stream that its caller did not name. A node that has just started waits until it has
// read which other nodes there are.
func (l *originLookup) ask(ctx context.Context) (origin streams.Origin, known bool) {
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	message := l.newQuery()
	const sendsPerNode = 1 + int(originLookupTimeout/originRequeryInterval)
	replies := l.origins.pending.RegisterMany(message.ID, originQueries*sendsPerNode)
	defer l.origins.pending.Forget(message.ID)
	resend := time.NewTicker(originRequeryInterval)
	defer resend.Stop()
	l.send(message)
	for l.awaitsReplies() || !l.origins.gateway.jobWatch.Populated() {
		select {
		case reply := <-replies:
			if l.query.Named && reply.Known {
				return reply.origin(), true
			}
			l.record(&reply)
			if !l.query.Named && (l.history.Several || l.needed > 0 && l.witnesses >= l.needed) {
				return streams.Origin{}, false
			}
		case <-resend.C:
			l.send(message)
		case <-ctx.Done():
			return streams.Origin{}, false
		}
	}
	return streams.Origin{}, false
}

// awaitsReplies reports whether nodes may reply yet. Nodes that are down never do.
func (l *originLookup) awaitsReplies() bool {
	return len(l.silent) > 0 && clock.Since(l.lastAskedAt) < originQueryTimeout
}

// newQuery returns the query to send.
func (l *originLookup) newQuery() originQuery {
	message := originQuery{ID: rand.Uint64(), Stream: l.query.ID, Pool: l.query.Pool, PeriodMs: l.query.Lifetime.Milliseconds()}
	if !l.query.Named {
		// No node can hold the origin of an unnamed stream, so any are asked.
		binary.LittleEndian.PutUint64(message.Stream[:], message.ID)
	}
	return message
}

// send sends the query to the nodes that have not replied, and to those that have become known since.
func (l *originLookup) send(message originQuery) {
	for _, node := range l.origins.holders(message.Stream, originQueries) {
		if len(l.asked) < originQueries && !slices.Contains(l.asked, node) {
			l.asked, l.silent, l.lastAskedAt = append(l.asked, node), append(l.silent, node), clock.Now()
		}
	}
	l.needed = min(originWitnesses, len(l.asked))
	for _, node := range l.silent {
		l.origins.gateway.sendToNode(node, peer.KindStreamQuery, message)
	}
}

// record takes the reply of a node that does not know the origin into account.
func (l *originLookup) record(reply *originReply) {
	i := slices.Index(l.silent, reply.from)
	if i < 0 {
		return
	}
	l.silent = slices.Delete(l.silent, i, i+1)
	l.count(reply.history())
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
