// Package clock tells time that goes on while the machine is suspended.
//
// The steady clock of package time stands still meanwhile, on the systems that nodes run on.
// A node that goes by it takes a lease for its own that lapsed while it slept, and what it
// last heard for new. All leases, windows, ages and deadlines of this repository go by this
// package, so a suspension is to them what a process that was stopped for as long is.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bootTimeCheckInterval is how much steady time passes at most between two looks at the clock that
	// counts suspensions: a look is a system call, of some 100 ns.
	bootTimeCheckInterval = 100 * time.Millisecond
	// clockTolerance is how far two readings of clocks may lie apart that are taken one after the
	// other. What is shorter is no suspension.
	clockTolerance = time.Millisecond
	// readAttempts bounds how often the clocks are read until they are read close together.
	readAttempts = 4
	// maxProcessAge bounds the life of a process. A steady clock beyond it is one that tests
	// make up, in which nothing is suspended.
	maxProcessAge = 20 * 365 * 24 * time.Hour
	// deadlineCheckInterval is how late a deadline that passed in a suspension is noticed after it.
	deadlineCheckInterval = 200 * time.Millisecond
)

// processStart is when the process began to look at clocks.
var processStart = time.Now()

// reading is what the last look showed.
type reading struct {
	// monotonic is when that was, by the monotonic clock since origin.
	monotonic time.Duration
	// wallOffset is how far the time of day had run ahead of the steady clock since origin. It
	// changes when the machine was suspended, or when the time of day was set.
	wallOffset time.Duration
	// suspended is the time since origin that the steady clock left out.
	suspended time.Duration
	// resumedAt is when slept last grew, by Now.
	resumedAt time.Time
}

var (
	lastReading atomic.Pointer[reading]
	readMu      sync.Mutex
	// bootTimeSource reads the clock that counts suspensions; begun is what it showed at origin.
	bootTimeSource  = bootTime
	bootTimeAtStart = readBootTimeAtStart()
)

// readBootTimeAtStart returns what the source showed at origin.
func readBootTimeAtStart() time.Duration {
	for {
		bootNow, monotonic, ok := readBoth(bootTimeSource)
		if ok {
			return bootNow - monotonic
		}
		if _, supported := bootTimeSource(); !supported {
			return 0
		}
	}
}

// CountsSuspension reports whether this system has a clock that counts suspensions. If not,
// Now is the steady clock.
func CountsSuspension() bool {
	_, ok := bootTimeSource()
	return ok
}

// Now returns the time: the time of day of the process's start, and what has passed since,
// suspensions too. Its monotonic reading counts them as well, so times of Now are compared by what
// passed between them whatever is done to the time of day meanwhile, and so are they with times
// of package time while the machine has not been suspended: a time of day that is brought
// into line by 5 ms a second is half a second off after 100 s.
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

// Since returns the time that has passed since a time of Now.
func Since(then time.Time) time.Duration { return Now().Sub(then) }

// Until returns the time until a time of Now.
func Until(then time.Time) time.Duration { return then.Sub(Now()) }

// Suspended returns how long the machine has been suspended since the process began.
func Suspended() time.Duration {
	Now()
	if latest := lastReading.Load(); latest != nil {
		return latest.suspended
	}
	return 0
}

// SinceResume returns the time since the machine was last found to have been suspended. It
// reports false if it never was.
func SinceResume() (time.Duration, bool) {
	now := Now()
	latest := lastReading.Load()
	if latest == nil || latest.resumedAt.IsZero() {
		return 0, false
	}
	return now.Sub(latest.resumedAt), true
}

// readClocks reads the clock that counts suspensions.
func readClocks(monotonic, wallOffset time.Duration) *reading {
	readMu.Lock()
	defer readMu.Unlock()
	next := reading{monotonic: monotonic, wallOffset: wallOffset}
	if previous := lastReading.Load(); previous != nil {
		next.suspended, next.resumedAt = previous.suspended, previous.resumedAt
	}
	if boot, monotonicNow, ok := readBoth(bootTimeSource); ok {
		// A suspension adds; what shrinks is an error of reading.
		if suspended := boot - bootTimeAtStart - monotonicNow; suspended > next.suspended+clockTolerance {
			next.suspended = suspended
			next.resumedAt = processStart.Add(monotonic + suspended)
		}
	}
	lastReading.Store(&next)
	return &next
}

// readBoth reads a source and the steady clock close together. It returns the reading of the
// source, and that of the steady clock since origin. It reports false if the source tells
// nothing, or if each time something came between the two readings: what lies between them
// would look like a suspension.
func readBoth(source func() (time.Duration, bool)) (boot, monotonic time.Duration, ok bool) {
	for range readAttempts {
		before := time.Since(processStart)
		boot, ok = source()
		if !ok {
			return 0, 0, false
		}
		after := time.Since(processStart)
		if after-before < clockTolerance/2 {
			return boot, before + (after-before)/2, true
		}
	}
	return 0, 0, false
}

// WithDeadline is context.WithDeadlineCause for a time of Now. A deadline that passes while
// the machine is suspended is noticed shortly after that.
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

// deadlineContext is a context that tells its deadline, by the clock of package time.
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

// SetBootTimeSource has a source take the place of the system's clock that counts suspensions, until
// restore is called: for tests, and for programs that try out what a suspension does. It is
// not safe for concurrent use with itself.
func SetBootTimeSource(source func() (time.Duration, bool)) (restore func()) {
	readMu.Lock()
	previousSource, previousBootTimeAtStart := bootTimeSource, bootTimeAtStart
	bootTimeSource = source
	bootTimeAtStart = readBootTimeAtStart()
	lastReading.Store(nil)
	readMu.Unlock()
	return func() {
		readMu.Lock()
		defer readMu.Unlock()
		bootTimeSource, bootTimeAtStart = previousSource, previousBootTimeAtStart
		lastReading.Store(nil)
	}
}

// ForceCheck has the next reading of the time look at the clock that counts suspensions.
func ForceCheck() {
	readMu.Lock()
	defer readMu.Unlock()
	if current := lastReading.Load(); current != nil {
		next := *current
		next.monotonic -= 2 * bootTimeCheckInterval
		lastReading.Store(&next)
	}
}
