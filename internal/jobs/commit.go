package jobs

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

const (
	// maxCommitRows and maxCommitBytes bound the results of one transaction, which also has the
	// progress row.
	maxCommitRows  = table.MaxWrites - 1
	maxCommitBytes = 300 << 10
	// commitRetryDelay is the pause before results that could not be listed are tried again.
	commitRetryDelay = 250 * time.Millisecond
	// rejectedRetryDelay is the pause before a single result that the store rejects is tried again.
	rejectedRetryDelay = 10 * time.Second
	// textPutTimeout bounds the tries to write the text of one result as an object. Results of the
	// same job that finish meanwhile wait for it.
	textPutTimeout = 2 * objectTimeout
)

// finish records an item's outcome and schedules it to be listed. The reason is empty if the item
// has its answer.
func (r *Runner) finish(t *task, reason Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLocked(t, reason)
}

// finishLocked is like finish. The caller holds mu.
func (r *Runner) finishLocked(t *task, reason Reason) {
	if t.state == taskFinished || t.state == taskListed {
		return
	}
	t.state = taskFinished
	t.setWait(WaitListing, nil)
	t.lastProgress = clock.Now()
	t.reason = reason
	r.queueFinished(t)
}

// queueFinished queues a finished item to be listed. The caller holds mu.
func (r *Runner) queueFinished(t *task) {
	owned := t.owned
	owned.finished = append(owned.finished, t)
	if !owned.committing {
		owned.committing = true
		go r.commitLoop(owned)
	}
}

// commitLoop lists finished items until there are none. Items that finish during a commit go into
// the next one together.
func (r *Runner) commitLoop(owned *ownedJob) {
	for {
		r.awaitBatch(owned)
		r.mu.Lock()
		batch := owned.takeFinished()
		if len(batch) == 0 {
			owned.committing = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		if remaining := r.commit(owned, batch); remaining > 0 && !retry.Sleep(owned.ctx, commitRetryDelay) {
			// The job has ended or belongs to another node by now.
			r.discardFinished(owned)
			return
		}
	}
}

// discardFinished discards the results of a job that could not be listed.
func (r *Runner) discardFinished(owned *ownedJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Service.resolveTexts(owned.ctx, owned.job, owned.finished)
	owned.finished, owned.committing = nil, false
}

// awaitBatch waits for more results to commit together, if CommitInterval is set and more are to
// come.
func (r *Runner) awaitBatch(owned *ownedJob) {
	r.mu.Lock()
	more := !r.stopped && owned.hasUnfinished()
	r.mu.Unlock()
	if more && r.CommitInterval > 0 {
		retry.Sleep(owned.ctx, r.CommitInterval)
	}
}

// hasUnfinished reports whether any item has no outcome yet. The caller holds the runner's lock.
func (o *ownedJob) hasUnfinished() bool {
	for _, t := range o.tasks {
		if t.state == taskWaiting || t.state == taskRunning {
			return true
		}
	}
	return false
}

// takeFinished removes and returns the finished items for the next transaction. Texts that need an
// object of their own come after the others and in a transaction of their own: one that cannot be
// written takes textPutTimeout, which the other items would wait for at each try. The caller holds
// the runner's lock.
func (o *ownedJob) takeFinished() []*task {
	slices.SortStableFunc(o.finished, func(a, b *task) int {
		return cmp.Compare(a.objectCount(), b.objectCount())
	})
	size := o.batchSize()
	for i, t := range o.finished[:size] {
		if t.objectCount() != o.finished[0].objectCount() {
			size = i
			break
		}
	}
	batch := o.finished[:size]
	o.finished = o.finished[size:]
	return batch
}

// objectCount returns the number of objects that the item's result needs beside its row.
func (t *task) objectCount() int {
	if t.reason != "" || len(t.text) <= maxRowText {
		return 0
	}
	return 1
}

// batchSize returns the number of finished items that fit into one transaction. The caller holds
// the runner's lock.
func (o *ownedJob) batchSize() int {
	size := 0
	for i, t := range o.finished {
		size += len(t.text)
		if i >= o.commitLimit.Apply(maxCommitRows) || (i > 0 && size > maxCommitBytes) {
			return i
		}
	}
	return len(o.finished)
}

// commit lists the results of a batch, and returns the number of those to be tried again.
func (r *Runner) commit(owned *ownedJob, batch []*task) (remaining int) {
	// Results may be listed by a node that no longer owns the job.
	failed, err := r.Service.listWritable(context.WithoutCancel(owned.ctx), owned.job, batch)
	if err != nil {
		r.Service.Events.ItemFailed(owned.job, "", "", err)
	}
	rejected := errors.Is(err, table.ErrRejected)
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, ErrUnreadable) {
		// Nothing can be listed. Once the job can be read again, its items are loaded anew.
		r.drop(owned)
		r.Service.resolveTexts(owned.ctx, owned.job, batch)
		return
	}
	for _, t := range batch {
		if slices.Contains(failed, t) {
			t.setWait(WaitListing, err)
			continue
		}
		t.state, t.text = taskListed, nil
	}
	if rejected && !owned.commitLimit.Reduce(len(failed)) {
		r.deferRejected(failed[0])
		return 0
	}
	owned.finished = append(owned.finished, failed...)
	return len(failed)
}

// deferRejected queues an item whose result the store rejects once more after rejectedRetryDelay, so
// that others are not delayed.
func (r *Runner) deferRejected(t *task) {
	time.AfterFunc(rejectedRetryDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if t.owned.ctx.Err() != nil {
			r.Service.resolveTexts(t.owned.ctx, t.owned.job, []*task{t})
			return
		}
		r.queueFinished(t)
	})
}

// drop ends the work on a job at this node. The caller holds mu.
func (r *Runner) drop(owned *ownedJob) {
	owned.cancel()
	if r.owned[owned.job.ID] == owned {
		delete(r.owned, owned.job.ID)
	}
}

// listResults lists items with their results in one transaction.
func (s *Service) listResults(ctx context.Context, job *Job, batch []*task) error {
	_, err := s.listWritable(ctx, job, batch)
	return err
}

// listWritable lists items with their results in one transaction, except those whose text cannot be
// written. It returns the items that are not listed, and why.
func (s *Service) listWritable(ctx context.Context, job *Job, batch []*task) (failed []*task, err error) {
	rows := make(map[*task][]byte, len(batch))
	known := s.View.Get(job.ID)
	for _, t := range batch {
		if t.objectCount() > 0 && !known.canList(t.index) {
			continue
		}
		row, rowErr := s.resultRow(ctx, job, t)
		if rowErr != nil {
			failed, err = append(failed, t), rowErr
			continue
		}
		rows[t] = row
	}
	if len(rows) == 0 {
		s.reportListed(ctx, job, without(batch, failed), nil)
		return failed, err
	}
	// written holds the items that the latest transaction lists.
	var written map[*task]bool
	updateErr := s.update(ctx, job.ID, func(progress *Progress) ([]table.Write, bool) {
		written = map[*task]bool{}
		if progress.Ended {
			return nil, false
		}
		var writes []table.Write
		for _, t := range batch {
			if rows[t] == nil || progress.isListed(t.index) {
				continue
			}
			position := len(progress.Listed)
			progress.Listed = append(progress.Listed, Listed{Item: t.index, Dead: t.reason != ""})
			writes = append(writes, table.Write{Key: resultKey(job.ID, position), Expect: table.Absent, Body: rows[t]})
			written[t] = true
		}
		return writes, len(writes) > 0
	})
	switch {
	case updateErr == nil:
		s.reportListed(ctx, job, without(batch, failed), written)
	case errors.Is(updateErr, ErrNotFound):
		// The job was removed, so there is nothing left to list.
		s.resolveTexts(ctx, job, batch)
		return nil, nil
	default:
		return batch, updateErr
	}
	return failed, err
}

// canList reports whether an item may still be listed; it may not if the job is gone.
func (e *Entry) canList(item int) bool {
	return e != nil && !e.Progress.Ended && !e.Progress.isListed(item)
}

// without returns the items of a batch that are not among the failed ones.
func without(batch, failed []*task) []*task {
	return slices.DeleteFunc(slices.Clone(batch), func(t *task) bool { return slices.Contains(failed, t) })
}

// resultRow encodes a result. A long text is written to an object of its own.
func (s *Service) resultRow(ctx context.Context, job *Job, t *task) ([]byte, error) {
	if t.reason != "" {
		return encode(storedResult{Reason: t.reason}), nil
	}
	if t.objectCount() == 0 {
		return encode(storedResult{Text: string(t.text)}), nil
	}
	if err := s.putText(ctx, job, t); err != nil {
		return nil, err
	}
	return encode(storedResult{Object: t.object}), nil
}

// loadCheckpoints returns the partial texts that an earlier owner saved for unfinished items, by
// index. Items without one start over.
func (s *Service) loadCheckpoints(ctx context.Context, entry *Entry) map[int]storedResult {
	checkpoints := map[int]storedResult{}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	prefix := entry.Job.ID + "/kept/"
	rows, err := s.Table.List(callCtx, resultPartition(entry.Job.ID), prefix, MaxItems)
	if err != nil {
		return checkpoints
	}
	for _, row := range rows {
		number, ok := strings.CutPrefix(row.Sort, prefix)
		if !ok {
			break
		}
		var index int
		if _, err := fmt.Sscanf(number, "%d", &index); err != nil {
			s.View.Unreadable.Report(row.AsUnreadable(table.Content, err))
			continue
		}
		var checkpoint storedResult
		if err := row.Decode(&checkpoint); err != nil {
			// The item starts over, and its next checkpoint overwrites this one.
			s.View.Unreadable.Report(err)
			checkpoint = storedResult{}
		}
		checkpoint.version = row.Version
		checkpoints[index] = checkpoint
	}
	return checkpoints
}
