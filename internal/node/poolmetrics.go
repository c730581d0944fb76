package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// poolCollector exports the figures of each pool that scheduling decisions depend on. The number of
// its series is bounded by the number of pools.
type poolCollector struct {
	replicas *replica.Set
	now      func() time.Time
}

// poolMetric is a metric with one value for each pool.
type poolMetric struct {
	description *prometheus.Desc
	value       func(replica.PoolStats) float64
}

func newPoolMetric(name, help string, value func(replica.PoolStats) float64) poolMetric {
	return poolMetric{prometheus.NewDesc("wheelhoist_pool_"+name, help, []string{"pool"}, nil), value}
}

var poolMetrics = []poolMetric{
	newPoolMetric("slots", "Slots of this node by the division among nodes.", func(s replica.PoolStats) float64 { return float64(s.Share) }),
	newPoolMetric("online_open", "Online requests of this node under way.", func(s replica.PoolStats) float64 { return float64(s.Open) }),
	newPoolMetric("online_level", "Slots that online requests of this node are expected to need.", func(s replica.PoolStats) float64 { return s.Level }),
	newPoolMetric("fleet_usage", "Part of all slots that online requests of all nodes need, as nodes told.", func(s replica.PoolStats) float64 { return s.FleetUsage }),
	newPoolMetric("items_running", "Items of this node under way in its own slots.", func(s replica.PoolStats) float64 { return float64(s.Items) }),
	newPoolMetric("items_borrowed", "Items of this node under way in slots of other nodes.", func(s replica.PoolStats) float64 { return float64(s.Borrowed) }),
	newPoolMetric("slot_hold_seconds", "How long a slot is held at a time, learned.", func(s replica.PoolStats) float64 { return s.SlotHold.Seconds() }),
	newPoolMetric("online_stay_seconds", "How long an online request holds a slot, learned.", func(s replica.PoolStats) float64 { return s.OnlineHold.Seconds() }),
	newPoolMetric("first_event_seconds", "Time to the first event where no slot is waited for, learned.", func(s replica.PoolStats) float64 { return s.FirstEvent.Seconds() }),
	newPoolMetric("patience_share", "Part of the time left to its objective that a request waits before an item gives way.", func(s replica.PoolStats) float64 { return s.PatienceShare }),
	newPoolMetric("reading_tokens_per_second", "How fast prompts are read, learned.", func(s replica.PoolStats) float64 { return s.PrefillRate }),
}

// Describe implements prometheus.Collector.
func (c *poolCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, metric := range poolMetrics {
		descriptions <- metric.description
	}
}

// Collect implements prometheus.Collector.
func (c *poolCollector) Collect(metrics chan<- prometheus.Metric) {
	for pool, stats := range c.replicas.PoolStats(c.now()) {
		for _, metric := range poolMetrics {
			metrics <- prometheus.MustNewConstMetric(metric.description, prometheus.GaugeValue, metric.value(stats), pool)
		}
	}
}
