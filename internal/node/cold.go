package node

import (
	"context"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// coldLogInterval is the time between two checks for replicas that became cold or warm. Only the
// log depends on these checks.
const coldLogInterval = 500 * time.Millisecond

// coldLimits returns the limits of cold replicas, by pool.
func coldLimits(config *route.Config) map[string]replica.ColdLimit {
	limits := map[string]replica.ColdLimit{}
	for _, declared := range config.Pools {
		if declared.ColdRate > 0 {
			limits[declared.Name] = replica.ColdLimit{Rate: declared.ColdRate, Start: declared.ColdStart}
		}
	}
	return limits
}

// runColdLog logs which replicas become cold or warm, and when all are presumed cold because the
// replica list is old, until the context ends.
func (c *core) runColdLog(ctx context.Context) {
	presumed := false
	for retry.Sleep(ctx, coldLogInterval) {
		if current := c.replicas.PresumesCold(clock.Now()); current != presumed {
			presumed = current
			c.logPresumedCold(presumed)
		}
		for _, change := range c.replicas.ColdChanges(clock.Now()) {
			c.logCold(change)
		}
	}
}

// logPresumedCold logs that all replicas are presumed cold, or no longer are.
func (c *core) logPresumedCold(presumed bool) {
	if presumed {
		c.log.Warn().Msg("replica list is old, its replicas are taken as cold")
		return
	}
	c.log.Info().Msg("replica list is current again")
}

func (c *core) logCold(change replica.ColdChange) {
	entry := c.sampled.Info().Str("replica", change.Info.ID).Str("pool", change.Info.Pool).
		Str("zone", change.Info.Zone).Stringer("reason", change.Reason).Dur("for_ms", change.For)
	if change.Cold {
		entry.Dur("left_ms", change.Left).Msg("replica taken as cold")
		return
	}
	entry.Msg("replica taken as warm")
}

// registerCold registers the metrics of cold replicas.
func (m *coreMetrics) registerCold(replicas *replica.Set) {
	m.gauge("wheelhoist_gateway_replicas_cold", "Replicas that are taken as cold.", func() float64 {
		return float64(replicas.CountCold(clock.Now()))
	})
	m.counter("wheelhoist_gateway_cold_held_total", "Sends held back, and waits, because replicas were cold.", func() float64 {
		return float64(replicas.ColdHeldBack())
	})
}
