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

// unfinishedTokens returns the tokens of the items that use up quota.
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

// View is a node's copy of the state of all jobs, updated by the table's feed and by the rows that
// the node writes or reads itself. It ignores rows older than those it has. It is safe for
// concurrent use.
type View struct {
	// Unreadable, if set, receives rows that cannot be read; they are skipped.
	Unreadable *table.Unreadable

	mu       sync.Mutex
	jobs     map[string]*Job
	progress map[string]*Entry
	counters map[table.Key]knownCounter
	// storeNow is the store's clock at readAt.
	storeNow time.Duration
	readAt   time.Time
	// asOf is when the source produced the newest complete answer of the feed.
	asOf    time.Time
	changed chan struct{}
	// earlyProgress holds progress rows whose job row has not arrived yet.
	earlyProgress map[string]table.Row
	// unreadable holds the versions of progress rows that cannot be read and are newer than the
	// known state of their jobs.
	unreadable map[string]uint64
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		jobs: map[string]*Job{}, progress: map[string]*Entry{}, counters: map[table.Key]knownCounter{},
		changed: make(chan struct{}), earlyProgress: map[string]table.Row{}, unreadable: map[string]uint64{},
	}
}

// Apply applies changes of Group from the feed.
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

// Put applies rows that this node wrote or read.
func (v *View) Put(rows ...table.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, row := range rows {
		v.put(row)
	}
	v.notify()
}

// put applies a row. The caller holds mu.
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

// checkKey reports whether a row has the key of its job's row. Other rows are reported as
// unreadable.
func (v *View) checkKey(row table.Row, want table.Key) bool {
	if row.Key != want {
		v.Unreadable.Report(row.AsUnreadable(table.Content, errWrongPartition))
		return false
	}
	return true
}

// putCounter applies a counter row.
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

// settleCounter records that a counter row arrived by the feed: all jobs counted in it have arrived
// too.
func (v *View) settleCounter(row table.Row) {
	if !strings.HasPrefix(row.Sort, prefixCounter) {
		return
	}
	var arrived counter
	if !v.decode(row, &arrived, func() error { return arrived.check() }) {
		return
	}
	known := v.counters[row.Key]
	// A counter that was overwritten after it could not be read may be lower than before.
	known.settled = arrived.Accepted
	v.counters[row.Key] = known
}

// decode decodes the body of a row and checks its values. It reports whether the row is readable.
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

// notify wakes the callers that wait for a change. The caller holds mu.
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

// ProgressUnreadable reports whether the current progress of a job cannot be read: the job may have
// been ended, or have results that are not known here.
func (v *View) ProgressUnreadable(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, unreadable := v.unreadable[id]
	return unreadable
}

// Open returns the jobs that have items to run. Jobs whose progress cannot be read are left out:
// they may have been ended, and none of their results can be listed.
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

// Now returns an estimate of the store's clock.
func (v *View) Now() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.storeNow + clock.Since(v.readAt)
}

// Loaded reports whether all jobs have been read once. Before that, neither the store's clock nor
// the state of a job is known.
func (v *View) Loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.readAt.IsZero()
}

// AsOf returns the time up to which the view is complete; it may lack anything written later. This
// is when the feed's source produced its answer, not when the feed was last polled. Zero means
// never.
func (v *View) AsOf() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.asOf
}

// timeUntil returns the time left until a moment of the store's clock.
func (v *View) timeUntil(moment time.Duration) time.Duration { return moment - v.Now() }

// awaitLoaded waits until all jobs have been read once: before that, neither the store's clock nor
// the quota in use is known.
func (v *View) awaitLoaded(ctx context.Context) error {
	for {
		v.mu.Lock()
		loaded, changed := !v.readAt.IsZero(), v.changed
		v.mu.Unlock()
		if loaded {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.Wrap(ErrUnavailable)
		case <-changed:
		}
	}
}
