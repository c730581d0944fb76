package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// watchers read lists that are not complete, watchPause after the last such reading.
	watchers   = 3
	watchPause = 50 * time.Millisecond
	// readPause is the pause of the caller that reads any job from any position.
	readPause = 20 * time.Millisecond
	// edgeReaders read what was listed last, edgePause after the last such reading.
	// edgeResults is how many results these are: those of the last seconds, which a node that
	// lags lacks.
	edgeReaders = 8
	edgePause   = 20 * time.Millisecond
	edgeResults = 100
	// bodyShare is the part of their readings that read an item's content, of one of the
	// bodyJobs latest jobs.
	bodyShare = 0.1
	bodyJobs  = 30
)

// waitsForResults are the times that callers give a read to wait for a result; the last is the
// longest that the protocol allows.
var waitsForResults = []time.Duration{0, 0, 200 * time.Millisecond, time.Second}

// watchJobs reads the lists of jobs that have items not listed yet, so that it is known soon
// when each was, until the context ends.
func (s *soak) watchJobs(ctx context.Context, reader int) {
	random := s.random(reader, 9)
	for retry.Sleep(ctx, watchPause) {
		var open []Job
		for _, job := range s.jobs() {
			if job.Accepted && s.unlisted(&job) > 0 {
				open = append(open, job)
			}
		}
		if len(open) > 0 {
			s.readWhole(ctx, &open[random.IntN(len(open))], random.IntN(len(s.gateways)))
		}
	}
}

// readWhole reads a job's list at a node. It reports whether that answered, and whether the
// job has no item left to list.
func (s *soak) readWhole(ctx context.Context, job *Job, node int) (results []standin.JobResult, done bool, err error) {
	results, total, err := s.readList(ctx, Read{Job: job.ID}, node)
	if err != nil {
		return nil, false, err
	}
	return results, len(results) == total || !job.EndedAt.IsZero(), nil
}

// readJobs reads lists from any position at any node, until the context ends.
func (s *soak) readJobs(ctx context.Context) {
	random := s.random(0, 3)
	for retry.Sleep(ctx, readPause) {
		jobs := s.jobs()
		if len(jobs) == 0 {
			continue
		}
		one := jobs[random.IntN(len(jobs))]
		if !one.Accepted {
			continue
		}
		s.readFrom(ctx, Read{Job: one.ID, Position: random.IntN(len(one.Items))}, random.IntN(len(s.gateways)))
	}
}

// readEdges reads at any node what was listed last, and the content of items of the latest
// jobs, until the context ends.
func (s *soak) readEdges(ctx context.Context, reader int) {
	random := s.random(reader, 10)
	for retry.Sleep(ctx, edgePause) {
		node := random.IntN(len(s.gateways))
		if random.Float64() < bodyShare {
			s.readSomeBody(ctx, random, node)
			continue
		}
		if latest := s.latest(edgeResults); len(latest) > 0 {
			place := latest[random.IntN(len(latest))]
			wait := waitsForResults[random.IntN(len(waitsForResults))]
			s.readFrom(ctx, Read{Job: place.job, Position: place.position, Wait: wait}, node)
		}
	}
}

// readSomeBody reads the content of an item of one of the latest jobs at a node.
func (s *soak) readSomeBody(ctx context.Context, random *rand.Rand, node int) {
	jobs := s.jobs()
	jobs = jobs[max(0, len(jobs)-bodyJobs):]
	if len(jobs) == 0 {
		return
	}
	if job := jobs[random.IntN(len(jobs))]; job.Accepted {
		s.readBody(ctx, Read{Job: job.ID, Item: job.Items[random.IntN(len(job.Items))]}, node)
	}
}

// readFrom is readList for a caller that does nothing with the answer.
func (s *soak) readFrom(ctx context.Context, one Read, node int) {
	// What came of it is noted, and a failure is one of the answers that are checked.
	_, _, _ = s.readList(ctx, one, node)
}

// readList makes a read of a job's list at a node, and notes what came of it.
func (s *soak) readList(ctx context.Context, one Read, node int) (results []standin.JobResult, total int, err error) {
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	one.Node, one.Sent = s.gateways[node%len(s.gateways)].id, time.Now()
	results, total, err = s.client(node).Results(ctx, one.Job, one.Position, one.Wait)
	one.Ended, one.Status = time.Now(), http.StatusOK
	if err != nil {
		one.Status = statusOf(err)
	}
	one.Results = results
	if err == nil {
		s.reading(one.Job, one.Position, results)
	}
	record(&s.History, &s.Reads, one)
	return results, total, err
}

// statusOf returns the status of an answer that a caller could not use; 0 if there is none.
func statusOf(err error) int {
	var answer *standin.ResponseError
	if errors.As(err, &answer) {
		return answer.Status
	}
	return 0
}

// readBody makes a read of an item's content at a node, and notes what came of it.
func (s *soak) readBody(ctx context.Context, one Read, node int) {
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	one.Node, one.Sent = s.gateways[node%len(s.gateways)].id, time.Now()
	one.Status = s.client(node).Body(ctx, one.Job, one.Item).Status
	one.Ended = time.Now()
	record(&s.History, &s.Reads, one)
}
