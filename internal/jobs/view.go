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
	// Malformed, if set, is told of rows that cannot be decoded; they are passed over.
	Malformed func(key table.Key, err error)

	mu       sync.Mutex
	jobs     map[string]*Job
	progress map[string]*Entry
	counters map[table.Key]knownCounter
	// storeNow is the store's clock as of readAt.
	storeNow time.Duration
	readAt   time.Time
	changed  chan struct{}
	// early holds progress rows whose job row has not come yet.
	early map[string]table.Row
}

// NewView returns a view that has seen nothing.
func NewView() *View {
	return &View{
		jobs: map[string]*Job{}, progress: map[string]*Entry{}, counters: map[table.Key]knownCounter{},
		changed: make(chan struct{}), early: map[string]table.Row{},
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
	v.storeNow, v.readAt = changes.Now, clock.Now()
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
	if id, ok := strings.CutPrefix(row.Sort, prefixJob); ok {
		v.putJob(id, row)
		return
	}
	if id, ok := strings.CutPrefix(row.Sort, prefixProgress); ok {
		v.putProgress(id, row)
	}
}

// putCounter takes in a counter row.
func (v *View) putCounter(row table.Row) {
	var next counter
	if !v.decode(row, &next) {
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
	var reached counter
	if !strings.HasPrefix(row.Sort, prefixCounter) || !v.decode(row, &reached) {
		return
	}
	known := v.counters[row.Key]
	known.settled = max(known.settled, reached.Accepted)
	v.counters[row.Key] = known
}

// decode reads the body of a row. It reports whether that is possible.
func (v *View) decode(row table.Row, record any) bool {
	err := decode(row.Body, record)
	if err != nil && v.Malformed != nil {
		v.Malformed(row.Key, err)
	}
	return err == nil
}

func (v *View) putJob(id string, row table.Row) {
	if v.jobs[id] != nil {
		return
	}
	job := &Job{}
	if !v.decode(row, job) {
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
	if !v.decode(row, progress) {
		return
	}
	v.progress[id] = &Entry{Job: job, Progress: progress, Version: row.Version}
}

func (v *View) remove(key table.Key) {
	if id, ok := strings.CutPrefix(key.Sort, prefixJob); ok {
		delete(v.jobs, id)
		delete(v.progress, id)
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

// Open returns the jobs that have items to run.
func (v *View) Open() []*Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	var open []*Entry
	for _, entry := range v.progress {
		if entry.open() {
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
