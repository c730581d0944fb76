package node

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/streams"
)

const (
	// originCopies is the number of other nodes that hold the origin of a stream. They are in different
	// zones if there are enough.
	originCopies = 3
	// originQueries is the number of nodes that are asked for the origin of a stream. It exceeds
	// originCopies because the lists of nodes differ for a while after nodes join or leave.
	originQueries = 8
	// originQueryTimeout bounds the wait for replies of other nodes, which delays the first event of a
	// continued stream.
	originQueryTimeout = 200 * time.Millisecond
	// originLookupTimeout bounds a whole lookup. It is longer because a node that has just started has to
	// read which other nodes there are.
	originLookupTimeout = 750 * time.Millisecond
	// originWitnesses is the number of nodes that have to report a single software version if this node
	// does not know the list of replicas for long enough itself.
	originWitnesses = 2
	// originRequeryInterval is the time after which nodes that have not replied are asked again, since
	// datagrams may be lost.
	originRequeryInterval = 50 * time.Millisecond
	// maxOriginReads bounds the queries of other nodes for which a node reads the table at the same time.
	maxOriginReads = 1024
	// maxOriginRetention bounds how long nodes hold the origin of a stream.
	maxOriginRetention = 15 * time.Minute
)

// originMessage is the body of peer.KindStreamOrigin.
type originMessage struct {
	Stream          streams.ID `cbor:"1,keyasint"`
	Pool            string     `cbor:"2,keyasint"`
	SoftwareVersion string     `cbor:"3,keyasint"`
	Ambiguous       bool       `cbor:"4,keyasint,omitempty"`
	// KeepMs is how long to keep the origin, in milliseconds.
	KeepMs int64 `cbor:"5,keyasint"`
	// Write is set if the receiver is to write the origin to the table.
	Write bool `cbor:"6,keyasint,omitempty"`
}

// originQuery is the body of peer.KindStreamQuery.
type originQuery struct {
	ID     uint64     `cbor:"1,keyasint"`
	Stream streams.ID `cbor:"2,keyasint"`
	// Pool and PeriodMs, in milliseconds, ask for the software versions that a pool has run.
	Pool     string `cbor:"3,keyasint,omitempty"`
	PeriodMs int64  `cbor:"4,keyasint,omitempty"`
	// Read is set if the receiver is to look into the table before it replies that it does not know the stream.
	Read bool `cbor:"5,keyasint,omitempty"`
}

// originReply is the body of peer.KindStreamReply. ID is that of the query.
type originReply struct {
	ID              uint64 `cbor:"1,keyasint"`
	Known           bool   `cbor:"2,keyasint"`
	Pool            string `cbor:"3,keyasint,omitempty"`
	SoftwareVersion string `cbor:"4,keyasint,omitempty"`
	Ambiguous       bool   `cbor:"5,keyasint,omitempty"`
	// Several and Single tell of the pool's replica.SoftwareHistory; SingleVersion is its version.
	Several       bool   `cbor:"6,keyasint,omitempty"`
	Single        bool   `cbor:"7,keyasint,omitempty"`
	SingleVersion string `cbor:"8,keyasint,omitempty"`

	// from is the node that replied.
	from string
}

// origin returns the origin that the reply reports.
func (r *originReply) origin() streams.Origin {
	return streams.Origin{Pool: r.Pool, SoftwareVersion: r.SoftwareVersion, Ambiguous: r.Ambiguous}
}

// history returns the software history that the reply reports.
func (r *originReply) history() replica.SoftwareHistory {
	return replica.SoftwareHistory{Several: r.Several, Single: r.Single, Version: r.SingleVersion}
}

// streamOrigins implements forward.StreamOrigins with messages between nodes.
type streamOrigins struct {
	gateway  *Gateway
	registry streams.Registry
	archive  *streams.Archive
	pending  peer.Pending[originReply]
	// reads counts the queries of other nodes for which this node reads the table.
	reads atomic.Int64
}

var _ forward.StreamOrigins = (*streamOrigins)(nil)

// handleStreamOrigins makes this node hold origins of streams for other nodes.
func (g *Gateway) handleStreamOrigins(socket *peer.Socket) {
	socket.Handle(peer.KindStreamOrigin, g.streamOrigins.handleOrigin)
	socket.Handle(peer.KindStreamQuery, g.streamOrigins.handleQuery)
	socket.Handle(peer.KindStreamReply, g.streamOrigins.handleReply)
	socket.Handle(peer.KindStreamOriginWritten, g.streamOrigins.handleOriginWritten)
}

// Record implements forward.StreamOrigins. The messages leave before it returns, but may be lost.
func (o *streamOrigins) Record(id streams.ID, origin streams.Origin, until time.Time) {
	keep := maxOriginRetention
	if !until.IsZero() {
		keep = min(keep, clock.Until(until))
	}
	o.registry.Put(id, origin, keep)
	writer := o.queue(id, origin, keep)
	if o.gateway.peers == nil {
		return
	}
	message := originMessage{
		Stream: id, Pool: origin.Pool, SoftwareVersion: origin.SoftwareVersion, Ambiguous: origin.Ambiguous, KeepMs: keep.Milliseconds(),
	}
	receivers := o.holders(id, originCopies)
	if writer != "" && !slices.Contains(receivers, writer) {
		receivers = append(receivers, writer)
	}
	for _, node := range receivers {
		message.Write = node == writer
		o.gateway.sendToNode(node, peer.KindStreamOrigin, message)
	}
}

// queue queues an origin to be written to the table, if that becomes necessary. It returns the other node that is to
// write it; empty if there is none.
func (o *streamOrigins) queue(id streams.ID, origin streams.Origin, keep time.Duration) (writer string) {
	writer = o.gateway.nodes.originWriter(id)
	if o.gateway.peers == nil || writer == o.gateway.settings.Node.ID || !o.archive.Writes(origin.Pool) {
		o.archive.Add(id, origin, keep)
		return ""
	}
	o.archive.AddUnacknowledged(id, origin, keep)
	return writer
}

// holders returns the first other nodes to hold the origin of a stream, up to count.
func (o *streamOrigins) holders(id streams.ID, count int) []string {
	nodes := o.gateway.nodes.streamHolders(id, count+1)
	nodes = slices.DeleteFunc(nodes, func(node string) bool { return node == o.gateway.settings.Node.ID })
	return nodes[:min(count, len(nodes))]
}

// Find implements forward.StreamOrigins.
func (o *streamOrigins) Find(ctx context.Context, query streams.Query) (origin streams.Origin, known bool) {
	began := clock.Now()
	lookup := &originLookup{origins: o, query: query}
	origin, source := lookup.run(ctx)
	o.gateway.metrics.originLookups.WithLabelValues(string(source), strconv.FormatBool(origin.Ambiguous)).Inc()
	o.logLookup(lookup, origin, source, clock.Since(began))
	return origin, source != originUnknown
}

// logLookup logs how a lookup ended and what this node knew. A lookup that ends a request is never left
// out, as the end of its request is not.
func (o *streamOrigins) logLookup(lookup *originLookup, origin streams.Origin, source originSource, took time.Duration) {
	log := &o.gateway.sampled
	if source == originUnknown || origin.Ambiguous {
		log = &o.gateway.log
	}
	log.Info().Str("resumes", lookup.query.Name).Hex("stream", lookup.query.ID[:]).Str("pool", lookup.query.Pool).
		Str("found", string(source)).Str("software", origin.SoftwareVersion).Bool("ambiguous", origin.Ambiguous).
		Int("asked", len(lookup.asked)).Int("silent", len(lookup.silent)).Int("nodes", len(o.gateway.nodes.others())).
		Bool("several_versions", lookup.history.Several).Bool("list_read", lookup.listed).Dur("uptime_ms", clock.Since(o.gateway.startedAt)).Dur("took_ms", took).
		Msg("stream origin looked up")
}

// handleOrigin handles peer.KindStreamOrigin.
func (o *streamOrigins) handleOrigin(from string, _ *net.UDPAddr, body []byte) {
	var message originMessage
	if err := cbor.Unmarshal(body, &message); err != nil {
		o.gateway.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("origin of a stream cannot be decoded")
		return
	}
	origin := streams.Origin{Pool: message.Pool, SoftwareVersion: message.SoftwareVersion, Ambiguous: message.Ambiguous}
	keep := min(time.Duration(message.KeepMs)*time.Millisecond, maxOriginRetention)
	if keep > 0 {
		o.registry.Put(message.Stream, origin, keep)
	}
	if message.Write {
		o.archive.AddFor(lease.Node(from), message.Stream, origin, keep)
	}
}

// handleQuery handles peer.KindStreamQuery.
func (o *streamOrigins) handleQuery(from string, source *net.UDPAddr, body []byte) {
	var query originQuery
	if err := cbor.Unmarshal(body, &query); err != nil {
		o.gateway.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("query for the origin of a stream cannot be decoded")
		return
	}
	if _, known := o.registry.Get(query.Stream); known || !query.Read {
		o.reply(from, source, &query)
		return
	}
	go func() {
		defer o.reads.Add(-1)
		if o.reads.Add(1) > maxOriginReads {
			o.reply(from, source, &query)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), originLookupTimeout)
		defer cancel()
		o.archive.Find(ctx, query.Stream, time.Duration(query.PeriodMs)*time.Millisecond)
		o.reply(from, source, &query)
	}()
}

// reply tells the sender of a query what this node knows.
func (o *streamOrigins) reply(from string, source *net.UDPAddr, query *originQuery) {
	origin, known := o.registry.Get(query.Stream)
	history := o.gateway.softwareHistory(query.Pool, time.Duration(query.PeriodMs)*time.Millisecond)
	reply := originReply{
		ID: query.ID, Known: known, Pool: origin.Pool, SoftwareVersion: origin.SoftwareVersion, Ambiguous: origin.Ambiguous,
		Several: history.Several, Single: history.Single, SingleVersion: history.Version,
	}
	if err := o.gateway.peers.Send(source, peer.KindStreamReply, reply); err != nil {
		o.gateway.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("origin of a stream not sent")
	}
}

// handleReply handles peer.KindStreamReply.
func (o *streamOrigins) handleReply(from string, _ *net.UDPAddr, body []byte) {
	var reply originReply
	if err := cbor.Unmarshal(body, &reply); err != nil {
		o.gateway.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("reply about the origin of a stream cannot be decoded")
		return
	}
	reply.from = lease.Node(from)
	o.pending.Deliver(reply.ID, reply)
}
