package jobs

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// loadRetryDelay is the pause before a failed read of content is tried again; each try for missing
// content costs a call to the store.
const loadRetryDelay = time.Second

// ownedJob is a job of which this node runs items. The runner's lock guards it.
type ownedJob struct {
	job        *Job
	items      []Item
	tasks      []*task
	finished   []*task
	committing bool
	// commitLimit and checkpointLimit bound the transactions with results and with checkpoints.
	commitLimit, checkpointLimit table.BatchLimit
	// loading is set while items are read from the store. If that fails with loadErr, they are read
	// again at loadAt.
	loading bool
	loadErr error
	loadAt  time.Time
	// unloaded are the items of this node that have no task yet, unloadedSince is when the first of
	// them was assigned.
	unloaded      []int
	unloadedSince time.Time
	// version is the version of the progress that the tasks are based on; complete is set once each
	// item of this node has a task.
	version  uint64
	complete bool
	// marking is set while items are being marked as started.
	marking bool
	// endCheck is what is known from reading the job's row.
	endCheck endCheck
	// cancel stops the items when the job ends or this node no longer runs it.
	cancel context.CancelFunc
	ctx    context.Context
}

// unreadableRetryDelay is the pause before unreadable content is read again. Only a manual repair
// can make it readable.
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
	// text is the answer received in earlier runs, lastEvent the id of its last event.
	text      []byte
	lastEvent int
	// object names the object that the text was written to, if it was, or may have been.
	object string
	// software is the software version that wrote text. softwareUncertain is set if it may have been
	// another one.
	software          string
	softwareUncertain bool
	// reason is why a finished item has no answer; empty if it has one.
	reason Reason
	// atMostOnce items may run only once; startMarked is set once they are marked as started.
	atMostOnce  bool
	startMarked bool
	// failures counts runs that the replica itself reported as failed.
	failures int
	// invalid counts answers that rejected the item permanently.
	invalid   int
	notBefore time.Time
	excluded  map[string]bool
	firstSent time.Time
	// replica, pool and cancel belong to the current run.
	replica string
	pool    string
	cancel  context.CancelCauseFunc
	use     *replica.Use
	// reservation names the slot reserved for the run. borrowed is set if the slot is outside this
	// node's share, starved if the run keeps it even when online requests need it.
	reservation string
	borrowed    bool
	starved     bool
	// elsewhere is set if the replica of the run is in another region.
	elsewhere bool
	// stalls counts the attempts in a row that stalled without a new event.
	stalls int
	// preempted is set once the run has been preempted.
	preempted bool
	// checkpointVersion is the version of the item's checkpoint row.
	checkpointVersion uint64
	// checkpointEvent is the id of the last event in that checkpoint.
	checkpointEvent int
	// interruptions counts the interrupted answers in a row without a new event.
	interruptions int
	// wait is what the item waits for, waitCause the error behind it, waitStart when it began.
	wait      WaitReason
	waitCause error
	waitStart time.Time
	// lane is the lane in which it last waited for a slot; zero if it never did.
	lane lane
	// lastProgress is when the item was assigned to this node, its answer last brought an event, or
	// it got its outcome.
	lastProgress time.Time
}

// reconcile loads the items that the view assigns to this node, and drops jobs that have none any
// more or that this node may no longer store.
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

// ensureLoaded loads items, and their checkpoints, in the background.
func (r *Runner) ensureLoaded(ctx context.Context, entry *Entry, own []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	owned := r.owned[entry.Job.ID]
	if owned == nil {
		jobCtx, cancel := context.WithCancel(ctx)
		owned = &ownedJob{job: entry.Job, ctx: jobCtx, cancel: cancel}
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

// setUnloaded records the items that have no task yet. The caller holds the runner's lock.
func (o *ownedJob) setUnloaded(indexes []int, now time.Time) {
	if len(o.unloaded) == 0 {
		o.unloadedSince = now
	}
	o.unloaded = indexes
}

// expireUnloaded ends items that expired before they were loaded, which needs no content. The
// caller holds the runner's lock.
func (r *Runner) expireUnloaded(owned *ownedJob, now time.Time) {
	for _, index := range owned.unloaded {
		t := &task{owned: owned, index: index, firstSent: now}
		owned.tasks = append(owned.tasks, t)
		r.finishLocked(t, Expired)
	}
	owned.unloaded = nil
}

// syncTasks stops and removes the tasks of items that another node runs now, and returns the items
// that have no task yet. The caller holds the runner's lock.
func (o *ownedJob) syncTasks(own []int) (missing []int) {
	assigned := make([]bool, len(o.job.Items))
	for _, item := range own {
		assigned[item] = true
	}
	hasTask := make([]bool, len(o.job.Items))
	o.tasks = slices.DeleteFunc(o.tasks, func(t *task) bool {
		if t.state == taskFinished || t.state == taskListed || assigned[t.index] {
			hasTask[t.index] = true
			return false
		}
		if t.state == taskRunning {
			t.cancel(errReassigned)
		}
		return true
	})
	for _, item := range own {
		if !hasTask[item] {
			missing = append(missing, item)
		}
	}
	return missing
}

// load reads items and creates their tasks.
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
			// The item has expired or was reassigned meanwhile.
			continue
		}
		t := &task{owned: owned, index: index, atMostOnce: items[index].AtMostOnce, failures: entry.Progress.Failures[index], excluded: map[string]bool{}, lastProgress: clock.Now()}
		if checkpoint, ok := checkpoints[index]; ok {
			t.text, t.lastEvent, t.checkpointVersion = []byte(checkpoint.Text), checkpoint.LastEvent, checkpoint.version
			t.checkpointEvent, t.software = checkpoint.LastEvent, checkpoint.Software
		}
		owned.tasks = append(owned.tasks, t)
		if slices.Contains(entry.Progress.Started, index) {
			// An earlier owner may have sent it.
			r.finishLocked(t, Undecided)
		}
	}
	owned.unloaded = slices.DeleteFunc(owned.unloaded, func(index int) bool { return slices.Contains(indexes, index) })
	r.wake()
}

// loadFailed schedules another load after a pause.
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
