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
	// usual is how long items take, learned.
	usual time.Duration
}

const (
	// itemTimeFirst stands in until it is learned how long items take.
	itemTimeFirst  = 5 * time.Second
	itemTimeWeight = 0.05
)

func (r *Runner) itemTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usual
}

// learnTime takes in how long a run from first to last event took.
func (r *Runner) learnTime(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usual += time.Duration(itemTimeWeight * float64(took-r.usual))
}

// NewRunner returns a runner that owns nothing yet.
func NewRunner(options RunnerOptions) *Runner {
	return &Runner{RunnerOptions: options, owned: map[string]*work{}, freed: make(chan struct{}, 1), usual: itemTimeFirst}
}

// work is an owned job. The runner's lock guards it.
type work struct {
	job      *Job
	items    []Item
	tasks    []*task
	finished []*task
	commits  bool
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

// reconcile takes up jobs that the view says are this node's, and drops those
// that are not any more.
func (r *Runner) reconcile(ctx context.Context) {
	session, err := r.Service.Session(ctx)
	if err != nil {
		return
	}
	open := map[string]bool{}
	for _, entry := range r.Service.View.Open() {
		if entry.Progress.Owner != session {
			continue
		}
		open[entry.Job.ID] = true
		r.takeUp(ctx, entry)
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

// takeUp loads a job's items, and the texts kept of them, in the background.
func (r *Runner) takeUp(ctx context.Context, entry *Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owned[entry.Job.ID] != nil || r.paused {
		return
	}
	workCtx, cancel := context.WithCancel(ctx)
	owned := &work{job: entry.Job, ctx: workCtx, cancel: cancel}
	r.owned[entry.Job.ID] = owned
	go r.load(owned, entry)
}

func (r *Runner) load(owned *work, entry *Entry) {
	items, err := r.Service.content(owned.ctx, entry.Job)
	if err != nil || len(items) != len(entry.Job.Items) {
		// The next reconcile tries again.
		r.mu.Lock()
		delete(r.owned, entry.Job.ID)
		r.mu.Unlock()
		return
	}
	kept := r.Service.keptTexts(owned.ctx, entry)
	r.mu.Lock()
	defer r.mu.Unlock()
	owned.items = items
	for index := range items {
		if entry.Progress.has(index) {
			continue
		}
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
	grants := r.grants(routes)
	for _, one := range r.waiting(now) {
		if r.Service.View.until(one.work.job.Expires) < 0 {
			r.finish(one, Expired)
			continue
		}
		grant := grants[one.work.job.ID]
		if r.inFlight(one.work) >= grant.Items {
			continue
		}
		if !r.start(one, routes, grant.Urgent, now) {
			return
		}
	}
}

// grants plans the places of all pools that batch routes lead to.
func (r *Runner) grants(routes *route.Table) map[string]Grant {
	byPool := map[string][]*Entry{}
	targets := map[string]*route.Route{}
	for _, entry := range r.Service.View.Open() {
		if target := routes.Named(entry.Job.Route); target != nil {
			pool := target.Shares[0].Pool
			byPool[pool] = append(byPool[pool], entry)
			targets[pool] = target
		}
	}
	all := map[string]Grant{}
	for pool, open := range byPool {
		slots := float64(r.Replicas.BatchSlots(pool))
		target := targets[pool]
		weights := r.weights(target)
		plan := PlanGrants(PlanInput{
			Open: open, Now: r.Service.View.Now(),
			Places:       places(target, weights.BatchFill, slots),
			UrgentPlaces: places(target, weights.UrgentFill, slots),
			ItemTime:     r.itemTime(),
		})
		for job, share := range plan {
			all[job] = share
		}
	}
	return all
}

// weights returns the node's weights with what the route says instead.
func (r *Runner) weights(target *route.Route) replica.Weights {
	weights := r.Weights
	if target.BatchFill > 0 {
		weights.BatchFill = target.BatchFill
		weights.UrgentFill = max(weights.UrgentFill, target.BatchFill)
	}
	return weights
}

// places is the number of items that may be in flight, at a fill.
func places(target *route.Route, fill, slots float64) int {
	return int(fill * (1 - target.Reserve) * slots)
}

// inFlight counts the items of a job that run or wait to be listed.
func (r *Runner) inFlight(owned *work) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, one := range owned.tasks {
		if one.state == taskRunning || one.state == taskFinished {
			count++
		}
	}
	return count
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
	sort.Slice(ready, func(i, j int) bool {
		a, b := ready[i], ready[j]
		if a.work.job.rank() != b.work.job.rank() {
			return a.work.job.rank() < b.work.job.rank()
		}
		if a.work.job.ID != b.work.job.ID {
			return a.work.job.ID < b.work.job.ID
		}
		return a.index < b.index
	})
	return ready
}

// start sends one task if a replica has room. It reports false if none has.
func (r *Runner) start(one *task, routes *route.Table, urgent bool, now time.Time) bool {
	item := &one.work.items[one.index]
	target := routes.Match(one.work.job.Host, item.Path)
	if target == nil || target.Kind != route.Batch {
		return true
	}
	if one.once && !one.marked {
		r.markStarted(one.work)
		return true
	}
	demand := &replica.Demand{
		Zone: r.Zone, Tokens: int(item.Tokens), Adapter: target.Adapter, Batch: true, Urgent: urgent,
		Reserve: target.Reserve, Exclude: one.exclude,
	}
	chosen, err := replica.Pick(r.Replicas.Snapshot(target.Pool(), 0, now), demand, r.weights(target))
	if err != nil {
		if len(one.exclude) == 0 {
			return false
		}
		one.exclude = map[string]bool{}
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if one.state != taskWaiting || one.work.ctx.Err() != nil {
		return true
	}
	one.state = taskRunning
	if one.started.IsZero() {
		one.started = now
	}
	use := r.Replicas.Begin(chosen.ID, int(item.Tokens), true, now)
	ctx, cancel := context.WithCancelCause(one.work.ctx)
	one.replica, one.cancel = chosen.ID, cancel
	go r.run(ctx, one, item, target, chosen.Info, use)
	return true
}
