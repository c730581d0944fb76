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
	// watchMaxWait bounds one wait for changes, so that a silent connection is noticed.
	watchMaxWait = 1500 * time.Millisecond
	// watchTimeoutMargin is how much longer than its wait a call may take.
	watchTimeoutMargin = 900 * time.Millisecond
	// pageMaxTimeout bounds the read of a page; many nodes that start at the
	// same time share the store's link.
	pageMaxTimeout = 4 * time.Second
	// pageMinTimeout bounds the first try of a page, and doubles with each failure: a
	// page that was lost in an outage must not hold up the read long after it.
	pageMinTimeout     = time.Second
	watchRetryMinDelay = 25 * time.Millisecond
	watchRetryMaxDelay = 300 * time.Millisecond
	// pageMaxFailures in a row end a whole read, and pageRetryMax bounds the pause
	// between them.
	pageMaxFailures   = 20
	pageRetryMaxDelay = time.Second
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
	// OnLost and Regained are told when the service stops and starts to answer.
	OnLost     func(error)
	OnRegained func(outage time.Duration)

	// OnReread is told of each whole read that is done but the first: the feed stood still all
	// the while, and what was known is as old as it took. It may be nil.
	OnReread func(WholeRead)

	// KeepRows has the watcher keep the rows themselves, for Held. It is set before use.
	KeepRows bool

	// mu orders what is taken in from the service and from Seed.
	mu       sync.Mutex
	versions map[Key]uint64
	rows     map[Key]Row
	revision uint64
	// newestAnswer is when the service gave the newest answer, seeded when it gave the one that a
	// seed came from, since clockOrigin; 0 is never.
	newestAnswer atomic.Int64
	seededAnswer atomic.Int64
	// lastResponse is when any call was last lastResponse, a page of a whole read also.
	lastResponse atomic.Int64
	outageStart  time.Time
	ages         ageEstimator
	refresh      chan struct{}
	// announced holds an announcement of news until the next rest between calls.
	announced chan struct{}
}

// Pace is the least time between the beginnings of two calls of a watcher.
type Pace struct {
	// AfterAnnouncement holds while somebody has announced news, Default otherwise.
	AfterAnnouncement, Default time.Duration
}

// WholeRead is how a read of a whole group went.
type WholeRead struct {
	// Pages that were answered, and tries that failed.
	Pages, Failures int
	Elapsed         time.Duration
}

// clockOrigin makes steady times comparable as integers.
var clockOrigin = clock.Now()

// NewWatcher returns a watcher that has seen nothing.
func NewWatcher(feed Feed, apply func(Changes, bool)) *Watcher {
	return &Watcher{Feed: feed, Apply: apply, versions: map[Key]uint64{}, rows: map[Key]Row{}, refresh: make(chan struct{}, 1), announced: make(chan struct{}, 1)}
}

// Age returns the time since the service gave the newest answer, here or, before the first one,
// where a seed came from. A whole read is as old as its first page.
func (w *Watcher) Age() time.Duration {
	newest := w.newestAnswer.Load()
	if newest == 0 {
		newest = w.seededAnswer.Load()
	}
	return clock.Since(clockOrigin) - time.Duration(newest)
}

// SinceLastResponse returns the time since the service last answered any call of this watcher, a
// page of a whole read that is not done yet also; since the start of the process if none.
func (w *Watcher) SinceLastResponse() time.Duration {
	return clock.Since(clockOrigin) - time.Duration(w.lastResponse.Load())
}

// Populated reports whether the whole group has been read once, here or where a seed came
// from.
func (w *Watcher) Populated() bool { return w.Ready() || w.seededAnswer.Load() != 0 }

// Snapshot returns the rows of the group as they were known an age ago. Keep must be set.
func (w *Watcher) Snapshot() (snapshot Changes, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	snapshot.Revision = w.revision
	for _, row := range w.rows {
		snapshot.Changes = append(snapshot.Changes, Change{Row: row})
	}
	return snapshot, w.Age()
}

// Seed takes in the rows of the group as somebody else knew them an age ago, until the
// service answers here: its first whole read then takes the place of them. They go to
// apply. It reports whether they were taken.
func (w *Watcher) Seed(snapshot Changes, age time.Duration, apply func(Changes, bool)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.Populated() {
		return false
	}
	w.seededAnswer.Store(int64(clock.Since(clockOrigin) - age))
	w.recordVersions(snapshot.Changes)
	apply(snapshot, true)
	return true
}

// recordVersions notes the versions of rows, and the rows if they are kept. The caller holds mu.
func (w *Watcher) recordVersions(changes []Change) {
	for _, change := range changes {
		if change.Removed {
			delete(w.versions, change.Key)
			delete(w.rows, change.Key)
			continue
		}
		w.versions[change.Key] = change.Version
		if w.KeepRows {
			w.rows[change.Key] = change.Row
		}
	}
}

// Ready reports whether the whole group has been read once.
func (w *Watcher) Ready() bool { return w.newestAnswer.Load() != 0 }

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
	delay := watchRetryMinDelay
	for ctx.Err() == nil {
		start := clock.Now()
		err := w.step(ctx, whole)
		switch {
		case err == nil:
			whole = false
			delay = watchRetryMinDelay
			w.waitForNextCall(ctx, start)
		case errors.Is(err, ErrCompacted):
			whole = true
		case ctx.Err() == nil:
			w.callFailed(err)
			retry.Sleep(ctx, jittered(delay))
			delay = min(2*delay, watchRetryMaxDelay)
		}
		select {
		case <-w.refresh:
			whole = true
		default:
		}
	}
}

// waitForNextCall waits until the next call after one that began at a time.
func (w *Watcher) waitForNextCall(ctx context.Context, start time.Time) {
	if w.Pace == nil {
		return
	}
	pace := w.Pace()
	timer := time.NewTimer(pace.Default - clock.Since(start))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.announced:
		retry.Sleep(ctx, pace.AfterAnnouncement-clock.Since(start))
	}
}

func (w *Watcher) step(ctx context.Context, whole bool) error {
	if whole {
		return w.stepWhole(ctx)
	}
	callCtx, cancel := context.WithTimeout(ctx, watchMaxWait+watchTimeoutMargin)
	defer cancel()
	sent := clock.Now()
	changes, err := w.Feed.After(callCtx, w.revision, watchMaxWait)
	if err == nil {
		changes = w.withAsOf(sent, changes)
		w.callSucceeded(changes)
		w.apply(changes, false)
	}
	return err
}

// stepWhole reads the whole group and takes it in.
func (w *Watcher) stepWhole(ctx context.Context) error {
	start := clock.Now()
	reread := w.Ready()
	changes, read, err := w.readWhole(ctx)
	if err != nil {
		return err
	}
	w.callSucceeded(changes)
	w.applyWhole(changes)
	if reread && w.OnReread != nil {
		read.Elapsed = clock.Since(start)
		w.OnReread(read)
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
	failuresInRow := 0
	for first := true; !cursor.Done; {
		page, next, err := w.readPage(ctx, cursor, failuresInRow)
		if err != nil {
			failuresInRow++
			read.Failures++
			if failuresInRow > pageMaxFailures || ctx.Err() != nil {
				return Changes{}, read, err
			}
			retry.Sleep(ctx, jittered(min(watchRetryMinDelay<<min(failuresInRow, 8), pageRetryMaxDelay)))
			continue
		}
		failuresInRow = 0
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
func (w *Watcher) readPage(ctx context.Context, cursor Cursor, previousFailures int) (Changes, Cursor, error) {
	callCtx, cancel := context.WithTimeout(ctx, min(pageMinTimeout<<min(previousFailures, 8), pageMaxTimeout))
	defer cancel()
	sent := clock.Now()
	page, next, err := w.Feed.Page(callCtx, cursor)
	if err != nil {
		return page, next, err
	}
	w.lastResponse.Store(int64(clock.Since(clockOrigin)))
	return w.withAsOf(sent, page), next, nil
}

// jittered returns between half and all of a delay, so that nodes that were
// refused together do not come back together.
func jittered(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay/2+1)
}

// applyWhole turns a whole read into changes: rows that it lacks were removed.
func (w *Watcher) applyWhole(read Changes) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if read.Revision < w.revision {
		return
	}
	present := make(map[Key]bool, len(read.Changes))
	for _, change := range read.Changes {
		present[change.Key] = true
	}
	for key := range w.versions {
		if !present[key] {
			removed := Change{Row: Row{Key: key, Version: read.Revision}, Removed: true}
			read.Changes = append(read.Changes, removed)
		}
	}
	w.applyLocked(read, true)
}

func (w *Watcher) apply(changes Changes, whole bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyLocked(changes, whole)
}

// applyLocked is take for a caller that holds mu.
func (w *Watcher) applyLocked(changes Changes, whole bool) {
	newer := changes.Changes[:0]
	for _, change := range changes.Changes {
		if change.Version <= w.versions[change.Key] {
			continue
		}
		newer = append(newer, change)
	}
	w.recordVersions(newer)
	changes.Changes = newer
	w.revision = max(w.revision, changes.Revision)
	w.Apply(changes, whole)
}

// callSucceeded notes an answer. It comes before the changes are applied, so that
// those who take them know of an outage that lies behind.
func (w *Watcher) callSucceeded(changes Changes) {
	asOf := int64(changes.AsOf.Sub(clockOrigin))
	if newest := w.newestAnswer.Load(); !changes.More && (newest == 0 || asOf > newest) {
		w.newestAnswer.Store(asOf)
	}
	w.lastResponse.Store(int64(clock.Since(clockOrigin)))
	if !w.outageStart.IsZero() && w.OnRegained != nil {
		w.OnRegained(clock.Since(w.outageStart))
	}
	w.outageStart = time.Time{}
}

func (w *Watcher) callFailed(err error) {
	if w.outageStart.IsZero() {
		w.outageStart = clock.Now()
		if w.OnLost != nil {
			w.OnLost(err)
		}
	}
}
