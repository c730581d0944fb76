package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
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
)

// sure returns a job of which it is known whether it has a result at a position. A view that
// lacks one is believed while it is young; beyond that the table is asked, and where it does not
// answer either the error is ErrUnavailable. Without this a node whose feed stood still, for
// 7 s after the table had lost answers and its history, told callers that there were no
// results which others had read. It costs a call a read at most, and none while the feed
// brings changes.
func (s *Service) sure(ctx context.Context, entry *Entry, position int) (*Entry, error) {
	if !s.mayLack(entry, position) {
		return entry, nil
	}
	age := clock.Since(s.View.AsOf())
	err := s.ask(ctx, entry.Job.ID, clock.Now().Add(-s.believed()))
	s.Events.Asked(entry.Job, age, err)
	if err != nil {
		return nil, err
	}
	if known := s.View.Get(entry.Job.ID); known != nil {
		entry = known
	}
	return entry, nil
}

// mayLack reports whether a job may have a result at a position that is not known here. What
// is listed stays, and a job that is done or ended gets no more.
func (s *Service) mayLack(entry *Entry, position int) bool {
	if position < len(entry.Progress.Listed) || !entry.open() {
		return false
	}
	return clock.Since(s.View.AsOf()) > s.believed()
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
// first of them has left.
func (s *Service) refresh(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askPatience)
	defer cancel()
	row, err := s.getRow(ctx, progressKey(id), askTimeout)
	if err != nil {
		return err
	}
	s.View.Put(row)
	if s.View.Lost(id) {
		// Versions that could be read may have come and gone while the view was old.
		return Error.Wrap(errors.Join(ErrUnavailable, ErrUnreadable))
	}
	return nil
}
