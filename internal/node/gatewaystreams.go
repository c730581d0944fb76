package node

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/streams"
)

const (
	// originCopies is the number of other nodes that hold the origin of a stream. They are in different
	// zones if there are enough.
	originCopies = 3
	// originQueries is the number of nodes that are asked for the origin of a stream. It exceeds
	// originCopies because the lists of nodes differ for a while after nodes join or leave.
	originQueries = 8
	// originQueryTimeout bounds a query, which delays the first event of a continued stream.
	originQueryTimeout = 200 * time.Millisecond
	// originRequeryInterval is the time after which nodes that have not replied are asked again, since
	// datagrams may be lost.
	originRequeryInterval = 50 * time.Millisecond
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
}

// originQuery is the body of peer.KindStreamQuery.
type originQuery struct {
	ID     uint64     `cbor:"1,keyasint"`
	Stream streams.ID `cbor:"2,keyasint"`
}

// originReply is the body of peer.KindStreamReply. ID is that of the query.
type originReply struct {
	ID              uint64 `cbor:"1,keyasint"`
	Known           bool   `cbor:"2,keyasint"`
	Pool            string `cbor:"3,keyasint,omitempty"`
	SoftwareVersion string `cbor:"4,keyasint,omitempty"`
	Ambiguous       bool   `cbor:"5,keyasint,omitempty"`

	// from is the node that replied.
	from string
}

// origin returns the origin that the reply reports.
func (r *originReply) origin() streams.Origin {
	return streams.Origin{Pool: r.Pool, SoftwareVersion: r.SoftwareVersion, Ambiguous: r.Ambiguous}
}

// streamOrigins implements forward.StreamOrigins with messages between nodes.
type streamOrigins struct {
	gateway  *Gateway
	registry streams.Registry
	pending  peer.Pending[originReply]
}

var _ forward.StreamOrigins = (*streamOrigins)(nil)

// handleStreamOrigins makes this node hold origins of streams for other nodes.
func (g *Gateway) handleStreamOrigins(socket *peer.Socket) {
	socket.Handle(peer.KindStreamOrigin, g.streamOrigins.handleOrigin)
	socket.Handle(peer.KindStreamQuery, g.streamOrigins.handleQuery)
	socket.Handle(peer.KindStreamReply, g.streamOrigins.handleReply)
}

// Record implements forward.StreamOrigins. The messages leave before it returns, but may be lost.
func (o *streamOrigins) Record(id streams.ID, origin streams.Origin, until time.Time) {
	keep := maxOriginRetention
	if !until.IsZero() {
		keep = min(keep, clock.Until(until))
	}
	o.registry.Put(id, origin, keep)
	if o.gateway.peers == nil {
		return
	}
	message := originMessage{
		Stream: id, Pool: origin.Pool, SoftwareVersion: origin.SoftwareVersion, Ambiguous: origin.Ambiguous, KeepMs: keep.Milliseconds(),
	}
	for _, node := range o.holders(id, originCopies) {
		o.gateway.sendToNode(node, peer.KindStreamOrigin, message)
	}
}

// holders returns the first other nodes to hold the origin of a stream, up to count.
func (o *streamOrigins) holders(id streams.ID, count int) []string {
	nodes := o.gateway.nodes.streamHolders(id, count+1)
	nodes = slices.DeleteFunc(nodes, func(node string) bool { return node == o.gateway.settings.Node.ID })
	return nodes[:min(count, len(nodes))]
}

// Find implements forward.StreamOrigins.
func (o *streamOrigins) Find(ctx context.Context, id streams.ID) (origin streams.Origin, known bool) {
	if origin, known = o.registry.Get(id); known {
		o.gateway.metrics.originLookups.WithLabelValues("here").Inc()
		return origin, true
	}
	if o.gateway.peers != nil {
		origin, known = o.query(ctx, id)
	}
	if !known {
		o.gateway.metrics.originLookups.WithLabelValues("unknown").Inc()
		return streams.Origin{}, false
	}
	o.gateway.metrics.originLookups.WithLabelValues("other_node").Inc()
	return origin, true
}

// query asks other nodes for the origin of a stream, until one knows it or all have replied.
func (o *streamOrigins) query(ctx context.Context, id streams.ID) (origin streams.Origin, known bool) {
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	query := originQuery{ID: rand.Uint64(), Stream: id}
	silent := o.holders(id, originQueries)
	const sendsPerNode = 1 + int(originQueryTimeout/originRequeryInterval)
	replies := o.pending.RegisterMany(query.ID, len(silent)*sendsPerNode)
	defer o.pending.Forget(query.ID)
	resend := time.NewTicker(originRequeryInterval)
	defer resend.Stop()
	o.send(silent, query)
	for len(silent) > 0 {
		select {
		case reply := <-replies:
			if reply.Known {
				return reply.origin(), true
			}
			silent = slices.DeleteFunc(silent, func(node string) bool { return node == reply.from })
		case <-resend.C:
			o.send(silent, query)
		case <-ctx.Done():
			return streams.Origin{}, false
		}
	}
	return streams.Origin{}, false
}

// send sends a query to nodes.
func (o *streamOrigins) send(nodes []string, query originQuery) {
	for _, node := range nodes {
		o.gateway.sendToNode(node, peer.KindStreamQuery, query)
	}
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
}

// handleQuery handles peer.KindStreamQuery.
func (o *streamOrigins) handleQuery(from string, source *net.UDPAddr, body []byte) {
	var query originQuery
	if err := cbor.Unmarshal(body, &query); err != nil {
		o.gateway.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("query for the origin of a stream cannot be decoded")
		return
	}
	origin, known := o.registry.Get(query.Stream)
	reply := originReply{
		ID: query.ID, Known: known, Pool: origin.Pool, SoftwareVersion: origin.SoftwareVersion, Ambiguous: origin.Ambiguous,
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
