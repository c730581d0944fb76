package jobs

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// loadRetryDelay is the pause before content is read again that could not be: one that is not there
// costs a call to the store each time.
const loadRetryDelay = time.Second

// ownedJob is an owned job. The runner's lock guards it.
type ownedJob struct {
	job        *Job
	items      []Item
	tasks      []*task
	finished   []*task
	committing bool
	// loading is set while items are read from the store. After they could not be read for
	// loadErr they are tried again at loadAt.
	loading bool
	loadErr error
	loadAt  time.Time
	// unloaded are the items of this node that have no task yet, since when.
	unloaded      []int
	unloadedSince time.Time
	// version is that of the progress that the tasks are made of; complete is set
	// once each item of this node has one.
	version  uint64
	complete bool
	// marking is set while items are being marked as started.
	marking bool
	// cancel stops the items when the job ends or is lost.
	cancel context.CancelFunc
	ctx    context.Context
}

// unreadableRetryDelay is the pause between two looks at a content that cannot be read. It is put
// right by hand, if at all.
const unreadableRetryDelay = 5 * time.Second

type taskState int

const (
	taskWaiting taskState = iota
	taskRunning
	// taskFinished tasks have an outcome that is not listed yet.
	taskFinished
	taskListed
)

// task is an item to run.
type task struct {
	owned *ownedJob
	index int
	state taskState
	// text and after are what earlier runs have brought.
	text      []byte
	lastEvent int
	// reason says why a finished item has no answer; empty if it has one.
	reason Reason
	// atMostOnce items may run only atMostOnce; marked ones are marked as started.
	atMostOnce  bool
	startMarked bool
	// failures counts runs that the replica itself reported as failed.
	failures int
	// invalid counts answers that the item can never be done.
	invalid   int
	notBefore time.Time
	excluded  map[string]bool
	firstSent time.Time
	// replica, pool and cancel belong to the run under way.
	replica string
	pool    string
	cancel  context.CancelCauseFunc
	use     *replica.Use
	// reservation names the slot set aside for the run, borrowed is set if it is not one of
	// this node's, starved if it is kept though online requests want it.
	reservation string
	borrowed    bool
	starved     bool
	// stalls counts the attempts in a row that stalled and brought no new event.
	stalls int
	// preempted is set once the run was told to give way.
	preempted bool
	// checkpointVersion is the version of the row with the item's kept text.
	checkpointVersion uint64
	// checkpointEvent is the last event of that text.
	checkpointEvent int
	// workID tells the item from others by its content; nil until it is asked for.
	workID *quarantine.Work
	// quarantined is set while the item is known to be quarantined.
	quarantined bool
	// wait is what the item waits for, waitCause what decided it, waitBegun since when.
	wait      Wait
	waitCause error
	waitStart time.Time
	// lastProgress is when the item last came on: it was taken up, its answer brought an event, or
	// it got its outcome.
	lastProgress time.Time
}

// reconcile takes up the items that the view says are this node's, and drops
// those that are not any more, or whose homes the node is not in any more.
func (r *Runner) reconcile(ctx context.Context) {
	session, err := r.Service.Session(ctx)
	if err != nil {
		return
	}
	open := map[string]bool{}
	for _, entry := range r.Service.View.Open() {
		if own := entry.ownItems(session); len(own) > 0 && r.Service.mayStore(entry.Job, session) {
			open[entry.Job.ID] = true
			r.ensureLoaded(ctx, entry, own)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, owned := range r.owned {
		if !open[id] {
			owned.cancel()
			delete(r.owned, id)
			r.Service.dropContent(id)
		}
	}
}

// ensureLoaded loads items, and the texts kept of them, in the background.
func (r *Runner) ensureLoaded(ctx context.Context, entry *Entry, own []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	owned := r.owned[entry.Job.ID]
	if owned == nil {
		workCtx, cancel := context.WithCancel(ctx)
		owned = &ownedJob{job: entry.Job, ctx: workCtx, cancel: cancel}
		r.owned[entry.Job.ID] = owned
	}
	if owned.version == entry.Version && owned.complete {
		return
	}
	owned.version = entry.Version
	unloaded := owned.syncTasks(own)
	owned.complete = len(unloaded) == 0
	now := clock.Now()
	owned.setUnloaded(unloaded, now)
	switch {
	case owned.complete:
	case r.Service.View.Loaded() && r.Service.View.timeUntil(owned.job.Expires) < 0:
		r.expireUnloaded(owned, now)
	case !owned.loading && !now.Before(owned.loadAt):
		owned.loading = true
		go r.load(owned, entry, unloaded)
	}
}

// setUnloaded notes the items that have no task yet. The caller holds the runner's lock.
func (w *ownedJob) setUnloaded(indexes []int, now time.Time) {
	if len(w.unloaded) == 0 {
		w.unloadedSince = now
	}
	w.unloaded = indexes
}

// expireUnloaded ends items that were not read in time, for which no content is needed. The
// caller holds the runner's lock.
func (r *Runner) expireUnloaded(owned *ownedJob, now time.Time) {
	for _, index := range owned.unloaded {
		t := &task{owned: owned, index: index, firstSent: now}
		owned.tasks = append(owned.tasks, t)
		r.finishLocked(t, Expired)
	}
	owned.unloaded = nil
}

// syncTasks stops and removes the tasks of items that another node runs now, and
// returns the items that have no task yet. The caller holds the runner's lock.
func (w *ownedJob) syncTasks(own []int) (missing []int) {
	assigned := make([]bool, len(w.job.Items))
	for _, item := range own {
		assigned[item] = true
	}
	known := make([]bool, len(w.job.Items))
	w.tasks = slices.DeleteFunc(w.tasks, func(t *task) bool {
		if t.state == taskFinished || t.state == taskListed || assigned[t.index] {
			known[t.index] = true
			return false
		}
		if t.state == taskRunning {
			t.cancel(errReassigned)
		}
		return true
	})
	for _, item := range own {
		if !known[item] {
			missing = append(missing, item)
		}
	}
	return missing
}

// load reads items and makes tasks of them.
func (r *Runner) load(owned *ownedJob, entry *Entry, indexes []int) {
	items, err := r.Service.content(owned.ctx, entry.Job)
	if err == nil && len(items) != len(entry.Job.Items) {
		err = Error.New("content of job %s has %d items of %d", entry.Job.ID, len(items), len(entry.Job.Items))
	}
	if err != nil {
		r.loadFailed(owned, err)
		return
	}
	var checkpoints map[int]storedResult
	if len(entry.Progress.Reassigned) > 0 || r.Service.View.Now()-entry.Job.Created >= checkpointInterval {
		checkpoints = r.Service.loadCheckpoints(owned.ctx, entry)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	owned.loading, owned.loadErr = false, nil
	if owned.items == nil {
		owned.items = items
	}
	for _, index := range indexes {
		if !slices.Contains(owned.unloaded, index) {
			// It has expired, or is another node's by now.
			continue
		}
		t := &task{owned: owned, index: index, atMostOnce: items[index].AtMostOnce, failures: entry.Progress.Failures[index], excluded: map[string]bool{}, lastProgress: clock.Now()}
		if checkpoint, ok := checkpoints[index]; ok {
			t.text, t.lastEvent, t.checkpointVersion = []byte(checkpoint.Text), checkpoint.LastEvent, checkpoint.version
			t.checkpointEvent = checkpoint.LastEvent
		}
		owned.tasks = append(owned.tasks, t)
		if slices.Contains(entry.Progress.Started, index) {
			// An owner before this one may have sent it.
			r.finishLocked(t, Undecided)
		}
	}
	owned.unloaded = slices.DeleteFunc(owned.unloaded, func(index int) bool { return slices.Contains(indexes, index) })
	r.wake()
}

// loadFailed has items be read again after a pause.
func (r *Runner) loadFailed(owned *ownedJob, err error) {
	r.mu.Lock()
	first := owned.loadErr == nil && owned.ctx.Err() == nil
	pause := loadRetryDelay
	if errors.Is(err, ErrUnreadable) {
		pause = unreadableRetryDelay
	}
	owned.loading, owned.loadErr, owned.loadAt = false, err, clock.Now().Add(pause)
	r.mu.Unlock()
	if first {
		r.Service.Events.ItemFailed(owned.job, "", "", err)
	}
}
