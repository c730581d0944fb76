package jobs

import (
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Items must not be sent long after the end of their job was acknowledged, which may happen at any
// node. So before an item is sent from a view that is too old to rule that out, the row of its job
// is read from the table.

const (
	// maxUncheckedAge is the age of what is known of a job from which its row is read before one of
	// its items is sent. Items must reach no replica later than 3 s after the end; the rest is left
	// for the way to the replica. A feed without changes is answered every 1.5 s, so a smaller bound
	// would cost calls to the table while the feed works.
	maxUncheckedAge = 2 * time.Second
	// failedCheckPause is the pause after a read that was refused for the rate of calls, or not
	// answered.
	failedCheckPause = 250 * time.Millisecond
	// answerMargin is how long before a read of a row an answer to another call shows that the table
	// is not silent. With the time that an unanswered read takes it is longer than maxUncheckedAge, in
	// which the rows of other jobs are read.
	answerMargin = time.Second
)

// endCheck is what a runner knows from reading the row of one of its jobs. The runner's lock guards
// it.
type endCheck struct {
	// inProgress is set while the row is read, which must not begin before notBefore.
	inProgress bool
	notBefore  time.Time
	// asOf is when the newest read that found the job began.
	asOf time.Time
	// silentFrom and silentUntil are the begin and the end of the last read if the table did not
	// answer it, else zero.
	silentFrom, silentUntil time.Time
}

// viewAge returns the age of the view. ViewAge knows suspensions of the machine, AsOf belongs to the
// rows that the view has.
func (r *Runner) viewAge(now time.Time) time.Duration {
	return max(r.ViewAge(), now.Sub(r.Service.View.AsOf()))
}

// mayRun reports whether a job is known not to have been ended. If what is known of it is too old,
// its row is read in the background, and the runner is woken. The caller holds the runner's lock.
func (r *Runner) mayRun(owned *ownedJob, now time.Time) bool {
	if entry := r.Service.View.Get(owned.job.ID); entry == nil || !entry.isOpen() {
		// The next reconcile drops the job.
		return false
	}
	check := &owned.endCheck
	age := r.viewAge(now)
	if age <= maxUncheckedAge || age <= maxViewAge && isRecent(check.asOf, now) {
		return true
	}
	if age <= maxViewAge && !check.inProgress && !now.Before(check.notBefore) {
		check.inProgress = true
		go r.checkEnd(owned, now)
	}
	// While the table does not answer, items go on until the view is maxViewAge old: an outage of
	// the store, in which ends are rarely accepted, must not stop all of them.
	return age <= maxViewAge && r.tableIsSilent(check, now)
}

// holdUnchecked reports whether an item must wait because its job may have been ended.
func (r *Runner) holdUnchecked(t *task, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mayRun(t.owned, now) {
		return false
	}
	if t.state == taskWaiting {
		t.setWait(WaitView, nil)
	}
	return true
}

// isRecent reports whether what was read at asOf is recent enough to send an item. What was read
// before a suspension of the machine is not.
func isRecent(asOf, now time.Time) bool {
	age := now.Sub(asOf)
	since, resumed := clock.SinceResume()
	return age <= maxUncheckedAge && !(resumed && age > since)
}

// tableIsSilent reports whether the table did not answer the last read of a job's row, nor another
// read or write of this node shortly before or since: a table that answers some calls has lost this
// one, and may have accepted the end.
func (r *Runner) tableIsSilent(check *endCheck, now time.Time) bool {
	return now.Sub(check.silentUntil) <= maxUncheckedAge && !r.Service.answeredSince(check.silentFrom.Add(-answerMargin))
}

// checkEnd reads the row of a job into the view.
func (r *Runner) checkEnd(owned *ownedJob, start time.Time) {
	asOf, err := r.Service.refreshSince(owned.ctx, owned.job.ID, start.Add(-maxUncheckedAge/2))
	now := clock.Now()
	if owned.ctx.Err() == nil {
		r.Service.Events.EndChecked(owned.job, r.viewAge(now), err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	check := &owned.endCheck
	check.inProgress = false
	check.silentFrom, check.silentUntil = time.Time{}, time.Time{}
	switch {
	case err == nil:
		check.asOf = asOf
	case errors.Is(err, table.ErrThrottled), errors.Is(err, errRefreshLimit):
		check.notBefore = now.Add(failedCheckPause)
	case errors.Is(err, ErrNotFound), errors.Is(err, ErrUnreadable):
		check.notBefore = now.Add(maxUncheckedAge)
	default:
		check.notBefore = now.Add(failedCheckPause)
		check.silentFrom, check.silentUntil = start, now
	}
	r.wake()
}
