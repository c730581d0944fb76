package jobs

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

const (
	// dispatchInterval bounds the time between two dispatches.
	dispatchInterval = 100 * time.Millisecond
	// maxViewAge is the age of the view beyond which no items are sent at all. From maxUncheckedAge
	// on, they are sent only once the row of their job has been read, or if the table does not
	// answer: this constant bounds how long ends may be missed then.
	maxViewAge = 8 * time.Second
)

// Owners reports which sessions are live. The lease watcher implements it.
type Owners interface {
	Refresh(ctx context.Context) error
	// RefreshInterval is the time to leave between two calls of Refresh.
	RefreshInterval() time.Duration
	Expired(session string) bool
	Live() []string
	Fleet
	// Preferred returns the live session that should do a piece of work that any of them could do.
	Preferred(work string) string
	// Places returns the nodes of the live sessions with their places.
	Places() []place.Node
	// Gone reports whether a node has no live session.
	Gone(node string) bool
}

// RunnerOptions configures a runner.
type RunnerOptions struct {
	Service  *Service
	Replicas *replica.Set
	Backend  forward.Backend
	// Reserver, if set, reserves slots outside this node's share for items that borrow one.
	Reserver forward.Reserver
	Routes   func() *route.Table
	Owners   Owners
	Weights  replica.Weights
	Zone     string
	Region   string
	// CommitInterval is how long finished items wait for others to be listed together; zero lists
	// them at once.
	CommitInterval time.Duration
	// ViewAge returns the time since the view's source last answered.
	ViewAge func() time.Duration
	// Quarantine, if set, names the replicas on which trials of requests run.
	Quarantine Quarantine
	// DescribePrompt, if set, returns the prompt that an item's headers describe.
	DescribePrompt func(http.Header) route.Prompt
}

// Runner runs the items of the jobs that this node owns. It is safe for concurrent use.
type Runner struct {
	RunnerOptions

	mu      sync.Mutex
	owned   map[string]*ownedJob
	stopped bool
	wakeups chan struct{}
	// estimate is the expected length of items, gaps the expected gaps between the events of
	// answers.
	estimate itemEstimate
	gaps     gapEstimates
	// awaitingRegion holds the jobs that no live node may run. Only RunClaims uses it.
	awaitingRegion map[string]bool
	// orphans are the items that no live node runs, as of the last round of claims.
	orphans orphans
	// borrowStates holds the state of borrowing slots by lane.
	borrowStates map[lane]borrowState
	// answers bounds what the answers being read keep in memory together, beside the texts.
	answers bytebudget.Budget
}

// NewRunner returns a runner that owns no jobs.
func NewRunner(options RunnerOptions) *Runner {
	return &Runner{
		RunnerOptions: options, owned: map[string]*ownedJob{}, wakeups: make(chan struct{}, 1), awaitingRegion: map[string]bool{},
		borrowStates: map[lane]borrowState{},
	}
}

// Run runs items until the context ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := r.Service.View.Changed()
		r.reconcile(ctx)
		r.dispatch(clock.Now())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-changed:
		case <-r.wakeups:
		}
	}
}

// wake makes Run dispatch again at once.
func (r *Runner) wake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

// dispatch sends the items that can be sent, in the order of their priority.
func (r *Runner) dispatch(now time.Time) {
	if !r.Service.View.Loaded() || r.viewAge(now) > maxViewAge {
		r.recordWaitAll(WaitView)
		return
	}
	routes := r.Routes()
	if routes == nil {
		r.recordWaitAll(WaitRoutes)
		return
	}
	pass := dispatchPass{freeSlots: map[string]int{}, slotCause: map[string]error{}, fullLanes: map[lane]error{}, borrowWaits: map[lane]time.Duration{}}
	for _, ready := range r.readyTasks(now) {
		t := ready.task
		if r.Service.View.timeUntil(t.owned.job.Expires) < 0 {
			r.finish(t, Expired)
			continue
		}
		target := routes.Match(t.owned.job.Host, t.owned.items[t.index].Path)
		if target == nil || target.Kind != route.Batch {
			r.recordWait(t, WaitRoute, nil)
			continue
		}
		r.tryDispatch(t, target, routeRegions(routes, t.owned.job, target), &pass, now)
	}
}

// lane is the part of a pool that some items may use: replicas in their allowed regions that have
// their adapter, without the share reserved for online requests.
type lane struct {
	pool, regions, adapter string
	reserve                float64
	// resumed is set for items that continue a text, which only replicas of a software version may do.
	resumed  bool
	software string
}

// dispatchPass is the state of one pass over the waiting items.
type dispatchPass struct {
	// freeSlots is the number of free slots that this node has left in each pool, slotCause what
	// limits it.
	freeSlots map[string]int
	slotCause map[string]error
	// fullLanes are the lanes where no replica accepts an item, with the reason.
	fullLanes map[lane]error
	// borrowWaits is, by lane, the longest wait of an item that may not borrow a slot. An item that has
	// waited for longer may still do so.
	borrowWaits map[lane]time.Duration
}

// tryDispatch sends an item if a slot that it may use is free, and tries to borrow one if not.
func (r *Runner) tryDispatch(t *task, target *route.Route, regions place.Regions, pass *dispatchPass, now time.Time) {
	key := lane{pool: target.Pool(), regions: strings.Join(regions, ","), adapter: target.Adapter, reserve: target.Reserve}
	var after int
	key.resumed, key.software, after = r.requiredSoftware(t, key.pool, now)
	if _, ok := pass.freeSlots[key.pool]; !ok {
		capacity := r.Replicas.ItemCapacity(key.pool, now)
		pass.freeSlots[key.pool], pass.slotCause[key.pool] = capacity.Free(), capacity
	}
	r.setLane(t, key)
	send := pendingSend{task: t, target: target, lane: key, regions: regions, after: after}
	if pass.freeSlots[key.pool] <= 0 {
		r.recordWait(t, WaitSlot, pass.slotCause[key.pool])
		r.tryBorrow(send, pass, now)
		return
	}
	if full := pass.fullLanes[key]; full != nil {
		r.recordWait(t, WaitReplica, full)
		r.tryBorrow(send, pass, now)
		return
	}
	result, err := r.trySend(send, now)
	switch result {
	case itemStarted:
		pass.freeSlots[key.pool]--
	case noReplica:
		pass.fullLanes[key] = err
		r.recordWait(t, WaitReplica, err)
		r.tryBorrow(send, pass, now)
	case allExcluded:
		r.tryBorrow(send, pass, now)
	}
}

// setLane records the lane in which an item last waited for a slot.
func (r *Runner) setLane(t *task, key lane) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.lane = key
}

// recordWait records what an item that is not sent waits for.
func (r *Runner) recordWait(t *task, kind WaitReason, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.state == taskWaiting {
		t.setWait(kind, cause)
	}
}

// recordWaitAll records that all items which are not sent wait for the same reason.
func (r *Runner) recordWaitAll(kind WaitReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, owned := range r.owned {
		for _, t := range owned.tasks {
			if t.state == taskWaiting {
				t.setWait(kind, nil)
			}
		}
	}
}

// readyTasks returns the tasks that could be sent, in the order of their priority.
func (r *Runner) readyTasks(now time.Time) []readyTask {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return nil
	}
	storeNow := r.Service.View.Now()
	var ready []readyTask
	for _, owned := range r.owned {
		for _, t := range owned.tasks {
			if t.state == taskWaiting && !now.Before(t.notBefore) {
				ready = append(ready, readyTask{t, r.priorityOf(t, storeNow)})
			}
		}
	}
	slices.SortFunc(ready, func(a, b readyTask) int {
		if a.priority.before(b.priority) {
			return -1
		}
		return 1
	})
	return ready
}

// readyTask is a task that could be sent, with its priority.
type readyTask struct {
	*task
	priority priority
}

// priorityOf returns an item's priority. The caller holds mu.
func (r *Runner) priorityOf(t *task, storeNow time.Duration) priority {
	job := t.owned.job
	return priority{
		late: job.Due != 0 && job.Due-storeNow < r.estimate.remaining(t.lastEvent),
		rank: job.rank(), job: job.ID, item: t.index,
	}
}
