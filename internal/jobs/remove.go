package jobs

import (
	"context"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// removeRows bounds the rows that one write removes.
const removeRows = 50

// Remove takes a job whose results are kept elsewhere off the table, in one
// transaction with further writes, whose conditions guard it. What the job row
// leads to is removed afterwards; what stays when that fails is never read.
func (s *Service) Remove(ctx context.Context, entry *Entry, more ...table.Write) error {
	writes := append([]table.Write{
		{Key: jobKey(entry.Job.ID), Kind: table.Delete, Expect: entry.Job.version},
		{Key: progressKey(entry.Job.ID), Kind: table.Delete, Expect: entry.Version},
	}, more...)
	if err := table.CommitSettled(ctx, s.Table, table.NewOperation(), writes...); err != nil {
		return Error.Wrap(err)
	}
	s.View.Drop(entry.Job.ID)
	s.forget(entry.Job.ID)
	s.sweep(ctx, entry.Job)
	s.dropObjects(ctx, entry)
	return nil
}

// dropObjects removes the objects of a job's content and long texts.
func (s *Service) dropObjects(ctx context.Context, entry *Entry) {
	if entry.Job.Chunks == 0 {
		// An object that stays is only a waste.
		_ = s.Objects.Delete(ctx, contentKey(entry.Job.ID))
	}
	for position, listed := range entry.Progress.Listed {
		if text, ok := s.cache.get(entry.Job.ID, position); ok && len(text.text) > maxRowText {
			_ = s.Objects.Delete(ctx, textObject(entry.Job.ID, listed.Item))
		}
	}
}

// sweep removes the rows of a job's contents, results and kept texts.
func (s *Service) sweep(ctx context.Context, job *Job) {
	prefix := job.ID + "/"
	for {
		rows, err := s.Table.List(ctx, resultPartition(job.ID), prefix, removeRows)
		if err != nil {
			return
		}
		var writes []table.Write
		for _, row := range rows {
			if len(row.Sort) > len(prefix) && row.Sort[:len(prefix)] == prefix {
				writes = append(writes, table.Write{Key: row.Key, Kind: table.Delete, Expect: row.Version})
			}
		}
		if len(writes) == 0 {
			return
		}
		if _, err := s.Table.Commit(ctx, table.NewOperation(), writes...); err != nil {
			return
		}
	}
}

// Drop forgets a job that was removed.
func (v *View) Drop(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.remove(jobKey(id))
	v.wake()
}
