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
	// lookEvery is how much steady time passes at most between two looks at the clock that
	// counts suspensions: a look is a system call, of some 100 ns.
	lookEvery = 100 * time.Millisecond
	// tolerance is how far two readings of clocks may lie apart that are taken one after the
	// other. What is shorter is no suspension.
	tolerance = time.Millisecond
	// readTries bounds how often the clocks are read until they are read close together.
	readTries = 4
	// longestLife bounds the life of a process. A steady clock beyond it is one that tests
	// make up, in which nothing is suspended.
	longestLife = 20 * 365 * 24 * time.Hour
	// deadlineLook is how late a deadline that passed in a suspension is noticed after it.
	deadlineLook = 200 * time.Millisecond
)

// origin is when the process began to look at clocks.
var origin = time.Now()

// reading is what the last look showed.
type reading struct {
	// steady is when that was, by the steady clock since origin.
	steady time.Duration
	// drift is how far the time of day had run ahead of the steady clock since origin. It
	// changes when the machine was suspended, or when the time of day was set.
	drift time.Duration
	// slept is the time since origin that the steady clock left out.
	slept time.Duration
	// woke is when slept last grew, by Now.
	woke time.Time
}

var (
	last   atomic.Pointer[reading]
	lookMu sync.Mutex
	// source reads the clock that counts suspensions; begun is what it showed at origin.
	source = bootTime
	begun  = sourceBegun()
)

// sourceBegun returns what the source showed at origin.
func sourceBegun() time.Duration {
	for {
		now, steady, ok := readBoth(source)
		if ok {
			return now - steady
		}
		if _, tells := source(); !tells {
			return 0
		}
	}
}

// CountsSuspension reports whether this system has a clock that counts suspensions. If not,
// Now is the steady clock.
func CountsSuspension() bool {
	_, ok := source()
	return ok
}

// Now returns the time: the time of day of the process's start, and what has passed since,
// suspensions too. Its monotonic reading counts them as well, so times of Now are compared by what
// passed between them whatever is done to the time of day meanwhile, and so are they with times
// of package time while the machine has not been suspended: a time of day that is brought
// into line by 5 ms a second is half a second off after 100 s.
func Now() time.Time {
	now := time.Now()
	steady := now.Sub(origin)
	if steady < 0 || steady > longestLife {
		return now.Round(0)
	}
	drift := now.Round(0).Sub(origin.Round(0)) - steady
	known := last.Load()
	if known == nil || (drift-known.drift).Abs() > tolerance || steady-known.steady > lookEvery {
		known = look(steady, drift)
	}
	return origin.Add(steady + known.slept)
}

// Since returns the time that has passed since a time of Now.
func Since(then time.Time) time.Duration { return Now().Sub(then) }

// Until returns the time until a time of Now.
func Until(then time.Time) time.Duration { return then.Sub(Now()) }

// Suspended returns how long the machine has been suspended since the process began.
func Suspended() time.Duration {
	Now()
	if known := last.Load(); known != nil {
		return known.slept
	}
	return 0
}

// SinceWake returns the time since the machine was last found to have been suspended. It
// reports false if it never was.
func SinceWake() (time.Duration, bool) {
	now := Now()
	known := last.Load()
	if known == nil || known.woke.IsZero() {
		return 0, false
	}
	return now.Sub(known.woke), true
}

// look reads the clock that counts suspensions.
func look(steady, drift time.Duration) *reading {
	lookMu.Lock()
	defer lookMu.Unlock()
	next := reading{steady: steady, drift: drift}
	if known := last.Load(); known != nil {
		next.slept, next.woke = known.slept, known.woke
	}
	if boot, at, ok := readBoth(source); ok {
		// A suspension adds; what shrinks is an error of reading.
		if slept := boot - begun - at; slept > next.slept+tolerance {
			next.slept = slept
			next.woke = origin.Add(steady + slept)
		}
	}
	last.Store(&next)
	return &next
}

// readBoth reads a source and the steady clock close together. It returns the reading of the
// source, and that of the steady clock since origin. It reports false if the source tells
// nothing, or if each time something came between the two readings: what lies between them
// would look like a suspension.
func readBoth(source func() (time.Duration, bool)) (boot, steady time.Duration, ok bool) {
	for range readTries {
		before := time.Since(origin)
		boot, ok = source()
		if !ok {
			return 0, 0, false
		}
		after := time.Since(origin)
		if after-before < tolerance/2 {
			return boot, before + (after-before)/2, true
		}
	}
	return 0, 0, false
}

// WithDeadline is context.WithDeadlineCause for a time of Now. A deadline that passes while
// the machine is suspended is noticed shortly after that.
func WithDeadline(parent context.Context, deadline time.Time, cause error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	watch := &deadlineWatch{deadline: deadline, cancel: cancel, cause: cause}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.timer = time.AfterFunc(min(max(0, Until(deadline)), deadlineLook), watch.check)
	return &deadlineContext{Context: ctx, deadline: deadline}, func() {
		watch.stop()
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
	own := time.Now().Add(Until(c.deadline))
	if parent, ok := c.Context.Deadline(); ok && parent.Before(own) {
		return parent, true
	}
	return own, true
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

// deadlineWatch cancels a context when its deadline has passed.
type deadlineWatch struct {
	deadline time.Time
	cancel   context.CancelCauseFunc
	cause    error

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (w *deadlineWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := Until(w.deadline)
	switch {
	case w.stopped:
	case left <= 0:
		w.cancel(w.cause)
	default:
		w.timer.Reset(min(left, deadlineLook))
	}
}

func (w *deadlineWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// SetSource has a source take the place of the system's clock that counts suspensions, until
// restore is called: for tests, and for programs that try out what a suspension does. It is
// not safe for concurrent use with itself.
func SetSource(with func() (time.Duration, bool)) (restore func()) {
	lookMu.Lock()
	before, beforeBegun := source, begun
	source = with
	begun = sourceBegun()
	last.Store(nil)
	lookMu.Unlock()
	return func() {
		lookMu.Lock()
		defer lookMu.Unlock()
		source, begun = before, beforeBegun
		last.Store(nil)
	}
}

// Look has the next reading of the time look at the clock that counts suspensions.
func Look() {
	lookMu.Lock()
	defer lookMu.Unlock()
	if known := last.Load(); known != nil {
		next := *known
		next.steady -= 2 * lookEvery
		last.Store(&next)
	}
}
