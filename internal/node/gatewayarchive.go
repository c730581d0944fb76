package node

import (
	"time"

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
	// minOriginInterval is the least time between two writes of a node.
	minOriginInterval = 50 * time.Millisecond
	// severalVersionsPeriod is how long after its last replica has left a software version counts as one that a
	// pool runs.
	severalVersionsPeriod = time.Minute
)

// newArchive returns the archive of the origins of streams.
func (g *Gateway) newArchive(service table.Service, registry *streams.Registry) *streams.Archive {
	return &streams.Archive{
		Partition: originPartition, Table: service, Registry: registry, Writer: g.session.ID,
		Needed:    func(pool string) bool { return g.softwareHistory(pool, severalVersionsPeriod).Several },
		Interval:  g.originInterval,
		Wanted:    func(id streams.ID) bool { return g.nodes.originWriter(id) == g.settings.Node.ID },
		OwnsSweep: func() bool { return g.owners.Preferred(originPartition) == g.session.ID() },
		OnError:   func(err error) { g.sampled.Warn().Err(err).Msg("origins of streams not written or not read") },
	}
}

// originInterval returns the time between two writes of origins by this node, so that all writers together stay
// within their share of the store's writes.
func (g *Gateway) originInterval() time.Duration {
	writes := defaultOriginWrites
	if g.settings.Gateway.StoreWrites > 0 {
		writes = max(1, g.settings.Gateway.StoreWrites/originWriteShare)
	}
	writers := min(len(g.nodes.others())+1, originWriters)
	return max(minOriginInterval, time.Duration(writers)*time.Second/time.Duration(writes))
}
