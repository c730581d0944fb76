package jobs

import (
	"context"
	"errors"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Timing of calls to the store.
const (
	// callTimeout bounds one call, so that a hung connection is abandoned.
	callTimeout = 1200 * time.Millisecond
	// slowCallTimeout bounds operations that take long, and retries of writes that timed out.
	slowCallTimeout = 3 * time.Second
	retryDelay      = 20 * time.Millisecond
	retryDelayMax   = 250 * time.Millisecond
	// conflictDelay bounds the pause after the second conflict of one acceptance; the bound grows
	// with each further conflict up to conflictDelayMax. It leaves time for two transactions of 3 ms
	// with their round trips.
	conflictDelay    = 10 * time.Millisecond
	conflictDelayMax = 60 * time.Millisecond
	// objectTimeout bounds one call that reads or writes an object.
	objectTimeout = 4 * time.Second
	// updateTimeout bounds the wait for an update of the view before a job is refused for the
	// quota. It is longer than the interval between requested updates, which is 120 ms in fleets of
	// up to 80 nodes, and short because the caller is to have an answer within about 600 ms.
	updateTimeout = 150 * time.Millisecond
	// minUnresolvedAttempts is the number of failed attempts at a write from which on it is reported.
	minUnresolvedAttempts = 8
)

// Events receives what happens to jobs, for logs and metrics.
type Events interface {
	Accepted(job *Job, took time.Duration, resent bool)
	// Refused reports a submission that was not accepted, or of which that is unknown. unanswered is the
	// number of its transactions that got no answer before, at this node.
	Refused(id string, used, requested, quota int64, unanswered int, err error)
	Ended(id string, err error)
	Claimed(entry *Entry, from string, err error)
	// ItemSent reports an attempt at an item that resumes after the event with id after.
	ItemSent(job *Job, item string, replica string, after int)
	ItemFailed(job *Job, item string, replica string, err error)
	// ItemPreempted reports an item that is preempted by online requests, with the pressure that
	// caused it. after is the id of the last event that the item received.
	ItemPreempted(job *Job, item string, replica string, after int, pressure replica.Pressure)
	// ItemListed reports an item that is listed. object names the object with its text, if it has one;
	// size is that of the text, in bytes.
	ItemListed(job *Job, item string, position int, dead Reason, object string, size int, took time.Duration)
	// TextNotListed reports an item whose text this node has written as an object that is not the
	// listed one; position is -1 if the item is not listed. The object is deleted, or remains because
	// of err.
	TextNotListed(job *Job, item string, position int, object string, size int, err error)
	// ContentUnused reports an object with the content of a submission that no job refers to. It is
	// deleted, or remains because of err.
	ContentUnused(id, object string, size int, err error)
	// CheckpointFailed reports that the texts so far of a number of unfinished items were not saved.
	CheckpointFailed(job *Job, items int, err error)
	// Resolved reports the end of a write of a progress row that took more than one attempt.
	Resolved(operation string, attempts int, err error)
	// Unresolved reports a write of a progress row that keeps failing, with err as the last error and
	// the number of other rows in the transaction. It is reported each time that the attempts double.
	Unresolved(operation string, job string, attempts, rows int, err error)
	Removed(job *Job, err error)
	// Refreshed reports that a job was read from the table for a reader, because the view is so old
	// that it may lack a result. With an error, the current state is unknown, and the reader gets
	// the error unless it goes on waiting.
	Refreshed(job *Job, age time.Duration, err error)
	// EndChecked reports that a job was read from the table before its items are sent, because the
	// view is so old that it may lack the job's end. With an error, the end is unknown.
	EndChecked(job *Job, age time.Duration, err error)
	// NoResult reports a reader who is told that an open job has no result at a position, and the age
	// of the state that says so.
	NoResult(entry *Entry, position int, age time.Duration)
	// AwaitingRegion reports a job whose items wait because no node in its allowed regions is live.
	AwaitingRegion(job *Job, regions place.Regions)
}

// Service accepts, reads and ends jobs. It is safe for concurrent use.
type Service struct {
	Table   table.Service
	Objects object.Store
	View    *View
	Events  Events
	// Session returns the session under which this node owns jobs. It must be renewed before a row
	// names it.
	Session func(ctx context.Context) (string, error)
	// Fleet, if set, provides the nodes that items are spread over.
	Fleet Fleet
	// Routes, if set, returns the routes in force, which restrict the regions of jobs; nil before
	// the first configuration.
	Routes func() *route.Table
	// Slots, if set, returns the slots of a pool's replicas by region.
	Slots func(pool string) map[string]int
	// Notify, if set, notifies nodes that a job of theirs has changed. Notifications may be lost,
	// since the feed brings the change as well.
	Notify func(nodes []string, job string)
	// RequestUpdate, if set, requests an update of the view for a caller that waits for it.
	RequestUpdate func()

	// waiters counts the callers that wait for changes.
	waiters atomic.Int64

	// MaxStaleness is how long after a result was read at any node this one must show it; zero
	// means DefaultMaxStaleness.
	MaxStaleness time.Duration

	cache        textCache
	writeLatency writeLatency
	// refreshes are the reads of jobs from the table in progress, one a job.
	refreshes singleflight.Group
	// refreshLimit bounds their rate.
	refreshLimit refreshLimiter
	// lastAnswer is when the table last answered a refresh or a commit.
	lastAnswer atomic.Pointer[time.Time]
	// contents holds the items of jobs that this node accepted recently.
	contentMu sync.Mutex
	contents  map[string]cachedContent
}

// update changes a job's progress row until the change is stored or no longer needed. change
// returns further writes for the same transaction, or false if there is nothing to do. It is called
// again whenever the row has a new version, so it also detects that an unanswered write of its own
// was applied. A transaction that the store rejects is not repeated; the error is ErrRejected.
func (s *Service) update(ctx context.Context, id string, change func(*Progress) ([]table.Write, bool)) error {
	delay := retryDelay
	attempts := 0
	operation := table.NewOperation()
	foreign := foreignRows{}
	for {
		entry := s.View.Get(id)
		if entry == nil {
			return Error.Wrap(ErrNotFound)
		}
		if s.View.ProgressUnreadable(id) {
			// No version of the row is known that a change could be based on.
			return Error.Wrap(outcome.AsNotDone(ErrUnreadable))
		}
		next := entry.Progress.clone()
		extra, needed := change(next)
		if !needed {
			s.reportResolved(operation, attempts, nil)
			return nil
		}
		foreign.expectExisting(extra)
		attempts++
		err := s.writeLatency.call(ctx, attempts-1, func(callCtx context.Context) error {
			return s.commitProgress(callCtx, id, entry.Version, next, operation, extra)
		})
		if err == nil {
			s.reportResolved(operation, attempts, nil)
			return nil
		}
		if errors.Is(err, table.ErrRejected) {
			s.reportResolved(operation, attempts, err)
			return Error.Wrap(err)
		}
		if s.applyConflict(err) && s.hasChanged(entry) {
			continue
		}
		foreign.record(err, extra, s.View.Unreadable)
		if attempts >= minUnresolvedAttempts && isPowerOfTwo(attempts) {
			s.Events.Unresolved(operation, id, attempts, len(extra), err)
		}
		if !retry.Sleep(ctx, delay) {
			s.reportResolved(operation, attempts, err)
			return Error.Wrap(outcome.AsUnknown(err))
		}
		delay = min(2*delay, retryDelayMax)
	}
}

func isPowerOfTwo(n int) bool { return bits.OnesCount(uint(n)) == 1 }

func (s *Service) reportResolved(operation string, attempts int, err error) {
	if attempts > 1 {
		s.Events.Resolved(operation, attempts, err)
	}
}

func (s *Service) commitProgress(ctx context.Context, id string, version uint64, next *Progress, operation string, extra []table.Write) error {
	write := table.Write{Key: progressKey(id), Expect: version, Body: encode(next)}
	versions, err := s.Table.Commit(ctx, operation, append([]table.Write{write}, extra...)...)
	if err != nil {
		return err
	}
	s.recordAnswer()
	s.View.Put(table.Row{Key: write.Key, Version: versions[0], Body: write.Body})
	return nil
}

// hasChanged reports whether the view's state of a job differs from entry. If it does not, an
// immediate retry would meet the same conflict.
func (s *Service) hasChanged(entry *Entry) bool {
	known := s.View.Get(entry.Job.ID)
	return known == nil || known.Version != entry.Version || s.View.ProgressUnreadable(entry.Job.ID)
}

// applyConflict applies the rows of a conflict to the view. It reports whether there were any.
func (s *Service) applyConflict(err error) bool {
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	applied := false
	for _, row := range conflict.Rows {
		if table.InGroup(row.Partition, Group) {
			s.View.Put(row)
			applied = true
		}
	}
	return applied
}

// Tenant returns the name of a job's tenant; empty if tenants were not distinguished when the job
// was accepted.
func (s *Service) Tenant(ctx context.Context, id string) (string, error) {
	entry, err := s.find(ctx, id)
	if err != nil {
		return "", err
	}
	return entry.Job.Tenant, nil
}

// End ends a job. A nil error means that no more results will be listed.
func (s *Service) End(ctx context.Context, id string) error {
	if _, err := s.find(ctx, id); err != nil {
		return err
	}
	err := s.update(ctx, id, func(progress *Progress) ([]table.Write, bool) {
		if progress.Ended {
			return nil, false
		}
		progress.Ended = true
		progress.Owner = ""
		return nil, true
	})
	s.Events.Ended(id, err)
	if entry := s.View.Get(id); err == nil && entry != nil {
		s.notify(entry.activeNodes(), id)
	}
	return err
}

// notify notifies nodes that a job of theirs has changed.
func (s *Service) notify(nodes []string, job string) {
	if s.Notify != nil && len(nodes) > 0 {
		s.Notify(nodes, job)
	}
}

// Waiters returns the number of callers that wait for changes of jobs.
func (s *Service) Waiters() int { return int(s.waiters.Load()) }

// find returns a job from the view or else from the store, so that a job accepted elsewhere a
// moment ago is found. Until all jobs have been read once, the feed brings no changes, so the job
// is read from the store each time.
func (s *Service) find(ctx context.Context, id string) (*Entry, error) {
	if entry := s.View.Get(id); entry != nil && s.View.Loaded() {
		return entry, nil
	}
	row, err := s.getRow(ctx, jobKey(id))
	if err != nil {
		return nil, err
	}
	s.View.Put(row)
	row, err = s.getRow(ctx, progressKey(id))
	if errors.Is(err, ErrNotFound) {
		// One transaction writes both rows, so half of the job is lost.
		return nil, Error.Wrap(errors.Join(ErrUnavailable, ErrUnreadable))
	}
	if err != nil {
		return nil, err
	}
	s.View.Put(row)
	if entry := s.View.Get(id); entry != nil {
		return entry, nil
	}
	// A row exists but cannot be read, so the state of the job is unknown.
	return nil, Error.Wrap(errors.Join(ErrUnavailable, ErrUnreadable))
}

func (s *Service) getRow(ctx context.Context, key table.Key) (row table.Row, err error) {
	err = retryCall(ctx, callTimeout, func(callCtx context.Context) error {
		row, err = s.Table.Get(callCtx, key)
		return err
	})
	return row, readError(err)
}
