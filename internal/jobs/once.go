package jobs

import (
	"errors"
	"slices"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// onceCheck is the pause between two looks at items that a stopping node alone
// can finish.
const onceCheck = 50 * time.Millisecond

// Items that may run only once are marked as started in the progress row before
// they are sent. Whoever takes the job over does not send what is marked: it
// may have run.

// onceReason says what ends an item that may run only once after a failed
// attempt; nothing if it provably did not run.
func onceReason(one *task, err error) Reason {
	switch {
	case !one.once || outcome.Of(err) == outcome.NotDone:
		return ""
	case errors.Is(err, errItemInvalid):
		return Invalid
	case errors.Is(err, errItemFailed):
		return Failed
	default:
		return Undecided
	}
}

// unmarked reports whether an item may run only once and is not marked as started yet.
func (r *Runner) unmarked(one *task) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return one.once && !one.marked
}

// markStarted marks the waiting items of a job that may run only once, all of
// them in one write, in the background.
func (r *Runner) markStarted(owned *work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if owned.marking {
		return
	}
	var waiting []*task
	for _, one := range owned.tasks {
		if one.state == taskWaiting && one.once && !one.marked {
			waiting = append(waiting, one)
		}
	}
	owned.marking = true
	go r.mark(owned, waiting)
}

// mark marks items as started. Only the owner marks: what it finds marked is
// then its own mark, whose answer was lost.
func (r *Runner) mark(owned *work, waiting []*task) {
	session, err := r.Service.Session(owned.ctx)
	if err == nil {
		err = r.Service.update(owned.ctx, owned.job.ID, markAs(session, waiting))
	}
	entry := r.Service.View.Get(owned.job.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	owned.marking = false
	if err != nil || entry == nil || entry.Progress.Owner != session {
		return
	}
	for _, one := range waiting {
		one.marked = slices.Contains(entry.Progress.Started, one.index)
	}
	r.wake()
}

func markAs(session string, waiting []*task) func(*Progress) ([]table.Write, bool) {
	return func(progress *Progress) ([]table.Write, bool) {
		if progress.Ended || progress.Owner != session {
			return nil, false
		}
		changed := false
		for _, one := range waiting {
			if !slices.Contains(progress.Started, one.index) {
				progress.Started = append(progress.Started, one.index)
				changed = true
			}
		}
		return nil, changed
	}
}

// runsOnce reports whether a job has items under way that may run only once.
func (r *Runner) runsOnce(owned *work) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range owned.tasks {
		underWay := one.state == taskRunning || one.state == taskFinished
		if underWay && one.once {
			return true
		}
	}
	return owned.marking
}

// markedNotRun returns the items that were marked and provably did not run.
func (r *Runner) markedNotRun(owned *work) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var indexes []int
	for _, one := range owned.tasks {
		if one.marked && one.state == taskWaiting {
			indexes = append(indexes, one.index)
		}
	}
	return indexes
}

// unmark takes items off the list of those started.
func (p *Progress) unmark(indexes []int) {
	p.Started = slices.DeleteFunc(p.Started, func(index int) bool { return slices.Contains(indexes, index) })
}
