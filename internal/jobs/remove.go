package jobs

import (
	"context"
	"strings"

	"github.com/wheelhoist/wheelhoist/internal/table"
)

// maxRemoveRows bounds the rows that one write removes.
const maxRemoveRows = table.MaxWrites

// Remove deletes a job from the table in one transaction with extra writes, whose conditions guard
// it. The other rows and objects of the job are deleted afterwards; those that remain after an
// error are never read.
func (s *Service) Remove(ctx context.Context, entry *Entry, extra ...table.Write) error {
	writes := append([]table.Write{
		{Key: jobKey(entry.Job.ID), Kind: table.Delete, Expect: entry.Job.version},
		{Key: progressKey(entry.Job.ID), Kind: table.Delete, Expect: entry.Version},
	}, extra...)
	if err := table.CommitSettled(ctx, s.Table, table.NewOperation(), writes...); err != nil {
		return Error.Wrap(err)
	}
	s.View.Drop(entry.Job.ID)
	s.dropContent(entry.Job.ID)
	if entry.Job.Chunks == 0 {
		s.deleteObject(ctx, contentObject(entry.Job.ID, entry.Job.Content))
	}
	s.deleteRows(ctx, entry.Job)
	return nil
}

// deleteObject deletes an object that no row refers to any more. One that remains only wastes
// space.
func (s *Service) deleteObject(ctx context.Context, key string) { _ = s.Objects.Delete(ctx, key) }

// deleteRows deletes the rows of a job's content, results and checkpoints, and the objects that
// results refer to.
func (s *Service) deleteRows(ctx context.Context, job *Job) {
	prefix := job.ID + "/"
	for {
		rows, err := s.Table.List(ctx, resultPartition(job.ID), prefix, maxRemoveRows)
		if err != nil {
			return
		}
		var writes []table.Write
		for _, row := range rows {
			if !strings.HasPrefix(row.Sort, prefix) {
				break
			}
			writes = append(writes, table.Write{Key: row.Key, Kind: table.Delete, Expect: row.Version})
			var stored storedResult
			if row.Decode(&stored) == nil && stored.Object != "" {
				s.deleteObject(ctx, stored.Object)
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

// Drop removes a deleted job from the view.
func (v *View) Drop(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.remove(jobKey(id))
	v.notify()
}
