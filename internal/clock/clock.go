// Package clock provides a clock that continues while the machine is suspended.
//
// The monotonic clock of package time stops during a suspension on the systems that nodes run on. A
// node that uses it would consider a lease valid that has expired during the suspension, and old
// information current. Leases, time windows, ages and deadlines therefore use this package, so that
// a suspension has the same effect as a process that is stopped for as long.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bootTimeCheckInterval is the maximum monotonic time between two reads of the boot time. A
	// read is a system call that takes about 100 ns.
	bootTimeCheckInterval = 100 * time.Millisecond
	// clockTolerance is the maximum difference between two clocks that are read one after the
	// other. A shorter difference is not considered a suspension.
	clockTolerance = time.Millisecond
	// readAttempts limits the attempts to read two clocks close enough together.
	readAttempts = 4
	// maxProcessAge is the maximum age of a process. A monotonic time beyond it belongs to the
	// simulated clock of a test, in which there are no suspensions.
	maxProcessAge = 20 * 365 * 24 * time.Hour
	// deadlineCheckInterval is the maximum delay with which a deadline that passed during a
	// suspension is detected.
	deadlineCheckInterval = 200 * time.Millisecond
)

// processStart is the reference for all clock readings.
var processStart = time.Now()

// reading is a reading of the clocks.
type reading struct {
	// monotonic is the monotonic time since processStart.
	monotonic time.Duration
	// wallOffset is how far the wall clock is ahead of the monotonic clock since processStart. It
	// changes with a suspension or when the wall clock is set.
	wallOffset time.Duration
	// suspended is the total duration of suspensions since processStart. It is never less than the real
	// one, apart from those within clockTolerance: leases must not appear younger than they are.
	suspended time.Duration
	// lead is the least possible lead of the boot time when suspended last increased.
	lead time.Duration
	// resumedAt is the time, as returned by Now, at which suspended last increased.
	resumedAt time.Time
}

var (
	lastReading atomic.Pointer[reading]
	readMu      sync.Mutex
	// bootTimeSource reads the boot time; leadAtStart is its least possible lead at processStart.
	bootTimeSource = bootTime
	leadAtStart    = readLeadAtStart()
)

// readLeadAtStart returns the least possible lead of the boot time at processStart, or 0 if there is no
// boot time.
func readLeadAtStart() time.Duration {
	for {
		lead, ok := readLead(bootTimeSource)
		if ok {
			return lead.least
		}
		if _, supported := bootTimeSource(); !supported {
			return 0
		}
	}
}

// CountsSuspension reports whether this system has a clock that includes suspensions. If not, Now
// returns the monotonic clock.
func CountsSuspension() bool {
	_, ok := bootTimeSource()
	return ok
}

// Now returns the wall clock at the start of the process plus the time elapsed since then, including
// suspensions. The result has a monotonic reading that also includes suspensions. Differences
// between results of Now are therefore independent of changes to the wall clock, as are differences
// to times of package time while the machine has not been suspended. Differences between wall clock
// readings are not: with a clock slewed by 5 ms per second they are off by half a second after 100 s.
func Now() time.Time {
	now := time.Now()
	monotonic := now.Sub(processStart)
	if monotonic < 0 || monotonic > maxProcessAge {
		return now.Round(0)
	}
	wallOffset := now.Round(0).Sub(processStart.Round(0)) - monotonic
	latest := lastReading.Load()
	if latest == nil || (wallOffset-latest.wallOffset).Abs() > clockTolerance || monotonic-latest.monotonic > bootTimeCheckInterval {
		latest = readClocks(monotonic, wallOffset)
	}
	return processStart.Add(monotonic + latest.suspended)
}

// Since returns the time elapsed since a time returned by Now.
func Since(then time.Time) time.Duration { return Now().Sub(then) }

// Until returns the time until a time comparable with Now.
func Until(then time.Time) time.Duration { return then.Sub(Now()) }

// Suspended returns the total time for which the machine was suspended since the process started.
func Suspended() time.Duration {
	Now()
	if latest := lastReading.Load(); latest != nil {
		return latest.suspended
	}
	return 0
}

// SinceResume returns the time since the end of the last suspension was detected. It returns false
// if there was none.
func SinceResume() (time.Duration, bool) {
	now := Now()
	latest := lastReading.Load()
	if latest == nil || latest.resumedAt.IsZero() {
		return 0, false
	}
	return now.Sub(latest.resumedAt), true
}

// readClocks reads the boot time and stores a new reading.
func readClocks(monotonic, wallOffset time.Duration) *reading {
	readMu.Lock()
	defer readMu.Unlock()
	next := reading{monotonic: monotonic, wallOffset: wallOffset, lead: leadAtStart}
	if previous := lastReading.Load(); previous != nil {
		next.suspended, next.resumedAt, next.lead = previous.suspended, previous.resumedAt, previous.lead
	}
	// Suspensions only add up; a smaller value is a measurement error.
	if lead, ok := readLead(bootTimeSource); ok && lead.most-next.lead > clockTolerance {
		next.suspended += lead.most - next.lead
		next.lead = lead.least
		next.resumedAt = processStart.Add(monotonic + next.suspended)
	}
	lastReading.Store(&next)
	return &next
}

// leadBounds are the bounds of how far the boot time is ahead of the monotonic clock since processStart. The
// clocks are read one after the other, so the lead is known only within the time that this takes.
type leadBounds struct{ least, most time.Duration }

// readLead reads source between two readings of the monotonic clock. It reports false if source has no
// value, or if the process was delayed between the readings in every attempt, which would look like a
// suspension.
func readLead(source func() (time.Duration, bool)) (leadBounds, bool) {
	for range readAttempts {
		before := time.Since(processStart)
		boot, ok := source()
		if !ok {
			return leadBounds{}, false
		}
		after := time.Since(processStart)
		if after-before < clockTolerance/2 {
			return leadBounds{least: boot - after, most: boot - before}, true
		}
	}
	return leadBounds{}, false
}

// WithDeadline is like context.WithDeadlineCause for a deadline comparable with Now. A deadline that
// passes while the machine is suspended is detected shortly after the machine resumes.
func WithDeadline(parent context.Context, deadline time.Time, cause error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	dt := &deadlineTimer{deadline: deadline, cancel: cancel, cause: cause}
	dt.mu.Lock()
	defer dt.mu.Unlock()
	dt.timer = time.AfterFunc(min(max(0, Until(deadline)), deadlineCheckInterval), dt.check)
	return &deadlineContext{Context: ctx, deadline: deadline}, func() {
		dt.stop()
		cancel(context.Canceled)
	}
}

// deadlineContext is a context whose Deadline is a time of package time.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c *deadlineContext) Deadline() (time.Time, bool) {
	local := time.Now().Add(Until(c.deadline))
	if parent, ok := c.Context.Deadline(); ok && parent.Before(local) {
		return parent, true
	}
	return local, true
}

// Err implements context.Context.
func (c *deadlineContext) Err() error {
	err := c.Context.Err()
	if err == nil {
		return nil
	}
	if Until(c.deadline) <= 0 {
		return context.DeadlineExceeded
	}
	return err
}

// deadlineTimer cancels a context when its deadline has passed.
type deadlineTimer struct {
	deadline time.Time
	cancel   context.CancelCauseFunc
	cause    error

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (t *deadlineTimer) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	remaining := Until(t.deadline)
	switch {
	case t.stopped:
	case remaining <= 0:
		t.cancel(t.cause)
	default:
		t.timer.Reset(min(remaining, deadlineCheckInterval))
	}
}

func (t *deadlineTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// SetBootTimeSource replaces the system's boot time by source until restore is called. It is for
// tests and for programs that simulate suspensions. It must not be called concurrently with itself.
func SetBootTimeSource(source func() (time.Duration, bool)) (restore func()) {
	readMu.Lock()
	previousSource, previousLeadAtStart := bootTimeSource, leadAtStart
	bootTimeSource = source
	leadAtStart = readLeadAtStart()
	lastReading.Store(nil)
	readMu.Unlock()
	return func() {
		readMu.Lock()
		defer readMu.Unlock()
		bootTimeSource, leadAtStart = previousSource, previousLeadAtStart
		lastReading.Store(nil)
	}
}

// ForceCheck makes the next call of Now read the boot time.
func ForceCheck() {
	readMu.Lock()
	defer readMu.Unlock()
	if current := lastReading.Load(); current != nil {
		next := *current
		next.monotonic -= 2 * bootTimeCheckInterval
		lastReading.Store(&next)
	}
}
