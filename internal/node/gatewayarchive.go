package node

import (
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/peer"
	"github.com/wheelhoist/wheelhoist/internal/streams"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// originPartition is the partition of the origins of streams.
	originPartition = "stream-origins"
	// originWriteShare is the share of the store's writes that origins may take, as a divisor, and
	// defaultOriginWrites their number per second if that of the store is not known.
	originWriteShare    = 6
	defaultOriginWrites = 100
	// minOriginInterval is the least time between two writes of a node. Many streams last no longer than 0.2 s.
	minOriginInterval = 15 * time.Millisecond
	// severalVersionsPeriod is how long after its last replica has left a software version counts as one that a
	// pool runs.
	severalVersionsPeriod = time.Minute
	// maxOriginReaders is the number of nodes up to which each reads the table itself. In a larger fleet the node
	// that wrote an origin reads it.
	maxOriginReaders = 32
	// maxAcknowledgedOrigins bounds the streams in one message.
	maxAcknowledgedOrigins = 64
)

// originAcknowledgement is the body of peer.KindStreamOriginWritten.
type originAcknowledgement struct {
	Streams []streams.ID `cbor:"1,keyasint"`
}

// newArchive returns the archive of the origins of streams.
func (g *Gateway) newArchive(service table.Service, registry *streams.Registry) *streams.Archive {
	return &streams.Archive{
		Partition: originPartition, Table: service, Registry: registry, Session: g.session.ID,
		Needed:    func(pool string) bool { return g.softwareHistory(pool, severalVersionsPeriod).Several },
		Interval:  g.originInterval,
		Wanted:    g.readsOrigin,
		OwnsSweep: func() bool { return g.owners.Preferred(originPartition) == g.session.ID() },
		OnWritten: g.acknowledgeOrigins,
		OnError:   func(err error) { g.sampled.Warn().Err(err).Msg("origins of streams not written or not read") },
	}
}

// originInterval returns the least time between two writes of origins by this node, so that all nodes together stay
// within their share of the store's writes. A node that is no writer writes if a writer does not.
func (g *Gateway) originInterval() time.Duration {
	writes := defaultOriginWrites
	if g.settings.Gateway.StoreWrites > 0 {
		writes = max(1, g.settings.Gateway.StoreWrites/originWriteShare)
	}
	writers := g.nodes.originWriters()
	sharing := len(writers)
	if !slices.Contains(writers, g.settings.Node.ID) {
		sharing = len(g.nodes.others()) + 1
	}
	return max(minOriginInterval, time.Duration(sharing)*time.Second/time.Duration(writes))
}

// readsOrigin reports whether this node reads the origin of a stream from the table itself.
func (g *Gateway) readsOrigin(id streams.ID) bool {
	return len(g.nodes.others()) < maxOriginReaders || g.nodes.originWriter(id) == g.settings.Node.ID
}

// acknowledgeOrigins tells another node that origins which it sent are in the table.
func (g *Gateway) acknowledgeOrigins(node string, ids []streams.ID) {
	for chunk := range slices.Chunk(ids, maxAcknowledgedOrigins) {
		g.sendToNode(node, peer.KindStreamOriginWritten, originAcknowledgement{Streams: chunk})
	}
}

// handleOriginWritten handles peer.KindStreamOriginWritten.
func (o *streamOrigins) handleOriginWritten(from string, _ *net.UDPAddr, body []byte) {
	var message originAcknowledgement
	if err := cbor.Unmarshal(body, &message); err != nil {
		o.gateway.sampled.Warn().Str("node", lease.Node(from)).Err(err).Msg("acknowledgement of origins cannot be decoded")
		return
	}
	o.archive.Acknowledge(message.Streams)
}
