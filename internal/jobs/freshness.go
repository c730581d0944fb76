package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// DefaultMaxStaleness is how long after a result was read at any node all nodes show it, unless
	// the settings say otherwise.
	DefaultMaxStaleness = time.Second
	// trustedShare is the part of the staleness for which the view is trusted; the rest is left for
	// the round trip. A feed without changes is answered every 1.5 s, so with a smaller share
	// readers of idle jobs would read the table more often.
	trustedShare = 0.75
	// refreshTimeout bounds one attempt to read a job from the table, refreshTotalTimeout all of
	// them. They are short because a caller that has waited a second for a result is to have an
	// answer within another 1.5 s.
	refreshTimeout      = 600 * time.Millisecond
	refreshTotalTimeout = 1200 * time.Millisecond
	// stalledFeedAge is the age of a view from which its feed has certainly stalled, since a
	// working feed is answered within 2.4 s. Readers then also refresh the job before they wait for
	// changes.
	stalledFeedAge = 3 * time.Second
	// fleetRefreshRate bounds the refreshes of all nodes together, per second. After the table has
	// dropped its history, all nodes read it in full, and readers of thousands of jobs would crowd
	// out these reads. Readers beyond the rate get ErrUnavailable.
	fleetRefreshRate = 600
	// minRefreshRate is a node's share of that rate in a large fleet.
	minRefreshRate = 5
)

// errRefreshLimit reports that a job was not read because the rate was exceeded.
var errRefreshLimit = errors.New("too many questions about jobs")

// ensureFresh returns a job of which it is certain whether it has a result at a position. A view
// that lacks the result is trusted while it is recent; after that the job is read from the table,
// and if the table does not answer, the error is ErrUnavailable. This prevents a node whose feed
// has stalled from denying results that were read elsewhere. It costs at most one call to the table
// for each read, and none while the feed works. asOf is the time up to which the state is complete.
func (s *Service) ensureFresh(ctx context.Context, entry *Entry, position int) (fresh *Entry, asOf time.Time, err error) {
	// The age is taken before the entry: changes in between make the entry newer than its age says,
	// never older.
	asOf = s.View.AsOf()
	entry = s.latest(entry)
	if !s.mayBeStale(entry, position, asOf) {
		return entry, asOf, nil
	}
	readAt, err := s.refreshSince(ctx, entry.Job.ID, clock.Now().Add(-s.maxTrustedAge()))
	s.Events.Refreshed(entry.Job, clock.Since(asOf), err)
	if err != nil {
		return nil, time.Time{}, err
	}
	if known := s.View.Get(entry.Job.ID); known != nil {
		return known, readAt, nil
	}
	// The job left the view while its row was read. The view then keeps the row, but no entry.
	fresh, err = s.find(ctx, entry.Job.ID)
	return fresh, readAt, err
}

// freshenBeforeWait returns the state of a job for a reader that is about to wait for its results.
// If the feed that would bring them has stalled, the job is refreshed first.
func (s *Service) freshenBeforeWait(ctx context.Context, entry *Entry, position int) *Entry {
	if clock.Since(s.View.AsOf()) < stalledFeedAge {
		return entry
	}
	known, _, err := s.ensureFresh(ctx, entry, position)
	if err != nil {
		// The error was reported to Events, and the table may answer while the reader waits.
		return entry
	}
	return known
}

// latest returns the latest known state of an entry's job.
func (s *Service) latest(entry *Entry) *Entry {
	if known := s.View.Get(entry.Job.ID); known != nil {
		return known
	}
	return entry
}

// mayBeStale reports whether a job may have a result at a position that a view as of asOf lacks.
// Listed results stay, and a job that is done or ended gets no more.
func (s *Service) mayBeStale(entry *Entry, position int, asOf time.Time) bool {
	if position < len(entry.Progress.Listed) || !entry.isOpen() {
		return false
	}
	return clock.Since(asOf) > s.maxTrustedAge()
}

// maxTrustedAge returns the age up to which the view is trusted.
func (s *Service) maxTrustedAge() time.Duration {
	staleness := s.MaxStaleness
	if staleness <= 0 {
		staleness = DefaultMaxStaleness
	}
	return time.Duration(float64(staleness) * trustedShare)
}

// refreshSince updates the view of a job to the state that the table had at since or later. Callers
// share a read in progress; one that began before since may lack changes, and is followed by
// another. It returns when the read began.
func (s *Service) refreshSince(ctx context.Context, id string, since time.Time) (time.Time, error) {
	for {
		call := s.refreshes.DoChan(id, func() (any, error) {
			start := clock.Now()
			return start, s.refreshProgress(ctx, id)
		})
		select {
		case <-ctx.Done():
			return time.Time{}, Error.Wrap(errors.Join(ErrUnavailable, ctx.Err()))
		case answer := <-call:
			if start := answer.Val.(time.Time); !start.Before(since) {
				return start, answer.Err
			}
		}
	}
}

// refreshProgress reads the progress of a job into the view. It serves all waiting callers, so it
// continues after the context of the first of them has ended. A table that throttles calls is not
// read again.
func (s *Service) refreshProgress(ctx context.Context, id string) error {
	if !s.allowRefresh() {
		return Error.Wrap(errors.Join(ErrUnavailable, errRefreshLimit))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refreshTotalTimeout)
	defer cancel()
	var row table.Row
	err := retryCall(ctx, refreshTimeout, func(callCtx context.Context) (err error) {
		row, err = s.Table.Get(callCtx, progressKey(id))
		if errors.Is(err, table.ErrThrottled) {
			cancel()
		}
		return err
	})
	if err == nil || notFound(err) || errors.Is(err, table.ErrThrottled) {
		s.recordAnswer()
	}
	if err != nil {
		return readError(err)
	}
	s.View.Put(row)
	if s.View.ProgressUnreadable(id) {
		// Readable versions may have been written and overwritten while the view was old.
		return Error.Wrap(errors.Join(ErrUnavailable, ErrUnreadable))
	}
	return nil
}

// recordAnswer records that the table has answered a call.
func (s *Service) recordAnswer() {
	now := clock.Now()
	s.lastAnswer.Store(&now)
}

// answeredSince reports whether the table has answered a refresh or a commit of any job since a time.
func (s *Service) answeredSince(since time.Time) bool {
	last := s.lastAnswer.Load()
	return last != nil && !last.Before(since)
}

// allowRefresh takes one refresh from this node's share of fleetRefreshRate.
func (s *Service) allowRefresh() bool {
	perSecond := fleetRefreshRate
	if s.Fleet != nil {
		perSecond = max(minRefreshRate, fleetRefreshRate/max(1, len(s.Fleet.Nodes())))
	}
	return s.refreshLimit.allow(perSecond)
}

// refreshLimiter limits refreshes to a rate that changes with the size of the fleet. The zero value
// is ready to use.
type refreshLimiter struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

func (l *refreshLimiter) allow(perSecond int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil || l.limiter.Burst() != perSecond {
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
	return l.limiter.Allow()
}
