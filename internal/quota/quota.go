// Package quota enforces request limits per tenant across all nodes.
//
// A limit bounds the requests in any sliding window, so a tenant may use in a burst what it did
// not use before. Each tenant has an owner node, chosen by rendezvous hashing, whose Allocator
// counts the tenant's requests in the last window. While much capacity is available, a node's
// Limiter admits requests locally, within its share of that capacity, and reports them to the
// owner afterwards. When little is available, or the tenant is new to the node, the node
// queries the owner before it admits a request, which takes a few milliseconds.
//
// Messages carry cumulative counts since the node started, so lost, late and duplicate messages
// cause no lasting error. A node that receives no grants keeps to its last share of the demand
// for shareExpiry, then to an equal share of the limit until equalShareExpiry. The owner assumes
// that the node uses these shares until they have left the window. A node that never received a
// grant may admit one request per window.
//
// An owner that loses only the store keeps counting for every node that reaches it. If it is cut
// off from other nodes too, a successor counts for those. Each of the two then reserves an equal
// share of the limit for every node that does not answer it.
package quota

import (
	"fmt"
	"math"
	"time"
)

// Limit is a tenant's request limit across all nodes.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// Tolerance is how far distributed enforcement may exceed a limit.
type Tolerance struct {
	// Slack is the number of extra requests allowed in any window.
	Slack float64
	// Window is the length of the sliding window over which a limit is enforced. If it is not
	// positive, defaultWindow is used.
	Window time.Duration
	// SlackRatio is the number of extra requests as a fraction of the limit for a window. It is
	// added to Slack.
	SlackRatio float64
}

// toleranceShare is the fraction of the tolerance that is granted to tenants, so that reports
// delayed by half a second cause no refusals below the limit. The rest covers messages in flight.
const toleranceShare = 0.25

const (
	// queryTimeout bounds the wait for the owner's answer. A round trip takes about 3 ms, but a
	// node with a small share of a core may stall for some tens of milliseconds.
	queryTimeout = 60 * time.Millisecond
	// queryRetryDelay is the time after which an unanswered query is sent again, because
	// datagrams may be lost.
	queryRetryDelay = 20 * time.Millisecond
)

// window returns the length of the sliding window.
func (t Tolerance) window() time.Duration {
	if t.Window <= 0 {
		return defaultWindow
	}
	return t.Window
}

// defaultWindow is the window length if none is configured.
const defaultWindow = 5 * time.Second

// nominal returns the number of requests that limit allows in a window, without tolerance.
func (t Tolerance) nominal(limit Limit) float64 {
	return limit.Rate*t.window().Seconds() + limit.Burst
}

// capacity returns the number of requests that the owner grants in a window, at least one.
func (t Tolerance) capacity(limit Limit) float64 {
	return max(1, t.nominal(limit)+toleranceShare*t.overshoot(limit))
}

// overshoot returns the number of requests that may be admitted beyond limit in a window.
func (t Tolerance) overshoot(limit Limit) float64 { return t.SlackRatio*t.nominal(limit) + t.Slack }

// RefusalError reports that a request was refused because its tenant exceeds its limit. The
// request did not run.
type RefusalError struct {
	Tenant string
	Limit  Limit
	// Share is this node's share of the limit, or 1 if the owner refused the request.
	Share float64
	// GrantAge is the time since the owner's last answer, negative if there was none.
	GrantAge time.Duration
	// RetryAfter is the time after which this node is expected to have capacity again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("tenant %s exceeds its limit of %g requests per second, retry after %s", e.Tenant, e.Limit.Rate, e.RetryAfter.Round(time.Millisecond))
}

const (
	// numBuckets is the number of buckets in a window.
	numBuckets = 50
	// numSpans is the number of spans in a reported window. A span combines several buckets, to
	// keep reports small.
	numSpans = 5
)

// window counts events in a sliding window. It may include up to one bucket of older events.
type window struct {
	counts [numBuckets + 1]float64
	total  float64
	// newest is the number of the newest bucket. Buckets are numbered from origin by the
	// monotonic clock, because the wall clock may jump.
	newest int64
	origin time.Time
}

// advance moves the window to now and drops the events that have left it.
func (w *window) advance(length time.Duration, now time.Time) {
	if w.origin.IsZero() {
		// Leave one window of buckets before now for counts that addSpans receives.
		w.origin = now.Add(-length)
	}
	newest := int64(now.Sub(w.origin) / (length / numBuckets))
	if newest-w.newest > numBuckets {
		*w = window{newest: newest, origin: w.origin}
		return
	}
	for w.newest < newest {
		w.newest++
		oldest := &w.counts[w.newest%int64(len(w.counts))]
		w.total -= *oldest
		*oldest = 0
	}
}

// add counts events in the newest bucket.
func (w *window) add(count float64) {
	w.counts[w.newest%int64(len(w.counts))] += count
	w.total += count
}

// spanCounts returns the number of events in each span of the window, newest first.
func (w *window) spanCounts() []uint32 {
	spans := make([]uint32, numSpans)
	for age := range int64(numBuckets) {
		if bucket := w.newest - age; bucket >= 0 {
			spans[age*numSpans/numBuckets] += uint32(max(0, w.counts[bucket%int64(len(w.counts))]))
		}
	}
	return spans
}

// addSpans adds the counts that another node reported by spanCounts. Each span is counted at its
// end, so that no event leaves the window too early.
func (w *window) addSpans(spans []uint32) {
	for i, count := range spans[:min(len(spans), numSpans)] {
		if bucket := w.newest - int64(i)*numBuckets/numSpans; bucket >= 0 {
			w.counts[bucket%int64(len(w.counts))] += float64(count)
			w.total += float64(count)
		}
	}
}

// removeNewest removes count events, starting with the newest. Subtracting them all from the
// newest bucket could make it negative and undercount after the original events have left the
// window.
func (w *window) removeNewest(count float64) {
	for bucket := w.newest; bucket > w.newest-int64(len(w.counts)) && bucket >= 0 && count > 0; bucket-- {
		inBucket := &w.counts[bucket%int64(len(w.counts))]
		removed := min(count, *inBucket)
		*inBucket -= removed
		w.total -= removed
		count -= removed
	}
}

// meterTimeConstant is long enough to cover a few requests of a small tenant and short enough to
// follow a burst of some seconds.
const meterTimeConstant = 2 * time.Second

// meter estimates an event rate per second as an exponentially weighted moving average.
type meter struct {
	value     float64
	updatedAt time.Time
}

// add records one event.
func (m *meter) add(now time.Time) {
	m.value = m.rate(now) + 1/meterTimeConstant.Seconds()
	m.updatedAt = now
}

// rate returns the number of events per second, decayed to now.
func (m *meter) rate(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	return m.value * math.Exp(-float64(max(0, now.Sub(m.updatedAt)))/float64(meterTimeConstant))
}
