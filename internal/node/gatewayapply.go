package node

import (
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/platform"
)

// applyConfig takes in what the operator declares. Evacuations come first, whatever
// their versions: no request is sent before there are routes, so none goes by routes
// without the evacuations that were declared beside them. They go by the whole read as
// well as by the feed; table.Watcher hands on what a whole read lacks as removed.
func (g *Gateway) applyConfig(changes table.Changes, _ bool) {
	g.applyEvacuations(changes)
	g.applyRoutes(changes)
}

// applyEvacuations takes in which zones the operator empties.
func (g *Gateway) applyEvacuations(changes table.Changes) {
	versions := g.evacuations.versions()
	for _, change := range changes.Changes {
		zone, ok := platform.EvacuatedZone(change.Sort)
		switch {
		case !ok:
		case change.Removed:
			delete(versions, zone)
		default:
			versions[zone] = change.Version
		}
	}
	g.setEvacuations(versions, changes.Revision)
}

// applyRoutes puts a newer configuration in force. One that cannot be read
// leaves the last good one in force.
func (g *Gateway) applyRoutes(changes table.Changes) {
	for _, change := range changes.Changes {
		if change.Removed || !platform.IsConfig(change.Sort) {
			continue
		}
		config, err := platform.DecodeConfig(change.Body)
		if err != nil {
			g.countUnreadable(change.AsUnreadable(table.Content, err))
			g.log.Error().Err(err).Uint64("row_version", change.Version).Msg("configuration refused, the last good one stays in force")
			continue
		}
		g.replaceRoutes(config, change.Version)
		g.reportUndeclaredPools()
	}
}

// applyReplicas takes in changes of the list of replicas. An entry that cannot be read names
// no replica to use; the others hold.
func (g *Gateway) applyReplicas(changes table.Changes, whole bool) {
	for _, change := range changes.Changes {
		if change.Removed {
			g.removeReplica(change.Sort, change.Version, whole)
			continue
		}
		info, err := platform.DecodeReplica(change.Sort, change.Body)
		if err != nil {
			g.retireReplica(change.Row, err)
			continue
		}
		g.reportUndeclaredPool(change.Row, info)
		g.putReplica(info, change.Version, whole)
	}
	if whole {
		g.logReplicaList(changes.Revision)
	}
}
