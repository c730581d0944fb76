package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// checkpointInterval is the time between two checkpoints of a job's unfinished texts. A crash
	// costs each item about this much progress at most.
	checkpointInterval = 2 * time.Second
	// minCheckpointEvents is the least progress of an item that is worth a write.
	minCheckpointEvents = 20
	// maxCheckpointRows and maxCheckpointBytes bound the texts of one write.
	maxCheckpointRows  = 20
	maxCheckpointBytes = 600 << 10
)

// RunCheckpoints saves the texts of unfinished items periodically, until the context ends, so that
// they do not start over after a crash.
func (r *Runner) RunCheckpoints(ctx context.Context) {
	for retry.Sleep(ctx, checkpointInterval) {
		for _, owned := range r.ownedJobs() {
			if ctx.Err() != nil || r.isStopped() {
				return
			}
			// The next checkpoint makes up for a failed one.
			r.checkpoint(ctx, owned, minCheckpointEvents)
		}
	}
}

func (r *Runner) ownedJobs() []*ownedJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*ownedJob, 0, len(r.owned))
	for _, owned := range r.owned {
		all = append(all, owned)
	}
	return all
}

// checkpoint saves the texts of unfinished items that have at least minEvents new events. It
// reports whether that succeeded.
func (r *Runner) checkpoint(ctx context.Context, owned *ownedJob, minEvents int) bool {
	writes, saved, lastEvents := r.checkpointWrites(owned, minEvents)
	if len(writes) == 0 {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	versions, err := r.Service.Table.Commit(callCtx, table.NewOperation(), writes...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.Service.Events.CheckpointFailed(owned.job, len(writes), err)
		updateVersions(err, writes, saved)
		if errors.Is(err, table.ErrRejected) && !owned.checkpointLimit.Reduce(len(writes)) {
			// The text is tried again once it has grown, so that others get their turn.
			saved[0].checkpointEvent = lastEvents[0]
		}
		return false
	}
	for i, t := range saved {
		t.checkpointVersion, t.checkpointEvent = versions[i], lastEvents[i]
	}
	return true
}

// updateVersions sets the tasks' checkpoint versions to those that a conflict shows, because an
// earlier unanswered write may have been applied. The caller holds the runner's lock.
func updateVersions(err error, writes []table.Write, saved []*task) {
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	for i, t := range saved {
		row, _ := conflict.Row(writes[i].Key)
		t.checkpointVersion = row.Version
	}
}

// checkpointWrites returns the writes of a checkpoint, and for each of them its task and the id of
// the last event that it contains.
func (r *Runner) checkpointWrites(owned *ownedJob, minEvents int) ([]table.Write, []*task, []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var writes []table.Write
	var saved []*task
	var lastEvents []int
	size := 0
	for _, t := range owned.tasks {
		unlisted := t.state == taskWaiting || t.state == taskRunning
		if !unlisted || t.softwareUncertain || t.lastEvent < t.checkpointEvent+minEvents || len(t.text) > maxRowText {
			continue
		}
		size += len(t.text)
		if len(writes) >= owned.checkpointLimit.Apply(maxCheckpointRows) || size > maxCheckpointBytes {
			break
		}
		body := encode(storedResult{Text: string(t.text), LastEvent: t.lastEvent, Software: t.software})
		writes = append(writes, table.Write{Key: checkpointKey(owned.job.ID, t.index), Expect: t.checkpointVersion, Body: body})
		saved = append(saved, t)
		lastEvents = append(lastEvents, t.lastEvent)
	}
	return writes, saved, lastEvents
}
