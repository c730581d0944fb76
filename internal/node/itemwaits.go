package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/server"
)

const (
	// waitLook is the time between two looks for items that do not come on.
	waitLook = 5 * time.Second
	// waitLines bounds the log lines of one look. Items that wait together mostly wait for
	// the same.
	waitLines = 5
)

// waitCollector tells what the items of this node wait for.
type waitCollector struct {
	account func(now time.Time) []jobs.WaitCount
	now     func() time.Time
}

var (
	itemsWaiting = prometheus.NewDesc("wheelhoist_items_waiting",
		"Items of this node that are not listed, by what they wait for.", []string{"reason"}, nil)
	itemsOldest = prometheus.NewDesc("wheelhoist_items_waiting_oldest_seconds",
		"The longest time for which an item of this node has not come on, by what it waits for.", []string{"reason"}, nil)
)

// Describe implements prometheus.Collector.
func (c *waitCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- itemsWaiting
	descriptions <- itemsOldest
}

// Collect implements prometheus.Collector.
func (c *waitCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, one := range c.account(c.now()) {
		metrics <- prometheus.MustNewConstMetric(itemsWaiting, prometheus.GaugeValue, float64(one.Count), one.For.String())
		metrics <- prometheus.MustNewConstMetric(itemsOldest, prometheus.GaugeValue, one.Oldest.Seconds(), one.For.String())
	}
}

// itemWaits is the account of this node's items as the status shows it.
func (c *core) itemWaits() []server.ItemWait {
	var waits []server.ItemWait
	for _, one := range c.runner.WaitCounts(clock.Now()) {
		if one.Count > 0 {
			waits = append(waits, server.ItemWait{Reason: one.For.String(), Items: one.Count, Oldest: one.Oldest.Seconds()})
		}
	}
	return waits
}

// runWaitLog logs items that wait for longer than they should, until the context ends.
func (c *core) runWaitLog(ctx context.Context) {
	for retry.Sleep(ctx, waitLook) {
		overdue := c.runner.Overdue(clock.Now())
		for _, one := range overdue[:min(len(overdue), waitLines)] {
			c.log.Warn().Str("job", one.Job).Str("item", one.Item).Str("waits_for", one.For.String()).
				Str("replica", one.Replica).Dur("for_ms", clock.Since(one.Start)).Dur("still_ms", clock.Since(one.LastProgress)).
				Dur("bound_ms", one.For.Bound()).Int("overdue", len(overdue)).AnErr("cause", one.Cause).
				Msg("item does not come on")
		}
	}
}
