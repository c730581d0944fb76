package jobs

import (
	"context"
	"errors"
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
	// callTimeout bounds one call, so that a hung connection is left.
	callTimeout = 1200 * time.Millisecond
	// slowCallTimeout bounds a call that was given up for slowness before.
	slowCallTimeout = 3 * time.Second
	retryDelay      = 20 * time.Millisecond
	retryDelayMax   = 250 * time.Millisecond
	// conflictDelay bounds the pause after the second conflict of one acceptance;
	// it grows with each further one up to conflictPauseMax. Two transactions of 3 ms
	// and their way, as the platform states them, fit into it.
	conflictDelay    = 10 * time.Millisecond
	conflictDelayMax = 60 * time.Millisecond
	// objectTimeout bounds one call that moves an object.
	objectTimeout = 4 * time.Second
	// updateTimeout bounds the wait for a look at the jobs before one is refused for its
	// size: the rest between two looks that are asked for is 120 ms in a fleet of up to
	// 80 nodes, and a caller is to have its answer within some 600 ms.
	updateTimeout = 150 * time.Millisecond
)

// Events is told of what happens to jobs, for logs and metrics.
type Events interface {
	Accepted(job *Job, took time.Duration, resent bool)
	Refused(id string, used, asked, quota int64, err error)
	Ended(id string, err error)
	Claimed(entry *Entry, from string, err error)
	ItemSent(job *Job, item string, replica string, after int)
	ItemFailed(job *Job, item string, replica string, err error)
	// ItemQuarantined tells of an item that is not sent, for it ended replicas.
	ItemQuarantined(job *Job, item string, err error)
	// ItemPreempted tells of an item that makes room for online requests, and why.
	ItemPreempted(job *Job, item string, replica string, after int, why replica.Pressure)
	ItemListed(job *Job, item string, position int, dead Reason, took time.Duration)
	Resolved(operation string, attempts int, err error)
	Removed(job *Job, err error)
	// Refreshed tells that a job was asked of the table for a reader, for the view was of an age
	// at which it may lack a result. With an error nobody is sure, and the reader is told so
	// unless it waits on.
	Refreshed(job *Job, age time.Duration, err error)
	// AwaitingRegion tells of a job whose items wait because no node of its homes lives.
	AwaitingRegion(job *Job, regions place.Regions)
}

// Service accepts, reads and ends jobs. It is safe for concurrent use.
type Service struct {
	Table   table.Service
	Objects object.Store
	View    *View
	Events  Events
	// Session is the id under which this node owns jobs; it must be renewed
	// before it is named in a row.
	Session func(ctx context.Context) (string, error)
	// Fleet, if set, tells the nodes that items are spread over.
	Fleet Fleet
	// Routes, if set, returns the routes in force, whose homes bind; nil before the first.
	Routes func() *route.Table
	// Slots, if set, returns the slots of a pool's replicas by region.
	Slots func(pool string) map[string]int
	// Notify, if set, tells nodes that there is news of a job for them. The word may be
	// lost: the feed brings the news all the same.
	Notify func(nodes []string, job string)
	// RequestUpdate, if set, is told that a caller waits for news of a job.
	RequestUpdate func()

	// waiters counts the callers that wait for news.
	waiters atomic.Int64

	// MaxStaleness is how long after a result was read at any node this one has to show it; zero is
	// DefaultSettle.
	MaxStaleness time.Duration

	cache        textCache
	writeLatency writeLatency
	// refreshes are the questions to the table about jobs that are under way, one a job.
	refreshes singleflight.Group
	// refreshLimit bounds them.
	refreshLimit refreshLimiter
	// contents are the items of jobs that this node accepted lately.
	contentMu sync.Mutex
	contents  map[string][]Item
}

// update changes a job's progress row until the change is in or not needed any
// more. change returns the further writes that belong to it, or false if there
// is nothing to do; it is called again whenever the row has moved on, so it
// also finds out that an unanswered write of its own has landed.
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
			// No version of the row is known that a change could follow on.
			return Error.Wrap(outcome.Failed(ErrUnreadable))
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
		if s.applyConflict(err) && s.hasChanged(entry) {
			continue
		}
		foreign.record(err, extra, s.View.Unreadable)
		if !retry.Sleep(ctx, delay) {
			s.reportResolved(operation, attempts, err)
			return Error.Wrap(outcome.Undecided(err))
		}
		delay = min(2*delay, retryDelayMax)
	}
}

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
	s.View.Put(table.Row{Key: write.Key, Version: versions[0], Body: write.Body})
	return nil
}

// hasChanged reports whether something else is known of a job than an entry says. If not, the
// same change would meet the same conflict at once.
func (s *Service) hasChanged(entry *Entry) bool {
	known := s.View.Get(entry.Job.ID)
	return known == nil || known.Version != entry.Version || s.View.ProgressUnreadable(entry.Job.ID)
}

// applyConflict takes in the rows of a conflict. It reports whether there were any.
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

// Tenant returns the name of the tenant that a job is of; empty if callers were not
// told apart when it was accepted.
func (s *Service) Tenant(ctx context.Context, id string) (string, error) {
	entry, err := s.find(ctx, id)
	if err != nil {
		return "", err
	}
	return entry.Job.Tenant, nil
}

// End ends a job. A nil error means that no more results are listed from now on.
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

// notify tells nodes that there is news of a job for them.
func (s *Service) notify(nodes []string, job string) {
	if s.Notify != nil && len(nodes) > 0 {
		s.Notify(nodes, job)
	}
}

// Waiters returns the number of callers that wait for news of a job.
func (s *Service) Waiters() int { return int(s.waiters.Load()) }

// find returns a job from the view or else from the store, so that a job that
// was accepted a moment ago elsewhere is known here too. Before all jobs have been
// read once no news of a job comes by the feed, so it is read from the store each time.
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
		// One transaction writes both, so half of the job is lost.
		return nil, Error.Wrap(errors.Join(ErrUnavailable, ErrUnreadable))
	}
	if err != nil {
		return nil, err
	}
	s.View.Put(row)
	if entry := s.View.Get(id); entry != nil {
		return entry, nil
	}
	// A row that is there cannot be read: nobody can be sure of the job.
	return nil, Error.Wrap(errors.Join(ErrUnavailable, ErrUnreadable))
}

func (s *Service) getRow(ctx context.Context, key table.Key) (row table.Row, err error) {
	err = retryCall(ctx, callTimeout, func(callCtx context.Context) error {
		row, err = s.Table.Get(callCtx, key)
		return err
	})
	return row, readError(err)
}
