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
	// stepDelay delays a step after a change, so that one step handles a burst of results.
	stepDelay = 100 * time.Millisecond
	// minListInterval and listIntervalPerSession give the time between two reads of the list of
	// active batches. It grows with the fleet, so that the load on the table does not.
	minListInterval        = 500 * time.Millisecond
	listIntervalPerSession = 10 * time.Millisecond
	// openGroupsPerTenant is the number of groups that a tenant of weight 1 may have open: enough to
	// keep all slots busy while groups end and others are submitted.
	openGroupsPerTenant = 8
	// atRiskFactor scales the estimated time for the rest of a batch. A batch whose deadline is
	// closer than that is at risk, and its groups take precedence.
	atRiskFactor = 2.0
	// atRiskAdvance is how much earlier the groups of a batch at risk count as accepted.
	atRiskAdvance = time.Hour
	callTimeout   = 5 * time.Second
)

// Sessions provides the sessions of the live nodes.
type Sessions interface {
	// Live returns the sessions of the live nodes.
	Live() []string
	// Preferred returns the live session that should do a piece of work that any node can do.
	Preferred(work string) string
}

// Feeder submits the groups of active batches to package jobs and makes the results of completed
// groups permanent. Each batch is fed by the node that Sessions prefers. Two feeders of one batch
// are harmless, because every write is conditional on rows that only one of them can change.
type Feeder struct {
	Service  *Service
	Sessions Sessions
	// Self is this node's session.
	Self string
	// Weight returns a tenant's share under contention.
	Weight func(tenant string) float64
	Log    zerolog.Logger

	mu sync.Mutex
	// batches holds the batches that this node feeds, by ID.
	batches map[string]*fedBatch
	// accepted holds the batches that this node accepted since the last step.
	accepted []*Job
	// waits holds the waits groups as of the last step.
	waits []GroupWait
}

// fedBatch is the state of a batch that this node feeds.
type fedBatch struct {
	batch *Job
	// done holds the groups whose result is permanent, by number.
	done map[int]Group
	// next is the first group that may not have been submitted yet.
	next int
	// startedAt is when this node began to feed the batch, initialResults the number of items done
	// by then. atRisk measures the rate of the batch from there.
	startedAt      time.Time
	initialResults int
	// waits holds the waiting groups by number. submitErr and finishErr are the errors of the last
	// attempts to submit a group and to make results permanent; nil after a success.
	waits     map[int]GroupWait
	submitErr error
	finishErr error
}

// Accept passes a batch that this node accepted to the feeder, so that its first groups need not
// wait for the next read of the list of active batches. It does not block.
func (f *Feeder) Accept(batch *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted = append(f.accepted, batch)
}

// Run feeds batches until the context is done.
func (f *Feeder) Run(ctx context.Context) {
	f.batches = map[string]*fedBatch{}
	var refreshedAt time.Time
	for ctx.Err() == nil {
		changed := f.Service.Work.View.Changed()
		f.startAccepted(ctx)
		if time.Since(refreshedAt) > f.listInterval() {
			refreshedAt = time.Now()
			f.refresh(ctx)
		}
		f.step(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
			// Results arrive in bursts, so one step handles many.
			retry.Sleep(ctx, stepDelay)
		case <-time.After(f.listInterval()):
		}
	}
}

func (f *Feeder) listInterval() time.Duration {
	return max(minListInterval, time.Duration(len(f.Sessions.Live()))*listIntervalPerSession)
}

func (f *Feeder) startAccepted(ctx context.Context) {
	f.mu.Lock()
	accepted := f.accepted
	f.accepted = nil
	f.mu.Unlock()
	for _, batch := range accepted {
		f.start(ctx, batch)
	}
}

// refresh reads the list of active batches and starts to feed those that this node should feed. It
// stops the groups of batches that are not on the list.
func (f *Feeder) refresh(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The groups are read before the list: a batch that has a group and is missing from the later
	// list has ended.
	entries := f.Service.Work.View.All()
	active, err := f.Service.Active(callCtx)
	if err != nil {
		return
	}
	listed := map[string]bool{}
	for _, batch := range active {
		listed[batch.ID] = true
		if f.batches[batch.ID] == nil && f.Sessions.Preferred(batch.ID) == f.Self {
			f.start(ctx, batch)
		}
	}
	for id := range f.batches {
		if !listed[id] || f.Sessions.Preferred(id) != f.Self {
			delete(f.batches, id)
		}
	}
	f.stopEnded(callCtx, entries, listed)
}

// start begins to feed a batch, unless it has ended.
func (f *Feeder) start(ctx context.Context, batch *Job) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if batch.State.Final() || f.Service.loadActiveVersion(callCtx, batch) != nil {
		return
	}
	done, err := f.Service.doneGroups(callCtx, batch.ID)
	if err != nil {
		return
	}
	completed, failed, _ := sumGroups(done)
	f.batches[batch.ID] = &fedBatch{batch: batch, done: done, startedAt: time.Now(), initialResults: completed + failed}
}

// stopEnded ends and removes the groups among entries whose batch is not listed as active.
func (f *Feeder) stopEnded(ctx context.Context, entries []*jobs.Entry, listed map[string]bool) {
	for _, entry := range entries {
		batch, _, ok := parseGroupID(entry.Job.ID)
		if !ok || listed[batch] || f.Sessions.Preferred(batch) != f.Self {
			continue
		}
		if f.Service.Work.End(ctx, entry.Job.ID) != nil {
			continue
		}
		if ended := f.Service.Work.View.Get(entry.Job.ID); ended != nil {
			// The next refresh retries a failed removal.
			_ = f.Service.Work.Remove(ctx, ended)
		}
	}
}

// step finishes the completed groups and submits others.
func (f *Feeder) step(ctx context.Context) {
	open := map[string]int{}
	for _, fed := range f.byDeadline() {
		f.finishGroups(ctx, fed)
		tenant := fed.batch.Tenant
		open[tenant] += f.countOpenGroups(fed)
	}
	for _, fed := range f.byDeadline() {
		tenant := fed.batch.Tenant
		for open[tenant] < f.maxOpenGroups(tenant) && f.submitNext(ctx, fed) {
			open[tenant]++
		}
	}
	f.updateWaits(time.Now())
}

// byDeadline returns the batches in the order of their deadlines, the earliest first.
func (f *Feeder) byDeadline() []*fedBatch {
	sorted := make([]*fedBatch, 0, len(f.batches))
	for _, fed := range f.batches {
		sorted = append(sorted, fed)
	}
	sort.Slice(sorted, func(i, j int) bool {
		a, b := sorted[i].batch, sorted[j].batch
		if !a.Deadline.Equal(b.Deadline) {
			return a.Deadline.Before(b.Deadline)
		}
		return a.ID < b.ID
	})
	return sorted
}

// maxOpenGroups returns the number of groups that a tenant may have open.
func (f *Feeder) maxOpenGroups(tenant string) int {
	weight := f.Weight(tenant)
	if weight <= 0 {
		weight = 1
	}
	return max(1, int(math.Round(openGroupsPerTenant*weight)))
}

// countOpenGroups returns the number of submitted groups of a batch with unfinished items.
func (f *Feeder) countOpenGroups(fed *fedBatch) int {
	open := 0
	for number := range fed.next {
		if entry := f.entry(fed, number); entry != nil && !entry.Done() {
			open++
		}
	}
	return open
}

// entry returns a group's entry in the jobs view, or nil if the group is done or has no entry.
func (f *Feeder) entry(fed *fedBatch, number int) *jobs.Entry {
	if _, done := fed.done[number]; done {
		return nil
	}
	return f.Service.Work.View.Get(groupID(fed.batch.ID, number))
}

// finishGroups makes the results of completed groups permanent, and completes the batch after the
// last one.
func (f *Feeder) finishGroups(ctx context.Context, fed *fedBatch) {
	for number := range fed.batch.Groups() {
		entry := f.entry(fed, number)
		if entry == nil || !entry.Done() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := f.Service.finishGroup(callCtx, fed.batch, number, entry)
		cancel()
		fed.finishErr = err
		if err != nil {
			f.Log.Info().Str("batch", fed.batch.ID).Int("group", number).Err(err).Msg("failed to store batch group results, will retry")
			f.reloadDone(ctx, fed)
			continue
		}
		fed.done[number] = groupCounts(entry)
	}
	f.recover(ctx, fed)
	if len(fed.done) == fed.batch.Groups() {
		f.complete(ctx, fed)
	}
}

// recover handles submitted groups that are neither open nor known to be done. Either another feeder
// has finished them, or they are submitted again.
func (f *Feeder) recover(ctx context.Context, fed *fedBatch) {
	if len(f.lostGroups(fed)) == 0 {
		return
	}
	f.reloadDone(ctx, fed)
	if lost := f.lostGroups(fed); len(lost) > 0 {
		// The guards of the submission reject a group that is done after all.
		fed.next = lost[0]
	}
}

// lostGroups returns the submitted groups that are neither done nor in the jobs view.
func (f *Feeder) lostGroups(fed *fedBatch) []int {
	var lost []int
	for number := range fed.next {
		if _, done := fed.done[number]; !done && f.entry(fed, number) == nil {
			lost = append(lost, number)
		}
	}
	return lost
}

// groupCounts returns the counts of a group's listed results.
func groupCounts(entry *jobs.Entry) Group {
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

// reloadDone reads the completed groups again after a failed write: another feeder may have written
// them first.
func (f *Feeder) reloadDone(ctx context.Context, fed *fedBatch) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if done, err := f.Service.doneGroups(callCtx, fed.batch.ID); err == nil {
		fed.done = done
	}
}

// submitNext submits the next group of a batch and reports whether it did.
func (f *Feeder) submitNext(ctx context.Context, fed *fedBatch) bool {
	for ; fed.next < fed.batch.Groups(); fed.next++ {
		if _, done := fed.done[fed.next]; done || f.entry(fed, fed.next) != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := f.submitGroup(callCtx, fed)
		cancel()
		failedBefore := fed.submitErr != nil
		fed.submitErr = err
		if errors.Is(err, jobs.ErrSuperseded) {
			f.reloadDone(ctx, fed)
			return false
		}
		if err != nil && failedBefore {
			// Logged before. WaitCounts reports the group, and it is logged again once overdue.
			return false
		}
		if err != nil {
			f.Log.Warn().Str("batch", fed.batch.ID).Int("group", fed.next).Err(err).Msg("failed to submit batch group, will retry")
			return false
		}
		fed.next++
		return true
	}
	return false
}

func (f *Feeder) submitGroup(ctx context.Context, fed *fedBatch) error {
	submission, err := f.Service.newSubmission(ctx, fed.batch, fed.next)
	if err != nil {
		return err
	}
	if fed.atRisk(time.Now()) {
		submission.HeadStart = atRiskAdvance
	}
	return f.Service.Work.Submit(ctx, submission)
}

// atRisk reports whether a batch may miss its deadline at its current rate.
func (fed *fedBatch) atRisk(now time.Time) bool {
	completed, failed, _ := sumGroups(fed.done)
	finished := completed + failed - fed.initialResults
	elapsed := now.Sub(fed.startedAt).Seconds()
	if finished <= 0 || elapsed <= 0 {
		return false
	}
	remaining := float64(fed.batch.Lines - completed - failed)
	needed := remaining * elapsed / float64(finished) * atRiskFactor
	return fed.batch.Deadline.Sub(now).Seconds() < needed
}

// complete writes the final state of a batch whose groups are all done.
func (f *Feeder) complete(ctx context.Context, fed *fedBatch) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current, err := f.Service.getJob(callCtx, fed.batch.ID)
	if err != nil || current.State.Final() {
		return
	}
	done, err := f.Service.doneGroups(callCtx, fed.batch.ID)
	if err != nil || len(done) < current.Groups() {
		return
	}
	var expired int
	current.Completed, current.Failed, expired = sumGroups(done)
	current.State = openai.BatchCompleted
	if expired > 0 {
		current.State = openai.BatchExpired
	}
	current.EndedAt = time.Now().UTC()
	err = f.Service.commitFinal(callCtx, current)
	if err != nil && !errors.Is(err, table.ErrConflict) {
		return
	}
	delete(f.batches, fed.batch.ID)
	f.Log.Info().Str("batch", current.ID).Int("completed", current.Completed).Int("failed", current.Failed).
		Err(err).Msg("batch ended")
}
