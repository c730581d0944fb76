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

// loadPause is the pause before content is read again that could not be: one that is not there
// costs a call to the store each time.
const loadPause = time.Second

// work is an owned job. The runner's lock guards it.
type work struct {
	job      *Job
	items    []Item
	tasks    []*task
	finished []*task
	commits  bool
	// loading is set while items are read from the store. After they could not be read for
	// loadErr they are tried again at loadAt.
	loading bool
	loadErr error
	loadAt  time.Time
	// unread are the items of this node that have no task yet, since when.
	unread      []int
	unreadSince time.Time
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

// unreadableRetry is the pause between two looks at a content that cannot be read. It is put
// right by hand, if at all.
const unreadableRetry = 5 * time.Second

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
	work  *work
	index int
	state taskState
	// text and after are what earlier runs have brought.
	text  []byte
	after int
	// reason says why a finished item has no answer; empty if it has one.
	reason Reason
	// once items may run only once; marked ones are marked as started.
	once   bool
	marked bool
	// failures counts runs that the replica itself reported as failed.
	failures int
	// invalid counts answers that the item can never be done.
	invalid  int
	notUntil time.Time
	exclude  map[string]bool
	started  time.Time
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
	// yielding is set once the run was told to give way.
	yielding bool
	// keptVersion is the version of the row with the item's kept text.
	keptVersion uint64
	// keptAfter is the last event of that text.
	keptAfter int
	// identity tells the item from others by its content; nil until it is asked for.
	identity *quarantine.Work
	// held is set while the item is known to be quarantined.
	held bool
	// wait is what the item waits for, waitCause what decided it, waitBegun since when.
	wait      Wait
	waitCause error
	waitBegun time.Time
	// cameOn is when the item last came on: it was taken up, its answer brought an event, or
	// it got its outcome.
	cameOn time.Time
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
		if own := entry.own(session); len(own) > 0 && r.Service.mayHold(entry.Job, session) {
			open[entry.Job.ID] = true
			r.takeUp(ctx, entry, own)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, owned := range r.owned {
		if !open[id] {
			owned.cancel()
			delete(r.owned, id)
			r.Service.forget(id)
		}
	}
}

// takeUp loads items, and the texts kept of them, in the background.
func (r *Runner) takeUp(ctx context.Context, entry *Entry, own []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paused {
		return
	}
	owned := r.owned[entry.Job.ID]
	if owned == nil {
		workCtx, cancel := context.WithCancel(ctx)
		owned = &work{job: entry.Job, ctx: workCtx, cancel: cancel}
		r.owned[entry.Job.ID] = owned
	}
	if owned.version == entry.Version && owned.complete {
		return
	}
	owned.version = entry.Version
	missing := owned.assign(own)
	owned.complete = len(missing) == 0
	now := clock.Now()
	owned.await(missing, now)
	switch {
	case owned.complete:
	case r.Service.View.Known() && r.Service.View.until(owned.job.Expires) < 0:
		r.expireUnread(owned, now)
	case !owned.loading && !now.Before(owned.loadAt):
		owned.loading = true
		go r.load(owned, entry, missing)
	}
}

// await notes the items that have no task yet. The caller holds the runner's lock.
func (w *work) await(missing []int, now time.Time) {
	if len(w.unread) == 0 {
		w.unreadSince = now
	}
	w.unread = missing
}

// expireUnread ends items that were not read in time, for which no content is needed. The
// caller holds the runner's lock.
func (r *Runner) expireUnread(owned *work, now time.Time) {
	for _, index := range owned.unread {
		one := &task{work: owned, index: index, started: now}
		owned.tasks = append(owned.tasks, one)
		r.finishLocked(one, Expired)
	}
	owned.unread = nil
}

// assign stops and removes the tasks of items that another node runs now, and
// returns the items that have no task yet. The caller holds the runner's lock.
func (w *work) assign(own []int) (missing []int) {
	mine := make([]bool, len(w.job.Items))
	for _, item := range own {
		mine[item] = true
	}
	known := make([]bool, len(w.job.Items))
	w.tasks = slices.DeleteFunc(w.tasks, func(one *task) bool {
		if one.state == taskFinished || one.state == taskListed || mine[one.index] {
			known[one.index] = true
			return false
		}
		if one.state == taskRunning {
			one.cancel(errMoved)
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
func (r *Runner) load(owned *work, entry *Entry, indexes []int) {
	items, err := r.Service.content(owned.ctx, entry.Job)
	if err == nil && len(items) != len(entry.Job.Items) {
		err = Error.New("content of job %s has %d items of %d", entry.Job.ID, len(items), len(entry.Job.Items))
	}
	if err != nil {
		r.loadFailed(owned, err)
		return
	}
	var kept map[int]storedResult
	if len(entry.Progress.Moved) > 0 || r.Service.View.Now()-entry.Job.Created >= keepInterval {
		kept = r.Service.keptTexts(owned.ctx, entry)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	owned.loading, owned.loadErr = false, nil
	if owned.items == nil {
		owned.items = items
	}
	for _, index := range indexes {
		if !slices.Contains(owned.unread, index) {
			// It has expired, or is another node's by now.
			continue
		}
		one := &task{work: owned, index: index, once: items[index].Once, failures: entry.Progress.Failures[index], exclude: map[string]bool{}, cameOn: clock.Now()}
		if text, ok := kept[index]; ok {
			one.text, one.after, one.keptVersion = []byte(text.Text), text.After, text.version
			one.keptAfter = text.After
		}
		owned.tasks = append(owned.tasks, one)
		if slices.Contains(entry.Progress.Started, index) {
			// An owner before this one may have sent it.
			r.finishLocked(one, Undecided)
		}
	}
	owned.unread = slices.DeleteFunc(owned.unread, func(index int) bool { return slices.Contains(indexes, index) })
	r.wake()
}

// loadFailed has items be read again after a pause.
func (r *Runner) loadFailed(owned *work, err error) {
	r.mu.Lock()
	first := owned.loadErr == nil && owned.ctx.Err() == nil
	pause := loadPause
	if errors.Is(err, ErrUnreadable) {
		pause = unreadableRetry
	}
	owned.loading, owned.loadErr, owned.loadAt = false, err, clock.Now().Add(pause)
	r.mu.Unlock()
	if first {
		r.Service.Events.ItemFailed(owned.job, "", "", err)
	}
}
