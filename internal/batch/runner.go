package batch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// heldItemsLimit bounds the items in a node's memory, finished ones that
	// wait for the store included.
	heldItemsLimit = 6144
	// claimInterval is the pause between looks for work when none was found.
	claimInterval = 250 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = 5 * time.Second
	// minRefresh and refreshPerNode bound the reads of the active list: the whole
	// fleet reads it at most about 1/refreshPerNode times a second.
	minRefresh     = 500 * time.Millisecond
	refreshPerNode = 30 * time.Millisecond
)

// Engines is what the runner needs of the engines.
type Engines interface {
	Complete(ctx context.Context, base string, attempt engine.Attempt) ([]byte, error)
	Abort(ctx context.Context, base, id string) (engine.RequestStatus, error)
	Status(ctx context.Context, base, id string) (engine.RequestStatus, error)
	Resume(ctx context.Context, base, id, path string, after int) (*engine.Stream, error)
}

// Feed is a replica that this node feeds, with its room for batch work.
type Feed struct {
	ID      string
	Address string
	Model   string
	Room    Room
}

// Counters count a runner's work.
type Counters struct {
	Claims    uint64
	Takeovers uint64
	Commits   uint64
	Conflicts uint64
	Items     uint64
	Yielded   uint64
	Retried   uint64
}

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	Service *Service
	Session *lease.Session
	Watcher *lease.Watcher
	Engines Engines
	Table   table.Service
	Objects object.Store
	Log     zerolog.Logger
	// Nodes returns the number of live nodes.
	Nodes func() int
	// Weight returns a tenant's weight.
	Weight func(tenant string) float64
	// Addresses returns all replicas of a model, to look for a lost item.
	Addresses func(model string) []string
	// EqualPriority sends items with the priority of online requests; a baseline
	// to measure against.
	EqualPriority bool
}

// Runner claims chunks and runs their items at the replicas this node feeds.
type Runner struct {
	options RunnerOptions
	kick    chan struct{}
	refresh chan struct{}
	group   sync.WaitGroup

	mu       sync.Mutex
	feeds    map[string]*feed
	works    map[name]*work
	ordered  []*work
	jobs     map[string]*jobView
	order    *Order
	counters Counters
	rate     rateMeter
	stopping bool
	// draining is set by a planned stop: nothing is claimed any more, and only
	// work with items that may run once and have been sent goes on.
	draining bool
}

// jobView is what a node knows of an active job.
type jobView struct {
	job    *Job
	chunks map[int]Chunk
	listed time.Time
}

// NewRunner returns a runner; Run makes it work.
func NewRunner(options RunnerOptions) *Runner {
	return &Runner{
		options: options, kick: make(chan struct{}, 1), refresh: make(chan struct{}, 1),
		feeds: map[string]*feed{}, works: map[name]*work{}, jobs: map[string]*jobView{}, order: NewOrder(),
	}
}

// Counters returns the runner's counters.
func (r *Runner) Counters() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counters
}

// Notify takes in a notice about a job from another node or this one.
func (r *Runner) Notify(notice Notice) {
	if notice.Ended {
		r.mu.Lock()
		r.dropJob(notice.Job)
		r.mu.Unlock()
		return
	}
	signal(r.refresh)
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Run works until the context ends; then it lets go of everything.
func (r *Runner) Run(ctx context.Context) {
	r.group.Add(2)
	go r.pumpLoop(ctx)
	go r.refreshLoop(ctx)
	r.claimLoop(ctx)
	r.mu.Lock()
	r.stopping = true
	for _, held := range r.works {
		r.drop(held)
	}
	r.mu.Unlock()
	r.group.Wait()
}

// refreshLoop keeps the list of active jobs.
func (r *Runner) refreshLoop(ctx context.Context) {
	defer r.group.Done()
	for {
		r.refreshJobs(ctx)
		interval := max(minRefresh, time.Duration(r.options.Nodes())*refreshPerNode)
		select {
		case <-ctx.Done():
			return
		case <-r.refresh:
		case <-time.After(interval):
		}
	}
}

func (r *Runner) refreshJobs(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	active, err := r.options.Service.Active(callCtx)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for _, job := range active {
		listed[job.ID] = true
		if r.jobs[job.ID] == nil {
			r.jobs[job.ID] = &jobView{job: job, chunks: map[int]Chunk{}}
		}
	}
	for id := range r.jobs {
		if !listed[id] {
			r.dropJob(id)
		}
	}
}

// dropJob lets go of a job that has ended. The caller holds mu.
func (r *Runner) dropJob(id string) {
	delete(r.jobs, id)
	r.order.Forget(id)
	for _, held := range r.works {
		if held.job.ID == id {
			r.drop(held)
		}
	}
}

// drop gives up held work and aborts its running items. The caller holds mu.
func (r *Runner) drop(held *work) {
	if held.dropped {
		return
	}
	held.dropped = true
	held.cancel()
	r.remove(held)
	for _, target := range r.feeds {
		for _, running := range target.running {
			if running.work == held {
				r.abort(target, running)
			}
		}
	}
}

// remove forgets held work. The caller holds mu.
func (r *Runner) remove(held *work) {
	delete(r.works, held.name())
	kept := r.ordered[:0]
	for _, other := range r.ordered {
		if other != held {
			kept = append(kept, other)
		}
	}
	r.ordered = kept
}

// hold adds claimed work. The caller holds mu.
func (r *Runner) hold(ctx context.Context, held *work) {
	held.ctx, held.cancel = context.WithCancel(ctx)
	r.works[held.name()] = held
	r.ordered = append(r.ordered, held)
	signal(r.kick)
}

// heldItems counts the items in memory. The caller holds mu.
func (r *Runner) heldItems() (held, pending int) {
	for _, work := range r.works {
		held += len(work.items)
		pending += len(work.pending)
	}
	return held, pending
}

// rateMeter is the observed rate of finished items, decayed over about 10 s.
type rateMeter struct {
	rate float64
	last time.Time
}

func (m *rateMeter) add(now time.Time) {
	const window = 10.0
	if !m.last.IsZero() {
		gap := now.Sub(m.last).Seconds()
		m.rate = m.rate*max(0, 1-gap/window) + 1/window
	}
	m.last = now
}
