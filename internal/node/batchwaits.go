package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/batch"
	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// groupCollector tells what the groups of batches that this node feeds wait for.
type groupCollector struct {
	account func(now time.Time) []batch.GroupCount
	now     func() time.Time
}

var (
	groupsWaiting = prometheus.NewDesc("wheelhoist_batch_groups_waiting",
		"Groups of batches fed by this node that have no result for good, by what they wait for.", []string{"reason"}, nil)
	groupsOldest = prometheus.NewDesc("wheelhoist_batch_groups_waiting_oldest_seconds",
		"The longest time for which a group of a batch waits for the same, by what it waits for.", []string{"reason"}, nil)
)

// Describe implements prometheus.Collector.
func (c *groupCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- groupsWaiting
	descriptions <- groupsOldest
}

// Collect implements prometheus.Collector.
func (c *groupCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, one := range c.account(c.now()) {
		metrics <- prometheus.MustNewConstMetric(groupsWaiting, prometheus.GaugeValue, float64(one.Count), one.For.String())
		metrics <- prometheus.MustNewConstMetric(groupsOldest, prometheus.GaugeValue, one.Oldest.Seconds(), one.For.String())
	}
}

// runGroupLog logs groups of batches that wait for longer than they should, until the context
// ends.
func (n *Node) runGroupLog(ctx context.Context) {
	for retry.Sleep(ctx, waitLook) {
		overdue := n.feeder.Overdue(clock.Now())
		for _, one := range overdue[:min(len(overdue), waitLines)] {
			n.log.Warn().Str("batch", one.Batch).Int("group", one.Group).Str("waits_for", one.For.String()).
				Dur("for_ms", clock.Since(one.Begun)).Dur("bound_ms", one.For.Bound()).Int("overdue", len(overdue)).
				AnErr("cause", one.Cause).Msg("group of a batch does not come on")
		}
	}
}

// batchWaits tells who runs the items of a batch, and what those of this node wait for.
func (n *Node) batchWaits(id string) []v1.BatchWait {
	var waits []v1.BatchWait
	concerns := func(job string) bool { return batch.BatchOf(job) == id }
	for _, one := range n.runner.WaitsByNode(n.session.ID(), clock.Now(), concerns) {
		wait := v1.BatchWait{Node: one.Node, Items: one.Items, OldestSeconds: one.Oldest.Seconds()}
		if one.Known {
			wait.Reason = one.For.String()
		}
		waits = append(waits, wait)
	}
	return waits
}
