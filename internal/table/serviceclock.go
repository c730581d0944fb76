package table

import (
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
)

const (
	// stampResolution is the resolution of time stamps. Services round them down.
	stampResolution = time.Millisecond
	// maxClockDrift bounds the difference of the rates of two clocks.
	maxClockDrift = 100e-6
)

// ServiceClock tells until when answers of a service are complete. The service stamps its answers
// with its own monotonic clock, whose offset from the local clock is unknown. An answer is not
// generated before it was requested, so each call bounds the offset from below: by the time between
// its request and its answer, the bound is too low. The largest bound is used, so the result is as
// exact as the fastest call, and an answer is never taken for more recent than it is, however late it
// arrives. The zero value is ready for use. It is safe for concurrent use.
type ServiceClock struct {
	mu sync.Mutex
	// offset is the largest bound of local time less service time. It holds for the generation of the
	// answer that was requested at sent and received at received; both are zero before the first answer.
	offset         time.Duration
	sent, received time.Time
}

// AsOf returns a local time up to which an answer is complete, given the local times at which it was
// requested and received and its time stamp. The result is not before sent, and not after the time
// at which the service generated the answer.
func (c *ServiceClock) AsOf(sent, received time.Time, stamp time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	measured := sent.Sub(clockOrigin) - stamp - stampResolution
	known := c.offsetBetween(sent, received)
	if c.sent.IsZero() || measured >= known || stamp+known > received.Sub(clockOrigin) {
		// In the last case the service's clock has been set forward, and the known bound is void.
		c.offset, c.sent, c.received = measured, sent, received
		known = measured
	}
	asOf := clockOrigin.Add(stamp + known)
	if asOf.Before(sent) {
		return sent
	}
	return asOf
}

// offsetBetween returns the bound of the offset at any time between sent and received. Between that time
// and the one for which the bound was measured, in either order, the clocks may have drifted. The caller
// holds mu.
func (c *ServiceClock) offsetBetween(sent, received time.Time) time.Duration {
	apart := max(received.Sub(c.sent), c.received.Sub(sent))
	return c.offset - time.Duration(maxClockDrift*float64(apart))
}

// withAsOf sets AsOf of an answer unless its feed has set it.
func (w *Watcher) withAsOf(sent time.Time, changes Changes) Changes {
	if changes.AsOf.IsZero() {
		changes.AsOf = w.serviceClock.AsOf(sent, clock.Now(), changes.Now)
	}
	return changes
}
