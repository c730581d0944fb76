package table

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// Watch timing.
const (
	// watchWait bounds one wait for changes, so that a silent connection is noticed.
	watchWait = 1500 * time.Millisecond
	// watchSlack is how much longer than its wait a call may take.
	watchSlack = 900 * time.Millisecond
	// watchReadTimeout bounds the read of a page; many nodes that start at the
	// same time share the store's link.
	watchReadTimeout = 4 * time.Second
	// watchReadFirst bounds the first try of a page, and doubles with each failure: a
	// page that was lost in an outage must not hold up the read long after it.
	watchReadFirst  = time.Second
	watchRetryFirst = 25 * time.Millisecond
	watchRetryMax   = 300 * time.Millisecond
	// pageFailures in a row end a whole read, and pageRetryMax bounds the pause
	// between them.
	pageFailures = 20
	pageRetryMax = time.Second
)

// Watcher follows a feed and hands every change to Apply, in order. A view
// never steps back: of each row only newer versions are handed on, and a row is
// taken as removed by a whole read only if that read is newer than what is known.
type Watcher struct {
	Feed Feed
	// Apply takes changes. whole marks the answer of a whole read.
	Apply func(changes Changes, whole bool)
	// Pace, if set, bounds the number of calls while much changes.
	Pace func() Pace
	// Lost and Regained are told when the service stops and starts to answer.
	Lost     func(error)
	Regained func(outage time.Duration)

	// Reread is told of each whole read that is done but the first: the feed stood still all
	// the while, and what was known is as old as it took. It may be nil.
	Reread func(WholeRead)

	// Keep has the watcher keep the rows themselves, for Held. It is set before use.
	Keep bool

	// mu orders what is taken in from the service and from Seed.
	mu       sync.Mutex
	known    map[Key]uint64
	held     map[Key]Row
	revision uint64
	// fresh is when the service gave the newest answer, seeded when it gave the one that a
	// seed came from, since clockOrigin; 0 is never.
	fresh  atomic.Int64
	seeded atomic.Int64
	// answered is when any call was last answered, a page of a whole read also.
	answered atomic.Int64
	failedAt time.Time
	source   sourceClock
	refresh  chan struct{}
	// announced holds an announcement of news until the next rest between calls.
	announced chan struct{}
}

// Pace is the least time between the beginnings of two calls of a watcher.
type Pace struct {
	// Announced holds while somebody has announced news, Usual otherwise.
	Announced, Usual time.Duration
}

// WholeRead is how a read of a whole group went.
type WholeRead struct {
	// Pages that were answered, and tries that failed.
	Pages, Failures int
	Took            time.Duration
}

// clockOrigin makes steady times comparable as integers.
var clockOrigin = clock.Now()

// NewWatcher returns a watcher that has seen nothing.
func NewWatcher(feed Feed, apply func(Changes, bool)) *Watcher {
	return &Watcher{Feed: feed, Apply: apply, known: map[Key]uint64{}, held: map[Key]Row{}, refresh: make(chan struct{}, 1), announced: make(chan struct{}, 1)}
}

// Age returns the time since the service gave the newest answer, here or, before the first one,
// where a seed came from. A whole read is as old as its first page.
func (w *Watcher) Age() time.Duration {
	fresh := w.fresh.Load()
	if fresh == 0 {
		fresh = w.seeded.Load()
	}
	return clock.Since(clockOrigin) - time.Duration(fresh)
}

// Silence returns the time since the service last answered any call of this watcher, a
// page of a whole read that is not done yet also; since the start of the process if none.
func (w *Watcher) Silence() time.Duration {
	return clock.Since(clockOrigin) - time.Duration(w.answered.Load())
}

// Informed reports whether the whole group has been read once, here or where a seed came
// from.
func (w *Watcher) Informed() bool { return w.Ready() || w.seeded.Load() != 0 }

// Held returns the rows of the group as they were known an age ago. Keep must be set.
func (w *Watcher) Held() (held Changes, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held.Revision = w.revision
	for _, row := range w.held {
		held.Changes = append(held.Changes, Change{Row: row})
	}
	return held, w.Age()
}

// Seed takes in the rows of the group as somebody else knew them an age ago, until the
// service answers here: its first whole read then takes the place of them. They go to
// apply. It reports whether they were taken.
func (w *Watcher) Seed(held Changes, age time.Duration, apply func(Changes, bool)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.Informed() {
		return false
	}
	w.seeded.Store(int64(clock.Since(clockOrigin) - age))
	w.note(held.Changes)
	apply(held, true)
	return true
}

// note notes the versions of rows, and the rows if they are kept. The caller holds mu.
func (w *Watcher) note(changes []Change) {
	for _, change := range changes {
		if change.Removed {
			delete(w.known, change.Key)
			delete(w.held, change.Key)
			continue
		}
		w.known[change.Key] = change.Version
		if w.Keep {
			w.held[change.Key] = change.Row
		}
	}
}

// Ready reports whether the whole group has been read once.
func (w *Watcher) Ready() bool { return w.fresh.Load() != 0 }

// Refresh asks for a whole read soon, because the feed seems to be behind.
func (w *Watcher) Refresh() {
	select {
	case w.refresh <- struct{}{}:
	default:
	}
}

// Announce says that there is news, or that somebody waits for some: the rest between
// two calls ends early.
func (w *Watcher) Announce() {
	select {
	case w.announced <- struct{}{}:
	default:
	}
}

// Run follows the feed until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	whole := true
	delay := watchRetryFirst
	for ctx.Err() == nil {
		began := clock.Now()
		err := w.step(ctx, whole)
		switch {
		case err == nil:
			whole = false
			delay = watchRetryFirst
			w.rest(ctx, began)
		case errors.Is(err, ErrCompacted):
			whole = true
		case ctx.Err() == nil:
			w.failed(err)
			retry.Sleep(ctx, jittered(delay))
			delay = min(2*delay, watchRetryMax)
		}
		select {
		case <-w.refresh:
			whole = true
		default:
		}
	}
}

// rest waits until the next call after one that began at a time.
func (w *Watcher) rest(ctx context.Context, began time.Time) {
	if w.Pace == nil {
		return
	}
	pace := w.Pace()
	usual := time.NewTimer(pace.Usual - clock.Since(began))
	defer usual.Stop()
	select {
	case <-ctx.Done():
	case <-usual.C:
	case <-w.announced:
		retry.Sleep(ctx, pace.Announced-clock.Since(began))
	}
}

func (w *Watcher) step(ctx context.Context, whole bool) error {
	if whole {
		return w.stepWhole(ctx)
	}
	callCtx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	asked := clock.Now()
	changes, err := w.Feed.After(callCtx, w.revision, watchWait)
	if err == nil {
		changes = w.answeredAt(asked, changes)
		w.succeeded(changes)
		w.take(changes, false)
	}
	return err
}

// stepWhole reads the whole group and takes it in.
func (w *Watcher) stepWhole(ctx context.Context) error {
	began := clock.Now()
	again := w.Ready()
	changes, read, err := w.readWhole(ctx)
	if err != nil {
		return err
	}
	w.succeeded(changes)
	w.takeWhole(changes)
	if again && w.Reread != nil {
		read.Took = clock.Since(began)
		w.Reread(read)
	}
	return nil
}

// readWhole reads all pages. A page that fails is read again by itself, so that
// many nodes that start at the same time get through a store that refuses some.
// The read counts as of its first page: what changes meanwhile comes by the feed.
func (w *Watcher) readWhole(ctx context.Context) (Changes, WholeRead, error) {
	var whole Changes
	var cursor Cursor
	var read WholeRead
	failures := 0
	for first := true; !cursor.Done; {
		page, next, err := w.readPage(ctx, cursor, failures)
		if err != nil {
			failures++
			read.Failures++
			if failures > pageFailures || ctx.Err() != nil {
				return Changes{}, read, err
			}
			retry.Sleep(ctx, jittered(min(watchRetryFirst<<min(failures, 8), pageRetryMax)))
			continue
		}
		failures = 0
		read.Pages++
		whole.Changes = append(whole.Changes, page.Changes...)
		if first {
			whole.Revision, whole.AsOf = page.Revision, page.AsOf
		}
		whole.Now, cursor, first = page.Now, next, false
	}
	return whole, read, nil
}

// readPage makes one try of a page that has failed so many times.
func (w *Watcher) readPage(ctx context.Context, cursor Cursor, failures int) (Changes, Cursor, error) {
	callCtx, cancel := context.WithTimeout(ctx, min(watchReadFirst<<min(failures, 8), watchReadTimeout))
	defer cancel()
	asked := clock.Now()
	page, next, err := w.Feed.Page(callCtx, cursor)
	if err != nil {
		return page, next, err
	}
	w.answered.Store(int64(clock.Since(clockOrigin)))
	return w.answeredAt(asked, page), next, nil
}

// jittered returns between half and all of a delay, so that nodes that were
// refused together do not come back together.
func jittered(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay/2+1)
}

// takeWhole turns a whole read into changes: rows that it lacks were removed.
func (w *Watcher) takeWhole(read Changes) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if read.Revision < w.revision {
		return
	}
	present := make(map[Key]bool, len(read.Changes))
	for _, change := range read.Changes {
		present[change.Key] = true
	}
	for key := range w.known {
		if !present[key] {
			removed := Change{Row: Row{Key: key, Version: read.Revision}, Removed: true}
			read.Changes = append(read.Changes, removed)
		}
	}
	w.takeLocked(read, true)
}

func (w *Watcher) take(changes Changes, whole bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takeLocked(changes, whole)
}

// takeLocked is take for a caller that holds mu.
func (w *Watcher) takeLocked(changes Changes, whole bool) {
	newer := changes.Changes[:0]
	for _, change := range changes.Changes {
		if change.Version <= w.known[change.Key] {
			continue
		}
		newer = append(newer, change)
	}
	w.note(newer)
	changes.Changes = newer
	w.revision = max(w.revision, changes.Revision)
	w.Apply(changes, whole)
}

// succeeded notes an answer. It comes before the changes are applied, so that
// those who take them know of an outage that lies behind.
func (w *Watcher) succeeded(changes Changes) {
	given := int64(changes.AsOf.Sub(clockOrigin))
	if known := w.fresh.Load(); !changes.More && (known == 0 || given > known) {
		w.fresh.Store(given)
	}
	w.answered.Store(int64(clock.Since(clockOrigin)))
	if !w.failedAt.IsZero() && w.Regained != nil {
		w.Regained(clock.Since(w.failedAt))
	}
	w.failedAt = time.Time{}
}

func (w *Watcher) failed(err error) {
	if w.failedAt.IsZero() {
		w.failedAt = clock.Now()
		if w.Lost != nil {
			w.Lost(err)
		}
	}
}
