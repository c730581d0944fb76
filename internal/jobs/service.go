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
	retryFirst      = 20 * time.Millisecond
	retryMax        = 250 * time.Millisecond
	// conflictPause bounds the pause after the second conflict of one acceptance;
	// it grows with each further one up to conflictPauseMax. Two transactions of 3 ms
	// and their way, as the platform states them, fit into it.
	conflictPause    = 10 * time.Millisecond
	conflictPauseMax = 60 * time.Millisecond
	// objectTimeout bounds one call that moves an object.
	objectTimeout = 4 * time.Second
	// lookPatience bounds the wait for a look at the jobs before one is refused for its
	// size: the rest between two looks that are asked for is 120 ms in a fleet of up to
	// 80 nodes, and a caller is to have its answer within some 600 ms.
	lookPatience = 150 * time.Millisecond
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
	// GaveWay tells of an item that makes room for online requests, and why.
	GaveWay(job *Job, item string, replica string, after int, why replica.Pressure)
	ItemListed(job *Job, item string, position int, dead Reason, took time.Duration)
	Resolved(operation string, attempts int, err error)
	Removed(job *Job, err error)
	// Asked tells that a job was asked of the table for a reader, for the view was of an age
	// at which it may lack a result. With an error nobody is sure, and the reader is told so
	// unless it waits on.
	Asked(job *Job, age time.Duration, err error)
	// Homeless tells of a job whose items wait because no node of its homes lives.
	Homeless(job *Job, homes place.Regions)
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
	// Tell, if set, tells nodes that there is news of a job for them. The word may be
	// lost: the feed brings the news all the same.
	Tell func(nodes []string, job string)
	// Awaited, if set, is told that a caller waits for news of a job.
	Awaited func()

	// waiting counts the callers that wait for news.
	waiting atomic.Int64

	// Settle is how long after a result was read at any node this one has to show it; zero is
	// DefaultSettle.
	Settle time.Duration

	cache textCache
	pace  pace
	// asks are the questions to the table about jobs that are under way, one a job.
	asks singleflight.Group
	// askLimit bounds them.
	askLimit askLimit
	// contents are the items of jobs that this node accepted lately.
	contentMu sync.Mutex
	contents  map[string][]Item
}

// update changes a job's progress row until the change is in or not needed any
// more. change returns the further writes that belong to it, or false if there
// is nothing to do; it is called again whenever the row has moved on, so it
// also finds out that an unanswered write of its own has landed.
func (s *Service) update(ctx context.Context, id string, change func(*Progress) ([]table.Write, bool)) error {
	delay := retryFirst
	attempts := 0
	operation := table.NewOperation()
	standing := standingRows{}
	for {
		entry := s.View.Get(id)
		if entry == nil {
			return Error.Wrap(ErrNotFound)
		}
		if s.View.Lost(id) {
			// No version of the row is known that a change could follow on.
			return Error.Wrap(outcome.Failed(ErrUnreadable))
		}
		next := entry.Progress.clone()
		more, needed := change(next)
		if !needed {
			s.resolved(operation, attempts, nil)
			return nil
		}
		standing.replace(more)
		attempts++
		err := s.pace.call(ctx, attempts-1, func(callCtx context.Context) error {
			return s.commitProgress(callCtx, id, entry.Version, next, operation, more)
		})
		if err == nil {
			s.resolved(operation, attempts, nil)
			return nil
		}
		if s.learn(err) && s.moved(entry) {
			continue
		}
		standing.note(err, more, s.View.Unreadable)
		if !retry.Sleep(ctx, delay) {
			s.resolved(operation, attempts, err)
			return Error.Wrap(outcome.Undecided(err))
		}
		delay = min(2*delay, retryMax)
	}
}

func (s *Service) resolved(operation string, attempts int, err error) {
	if attempts > 1 {
		s.Events.Resolved(operation, attempts, err)
	}
}

func (s *Service) commitProgress(ctx context.Context, id string, version uint64, next *Progress, operation string, more []table.Write) error {
	write := table.Write{Key: progressKey(id), Expect: version, Body: encode(next)}
	versions, err := s.Table.Commit(ctx, operation, append([]table.Write{write}, more...)...)
	if err != nil {
		return err
	}
	s.View.Put(table.Row{Key: write.Key, Version: versions[0], Body: write.Body})
	return nil
}

// moved reports whether something else is known of a job than an entry says. If not, the
// same change would meet the same conflict at once.
func (s *Service) moved(entry *Entry) bool {
	known := s.View.Get(entry.Job.ID)
	return known == nil || known.Version != entry.Version || s.View.Lost(entry.Job.ID)
}

// learn takes in the rows of a conflict. It reports whether there were any.
func (s *Service) learn(err error) bool {
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	learned := false
	for _, row := range conflict.Rows {
		if table.InGroup(row.Partition, Group) {
			s.View.Put(row)
			learned = true
		}
	}
	return learned
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
		s.tell(entry.runners(), id)
	}
	return err
}

// tell tells nodes that there is news of a job for them.
func (s *Service) tell(nodes []string, job string) {
	if s.Tell != nil && len(nodes) > 0 {
		s.Tell(nodes, job)
	}
}

// Waiting returns the number of callers that wait for news of a job.
func (s *Service) Waiting() int { return int(s.waiting.Load()) }

// find returns a job from the view or else from the store, so that a job that
// was accepted a moment ago elsewhere is known here too. Before all jobs have been
// read once no news of a job comes by the feed, so it is read from the store each time.
func (s *Service) find(ctx context.Context, id string) (*Entry, error) {
	if entry := s.View.Get(id); entry != nil && s.View.Known() {
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
	err = repeat(ctx, callTimeout, func(callCtx context.Context) error {
		row, err = s.Table.Get(callCtx, key)
		return err
	})
	return row, readError(err)
}
