package jobs

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

const (
	// tick bounds the time between two looks at what can be run.
	tick = 100 * time.Millisecond
	// claimInterval is the time between two looks at jobs whose owner is gone.
	claimInterval = 400 * time.Millisecond
	// claimPausePerSession keeps the reading of sessions at some 15 KB a second.
	claimPausePerSession = 8 * time.Millisecond
	// staleView is the age of the view beyond which no new items are sent: an
	// end of a job would not be noticed.
	staleView = 8 * time.Second
)

// Owners tells which sessions are gone. The lease watcher implements it.
type Owners interface {
	Refresh(ctx context.Context) error
	Expired(session string) bool
	Live() []string
	// Preferred returns the live session that should do a piece of work that any
	// could do.
	Preferred(work string) string
	// Nodes returns the nodes of the live sessions, Gone reports whether a node has
	// none.
	Nodes() []string
	Gone(node string) bool
}

// RunnerOptions are what a runner needs.
type RunnerOptions struct {
	Service  *Service
	Replicas *replica.Set
	Backend  forward.Backend
	Routes   func() *route.Table
	Owners   Owners
	Weights  replica.Weights
	Zone     string
	// CommitInterval is the time for which finished items wait for others to be
	// listed together; zero lists them at once.
	CommitInterval time.Duration
	// ViewAge is the time since the view's source last answered.
	ViewAge func() time.Duration
}

// Runner runs the items of the jobs that this node owns. It is safe for
// concurrent use.
type Runner struct {
	RunnerOptions

	mu     sync.Mutex
	owned  map[string]*work
	paused bool
	freed  chan struct{}
	// usual is what items are like.
	usual usual
}

// NewRunner returns a runner that owns nothing yet.
func NewRunner(options RunnerOptions) *Runner {
	return &Runner{RunnerOptions: options, owned: map[string]*work{}, freed: make(chan struct{}, 1)}
}

// work is an owned job. The runner's lock guards it.
type work struct {
	job      *Job
	items    []Item
	tasks    []*task
	finished []*task
	commits  bool
	// loading is set while items are read from the store.
	loading bool
	// marking is set while items are being marked as started.
	marking bool
	// cancel stops the items when the job ends or is lost.
	cancel context.CancelFunc
	ctx    context.Context
}

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
	// replica and cancel belong to the run under way.
	replica string
	cancel  context.CancelCauseFunc
	use     *replica.Use
	// yielding is set once the run was told to give way.
	yielding bool
	// keptVersion is the version of the row with the item's kept text.
	keptVersion uint64
	// keptAfter is the last event of that text.
	keptAfter int
}

// Run runs items until the context ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := r.Service.View.Changed()
		r.reconcile(ctx)
		r.dispatch(time.Now())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-changed:
		case <-r.freed:
		}
	}
}

// wake makes Run look again at once.
func (r *Runner) wake() {
	select {
	case r.freed <- struct{}{}:
	default:
	}
}

// reconcile takes up the items that the view says are this node's, and drops
// those that are not any more.
func (r *Runner) reconcile(ctx context.Context) {
	session, err := r.Service.Session(ctx)
	if err != nil {
		return
	}
	open := map[string]bool{}
	for _, entry := range r.Service.View.Open() {
		if own := entry.own(session); len(own) > 0 {
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
	owned.drop(own)
	if missing := owned.missing(own); len(missing) > 0 && !owned.loading {
		owned.loading = true
		go r.load(owned, entry, missing)
	}
}

// missing returns the items that are not among the tasks. The caller holds the
// runner's lock.
func (w *work) missing(own []int) []int {
	return slices.DeleteFunc(slices.Clone(own), func(item int) bool {
		return slices.ContainsFunc(w.tasks, func(one *task) bool { return one.index == item })
	})
}

// drop stops and removes the tasks of items that another node runs now. The
// caller holds the runner's lock.
func (w *work) drop(own []int) {
	w.tasks = slices.DeleteFunc(w.tasks, func(one *task) bool {
		if one.state == taskFinished || one.state == taskListed || slices.Contains(own, one.index) {
			return false
		}
		if one.state == taskRunning {
			one.cancel(errMoved)
		}
		return true
	})
}

func (r *Runner) load(owned *work, entry *Entry, indexes []int) {
	items, err := r.Service.content(owned.ctx, entry.Job)
	if err != nil || len(items) != len(entry.Job.Items) {
		// The next reconcile tries again.
		r.mu.Lock()
		owned.loading = false
		r.mu.Unlock()
		return
	}
	var kept map[int]storedResult
	if len(entry.Progress.Moved) > 0 || r.Service.View.Now()-entry.Job.Created >= keepInterval {
		kept = r.Service.keptTexts(owned.ctx, entry)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	owned.items, owned.loading = items, false
	for _, index := range indexes {
		one := &task{work: owned, index: index, once: items[index].Once, failures: entry.Progress.Failures[index], exclude: map[string]bool{}}
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
	r.wake()
}

// dispatch sends what can be sent, the earliest due first.
func (r *Runner) dispatch(now time.Time) {
	if !r.Service.View.Known() || r.ViewAge() > staleView {
		return
	}
	routes := r.Routes()
	if routes == nil {
		return
	}
	room := map[string]int{}
	for _, one := range r.waiting(now) {
		if r.Service.View.until(one.work.job.Expires) < 0 {
			r.finish(one, Expired)
			continue
		}
		target := routes.Match(one.work.job.Host, one.work.items[one.index].Path)
		if target == nil || target.Kind != route.Batch {
			continue
		}
		pool := target.Pool()
		if _, ok := room[pool]; !ok {
			room[pool] = r.Replicas.ItemRoom(pool, now)
		}
		if room[pool] <= 0 {
			continue
		}
		if r.start(one, target, pool, now) {
			room[pool]--
		} else {
			room[pool] = 0
		}
	}
}

func (r *Runner) waiting(now time.Time) []*task {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paused {
		return nil
	}
	var ready []*task
	for _, owned := range r.owned {
		for _, one := range owned.tasks {
			if one.state == taskWaiting && !now.Before(one.notUntil) {
				ready = append(ready, one)
			}
		}
	}
	storeNow := r.Service.View.Now()
	turns := make(map[*task]turn, len(ready))
	for _, one := range ready {
		turns[one] = r.turnOf(one, storeNow)
	}
	sort.Slice(ready, func(i, j int) bool { return turns[ready[i]].before(turns[ready[j]]) })
	return ready
}

// turnOf returns an item's place among others. The caller holds mu.
func (r *Runner) turnOf(one *task, storeNow time.Duration) turn {
	job := one.work.job
	return turn{
		late: job.Due != 0 && job.Due-storeNow < r.usual.remaining(one.after),
		rank: job.rank(), job: job.ID, item: one.index,
	}
}

// start sends one task if a replica has room. It reports whether it did.
func (r *Runner) start(one *task, target *route.Route, pool string, now time.Time) bool {
	item := &one.work.items[one.index]
	if one.once && !one.marked {
		r.markStarted(one.work)
		return false
	}
	demand := &replica.Demand{
		Zone: r.Zone, Ask: replica.Ask{Tokens: int(item.Tokens), Batch: true}, Adapter: target.Adapter,
		Reserve: target.Reserve, Exclude: one.exclude,
	}
	chosen, err := replica.Pick(r.Replicas.Snapshot(pool, 0, now), demand, r.Weights)
	if err != nil {
		one.exclude = map[string]bool{}
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if one.state != taskWaiting || one.work.ctx.Err() != nil {
		return false
	}
	one.state = taskRunning
	if one.started.IsZero() {
		one.started = now
	}
	one.yielding = false
	one.use = r.Replicas.Begin(chosen.ID, demand.Ask, now)
	ctx, cancel := context.WithCancelCause(one.work.ctx)
	one.replica, one.cancel = chosen.ID, cancel
	go r.run(ctx, one, item, target, chosen.Info, one.use)
	return true
}
