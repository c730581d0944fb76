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
	// DefaultMaxStaleness is how long after a result was read anywhere all nodes show it, where the
	// settings say nothing else.
	DefaultMaxStaleness = time.Second
	// trustedShare is the part of that for which the view is believed; the rest is for the
	// way of the answers. A feed on which nothing changes is heard of each 1.5 s, so with a
	// smaller part readers of idle jobs would ask more often.
	trustedShare = 0.75
	// refreshTimeout bounds one try to ask the table for a job, and askPatience all of them: a
	// caller who has waited a second for a result is to be answered within another 1.5 s.
	refreshTimeout  = 600 * time.Millisecond
	refreshDeadline = 1200 * time.Millisecond
	// stalledFeedAge is the age from which a view's feed surely stands still: one that is heard
	// of is answered within 2.4 s. A reader then asks before it waits for news as well.
	stalledFeedAge = 3 * time.Second
	// fleetRefreshRate bounds the questions of all nodes together, a second. After the table has
	// dropped its history all nodes read it whole, and readers of thousands of jobs would
	// crowd out the reads that they wait for; those beyond it are told that nobody is sure.
	fleetRefreshRate = 600
	// minRefreshRate is a node's part in a large fleet.
	minRefreshRate = 5
)

// errRefreshLimit reports that a question was not asked for there were too many.
var errRefreshLimit = errors.New("too many questions about jobs")

// ensureFresh returns a job of which it is known whether it has a result at a position. A view that
// lacks one is believed while it is young; beyond that the table is asked, and where it does not
// answer either the error is ErrUnavailable. Without this a node whose feed stood still, for
// 7 s after the table had lost answers and its history, told callers that there were no
// results which others had read. It costs a call a read at most, and none while the feed
// brings changes.
func (s *Service) ensureFresh(ctx context.Context, entry *Entry, position int) (*Entry, error) {
	// The age is taken ahead of what it is the age of: news that comes between makes what is
	// known younger than it is said to be, never older.
	asOf := s.View.AsOf()
	entry = s.latest(entry)
	if !s.mayBeStale(entry, position, asOf) {
		return entry, nil
	}
	err := s.refreshSince(ctx, entry.Job.ID, clock.Now().Add(-s.maxTrustedAge()))
	s.Events.Refreshed(entry.Job, clock.Since(asOf), err)
	if err != nil {
		return nil, err
	}
	return s.latest(entry), nil
}

// freshenBeforeWait returns a job as a reader begins to wait for its results: where the feed that would
// bring them stands still, it is asked for.
func (s *Service) freshenBeforeWait(ctx context.Context, entry *Entry, position int) *Entry {
	if clock.Since(s.View.AsOf()) < stalledFeedAge {
		return entry
	}
	known, err := s.ensureFresh(ctx, entry, position)
	if err != nil {
		// It is told to Events; the reader has its wait for the table to answer again.
		return entry
	}
	return known
}

// latest returns what is known now of the job of an entry.
func (s *Service) latest(entry *Entry) *Entry {
	if known := s.View.Get(entry.Job.ID); known != nil {
		return known
	}
	return entry
}

// mayBeStale reports whether a job may have a result at a position that was not known as of a
// moment. What is listed stays, and a job that is done or ended gets no more.
func (s *Service) mayBeStale(entry *Entry, position int, asOf time.Time) bool {
	if position < len(entry.Progress.Listed) || !entry.isOpen() {
		return false
	}
	return clock.Since(asOf) > s.maxTrustedAge()
}

// maxTrustedAge is the age up to which the view is maxTrustedAge.
func (s *Service) maxTrustedAge() time.Duration {
	settle := s.MaxStaleness
	if settle <= 0 {
		settle = DefaultMaxStaleness
	}
	return time.Duration(float64(settle) * trustedShare)
}

// refreshSince brings a job in the view to what the table held at a moment, or later. Callers share a
// question that is under way; one that began before that moment may bring less, and is
// followed by another.
func (s *Service) refreshSince(ctx context.Context, id string, since time.Time) error {
	for {
		call := s.refreshes.DoChan(id, func() (any, error) {
			start := clock.Now()
			return start, s.refreshProgress(ctx, id)
		})
		select {
		case <-ctx.Done():
			return Error.Wrap(errors.Join(ErrUnavailable, ctx.Err()))
		case answer := <-call:
			if start := answer.Val.(time.Time); !start.Before(since) {
				return answer.Err
			}
		}
	}
}

// refreshProgress reads what has become of a job into the view, for all that ask: it goes on when the
// first of them has left. A table that has too many calls is not asked again.
func (s *Service) refreshProgress(ctx context.Context, id string) error {
	if !s.allowRefresh() {
		return Error.Wrap(errors.Join(ErrUnavailable, errRefreshLimit))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refreshDeadline)
	defer cancel()
	var row table.Row
	err := retryCall(ctx, refreshTimeout, func(callCtx context.Context) (err error) {
		row, err = s.Table.Get(callCtx, progressKey(id))
		if errors.Is(err, table.ErrThrottled) {
			cancel()
		}
		return err
	})
	if err != nil {
		return readError(err)
	}
	s.View.Put(row)
	if s.View.ProgressUnreadable(id) {
		// Versions that could be read may have come and gone while the view was old.
		return Error.Wrap(errors.Join(ErrUnavailable, ErrUnreadable))
	}
	return nil
}

// allowRefresh takes one question from this node's part of fleetAsks.
func (s *Service) allowRefresh() bool {
	perSecond := fleetRefreshRate
	if s.Fleet != nil {
		perSecond = max(minRefreshRate, fleetRefreshRate/max(1, len(s.Fleet.Nodes())))
	}
	return s.refreshLimit.allow(perSecond)
}

// refreshLimiter bounds questions to a number a second, which moves with the fleet. The zero value
// has let none through.
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
