package jobs

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

const (
	// tick bounds the time between two looks at what can be run.
	tick = 100 * time.Millisecond
	// staleView is the age of the view beyond which no new items are sent: an
	// end of a job would not be noticed.
	staleView = 8 * time.Second
)

// Owners tells which sessions are gone. The lease watcher implements it.
type Owners interface {
	Refresh(ctx context.Context) error
	// LookInterval is the time to leave between two calls of Refresh.
	LookInterval() time.Duration
	Expired(session string) bool
	Live() []string
	Fleet
	// Preferred returns the live session that should do a piece of work that any
	// could do.
	Preferred(work string) string
	// Places returns the nodes of the live sessions with where they are.
	Places() []place.Node
	// Gone reports whether a node has no live session.
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
	Region   string
	// CommitInterval is the time for which finished items wait for others to be
	// listed together; zero lists them at once.
	CommitInterval time.Duration
	// ViewAge is the time since the view's source last answered.
	ViewAge func() time.Duration
	// Quarantine, if set, keeps items from replicas that ended others.
	Quarantine forward.Quarantine
	// EndQuarantined has such items end; others wait until they expire, for callers who
	// were promised that items end for no other reasons.
	EndQuarantined bool
}

// Runner runs the items of the jobs that this node owns. It is safe for
// concurrent use.
type Runner struct {
	RunnerOptions

	mu     sync.Mutex
	owned  map[string]*work
	paused bool
	freed  chan struct{}
	// usual is what items are like, pauses how their answers come.
	usual  usual
	pauses pauses
	// homeless are the jobs that no live node may run; RunClaims alone uses it.
	homeless map[string]bool
}

// NewRunner returns a runner that owns nothing yet.
func NewRunner(options RunnerOptions) *Runner {
	return &Runner{RunnerOptions: options, owned: map[string]*work{}, freed: make(chan struct{}, 1), homeless: map[string]bool{}}
}

// Run runs items until the context ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := r.Service.View.Changed()
		r.reconcile(ctx)
		r.dispatch(clock.Now())
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

// dispatch sends what can be sent, the earliest due first.
func (r *Runner) dispatch(now time.Time) {
	if !r.Service.View.Known() || r.ViewAge() > staleView {
		r.allWait(WaitView)
		return
	}
	routes := r.Routes()
	if routes == nil {
		r.allWait(WaitRoutes)
		return
	}
	room := itemRoom{free: map[string]int{}, full: map[lane]error{}}
	for _, ready := range r.waiting(now) {
		one := ready.task
		if r.Service.View.until(one.work.job.Expires) < 0 {
			r.finish(one, Expired)
			continue
		}
		target := routes.Match(one.work.job.Host, one.work.items[one.index].Path)
		if target == nil || target.Kind != route.Batch {
			r.noteWait(one, WaitRoute, nil)
			continue
		}
		r.offer(one, target, homesBy(routes, one.work.job, target), &room, now)
	}
}

// lane is a pool and the regions of it that items may be served in.
type lane struct{ pool, homes string }

// itemRoom is where items found room in one look at those that wait.
type itemRoom struct {
	// free is the room that this node has left in each pool.
	free map[string]int
	// full are the lanes where no replica takes an item, with why.
	full map[lane]error
}

// offer sends an item if there is room for it where it may be served.
func (r *Runner) offer(one *task, target *route.Route, homes place.Regions, room *itemRoom, now time.Time) {
	where := lane{pool: target.Pool(), homes: strings.Join(homes, ",")}
	if _, ok := room.free[where.pool]; !ok {
		room.free[where.pool] = r.Replicas.ItemRoom(where.pool, now)
	}
	if room.free[where.pool] <= 0 {
		r.noteWait(one, WaitRoom, nil)
		return
	}
	if full := room.full[where]; full != nil {
		r.noteWait(one, WaitReplica, full)
		return
	}
	started, err := r.start(one, target, where.pool, homes, now)
	switch started {
	case startedItem:
		room.free[where.pool]--
	case noRoom:
		room.full[where] = err
		r.noteWait(one, WaitReplica, err)
	}
}

// noteWait notes what an item waits for that is not sent.
func (r *Runner) noteWait(one *task, what Wait, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if one.state == taskWaiting {
		one.waits(what, cause)
	}
}

// allWait notes that all items which are not under way wait for the same.
func (r *Runner) allWait(what Wait) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, owned := range r.owned {
		for _, one := range owned.tasks {
			if one.state == taskWaiting {
				one.waits(what, nil)
			}
		}
	}
}

// waiting returns the tasks that could be sent, in the order of their turns.
func (r *Runner) waiting(now time.Time) []readyTask {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paused {
		return nil
	}
	storeNow := r.Service.View.Now()
	var ready []readyTask
	for _, owned := range r.owned {
		for _, one := range owned.tasks {
			if one.state == taskWaiting && !now.Before(one.notUntil) {
				ready = append(ready, readyTask{one, r.turnOf(one, storeNow)})
			}
		}
	}
	slices.SortFunc(ready, func(a, b readyTask) int {
		if a.turn.before(b.turn) {
			return -1
		}
		return 1
	})
	return ready
}

// readyTask is a task that could be sent, with its turn.
type readyTask struct {
	*task
	turn turn
}

// turnOf returns an item's place among others. The caller holds mu.
func (r *Runner) turnOf(one *task, storeNow time.Duration) turn {
	job := one.work.job
	return turn{
		late: job.Due != 0 && job.Due-storeNow < r.usual.remaining(one.after),
		rank: job.rank(), job: job.ID, item: one.index,
	}
}

// startResult is what came of a try to send an item.
type startResult int

const (
	startedItem startResult = iota
	// notNow items must wait for something of their own.
	notNow
	// noRoom tells that no replica takes an item.
	noRoom
)

// start sends one task if a replica has room. The error says why there is none.
func (r *Runner) start(one *task, target *route.Route, pool string, homes place.Regions, now time.Time) (startResult, error) {
	item := &one.work.items[one.index]
	if r.quarantined(one, item, now) {
		return notNow, nil
	}
	if r.unmarked(one) {
		r.noteWait(one, WaitMark, nil)
		r.markStarted(one.work)
		return notNow, nil
	}
	demand := &replica.Demand{
		Zone: r.Zone, Region: r.Region, Ask: replica.Ask{Tokens: int(item.Tokens), Batch: true}, Adapter: target.Adapter,
		Reserve: target.Reserve, Exclude: one.exclude, Regions: homes,
	}
	chosen, err := replica.Pick(r.Replicas.SnapshotFor(pool, demand, now), demand, r.Weights)
	if err != nil {
		if len(one.exclude) == 0 {
			return noRoom, err
		}
		one.exclude = map[string]bool{}
		return notNow, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if one.state != taskWaiting || one.work.ctx.Err() != nil {
		return notNow, nil
	}
	use := r.Replicas.BeginAt(chosen.Info, demand.Ask, now)
	if use == nil {
		// The replica is cold and others have used its rate up meanwhile, or it has
		// started again since.
		one.waits(WaitReplica, nil)
		return notNow, nil
	}
	one.state = taskRunning
	one.waits(WaitAnswer, nil)
	if one.started.IsZero() {
		one.started = now
	}
	one.yielding = false
	one.use = use
	ctx, cancel := context.WithCancelCause(one.work.ctx)
	one.replica, one.pool, one.cancel = chosen.ID, pool, cancel
	go r.run(ctx, one, item, target, chosen.Info, one.use)
	return startedItem, nil
}
