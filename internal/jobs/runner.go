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
	// RefreshInterval is the time to leave between two calls of Refresh.
	RefreshInterval() time.Duration
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
	// Reserver, if set, sets slots of other nodes aside for items that borrow one.
	Reserver forward.Reserver
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
	// nobodys are the items that no live node runs, as of the last look at lost owners.
	nobodys nobodys
	// borrows are the lanes where items asked for slots of others.
	borrows map[lane]borrowing
}

// NewRunner returns a runner that owns nothing yet.
func NewRunner(options RunnerOptions) *Runner {
	return &Runner{
		RunnerOptions: options, owned: map[string]*work{}, freed: make(chan struct{}, 1), homeless: map[string]bool{},
		borrows: map[lane]borrowing{},
	}
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
	room := itemRoom{free: map[string]int{}, none: map[string]error{}, full: map[lane]error{}, borrowed: map[lane]bool{}}
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

// lane is a part of a pool that items may be served in: the regions, those with an adapter,
// without the replicas that are left to online requests.
type lane struct {
	pool, homes, adapter string
	reserve              float64
}

// itemRoom is where items found room in one look at those that wait.
type itemRoom struct {
	// free is the room that this node has left in each pool, none what decided it.
	free map[string]int
	none map[string]error
	// full are the lanes where no replica takes an item, with why.
	full map[lane]error
	// borrowed are the lanes where an item has tried to borrow a slot.
	borrowed map[lane]bool
}

// offer sends an item if there is room for it where it may be served.
func (r *Runner) offer(one *task, target *route.Route, homes place.Regions, room *itemRoom, now time.Time) {
	where := lane{pool: target.Pool(), homes: strings.Join(homes, ","), adapter: target.Adapter, reserve: target.Reserve}
	if _, ok := room.free[where.pool]; !ok {
		decided := r.Replicas.ItemCapacity(where.pool, now)
		room.free[where.pool], room.none[where.pool] = decided.Free(), decided
	}
	send := itemSend{task: one, target: target, lane: where, homes: homes}
	if room.free[where.pool] <= 0 {
		r.noteWait(one, WaitRoom, room.none[where.pool])
		r.borrow(send, room, now)
		return
	}
	if full := room.full[where]; full != nil {
		r.noteWait(one, WaitReplica, full)
		r.borrow(send, room, now)
		return
	}
	started, err := r.start(send, now)
	switch started {
	case startedItem:
		room.free[where.pool]--
	case noRoom:
		room.full[where] = err
		r.noteWait(one, WaitReplica, err)
		r.borrow(send, room, now)
	case allTried:
		r.borrow(send, room, now)
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
