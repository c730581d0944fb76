package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/server"
)

const (
	// waitCheckInterval is the time between two checks for items that make no progress.
	waitCheckInterval = 5 * time.Second
	// maxWaitLogLines bounds the log lines of one check. Items that wait together mostly have the
	// same cause.
	maxWaitLogLines = 5
	// sendCheckInterval is the time between two checks for items that wait to be sent, and slowSend how
	// long one must have waited to be logged: longer than until it borrows a slot.
	sendCheckInterval = time.Second
	slowSend          = replica.BorrowAfter + time.Second
)

// itemWaitCollector exports how many items of this node wait, and for what.
type itemWaitCollector struct {
	counts func(now time.Time) []jobs.WaitCount
	now    func() time.Time
}

var (
	itemsWaiting = prometheus.NewDesc("wheelhoist_items_waiting",
		"Items of this node that are not listed, by what they wait for.", []string{"reason"}, nil)
	oldestItemWait = prometheus.NewDesc("wheelhoist_items_waiting_oldest_seconds",
		"The longest time for which an item of this node has not come on, by what it waits for.", []string{"reason"}, nil)
)

// Describe implements prometheus.Collector.
func (c *itemWaitCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- itemsWaiting
	descriptions <- oldestItemWait
}

// Collect implements prometheus.Collector.
func (c *itemWaitCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, count := range c.counts(c.now()) {
		metrics <- prometheus.MustNewConstMetric(itemsWaiting, prometheus.GaugeValue, float64(count.Count), count.Reason.String())
		metrics <- prometheus.MustNewConstMetric(oldestItemWait, prometheus.GaugeValue, count.Oldest.Seconds(), count.Reason.String())
	}
}

// waitCounts counts the waiting items of this node by reason, in the form that the status shows.
// Reasons without items are left out.
func (c *core) waitCounts() []server.WaitCount {
	var waits []server.WaitCount
	for _, count := range c.runner.WaitCounts(clock.Now()) {
		if count.Count > 0 {
			waits = append(waits, server.WaitCount{Reason: count.Reason.String(), Items: count.Count, Oldest: count.Oldest.Seconds()})
		}
	}
	return waits
}

// runOverdueItemLog logs items that have waited longer than they should, until the context ends.
func (c *core) runOverdueItemLog(ctx context.Context) {
	for retry.Sleep(ctx, waitCheckInterval) {
		overdue := c.runner.Overdue(clock.Now())
		for _, item := range overdue[:min(len(overdue), maxWaitLogLines)] {
			c.log.Warn().Str("job", item.Job).Str("item", item.Item).Str("waits_for", item.Reason.String()).
				Str("replica", item.Replica).Dur("for_ms", clock.Since(item.Since)).Dur("still_ms", clock.Since(item.LastProgress)).
				Dur("bound_ms", item.Reason.OverdueAfter()).Int("overdue", len(overdue)).AnErr("cause", item.Cause).
				Msg("item makes no progress")
		}
	}
}

// runSlowSendLog logs items that have waited to be sent for slowSend, until the context ends. How late
// a check comes shows how short of CPU time the node is.
func (c *core) runSlowSendLog(ctx context.Context) {
	for last := clock.Now(); retry.Sleep(ctx, sendCheckInterval); {
		now := clock.Now()
		late := now.Sub(last) - sendCheckInterval
		last = now
		waiting := c.runner.NotSent(slowSend, now)
		for _, item := range waiting[:min(len(waiting), maxWaitLogLines)] {
			line := c.log.Info().Str("job", item.Job).Str("item", item.Item).Str("waits_for", item.Reason.String()).
				Dur("for_ms", now.Sub(item.Since)).Dur("still_ms", now.Sub(item.LastProgress)).AnErr("cause", item.Cause)
			if !item.BorrowedAt.IsZero() {
				line = line.Dur("borrow_age_ms", now.Sub(item.BorrowedAt)).AnErr("borrow_error", item.BorrowErr)
			}
			line.Int("waiting", len(waiting)).Dur("check_late_ms", late).Msg("item waits to be sent")
		}
	}
}
