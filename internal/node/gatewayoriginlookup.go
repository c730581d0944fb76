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
	// originTable is an origin that was read from the table.
	originTable originSource = "table"
	// originOnlyVersion is concluded from a pool that has run a single software version.
	originOnlyVersion originSource = "only_version"
)

// readOrigin is the result of a read of the table.
type readOrigin struct {
	origin streams.Origin
	known  bool
}

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
	// read receives what this node reads from the table; nil unless it does. isRead is set once it has.
	read   chan readOrigin
	isRead bool
	// membersAsked is set once the nodes to ask are known, and asked.
	membersAsked bool
	// lastAskedAt is when the last of them was asked for the first time since the lookup last began to ask.
	lastAskedAt time.Time
	// listed is set if this node has read the list of replicas for the lookup.
	listed bool
}

// run returns the origin of the stream and where it was found.
func (l *originLookup) run(ctx context.Context) (streams.Origin, originSource) {
	origin, source := l.search(ctx)
	if source != originUnknown {
		l.awaitListed(ctx, origin)
	}
	return origin, source
}

func (l *originLookup) search(ctx context.Context) (streams.Origin, originSource) {
	if l.query.Named {
		if origin, known := l.origins.registry.Get(l.query.ID); known {
			return origin, originHere
		}
	}
	l.refreshHistory()
	if l.needsOthers() {
		if origin, source := l.ask(ctx); source != originUnknown {
			return origin, source
		}
		l.refreshHistory()
	}
	severalBefore := l.history.Several
	if origin, source := l.conclude(ctx); source != originUnknown {
		return origin, source
	}
	if l.query.Named && l.history.Several && !severalBefore {
		// Another version has joined: the table has origins now, and nodes that were silent may reply.
		return l.ask(ctx)
	}
	return streams.Origin{}, originUnknown
}

// conclude returns the origin of a stream whose pool has run a single software version. Replicas of another one may
// have joined, and begun the stream, since this node has read the list, so it does so once more; replicas that report
// no version are not told apart by any list.
func (l *originLookup) conclude(ctx context.Context) (streams.Origin, originSource) {
	version, known := l.onlyVersion()
	if known && version != "" {
		version, known = l.confirmOnlyVersion(ctx)
	}
	if !known {
		return streams.Origin{}, originUnknown
	}
	return streams.Origin{Pool: l.query.Pool, SoftwareVersion: version}, originOnlyVersion
}

// onlyVersion returns the only software version that the pool has run, by the list that this node has read, or by
// what others report of the time before.
func (l *originLookup) onlyVersion() (version string, known bool) {
	switch {
	case l.history.Several:
		return "", false
	case l.history.Single:
		return l.history.Version, true
	case l.needed > 0 && l.witnesses >= l.needed:
		return l.version, true
	default:
		return "", false
	}
}

// confirmOnlyVersion is like onlyVersion, by a list that is read now.
func (l *originLookup) confirmOnlyVersion(ctx context.Context) (version string, known bool) {
	if l.listed = l.origins.gateway.confirmListWithin(ctx, originLookupTimeout) == nil; !l.listed {
		return "", false
	}
	l.refreshHistory()
	return l.onlyVersion()
}

// awaitListed waits until this node has read the list of replicas once more if that shows none of the version of
// the origin.
func (l *originLookup) awaitListed(ctx context.Context, origin streams.Origin) {
	gateway := l.origins.gateway
	if origin.Ambiguous || origin.SoftwareVersion == "" || gateway.replicas.ListsSoftware(origin.Pool, origin.SoftwareVersion) {
		return
	}
	// After an error the request is refused, as without replicas of the version.
	l.listed = gateway.confirmListWithin(ctx, originLookupTimeout) == nil
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

// ask asks other nodes, and reads the table, until the origin is found, nobody else can know it, or enough nodes
// report a single version for a stream that its caller did not name. A node that has just started waits until it
// has read which other nodes there are.
func (l *originLookup) ask(ctx context.Context) (streams.Origin, originSource) {
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	message := l.newQuery()
	const sendsPerNode = 1 + int(originLookupTimeout/originRequeryInterval)
	replies := l.origins.pending.RegisterMany(message.ID, (originQueries+1)*sendsPerNode)
	defer l.origins.pending.Forget(message.ID)
	resend := time.NewTicker(originRequeryInterval)
	defer resend.Stop()
	l.lastAskedAt = clock.Now()
	l.send(message)
	for l.isOpen() {
		l.readTable(ctx)
		select {
		case reply := <-replies:
			if l.query.Named && reply.Known {
				return reply.origin(), originOtherNode
			}
			l.record(&reply)
			if !l.query.Named && (l.history.Several || l.needed > 0 && l.witnesses >= l.needed) {
				return streams.Origin{}, originUnknown
			}
		case found := <-l.read:
			l.read, l.isRead = nil, true
			if found.known {
				return found.origin, originTable
			}
		case <-resend.C:
			l.send(message)
		case <-ctx.Done():
			return streams.Origin{}, originUnknown
		}
	}
	return streams.Origin{}, originUnknown
}

// isOpen reports whether there is anything left that the origin may be learned from.
func (l *originLookup) isOpen() bool {
	return l.awaitsReplies() || l.read != nil || l.readsTable() || l.awaitsMembers()
}

// awaitsMembers reports whether this node has yet to read which other nodes there are, and to ask them.
func (l *originLookup) awaitsMembers() bool {
	return l.origins.gateway.peers != nil && !l.membersAsked
}

// readsTable reports whether this node is to read the table now. Origins are written there while a pool runs
// several versions. In a large fleet the node that wrote the origin reads it, unless it does not reply.
func (l *originLookup) readsTable() bool {
	if !l.query.Named || l.history.Single || l.read != nil || l.isRead {
		return false
	}
	if l.origins.gateway.readsOrigin(l.query.ID) {
		return true
	}
	writer := l.origins.gateway.nodes.originWriter(l.query.ID)
	return slices.Contains(l.silent, writer) && !l.awaitsReplies()
}

// readTable starts to read the table if this node is to.
func (l *originLookup) readTable(ctx context.Context) {
	if !l.readsTable() {
		return
	}
	read := make(chan readOrigin, 1)
	l.read = read
	archive, id, lifetime := l.origins.archive, l.query.ID, l.query.Lifetime
	go func() {
		origin, known := archive.Find(ctx, id, lifetime)
		read <- readOrigin{origin, known}
	}()
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
	if l.origins.gateway.peers == nil {
		return
	}
	l.membersAsked = l.origins.gateway.jobWatch.Populated()
	reader := ""
	if l.query.Named && !l.origins.gateway.readsOrigin(l.query.ID) {
		reader = l.origins.gateway.nodes.originWriter(l.query.ID)
	}
	if len(l.asked) < originQueries {
		for _, node := range l.origins.holders(message.Stream, originQueries) {
			l.add(node)
		}
	}
	if reader != "" {
		l.add(reader)
	}
	l.needed = min(originWitnesses, len(l.asked))
	for _, node := range l.silent {
		message.Read = node == reader
		l.origins.gateway.sendToNode(node, peer.KindStreamQuery, message)
	}
}

// add adds a node to those that are asked.
func (l *originLookup) add(node string) {
	if !slices.Contains(l.asked, node) {
		l.asked, l.silent, l.lastAskedAt = append(l.asked, node), append(l.silent, node), clock.Now()
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
