package node

import (
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/platform"
)

// watch returns a watcher of a feed that logs when its source is lost and regained.
func (g *Gateway) watch(name string, feed table.Feed, apply func(table.Changes, bool)) *table.Watcher {
	watcher := table.NewWatcher(feed, apply)
	watcher.Lost = func(err error) {
		g.log.Warn().Str("dependency", name).Err(err).Msg("dependency lost")
	}
	watcher.Regained = func(outage time.Duration) {
		g.replicas.Outage(outage, time.Now())
		g.log.Info().Str("dependency", name).Dur("outage_ms", outage).Msg("dependency regained")
	}
	return watcher
}

// applyConfig puts a newer configuration in force. One that cannot be read
// leaves the last good one in force.
func (g *Gateway) applyConfig(changes table.Changes, _ bool) {
	for _, change := range changes.Changes {
		if change.Removed || !platform.IsConfig(change.Sort) {
			continue
		}
		config, err := platform.DecodeConfig(change.Body)
		if err != nil {
			g.log.Error().Err(err).Uint64("row_version", change.Version).Msg("configuration refused, the last good one stays in force")
			continue
		}
		next := route.NewTable(config)
		if g.routes.Replace(next) {
			g.log.Info().Uint64("version", config.Version).Uint64("row_version", change.Version).
				Int("routes", next.Routes()).Msg("configuration in force")
		}
	}
}

// applyReplicas takes in changes of the list of replicas.
func (g *Gateway) applyReplicas(changes table.Changes, whole bool) {
	for _, change := range changes.Changes {
		if change.Removed {
			g.replicas.Remove(change.Sort, time.Now())
			g.log.Info().Str("replica", change.Sort).Uint64("row_version", change.Version).Bool("whole_read", whole).Msg("replica gone from list")
			continue
		}
		info, err := platform.DecodeReplica(change.Sort, change.Body)
		if err != nil {
			g.log.Error().Err(err).Str("replica", change.Sort).Msg("replica entry refused")
			continue
		}
		added := g.replicas.Put(info)
		if added || info.Leaving {
			g.log.Info().Str("replica", info.ID).Str("pool", info.Pool).Str("address", info.Address).
				Str("zone", info.Zone).Bool("leaving", info.Leaving).Uint64("row_version", change.Version).Msg("replica listed")
		}
	}
}

func (g *Gateway) logEjected(info replica.Info, result replica.Result) {
	g.log.Warn().Str("replica", info.ID).Str("address", info.Address).Stringer("result", result).Msg("replica ejected")
}
