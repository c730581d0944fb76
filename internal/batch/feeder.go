package batch

import (
	"context"
	"errors"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// feedTick is the time between two looks at the groups under way.
	feedTick = 100 * time.Millisecond
	// activeInterval and activePerSession are the time between two readings of
	// the list of active batches; it grows with the fleet, so that the table's
	// load does not.
	activeInterval   = 500 * time.Millisecond
	activePerSession = 10 * time.Millisecond
	// groupsOpen is the number of groups that a tenant of weight 1 has open at a
	// time: enough to keep all places filled while groups end and begin.
	groupsOpen = 8
	// dangerMargin is how much longer than estimated the rest of a batch may
	// take before its groups go before the others'.
	dangerMargin = 2.0
	// dangerAdvance is how much earlier these count as accepted.
	dangerAdvance = time.Hour
	feedTimeout   = 5 * time.Second
)

// Sessions tells which nodes live.
type Sessions interface {
	// Live returns the sessions of the live nodes.
	Live() []string
	// Preferred returns the live session that should do a piece of work that
	// any could do.
	Preferred(work string) string
}

// Feeder hands the groups of active batches over to package jobs and makes the
// results of those that are done permanent. Each batch is fed by the node that
// Sessions prefers; two feeders for a moment are harmless, for every step is
// conditional on rows that only one of them can change.
type Feeder struct {
	Service  *Service
	Sessions Sessions
	// Self is this node's session.
	Self string
	// Weight is a tenant's share under contention.
	Weight func(tenant string) float64
	Log    zerolog.Logger

	mu sync.Mutex
	// fed are the batches that this node feeds.
	fed map[string]*feeding
	// accepted are batches that were accepted here since the last look.
	accepted []*Job
	// waiting is what the groups waited for after the last look.
	waiting []WaitingGroup
}

// feeding is the state of a batch that this node feeds.
type feeding struct {
	batch *Job
	// done are the groups that have their result.
	done map[int]Group
	// next is the first group that may not have been begun yet.
	next int
	// began is when this node took the batch up, first how many items were done
	// then; they tell the rate.
	began time.Time
	first int
	// waits is what its groups wait for; beginErr is why the next one could not be begun,
	// finishErr why results could not be made permanent; nil if the last try succeeded.
	waits     map[int]WaitingGroup
	beginErr  error
	finishErr error
}

// Accept takes a batch that was accepted at this node, so that its first groups
// need not wait for a look at the list.
func (f *Feeder) Accept(batch *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted = append(f.accepted, batch)
}

// Run feeds until the context ends.
func (f *Feeder) Run(ctx context.Context) {
	f.fed = map[string]*feeding{}
	var looked time.Time
	for ctx.Err() == nil {
		changed := f.Service.Work.View.Changed()
		f.takeAccepted(ctx)
		if time.Since(looked) > f.activeInterval() {
			looked = time.Now()
			f.look(ctx)
		}
		f.step(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
			// Results come in bursts; one look serves many.
			retry.Sleep(ctx, feedTick)
		case <-time.After(f.activeInterval()):
		}
	}
}

func (f *Feeder) activeInterval() time.Duration {
	return max(activeInterval, time.Duration(len(f.Sessions.Live()))*activePerSession)
}

func (f *Feeder) takeAccepted(ctx context.Context) {
	f.mu.Lock()
	accepted := f.accepted
	f.accepted = nil
	f.mu.Unlock()
	for _, batch := range accepted {
		f.take(ctx, batch)
	}
}

// look reads the list of active batches and takes up those that this node
// should feed. Groups of batches that are not on it are stopped.
func (f *Feeder) look(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	// The groups are looked at before the list: a group of a batch that the
	// later list lacks belongs to one that has ended.
	known := f.Service.Work.View.All()
	active, err := f.Service.Active(callCtx)
	if err != nil {
		return
	}
	listed := map[string]bool{}
	for _, batch := range active {
		listed[batch.ID] = true
		if f.fed[batch.ID] == nil && f.Sessions.Preferred(batch.ID) == f.Self {
			f.take(ctx, batch)
		}
	}
	for id := range f.fed {
		if !listed[id] || f.Sessions.Preferred(id) != f.Self {
			delete(f.fed, id)
		}
	}
	f.stopEnded(callCtx, known, listed)
}

// take begins to feed a batch.
func (f *Feeder) take(ctx context.Context, batch *Job) {
	callCtx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	if batch.State.Final() || f.Service.findActive(callCtx, batch) != nil {
		return
	}
	done, err := f.Service.groups(callCtx, batch.ID)
	if err != nil {
		return
	}
	completed, failed, _ := count(done)
	f.fed[batch.ID] = &feeding{batch: batch, done: done, began: time.Now(), first: completed + failed}
}

// stopEnded ends and removes the groups of batches that have ended.
func (f *Feeder) stopEnded(ctx context.Context, known []*jobs.Entry, listed map[string]bool) {
	for _, entry := range known {
		batch, _, ok := parseGroupID(entry.Job.ID)
		if !ok || listed[batch] || f.Sessions.Preferred(batch) != f.Self {
			continue
		}
		if f.Service.Work.End(ctx, entry.Job.ID) != nil {
			continue
		}
		if ended := f.Service.Work.View.Get(entry.Job.ID); ended != nil {
			// What could not be removed is tried again at the next look.
			_ = f.Service.Work.Remove(ctx, ended)
		}
	}
}

// step finishes the groups that are done and begins others.
func (f *Feeder) step(ctx context.Context) {
	open := map[string]int{}
	for _, fed := range f.ordered() {
		f.finish(ctx, fed)
		tenant := fed.batch.Tenant
		open[tenant] += f.openGroups(fed)
	}
	for _, fed := range f.ordered() {
		tenant := fed.batch.Tenant
		for open[tenant] < f.window(tenant) && f.begin(ctx, fed) {
			open[tenant]++
		}
	}
	f.noteWaits(time.Now())
}

// ordered returns the batches, the earliest deadline first.
func (f *Feeder) ordered() []*feeding {
	ordered := make([]*feeding, 0, len(f.fed))
	for _, fed := range f.fed {
		ordered = append(ordered, fed)
	}
	sort.Slice(ordered, func(i, j int) bool {
		a, b := ordered[i].batch, ordered[j].batch
		if !a.Deadline.Equal(b.Deadline) {
			return a.Deadline.Before(b.Deadline)
		}
		return a.ID < b.ID
	})
	return ordered
}

// window is the number of groups that a tenant may have open.
func (f *Feeder) window(tenant string) int {
	weight := f.Weight(tenant)
	if weight <= 0 {
		weight = 1
	}
	return max(1, int(math.Round(groupsOpen*weight)))
}

// openGroups counts the groups of a batch that have items to run.
func (f *Feeder) openGroups(fed *feeding) int {
	open := 0
	for number := range fed.next {
		if entry := f.entry(fed, number); entry != nil && !entry.Done() {
			open++
		}
	}
	return open
}

func (f *Feeder) entry(fed *feeding, number int) *jobs.Entry {
	if _, done := fed.done[number]; done {
		return nil
	}
	return f.Service.Work.View.Get(groupID(fed.batch.ID, number))
}

// finish makes the results of groups that are done permanent, and ends the
// batch after the last one.
func (f *Feeder) finish(ctx context.Context, fed *feeding) {
	for number := range fed.batch.Groups() {
		entry := f.entry(fed, number)
		if entry == nil || !entry.Done() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, feedTimeout)
		err := f.Service.finishGroup(callCtx, fed.batch, number, entry)
		cancel()
		fed.finishErr = err
		if err != nil {
			f.Log.Info().Str("batch", fed.batch.ID).Int("group", number).Err(err).Msg("group not finished yet")
			f.reload(ctx, fed)
			continue
		}
		fed.done[number] = groupOf(entry)
	}
	f.recover(ctx, fed)
	if len(fed.done) == fed.batch.Groups() {
		f.end(ctx, fed)
	}
}

// recover looks after groups that were begun and are neither open nor known to
// be done: another feeder has finished them, or they must be begun again.
func (f *Feeder) recover(ctx context.Context, fed *feeding) {
	if len(f.lost(fed)) == 0 {
		return
	}
	f.reload(ctx, fed)
	if lost := f.lost(fed); len(lost) > 0 {
		// The guard of the submission keeps out what is done after all.
		fed.next = lost[0]
	}
}

func (f *Feeder) lost(fed *feeding) []int {
	var lost []int
	for number := range fed.next {
		if _, done := fed.done[number]; !done && f.entry(fed, number) == nil {
			lost = append(lost, number)
		}
	}
	return lost
}

// groupOf counts the results of a group.
func groupOf(entry *jobs.Entry) Group {
	var group Group
	for _, listed := range entry.Progress.Listed {
		if listed.Dead {
			group.Failed++
		} else {
			group.Completed++
		}
	}
	return group
}

// reload reads what is done after a step that failed: another feeder may have
// been faster.
func (f *Feeder) reload(ctx context.Context, fed *feeding) {
	callCtx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	if done, err := f.Service.groups(callCtx, fed.batch.ID); err == nil {
		fed.done = done
	}
}

// begin hands the next group over. It reports whether it did.
func (f *Feeder) begin(ctx context.Context, fed *feeding) bool {
	for ; fed.next < fed.batch.Groups(); fed.next++ {
		if _, done := fed.done[fed.next]; done || f.entry(fed, fed.next) != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, feedTimeout)
		err := f.submit(callCtx, fed)
		cancel()
		failing := fed.beginErr != nil
		fed.beginErr = err
		if errors.Is(err, jobs.ErrSuperseded) {
			f.reload(ctx, fed)
			return false
		}
		if err != nil && failing {
			// It is in the account, and in the log again once it is overdue.
			return false
		}
		if err != nil {
			f.Log.Warn().Str("batch", fed.batch.ID).Int("group", fed.next).Err(err).Msg("group not handed over yet")
			return false
		}
		fed.next++
		return true
	}
	return false
}

func (f *Feeder) submit(ctx context.Context, fed *feeding) error {
	submitted, err := f.Service.submission(ctx, fed.batch, fed.next)
	if err != nil {
		return err
	}
	if fed.inDanger(time.Now()) {
		submitted.HeadStart = dangerAdvance
	}
	return f.Service.Work.Submit(ctx, submitted)
}

// inDanger reports whether a batch may miss its deadline at its present rate.
func (fed *feeding) inDanger(now time.Time) bool {
	completed, failed, _ := count(fed.done)
	finished := completed + failed - fed.first
	elapsed := now.Sub(fed.began).Seconds()
	if finished <= 0 || elapsed <= 0 {
		return false
	}
	remaining := float64(fed.batch.Lines - completed - failed)
	needed := remaining * elapsed / float64(finished) * dangerMargin
	return fed.batch.Deadline.Sub(now).Seconds() < needed
}

// end writes the final state of a batch.
func (f *Feeder) end(ctx context.Context, fed *feeding) {
	callCtx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	current, err := f.Service.job(callCtx, fed.batch.ID)
	if err != nil || current.State.Final() {
		return
	}
	done, err := f.Service.groups(callCtx, fed.batch.ID)
	if err != nil || len(done) < current.Groups() {
		return
	}
	var expired int
	current.Completed, current.Failed, expired = count(done)
	current.State = openai.BatchCompleted
	if expired > 0 {
		current.State = openai.BatchExpired
	}
	current.EndedAt = time.Now().UTC()
	err = f.Service.end(callCtx, current)
	if err != nil && !errors.Is(err, table.ErrConflict) {
		return
	}
	delete(f.fed, fed.batch.ID)
	f.Log.Info().Str("batch", current.ID).Int("completed", current.Completed).Int("failed", current.Failed).
		Err(err).Msg("batch ended")
}
