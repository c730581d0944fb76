package jobs

import (
	"errors"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// atMostOncePollInterval is the time between two checks, during a release, of whether at-most-once
// items are still in flight. No other node could finish them.
const atMostOncePollInterval = 50 * time.Millisecond

// Items that may run only once are marked as started in the progress row before they are sent. A
// node that takes the job over does not send marked items, since they may have run.

// atMostOnceReason returns why a failed attempt ends an at-most-once item; empty if the item
// provably did not run.
func atMostOnceReason(t *task, err error) Reason {
	switch {
	case !t.atMostOnce || outcome.Of(err) == outcome.NotDone:
		return ""
	case errors.Is(err, errItemInvalid):
		return Invalid
	case errors.Is(err, errItemFailed):
		return Failed
	default:
		return Undecided
	}
}

// needsStartMark reports whether an at-most-once item is not marked as started yet.
func (r *Runner) needsStartMark(t *task) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.atMostOnce && !t.startMarked
}

// markStarted marks all waiting at-most-once items of a job as started, in one write in the
// background.
func (r *Runner) markStarted(owned *ownedJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if owned.marking {
		return
	}
	var waiting []*task
	for _, t := range owned.tasks {
		if t.state == taskWaiting && t.atMostOnce && !t.startMarked {
			waiting = append(waiting, t)
		}
	}
	owned.marking = true
	go r.writeStartMarks(owned, waiting)
}

// writeStartMarks marks items as started. Only the owner writes marks, so a mark that it finds is
// its own, from a write whose answer was lost.
func (r *Runner) writeStartMarks(owned *ownedJob, waiting []*task) {
	session, err := r.Service.Session(owned.ctx)
	if err == nil {
		err = r.Service.update(owned.ctx, owned.job.ID, startMarkChange(session, waiting))
	}
	entry := r.Service.View.Get(owned.job.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	owned.marking = false
	if err != nil || entry == nil || entry.Progress.Owner != session {
		return
	}
	for _, t := range waiting {
		t.startMarked = slices.Contains(entry.Progress.Started, t.index)
	}
	r.wake()
}

func startMarkChange(session string, waiting []*task) func(*Progress) ([]table.Write, bool) {
	return func(progress *Progress) ([]table.Write, bool) {
		if progress.Ended || progress.Owner != session {
			return nil, false
		}
		changed := false
		for _, t := range waiting {
			if !slices.Contains(progress.Started, t.index) {
				progress.Started = append(progress.Started, t.index)
				changed = true
			}
		}
		return nil, changed
	}
}

// hasAtMostOnceInFlight reports whether a job has at-most-once items that run, are to be listed or
// are being marked.
func (r *Runner) hasAtMostOnceInFlight(owned *ownedJob) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range owned.tasks {
		inFlight := t.state == taskRunning || t.state == taskFinished
		if inFlight && t.atMostOnce {
			return true
		}
	}
	return owned.marking
}

// markedUnsent returns the items that are marked as started and provably did not run.
func (r *Runner) markedUnsent(owned *ownedJob) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var indexes []int
	for _, t := range owned.tasks {
		if t.startMarked && t.state == taskWaiting {
			indexes = append(indexes, t.index)
		}
	}
	return indexes
}

// removeStarted removes the start marks of items.
func (p *Progress) removeStarted(indexes []int) {
	p.Started = slices.DeleteFunc(p.Started, func(index int) bool { return slices.Contains(indexes, index) })
}
