package soak

import (
	"context"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// settleReaders read jobs at the end, each one job after the other.
	settleReaders = 12
	settlePause   = 100 * time.Millisecond
	// settleMargin is how long after the bound of the last item one goes on reading, and
	// settlePerJob how much longer for each job: a reading takes a few milliseconds.
	settleMargin = 3 * time.Second
	settlePerJob = 25 * time.Millisecond
)

// settle waits until all accepted jobs are listed, and reads each at some node. It ends
// once all items had time beyond the bound of ListedInCalm.
func (s *soak) settle(ctx context.Context) {
	var accepted []Job
	unlisted := 0
	for _, job := range s.jobs() {
		if !job.Accepted {
			continue
		}
		accepted = append(accepted, job)
		if job.EndedAt.IsZero() {
			unlisted += s.unlistedCount(&job)
		}
	}
	s.Backlog = s.backlog(unlisted)
	deadline := s.LoadEnd.Add(listBound + s.Backlog + settleMargin + time.Duration(len(accepted))*settlePerJob)
	s.readAll(ctx, accepted, deadline)
}

// backlog is the time that servers which can be used need for some items, if these are their
// only work.
func (s *soak) backlog(items int) time.Duration {
	slots := 0
	now := time.Now()
	for _, srv := range s.servers {
		if outages := srv.outagesUntil(now); len(outages) == 0 || outages[len(outages)-1].To != now {
			slots += srv.slots
		}
	}
	return time.Duration(items) * answerSize * eventTime / time.Duration(max(slots, 1))
}

// readAll reads jobs in turn, each once at least, and again until all of it is listed or the
// deadline is over.
func (s *soak) readAll(ctx context.Context, accepted []Job, deadline time.Time) {
	queue := make(chan *Job, len(accepted))
	for i := range accepted {
		queue <- &accepted[i]
	}
	var open, readers sync.WaitGroup
	open.Add(len(accepted))
	for reader := range settleReaders {
		readers.Go(func() {
			for job := range queue {
				if s.readOnce(ctx, job, reader, deadline) {
					open.Done()
					continue
				}
				// Others have their turn first.
				queue <- job
			}
		})
	}
	open.Wait()
	close(queue)
	readers.Wait()
}

// readOnce reads a job's list at the node of a turn. It reports whether it needs no other
// reading.
func (s *soak) readOnce(ctx context.Context, job *Job, reader int, deadline time.Time) bool {
	results, complete, err := s.readWhole(ctx, job, reader+int(time.Since(s.LoadEnd)/settlePause))
	if err == nil {
		s.recordFinal(job.ID, results)
	}
	if complete || !time.Now().Before(deadline) {
		return true
	}
	retry.Sleep(ctx, settlePause)
	return ctx.Err() != nil
}
