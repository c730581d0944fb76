package table

import (
	"context"
	"errors"
	"iter"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// Watch timing.
const (
	// watchMaxWait limits one wait for changes, so that a dead connection is detected.
	watchMaxWait = 1500 * time.Millisecond
	// watchTimeoutMargin is the time that a call may take in addition to its wait.
	watchTimeoutMargin = 900 * time.Millisecond
	// pageMaxTimeout limits the read of a page. It allows for many nodes that start at the same
	// time and share the network link of the store; HedgedFeed handles lost responses.
	pageMaxTimeout     = 4 * time.Second
	watchRetryMinDelay = 25 * time.Millisecond
	watchRetryMaxDelay = 300 * time.Millisecond
	// pageMaxFailures is the number of consecutive failures after which a whole read is aborted,
	// pageRetryMaxDelay the maximum delay between them.
	pageMaxFailures   = 20
	pageRetryMaxDelay = time.Second
)

// Watcher follows a feed and passes every change to Apply, in order. Its view never reverts to an
// older state: only newer versions of a row are passed on, and a row that is missing from a whole read
// is only considered removed if the read is newer than the known revision.
type Watcher struct {
	Feed Feed
	// Apply is called with new changes; whole is set for the result of a whole read.
	Apply func(changes Changes, whole bool)
	// Pace, if set, limits the rate of calls while there are many changes.
	Pace func() Pace
	// OnLost and OnRegained, if set, are called when the service stops and resumes responding.
	OnLost     func(error)
	OnRegained func(outage time.Duration)

	// OnReread, if set, is called after each whole read except the first. No changes are received
	// during the read, so known rows were up to WholeRead.Elapsed out of date.
	OnReread func(WholeRead)

	// KeepRows makes the watcher keep the rows for Snapshot. Set it before first use.
	KeepRows bool

	// mu orders updates from the service and from Seed.
	mu sync.Mutex
	// versions holds the versions of the known rows, or rows the whole rows with KeepRows.
	versions map[Key]uint64
	rows     map[Key]Row
	revision uint64
	// newestAnswer is the time at which the service generated the newest answer, seededAnswer that
	// of the answer a seed came from, as durations since clockOrigin; 0 means never.
	newestAnswer atomic.Int64
	seededAnswer atomic.Int64
	// lastResponse is the time of the last response to any call, including pages of whole reads.
	lastResponse atomic.Int64
	outageStart  time.Time
	serviceClock ServiceClock
	refresh      chan struct{}
	// announced holds a pending announcement until the next wait between calls.
	announced chan struct{}
}

// Pace is the minimum time between the starts of two calls of a watcher.
type Pace struct {
	// AfterAnnouncement applies after a call of Announce, Default otherwise.
	AfterAnnouncement, Default time.Duration
}

// WholeRead describes a completed read of a whole group.
type WholeRead struct {
	// Pages is the number of pages read, Failures the number of further calls made for them.
	Pages, Failures int
	Elapsed         time.Duration
}

// clockOrigin is the reference for times stored as integers.
var clockOrigin = clock.Now()

// NewWatcher returns a watcher that has not read anything. Call Run to follow the feed.
func NewWatcher(feed Feed, apply func(Changes, bool)) *Watcher {
	return &Watcher{Feed: feed, Apply: apply, versions: map[Key]uint64{}, rows: map[Key]Row{}, refresh: make(chan struct{}, 1), announced: make(chan struct{}, 1)}
}

// Age returns the time since the service generated the newest answer received by this watcher or,
// before the first one, the answer that a seed came from. A whole read is as old as its first page.
func (w *Watcher) Age() time.Duration {
	newest := w.newestAnswer.Load()
	if newest == 0 {
		newest = w.seededAnswer.Load()
	}
	return clock.Since(clockOrigin) - time.Duration(newest)
}

// SinceLastResponse returns the time since the service last responded to any call of this watcher,
// including pages of an unfinished whole read, or since the start of the process if it never has.
func (w *Watcher) SinceLastResponse() time.Duration {
	return clock.Since(clockOrigin) - time.Duration(w.lastResponse.Load())
}

// Populated reports whether the watcher has the rows of the whole group, from a whole read or a
// seed.
func (w *Watcher) Populated() bool { return w.Ready() || w.seededAnswer.Load() != 0 }

// Snapshot returns the rows of the group and their age. It requires KeepRows.
func (w *Watcher) Snapshot() (snapshot Changes, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	snapshot.Revision = w.revision
	for _, row := range w.rows {
		snapshot.Changes = append(snapshot.Changes, Change{Row: row})
	}
	return snapshot, w.Age()
}

// Seed passes rows of the group known to another node, with their age, to apply. They are used until
// the first whole read replaces them. Seed reports false, without effect, if the watcher is
// already populated.
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

// recordVersions records the versions of rows, and the rows with KeepRows. The caller holds mu.
func (w *Watcher) recordVersions(changes []Change) {
	for _, change := range changes {
		switch {
		case change.Removed:
			delete(w.versions, change.Key)
			delete(w.rows, change.Key)
		case w.KeepRows:
			w.rows[change.Key] = change.Row
		default:
			w.versions[change.Key] = change.Version
		}
	}
}

// version returns the version of a known row; 0 if there is none. The caller holds mu.
func (w *Watcher) version(key Key) uint64 {
	if w.KeepRows {
		return w.rows[key].Version
	}
	return w.versions[key]
}

// knownKeys returns the keys of the known rows. The caller holds mu.
func (w *Watcher) knownKeys() iter.Seq[Key] {
	if w.KeepRows {
		return maps.Keys(w.rows)
	}
	return maps.Keys(w.versions)
}

// Ready reports whether the whole group has been read at least once.
func (w *Watcher) Ready() bool { return w.newestAnswer.Load() != 0 }

// Refresh requests a whole read, for a feed that seems to be behind.
func (w *Watcher) Refresh() {
	select {
	case w.refresh <- struct{}{}:
	default:
	}
}

// Announce signals that there are changes, or that a caller waits for some. The wait before the
// next call is shortened to Pace.AfterAnnouncement.
func (w *Watcher) Announce() {
	select {
	case w.announced <- struct{}{}:
	default:
	}
}

// Run follows the feed until ctx is done.
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

// waitForNextCall waits until the next call is due, given the start of the previous one.
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
		w.callSucceeded()
		w.apply(changes, false)
	}
	return err
}

// stepWhole reads the whole group and applies it.
func (w *Watcher) stepWhole(ctx context.Context) error {
	start := clock.Now()
	reread := w.Ready()
	changes, read, err := w.readWhole(ctx)
	if err != nil {
		return err
	}
	w.callSucceeded()
	w.applyWhole(changes)
	if reread && w.OnReread != nil {
		read.Elapsed = clock.Since(start)
		w.OnReread(read)
	}
	return nil
}

// readWhole reads all pages. A failed page is retried by itself, so that many nodes starting at the
// same time make progress against a store that rejects some calls. The result is as of the first
// page; later changes are received through the feed.
func (w *Watcher) readWhole(ctx context.Context) (Changes, WholeRead, error) {
	var whole Changes
	var cursor Cursor
	var read WholeRead
	consecutiveFailures := 0
	for first := true; !cursor.Done; {
		start := clock.Now()
		page, next, err := w.readPage(ctx, cursor)
		read.Failures += page.Repeated
		if err != nil {
			consecutiveFailures++
			read.Failures++
			if consecutiveFailures > pageMaxFailures || ctx.Err() != nil {
				return Changes{}, read, err
			}
			retry.Sleep(ctx, pageRetryDelay(consecutiveFailures, clock.Since(start)))
			continue
		}
		consecutiveFailures = 0
		read.Pages++
		whole.Changes = append(whole.Changes, page.Changes...)
		if first {
			whole.Revision, whole.AsOf = page.Revision, page.AsOf
		}
		whole.Now, cursor, first = page.Now, next, false
	}
	return whole, read, nil
}

// readPage attempts to read a page.
func (w *Watcher) readPage(ctx context.Context, cursor Cursor) (Changes, Cursor, error) {
	callCtx, cancel := context.WithTimeout(ctx, pageMaxTimeout)
	defer cancel()
	sent := clock.Now()
	page, next, err := w.Feed.Page(callCtx, cursor)
	if err != nil {
		return page, next, err
	}
	w.lastResponse.Store(int64(clock.Since(clockOrigin)))
	return w.withAsOf(sent, page), next, nil
}

// jittered returns a random delay between half and all of delay, so that nodes rejected at the same
// time do not retry at the same time.
func jittered(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay/2+1)
}

// applyWhole applies a whole read. Known rows that it does not contain have been removed.
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
	for key := range w.knownKeys() {
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

// applyLocked implements apply. The caller holds mu.
func (w *Watcher) applyLocked(changes Changes, whole bool) {
	newer := changes.Changes[:0]
	for _, change := range changes.Changes {
		if change.Version <= w.version(change.Key) {
			continue
		}
		newer = append(newer, change)
	}
	w.recordVersions(newer)
	changes.Changes = newer
	w.revision = max(w.revision, changes.Revision)
	w.Apply(changes, whole)
	w.recordAge(changes)
}

// recordAge records the age of an answer, after its changes have been applied: until then, what this
// watcher knows is as old as before. The caller holds mu.
func (w *Watcher) recordAge(changes Changes) {
	asOf := int64(changes.AsOf.Sub(clockOrigin))
	if newest := w.newestAnswer.Load(); !changes.More && (newest == 0 || asOf > newest) {
		w.newestAnswer.Store(asOf)
	}
}

// callSucceeded records a response. It must be called before the changes are applied, so that
// OnRegained reports the end of an outage before handlers of the changes run.
func (w *Watcher) callSucceeded() {
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
