package jobs

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Entry is what a node knows of a job. It is immutable.
type Entry struct {
	Job      *Job
	Progress *Progress
	// Version is the version of the progress row.
	Version uint64
}

// unfinishedTokens counts the tokens of items that hold room in the quota.
func (e *Entry) unfinishedTokens() int64 {
	if e.Progress.Ended {
		return 0
	}
	total := e.Job.tokens()
	for _, listed := range e.Progress.Listed {
		total -= e.Job.Items[listed.Item].Tokens
	}
	return total
}

// Done reports whether all items are listed.
func (e *Entry) Done() bool { return len(e.Progress.Listed) == len(e.Job.Items) }

// isOpen reports whether results are still to come.
func (e *Entry) isOpen() bool {
	return !e.Progress.Ended && len(e.Progress.Listed) < len(e.Job.Items)
}

// View is a node's picture of all jobs, fed by the table's feed and by this
// node's own writes. It never steps back. It is safe for concurrent use.
type View struct {
	// Unreadable, if set, is told of rows that cannot be read; they are passed over.
	Unreadable *table.Unreadable

	mu       sync.Mutex
	jobs     map[string]*Job
	progress map[string]*Entry
	counters map[table.Key]knownCounter
	// storeNow is the store's clock as of readAt.
	storeNow time.Duration
	readAt   time.Time
	// asOf is when the source gave the newest answer of the feed.
	asOf    time.Time
	changed chan struct{}
	// earlyProgress holds progress rows whose job row has not come yet.
	earlyProgress map[string]table.Row
	// unreadable holds the versions of progress rows that are newer than what is known of their
	// jobs and cannot be read.
	unreadable map[string]uint64
}

// NewView returns a view that has seen nothing.
func NewView() *View {
	return &View{
		jobs: map[string]*Job{}, progress: map[string]*Entry{}, counters: map[table.Key]knownCounter{},
		changed: make(chan struct{}), earlyProgress: map[string]table.Row{}, unreadable: map[string]uint64{},
	}
}

// Apply takes in changes of Group.
func (v *View) Apply(changes table.Changes, _ bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, change := range changes.Changes {
		if change.Removed {
			v.remove(change.Key)
			continue
		}
		v.put(change.Row)
		v.settleCounter(change.Row)
	}
	for _, change := range changes.Changes {
		v.resetCounter(change)
	}
	v.storeNow, v.readAt = changes.Now, clock.Now()
	if !changes.More && changes.AsOf.After(v.asOf) {
		v.asOf = changes.AsOf
	}
	v.notify()
}

// Put takes in rows that this node wrote or was shown.
func (v *View) Put(rows ...table.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, row := range rows {
		v.put(row)
	}
	v.notify()
}

// put takes in a row. The caller holds mu.
func (v *View) put(row table.Row) {
	if strings.HasPrefix(row.Sort, prefixCounter) {
		v.putCounter(row)
		return
	}
	if id, ok := strings.CutPrefix(row.Sort, prefixJob); ok && v.checkKey(row, jobKey(id)) {
		v.putJob(id, row)
		return
	}
	if id, ok := strings.CutPrefix(row.Sort, prefixProgress); ok && v.checkKey(row, progressKey(id)) {
		v.putProgress(id, row)
	}
}

// checkKey reports whether a row lies where its job's rows are. Another one is not the job's.
func (v *View) checkKey(row table.Row, want table.Key) bool {
	if row.Key != want {
		v.Unreadable.Report(row.AsUnreadable(table.Content, errWrongPartition))
		return false
	}
	return true
}

// putCounter takes in a counter row.
func (v *View) putCounter(row table.Row) {
	var next counter
	if !v.decode(row, &next, func() error { return next.check() }) {
		return
	}
	known := v.counters[row.Key]
	if row.Version > known.version {
		known.counter, known.version = next, row.Version
	}
	v.counters[row.Key] = known
}

// settleCounter notes that the feed has come to a counter row: all jobs that are counted
// in it have come too.
func (v *View) settleCounter(row table.Row) {
	if !strings.HasPrefix(row.Sort, prefixCounter) {
		return
	}
	var reached counter
	if !v.decode(row, &reached, func() error { return reached.check() }) {
		return
	}
	known := v.counters[row.Key]
	// One that was written anew after it could not be read may be lower than before.
	known.settled = reached.Accepted
	v.counters[row.Key] = known
}

// decode reads the body of a row and checks what it says. It reports whether that is
// possible.
func (v *View) decode(row table.Row, record any, check func() error) bool {
	err := row.Decode(record)
	if err != nil {
		v.Unreadable.Report(err)
		return false
	}
	if err := check(); err != nil {
		v.Unreadable.Report(row.AsUnreadable(table.Content, err))
		return false
	}
	return true
}

func (v *View) putJob(id string, row table.Row) {
	if v.jobs[id] != nil {
		return
	}
	job := &Job{}
	if !v.decode(row, job, func() error { return job.check(id) }) {
		return
	}
	job.version = row.Version
	v.jobs[id] = job
	if early, ok := v.earlyProgress[id]; ok {
		delete(v.earlyProgress, id)
		v.putProgress(id, early)
	}
}

func (v *View) putProgress(id string, row table.Row) {
	job := v.jobs[id]
	if job == nil {
		if row.Version > v.earlyProgress[id].Version {
			v.earlyProgress[id] = row
		}
		return
	}
	if known := v.progress[id]; known != nil && known.Version >= row.Version {
		return
	}
	progress := &Progress{}
	if !v.decode(row, progress, func() error { return progress.check(len(job.Items)) }) {
		v.unreadable[id] = max(v.unreadable[id], row.Version)
		return
	}
	if row.Version > v.unreadable[id] {
		delete(v.unreadable, id)
	}
	v.progress[id] = &Entry{Job: job, Progress: progress, Version: row.Version}
}

func (v *View) remove(key table.Key) {
	if id, ok := strings.CutPrefix(key.Sort, prefixJob); ok && key == jobKey(id) {
		delete(v.jobs, id)
		delete(v.progress, id)
		delete(v.earlyProgress, id)
		delete(v.unreadable, id)
	}
}

// notify tells those that wait for a change. The caller holds mu.
func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Get returns what is known of a job, or nil.
func (v *View) Get(id string) *Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.progress[id]
}

// ProgressUnreadable reports whether what has become of a job cannot be read: it may have been ended, or
// results listed that are not known here.
func (v *View) ProgressUnreadable(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, unreadable := v.unreadable[id]
	return unreadable
}

// Open returns the jobs that have items to run. A job whose progress cannot be read rests: it
// may have been ended, and nothing of it can be listed.
func (v *View) Open() []*Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	var open []*Entry
	for id, entry := range v.progress {
		if _, unreadable := v.unreadable[id]; !unreadable && entry.isOpen() {
			open = append(open, entry)
		}
	}
	return open
}

// All returns all known jobs.
func (v *View) All() []*Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]*Entry, 0, len(v.progress))
	for _, entry := range v.progress {
		all = append(all, entry)
	}
	return all
}

// Now estimates the store's clock.
func (v *View) Now() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.storeNow + clock.Since(v.readAt)
}

// Loaded reports whether the jobs have been looked at once. Before that neither
// the store's clock is known nor what has become of a job.
func (v *View) Loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.readAt.IsZero()
}

// AsOf returns the moment up to which the view is complete: of what was written later it may
// lack anything. It is when the feed's source gave its answer, not when the feed was last
// tried. Zero is never.
func (v *View) AsOf() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.asOf
}

// timeUntil is the time left timeUntil a moment of the store's clock.
func (v *View) timeUntil(moment time.Duration) time.Duration { return moment - v.Now() }

// awaitLoaded waits until the jobs have been looked at once: before that neither the
// store's clock nor the quota in use is known.
func (v *View) awaitLoaded(ctx context.Context) error {
	for {
		v.mu.Lock()
		reached, changed := !v.readAt.IsZero(), v.changed
		v.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.Wrap(ErrUnavailable)
		case <-changed:
		}
	}
}
