package node

import (
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/platform"
)

// applyConfig applies the rows that operators declare. Evacuations come first, whatever their
// versions: no request is sent before there are routes, so none is routed without the evacuations
// that were declared with them. This holds for full reads and for changes; table.Watcher reports
// rows that are missing from a full read as removed.
func (g *Gateway) applyConfig(changes table.Changes, _ bool) {
	g.applyEvacuations(changes)
	g.applyRoutes(changes)
}

// applyEvacuations applies changes of the evacuated zones.
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

// applyRoutes puts newer configurations in force. If one cannot be read, the last valid one stays
// in force.
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

// applyReplicas applies changes of the replica list. A row that cannot be read affects only its own
// replica.
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
