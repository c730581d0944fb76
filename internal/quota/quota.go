// Package quota keeps tenants' limits of requests over all nodes together.
//
// A limit bounds the requests in any window of time, so that a tenant may use in a
// short pulse what it leaves in the pause. Each tenant has an owner among the nodes,
// found by rendezvous hashing, which counts the tenant's requests of the last window
// (Ledger). While there is much room, a node decides about a request at once (Gate), by
// the part of the room that it was told, and tells the owner afterwards what it let
// through. As the room shrinks, and for a tenant that is new at the node, it asks the
// owner first, which takes a few milliseconds.
//
// Messages carry sums since the node's start, so one that is lost, late or doubled
// changes nothing for good. A node that hears nothing of an owner keeps to its part of
// the demand as it was told last for partKept, and then to an equal part of all nodes'
// until soloKept. The owner presumes either of it until that has left the window. A node
// that was never told has one request in a window.
//
// An owner that is cut off from the store alone goes on counting for all who reach it.
// One that is cut off from other nodes too has a successor, and each of the two holds
// back an equal part of the limit for every node that does not answer it.
package quota

import (
	"fmt"
	"math"
	"time"
)

// Limit is a tenant's limit over all nodes.
type Limit struct {
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
}

// Tolerance is what may be let through beyond a limit for keeping it by many nodes.
type Tolerance struct {
	// Slack is a number of requests in any window.
	Slack float64
	// Window is the length of the windows over which a limit is judged.
	Window time.Duration
	// SlackRatio is a share of what a limit allows in a window.
	SlackRatio float64
}

// toleranceShare is the part of the tolerance that is given to tenants, so that reports
// that come half a second late refuse nobody below the limit; the rest is left for
// messages under way.
const toleranceShare = 0.25

const (
	// askTimeout bounds the wait for an owner's answer: a way there and back takes some
	// 3 ms, a node with a small share of a core may be held up for a few times 10 ms.
	askTimeout = 60 * time.Millisecond
	// askRetryDelay is the wait after which the owner is asked once more, for datagrams are
	// lost now and then.
	askRetryDelay = 20 * time.Millisecond
)

// window is the length of the windows.
func (t Tolerance) window() time.Duration {
	if t.Window <= 0 {
		return defaultWindow
	}
	return t.Window
}

// defaultWindow is what the users' deployments state.
const defaultWindow = 5 * time.Second

// nominal is how many requests a limit allows in a window.
func (t Tolerance) nominal(limit Limit) float64 {
	return limit.Rate*t.window().Seconds() + limit.Burst
}

// capacity is how many requests are let through in a window, at least one.
func (t Tolerance) capacity(limit Limit) float64 {
	return max(1, t.nominal(limit)+toleranceShare*t.overshoot(limit))
}

// overshoot is how many requests in a window may be let through overshoot a limit.
func (t Tolerance) overshoot(limit Limit) float64 { return t.SlackRatio*t.nominal(limit) + t.Slack }

// RefusalError is a refusal of a request beyond a limit; the request did not run.
type RefusalError struct {
	Tenant string
	Limit  Limit
	// Share is this node's part of the limit, ToldAge how long ago its owner answered;
	// negative if it never did.
	Share    float64
	GrantAge time.Duration
	// RetryAfter is when there is room again at this node.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("tenant %s is beyond %g requests a second, come back in %s", e.Tenant, e.Limit.Rate, e.RetryAfter.Round(time.Millisecond))
}

const (
	// numBuckets is the number of pieces that a window is counted in.
	numBuckets = 50
	// numSpans is the number of longer pieces by which a node tells of its window.
	numSpans = 5
)

// window counts events of a sliding window, up to a piece longer than that.
type window struct {
	counts [numBuckets + 1]float64
	total  float64
	// newest is the number of the newest piece. Pieces are counted from origin by the steady
	// clock: the time of day may jump.
	newest int64
	origin time.Time
}

// advance drops what has left the window.
func (w *window) advance(length time.Duration, now time.Time) {
	if w.origin.IsZero() {
		// What others tell of the time before has room below the first piece.
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

// add counts events as of now.
func (w *window) add(count float64) {
	w.counts[w.newest%int64(len(w.counts))] += count
	w.total += count
}

// spanCounts returns the events of the window by spanCounts of it, the newest first.
func (w *window) spanCounts() []uint32 {
	counts := make([]uint32, numSpans)
	for age := range int64(numBuckets) {
		if bucket := w.newest - age; bucket >= 0 {
			counts[age*numSpans/numBuckets] += uint32(max(0, w.counts[bucket%int64(len(w.counts))]))
		}
	}
	return counts
}

// addSpans takes in what another has told of its window. Each span counts as of its
// end, so that none leaves the window too early.
func (w *window) addSpans(counts []uint32) {
	for i, count := range counts[:min(len(counts), numSpans)] {
		if bucket := w.newest - int64(i)*numBuckets/numSpans; bucket >= 0 {
			w.counts[bucket%int64(len(w.counts))] += float64(count)
			w.total += float64(count)
		}
	}
}

// removeNewest takes the newest events out again. Taken from the present instead, they
// would be missing there once those that they stand for have left the window.
func (w *window) removeNewest(count float64) {
	for bucket := w.newest; bucket > w.newest-int64(len(w.counts)) && bucket >= 0 && count > 0; bucket-- {
		inBucket := &w.counts[bucket%int64(len(w.counts))]
		removed := min(count, *inBucket)
		*inBucket -= removed
		w.total -= removed
		count -= removed
	}
}

// meterTimeConstant is how far back demand is looked at: long enough to see a few requests
// of a small tenant, short enough to follow a pulse of some seconds.
const meterTimeConstant = 2 * time.Second

// meter estimates a rate of events, by an exponentially weighted mean.
type meter struct {
	rate      float64
	updatedAt time.Time
}

func (m *meter) add(now time.Time) {
	m.rate = m.value(now) + 1/meterTimeConstant.Seconds()
	m.updatedAt = now
}

func (m *meter) value(now time.Time) float64 {
	if m.rate == 0 {
		return 0
	}
	return m.rate * math.Exp(-float64(max(0, now.Sub(m.updatedAt)))/float64(meterTimeConstant))
}
