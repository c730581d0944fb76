package node

import (
	"errors"
	"strings"

	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/platform"
)

// errUndeclaredPool reports a replica of a pool that the configuration does not declare.
var errUndeclaredPool = errors.New("the configuration declares no such pool")

// logUnreadable logs and counts a row that cannot be read.
func (c *core) logUnreadable(unreadable *table.UnreadableError) {
	c.countUnreadable(unreadable)
	c.log.Error().Str("partition", unreadable.Key.Partition).Str("key", unreadable.Key.Sort).Uint64("row_version", unreadable.Version).
		Str("reason", string(unreadable.Reason)).Err(unreadable.Err).Msg("row cannot be read")
}

// countUnreadable counts a row that cannot be read, by table and reason.
func (c *core) countUnreadable(unreadable *table.UnreadableError) {
	name, _, _ := strings.Cut(unreadable.Key.Partition, "/")
	c.metrics.unreadable.WithLabelValues(name, string(unreadable.Reason)).Inc()
}

// logMalformed logs a row with an invalid encoding. It is for readers that see each version of a
// row only once.
func (c *core) logMalformed(key table.Key, err error) {
	c.logUnreadable(&table.UnreadableError{Key: key, Reason: table.Encoding, Err: err})
}

// retireReplica handles a replica whose row cannot be read. The replica that was known under the ID
// may be alive, its row overwritten by another writer: its requests continue, but nothing more is
// sent to it, and its slots are not divided because no node may use them. It gets requests again
// once a readable row arrives.
func (c *core) retireReplica(row table.Row, err error) {
	c.unreadable.Report(row.AsUnreadable(table.Content, err))
	info, ok := c.replicas.Get(row.Sort)
	if !ok {
		return
	}
	info.Leaving, info.Slots, info.ColdLeft = true, 0, 0
	c.replicas.Put(info)
}

// reportUndeclaredPool reports a replica whose pool is not declared. The replica is kept, because
// the declaration may follow; no request is routed to it.
func (g *Gateway) reportUndeclaredPool(row table.Row, info replica.Info) {
	routes := g.routes.Load()
	if routes == nil || routes.HasPool(info.Pool) {
		return
	}
	g.unreadable.Report(row.AsUnreadable(table.Unknown, errUndeclaredPool))
}

// reportUndeclaredPools reports the listed replicas whose pools a new configuration does not
// declare.
func (g *Gateway) reportUndeclaredPools() {
	if g.replicaWatch == nil {
		return
	}
	listed, _ := g.replicaWatch.Snapshot()
	for _, change := range listed.Changes {
		if info, err := platform.DecodeReplica(change.Sort, change.Body); err == nil {
			g.reportUndeclaredPool(change.Row, info)
		}
	}
}
