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
	// DefaultSettle is how long after a result was read anywhere all nodes show it, where the
	// settings say nothing else.
	DefaultSettle = time.Second
	// believedShare is the part of that for which the view is believed; the rest is for the
	// way of the answers. A feed on which nothing changes is heard of each 1.5 s, so with a
	// smaller part readers of idle jobs would ask more often.
	believedShare = 0.75
	// askTimeout bounds one try to ask the table for a job, and askPatience all of them: a
	// caller who has waited a second for a result is to be answered within another 1.5 s.
	askTimeout  = 600 * time.Millisecond
	askPatience = 1200 * time.Millisecond
	// standingStill is the age from which a view's feed surely stands still: one that is heard
	// of is answered within 2.4 s. A reader then asks before it waits for news as well.
	standingStill = 3 * time.Second
	// fleetAsks bounds the questions of all nodes together, a second. After the table has
	// dropped its history all nodes read it whole, and readers of thousands of jobs would
	// crowd out the reads that they wait for; those beyond it are told that nobody is sure.
	fleetAsks = 600
	// leastAsks is a node's part in a large fleet.
	leastAsks = 5
)

// errAskedTooMuch reports that a question was not asked for there were too many.
var errAskedTooMuch = errors.New("too many questions about jobs")

// sure returns a job of which it is known whether it has a result at a position. A view that
// lacks one is believed while it is young; beyond that the table is asked, and where it does not
// answer either the error is ErrUnavailable. Without this a node whose feed stood still, for
// 7 s after the table had lost answers and its history, told callers that there were no
// results which others had read. It costs a call a read at most, and none while the feed
// brings changes.
func (s *Service) sure(ctx context.Context, entry *Entry, position int) (*Entry, error) {
	// The age is taken ahead of what it is the age of: news that comes between makes what is
	// known younger than it is said to be, never older.
	asOf := s.View.AsOf()
	entry = s.newest(entry)
	if !s.mayLack(entry, position, asOf) {
		return entry, nil
	}
	err := s.ask(ctx, entry.Job.ID, clock.Now().Add(-s.believed()))
	s.Events.Asked(entry.Job, clock.Since(asOf), err)
	if err != nil {
		return nil, err
	}
	return s.newest(entry), nil
}

// beforeWait returns a job as a reader begins to wait for its results: where the feed that would
// bring them stands still, it is asked for.
func (s *Service) beforeWait(ctx context.Context, entry *Entry, position int) *Entry {
	if clock.Since(s.View.AsOf()) < standingStill {
		return entry
	}
	known, err := s.sure(ctx, entry, position)
	if err != nil {
		// It is told to Events; the reader has its wait for the table to answer again.
		return entry
	}
	return known
}

// newest returns what is known now of the job of an entry.
func (s *Service) newest(entry *Entry) *Entry {
	if known := s.View.Get(entry.Job.ID); known != nil {
		return known
	}
	return entry
}

// mayLack reports whether a job may have a result at a position that was not known as of a
// moment. What is listed stays, and a job that is done or ended gets no more.
func (s *Service) mayLack(entry *Entry, position int, asOf time.Time) bool {
	if position < len(entry.Progress.Listed) || !entry.open() {
		return false
	}
	return clock.Since(asOf) > s.believed()
}

// believed is the age up to which the view is believed.
func (s *Service) believed() time.Duration {
	settle := s.Settle
	if settle <= 0 {
		settle = DefaultSettle
	}
	return time.Duration(float64(settle) * believedShare)
}

// ask brings a job in the view to what the table held at a moment, or later. Callers share a
// question that is under way; one that began before that moment may bring less, and is
// followed by another.
func (s *Service) ask(ctx context.Context, id string, moment time.Time) error {
	for {
		question := s.asks.DoChan(id, func() (any, error) {
			began := clock.Now()
			return began, s.refresh(ctx, id)
		})
		select {
		case <-ctx.Done():
			return Error.Wrap(errors.Join(ErrUnavailable, ctx.Err()))
		case answer := <-question:
			if began := answer.Val.(time.Time); !began.Before(moment) {
				return answer.Err
			}
		}
	}
}

// refresh reads what has become of a job into the view, for all that ask: it goes on when the
// first of them has left. A table that has too many calls is not asked again.
func (s *Service) refresh(ctx context.Context, id string) error {
	if !s.mayAsk() {
		return Error.Wrap(errors.Join(ErrUnavailable, errAskedTooMuch))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askPatience)
	defer cancel()
	var row table.Row
	err := repeat(ctx, askTimeout, func(callCtx context.Context) (err error) {
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
	if s.View.Lost(id) {
		// Versions that could be read may have come and gone while the view was old.
		return Error.Wrap(errors.Join(ErrUnavailable, ErrUnreadable))
	}
	return nil
}

// mayAsk takes one question from this node's part of fleetAsks.
func (s *Service) mayAsk() bool {
	part := fleetAsks
	if s.Fleet != nil {
		part = max(leastAsks, fleetAsks/max(1, len(s.Fleet.Nodes())))
	}
	return s.askLimit.allow(part)
}

// askLimit bounds questions to a number a second, which moves with the fleet. The zero value
// has let none through.
type askLimit struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

func (l *askLimit) allow(part int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil || l.limiter.Burst() != part {
		l.limiter = rate.NewLimiter(rate.Limit(part), part)
	}
	return l.limiter.Allow()
}
