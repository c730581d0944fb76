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
	// commitRows and commitBytes bound the results of one transaction.
	commitRows  = 60
	commitBytes = 300 << 10
	// commitRetry is the pause before results are tried again that could not be listed.
	commitRetry = 250 * time.Millisecond
	// textPatience bounds the tries to write the text of one result as an object, in which
	// those of its job that finish meanwhile wait to be listed.
	textPatience = 2 * objectTimeout
)

// finish notes an item's outcome, without a reason if it has its answer, and has
// it listed.
func (r *Runner) finish(one *task, reason Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLocked(one, reason)
}

// finishLocked is finish for a caller that holds mu.
func (r *Runner) finishLocked(one *task, reason Reason) {
	if one.state == taskFinished || one.state == taskListed {
		return
	}
	one.state = taskFinished
	one.waits(WaitListing, nil)
	one.cameOn = clock.Now()
	one.reason = reason
	owned := one.work
	owned.finished = append(owned.finished, one)
	if !owned.commits {
		owned.commits = true
		go r.commitAll(owned)
	}
}

// commitAll lists finished items until there are none. What finishes during a
// commit goes together into the next one.
func (r *Runner) commitAll(owned *work) {
	for {
		r.gather(owned)
		r.mu.Lock()
		batch := owned.takeFinished()
		if len(batch) == 0 {
			owned.commits = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		if left := r.commit(owned, batch); left > 0 && !retry.Sleep(owned.ctx, commitRetry) {
			// Another node has the job by now, or it ended.
			r.dropFinished(owned)
			return
		}
	}
}

// dropFinished forgets the results of a job that could not be listed.
func (r *Runner) dropFinished(owned *work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	owned.finished, owned.commits = nil, false
}

// gather waits for more results to commit together, if that is wanted and more
// are to come.
func (r *Runner) gather(owned *work) {
	r.mu.Lock()
	more := !r.paused && owned.unfinished()
	r.mu.Unlock()
	if more && r.CommitInterval > 0 {
		retry.Sleep(owned.ctx, r.CommitInterval)
	}
}

// unfinished reports whether items have no outcome yet. The caller holds the
// runner's lock.
func (w *work) unfinished() bool {
	for _, one := range w.tasks {
		if one.state == taskWaiting || one.state == taskRunning {
			return true
		}
	}
	return false
}

// takeFinished takes the finished items that go into one transaction. Texts that need an object
// of their own go behind the others and not with them: one that cannot be written takes
// textPatience, which the others of its job would wait for at each try. The caller holds the
// runner's lock.
func (w *work) takeFinished() []*task {
	slices.SortStableFunc(w.finished, func(a, b *task) int {
		return cmp.Compare(a.objects(), b.objects())
	})
	size := w.commitSize()
	for i, one := range w.finished[:size] {
		if one.objects() != w.finished[0].objects() {
			size = i
			break
		}
	}
	batch := w.finished[:size]
	w.finished = w.finished[size:]
	return batch
}

// objects is the number of objects that the result of an item needs beside its row.
func (t *task) objects() int {
	if t.reason != "" || len(t.text) <= maxRowText {
		return 0
	}
	return 1
}

// commitSize is the number of finished items that go into one transaction. The
// caller holds the runner's lock.
func (w *work) commitSize() int {
	size := 0
	for i, one := range w.finished {
		size += len(one.text)
		if i >= commitRows || (i > 0 && size > commitBytes) {
			return i
		}
	}
	return len(w.finished)
}

// commit lists results, and returns the number of those that are to be tried again.
func (r *Runner) commit(owned *work, batch []*task) (left int) {
	// The results outlive the ownership: who has them may list them.
	failed, err := r.Service.listMost(context.WithoutCancel(owned.ctx), owned.job, batch)
	if err != nil {
		r.Service.Events.ItemFailed(owned.job, "", "", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, ErrUnreadable) {
		// Nothing can be listed. When the job can be read again, its items are loaded anew.
		r.drop(owned)
		return
	}
	for _, one := range batch {
		if slices.Contains(failed, one) {
			one.waits(WaitListing, err)
			continue
		}
		one.state = taskListed
	}
	owned.finished = append(owned.finished, failed...)
	return len(failed)
}

// drop ends the work on a job at this node. The caller holds mu.
func (r *Runner) drop(owned *work) {
	owned.cancel()
	if r.owned[owned.job.ID] == owned {
		delete(r.owned, owned.job.ID)
	}
}

// list gives items their positions and texts in one transaction.
func (s *Service) list(ctx context.Context, job *Job, batch []*task) error {
	_, err := s.listMost(ctx, job, batch)
	return err
}

// listMost gives items their positions and texts in one transaction, but for those whose text
// cannot be written. It returns the items that are not listed, with why.
func (s *Service) listMost(ctx context.Context, job *Job, batch []*task) (failed []*task, err error) {
	rows := make(map[*task][]byte, len(batch))
	for _, one := range batch {
		row, rowErr := s.resultRow(ctx, job, one)
		if rowErr != nil {
			failed, err = append(failed, one), rowErr
			continue
		}
		rows[one] = row
	}
	if len(rows) == 0 {
		return failed, err
	}
	updateErr := s.update(ctx, job.ID, func(progress *Progress) ([]table.Write, bool) {
		if progress.Ended {
			return nil, false
		}
		var writes []table.Write
		for _, one := range batch {
			if rows[one] == nil || progress.has(one.index) {
				continue
			}
			position := len(progress.Listed)
			progress.Listed = append(progress.Listed, Listed{Item: one.index, Dead: one.reason != ""})
			writes = append(writes, table.Write{Key: resultKey(job.ID, position), Expect: table.Absent, Body: rows[one]})
		}
		return writes, len(writes) > 0
	})
	switch {
	case updateErr == nil:
		s.listed(job, batch)
	case errors.Is(updateErr, ErrNotFound):
		// The job was removed, so nothing is to be listed any more.
		return nil, nil
	default:
		return batch, updateErr
	}
	return failed, err
}

func (s *Service) listed(job *Job, batch []*task) {
	entry := s.View.Get(job.ID)
	if entry == nil {
		return
	}
	position := map[int]int{}
	for place, listed := range entry.Progress.Listed {
		position[listed.Item] = place
	}
	for _, one := range batch {
		if place, ok := position[one.index]; ok {
			s.Events.ItemListed(job, job.Items[one.index].ID, place, one.reason, clock.Since(one.started))
		}
	}
}

// resultRow encodes a result, with a long text in an object of its own.
func (s *Service) resultRow(ctx context.Context, job *Job, one *task) ([]byte, error) {
	if one.reason != "" {
		return encode(storedResult{Reason: one.reason}), nil
	}
	if one.objects() == 0 {
		return encode(storedResult{Text: string(one.text)}), nil
	}
	name := textObject(job.ID, one.index)
	putCtx, cancel := context.WithTimeout(ctx, textPatience)
	defer cancel()
	if err := s.putObject(putCtx, name, one.text); err != nil {
		return nil, err
	}
	return encode(storedResult{Object: name}), nil
}

// keptTexts returns the texts that an earlier owner kept of unfinished items.
// Without them items only begin anew.
func (s *Service) keptTexts(ctx context.Context, entry *Entry) map[int]storedResult {
	kept := map[int]storedResult{}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	prefix := entry.Job.ID + "/kept/"
	rows, err := s.Table.List(callCtx, resultPartition(entry.Job.ID), prefix, MaxItems)
	if err != nil {
		return kept
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
		var text storedResult
		if err := row.Decode(&text); err != nil {
			// The item begins anew, and its next text is written over this one.
			s.View.Unreadable.Report(err)
			text = storedResult{}
		}
		text.version = row.Version
		kept[index] = text
	}
	return kept
}
