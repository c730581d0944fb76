package node

import (
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/poolsoftware"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/streams"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Nodes update the row of a pool one after the other, so that a change of versions takes one write.
const (
	// recordTurnTime is the time that each node leaves to the ones before it, and recordTurnNodes the number of
	// nodes that have a turn of their own.
	recordTurnTime  = 150 * time.Millisecond
	recordTurnNodes = 8
)

// newPoolSoftware returns the records of the software versions that pools have run.
func (g *Gateway) newPoolSoftware(service table.Service) *poolsoftware.Records {
	return &poolsoftware.Records{
		Partition: jobs.SoftwarePartition(), Table: service,
		Listed: func() map[string][]string { return g.replicas.ListedSoftware(clock.Now()) },
		Turn:   g.recordTurn,
		OnUpdated: func(pool string, versions []string) {
			g.log.Info().Str("pool", pool).Strs("software", versions).Msg("software versions of a pool recorded")
		},
		OnError: func(pool string, err error) {
			g.sampled.Warn().Str("pool", pool).Err(err).Msg("software versions of a pool not recorded yet")
		},
	}
}

// recordTurn returns how long this node leaves the update of a pool's row to other nodes.
func (g *Gateway) recordTurn(pool string) time.Duration {
	before := slices.Index(g.nodes.streamHolders(streams.NewID("", pool), recordTurnNodes), g.settings.Node.ID)
	if before < 0 {
		before = recordTurnNodes
	}
	return time.Duration(before) * recordTurnTime
}

// softwareHistory returns what is known of the software versions of a pool, from the list of replicas and from
// the table; nothing if the pool is empty.
func (g *Gateway) softwareHistory(pool string, period time.Duration) replica.SoftwareHistory {
	if pool == "" {
		return replica.SoftwareHistory{}
	}
	now := clock.Now()
	seen := g.replicas.SoftwareHistory(pool, period, now)
	if seen.Several {
		return seen
	}
	recorded := g.poolSoftware.History(pool, g.replicas.PoolSoftware(pool, now), period)
	if recorded.Several || !seen.Single {
		return recorded
	}
	return seen
}
