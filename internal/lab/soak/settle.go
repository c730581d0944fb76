package soak

import (
	"context"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// settleReaders is the number of callers that read jobs at the end, settlePause the time
	// between two reads of an incomplete job.
	settleReaders = 12
	settlePause   = 100 * time.Millisecond
	// settleMargin is how long to read on after listBound, and settlePerJob the additional time for
	// each job, since a read takes a few milliseconds.
	settleMargin = 3 * time.Second
	settlePerJob = 25 * time.Millisecond
)

// settle reads all accepted jobs until all their items are listed, or until every item has had more
// time than ItemListedInCalm allows.
func (s *soak) settle(ctx context.Context) {
	var accepted []Job
	var work time.Duration
	for _, job := range s.jobs() {
		if !job.Accepted {
			continue
		}
		accepted = append(accepted, job)
		if job.EndedAt.IsZero() {
			work += s.unlistedWork(&job)
		}
	}
	s.Backlog = s.backlog(work)
	deadline := s.LoadEnd.Add(listBound + s.Backlog + settleMargin + time.Duration(len(accepted))*settlePerJob)
	s.readAll(ctx, accepted, deadline)
}

// backlog returns the time that the usable servers need for some work if they have no other.
func (s *soak) backlog(work time.Duration) time.Duration {
	slots := 0
	now := time.Now()
	for _, srv := range s.servers {
		if outages := srv.outagesUntil(now); len(outages) == 0 || outages[len(outages)-1].To != now {
			slots += srv.slots
		}
	}
	return work / time.Duration(max(slots, 1))
}

// readAll reads each job at least once, and repeatedly until it is complete or the deadline has
// passed.
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
				// Requeue the job behind the others.
				queue <- job
			}
		})
	}
	open.Wait()
	close(queue)
	readers.Wait()
}

// readOnce reads the list of a job at one of the nodes in turn. It returns true if the job need not
// be read again.
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
