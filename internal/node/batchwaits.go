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

// groupWaitCollector exports how many batch groups fed by this node wait, and for what.
type groupWaitCollector struct {
	counts func(now time.Time) []batch.WaitCount
	now    func() time.Time
}

var (
	groupsWaiting = prometheus.NewDesc("wheelhoist_batch_groups_waiting",
		"Groups of batches fed by this node that have no result for good, by what they wait for.", []string{"reason"}, nil)
	oldestGroupWait = prometheus.NewDesc("wheelhoist_batch_groups_waiting_oldest_seconds",
		"The longest time for which a group of a batch waits for the same, by what it waits for.", []string{"reason"}, nil)
)

// Describe implements prometheus.Collector.
func (c *groupWaitCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- groupsWaiting
	descriptions <- oldestGroupWait
}

// Collect implements prometheus.Collector.
func (c *groupWaitCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, count := range c.counts(c.now()) {
		metrics <- prometheus.MustNewConstMetric(groupsWaiting, prometheus.GaugeValue, float64(count.Count), count.Reason.String())
		metrics <- prometheus.MustNewConstMetric(oldestGroupWait, prometheus.GaugeValue, count.Oldest.Seconds(), count.Reason.String())
	}
}

// runOverdueGroupLog logs batch groups that have waited longer than they should, until the context
// ends.
func (n *Node) runOverdueGroupLog(ctx context.Context) {
	for retry.Sleep(ctx, waitCheckInterval) {
		overdue := n.feeder.Overdue(clock.Now())
		for _, group := range overdue[:min(len(overdue), maxWaitLogLines)] {
			n.log.Warn().Str("batch", group.Batch).Int("group", group.Group).Str("waits_for", group.Reason.String()).
				Dur("for_ms", clock.Since(group.Since)).Dur("bound_ms", group.Reason.OverdueAfter()).Int("overdue", len(overdue)).
				AnErr("cause", group.Cause).Msg("group of a batch makes no progress")
		}
	}
}

// batchWaits returns which nodes run the items of a batch, and what those of this node wait for.
func (n *Node) batchWaits(id string) []v1.BatchWait {
	var waits []v1.BatchWait
	inBatch := func(job string) bool { return batch.BatchOf(job) == id }
	for _, holder := range n.runner.WaitsByNode(n.session.ID(), clock.Now(), inBatch) {
		wait := v1.BatchWait{Node: holder.Node, Items: holder.Items, OldestSeconds: holder.Oldest.Seconds()}
		if holder.Known {
			wait.Reason = holder.Reason.String()
		}
		waits = append(waits, wait)
	}
	return waits
}
