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

// remaining counts the tokens of items that hold room in the quota.
func (e *Entry) remaining() int64 {
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

// open reports whether results are still to come.
func (e *Entry) open() bool {
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
	// early holds progress rows whose job row has not come yet.
	early map[string]table.Row
	// lost holds the versions of progress rows that are newer than what is known of their
	// jobs and cannot be read.
	lost map[string]uint64
}

// NewView returns a view that has seen nothing.
func NewView() *View {
	return &View{
		jobs: map[string]*Job{}, progress: map[string]*Entry{}, counters: map[table.Key]knownCounter{},
		changed: make(chan struct{}), early: map[string]table.Row{}, lost: map[string]uint64{},
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
		v.settle(change.Row)
	}
	for _, change := range changes.Changes {
		v.rebuild(change)
	}
	v.storeNow, v.readAt = changes.Now, clock.Now()
	if !changes.More && changes.AsOf.After(v.asOf) {
		v.asOf = changes.AsOf
	}
	v.wake()
}

// Put takes in rows that this node wrote or was shown.
func (v *View) Put(rows ...table.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, row := range rows {
		v.put(row)
	}
	v.wake()
}

// put takes in a row. The caller holds mu.
func (v *View) put(row table.Row) {
	if strings.HasPrefix(row.Sort, prefixCounter) {
		v.putCounter(row)
		return
	}
	if id, ok := strings.CutPrefix(row.Sort, prefixJob); ok && v.inPart(row, jobKey(id)) {
		v.putJob(id, row)
		return
	}
	if id, ok := strings.CutPrefix(row.Sort, prefixProgress); ok && v.inPart(row, progressKey(id)) {
		v.putProgress(id, row)
	}
}

// inPart reports whether a row lies where its job's rows are. Another one is not the job's.
func (v *View) inPart(row table.Row, own table.Key) bool {
	if row.Key != own {
		v.Unreadable.Report(row.AsUnreadable(table.Content, errOtherPart))
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

// settle notes that the feed has come to a counter row: all jobs that are counted
// in it have come too.
func (v *View) settle(row table.Row) {
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
	if early, ok := v.early[id]; ok {
		delete(v.early, id)
		v.putProgress(id, early)
	}
}

func (v *View) putProgress(id string, row table.Row) {
	job := v.jobs[id]
	if job == nil {
		if row.Version > v.early[id].Version {
			v.early[id] = row
		}
		return
	}
	if known := v.progress[id]; known != nil && known.Version >= row.Version {
		return
	}
	progress := &Progress{}
	if !v.decode(row, progress, func() error { return progress.check(len(job.Items)) }) {
		v.lost[id] = max(v.lost[id], row.Version)
		return
	}
	if row.Version > v.lost[id] {
		delete(v.lost, id)
	}
	v.progress[id] = &Entry{Job: job, Progress: progress, Version: row.Version}
}

func (v *View) remove(key table.Key) {
	if id, ok := strings.CutPrefix(key.Sort, prefixJob); ok && key == jobKey(id) {
		delete(v.jobs, id)
		delete(v.progress, id)
		delete(v.early, id)
		delete(v.lost, id)
	}
}

// wake tells those that wait for a change. The caller holds mu.
func (v *View) wake() {
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

// Lost reports whether what has become of a job cannot be read: it may have been ended, or
// results listed that are not known here.
func (v *View) Lost(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, lost := v.lost[id]
	return lost
}

// Open returns the jobs that have items to run. A job whose progress cannot be read rests: it
// may have been ended, and nothing of it can be listed.
func (v *View) Open() []*Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	var open []*Entry
	for id, entry := range v.progress {
		if _, lost := v.lost[id]; !lost && entry.open() {
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

// Known reports whether the jobs have been looked at once. Before that neither
// the store's clock is known nor what has become of a job.
func (v *View) Known() bool {
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

// until is the time left until a moment of the store's clock.
func (v *View) until(moment time.Duration) time.Duration { return moment - v.Now() }

// await waits until the jobs have been looked at once: before that neither the
// store's clock nor the quota in use is known.
func (v *View) await(ctx context.Context) error {
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
