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
	// watchers is the number of callers that read incomplete lists, with watchPause between reads.
	watchers   = 3
	watchPause = 50 * time.Millisecond
	// readPause is the pause between reads of any job from any position.
	readPause = 20 * time.Millisecond
	// latestReaders is the number of callers that read recently listed results, with latestPause
	// between reads. latestResults is the number of results that they choose from: those of the
	// last seconds, which a lagging node does not have yet.
	latestReaders = 8
	latestPause   = 20 * time.Millisecond
	latestResults = 100
	// bodyShare is the fraction of their reads that read the content of an item instead, from one
	// of the bodyJobs latest jobs.
	bodyShare = 0.1
	bodyJobs  = 30
	// pairReaders is the number of callers that read a job at one node and then at another one. The
	// second read follows the answer to the first by readBound, when the first result must be known
	// everywhere, and up to pairJitter more.
	pairReaders = 24
	pairJitter  = 200 * time.Millisecond
)

// resultWaits are the times for which callers let a read wait for a result. The last one is the
// maximum of the protocol.
var resultWaits = []time.Duration{0, 0, 200 * time.Millisecond, time.Second}

// watchJobs reads the lists of jobs with unlisted items until the context ends, so that the time at
// which each item is listed is known closely.
func (s *soak) watchJobs(ctx context.Context, reader int) {
	random := s.newRand(reader, 9)
	for retry.Sleep(ctx, watchPause) {
		var open []Job
		for _, job := range s.jobs() {
			if job.Accepted && s.unlistedCount(&job) > 0 {
				open = append(open, job)
			}
		}
		if len(open) > 0 {
			s.readWhole(ctx, &open[random.IntN(len(open))], random.IntN(len(s.gateways)))
		}
	}
}

// readWhole reads the list of a job at a node. complete is set if no item remains to be listed.
func (s *soak) readWhole(ctx context.Context, job *Job, node int) (results []standin.JobResult, complete bool, err error) {
	results, total, err := s.readList(ctx, Read{Job: job.ID}, node)
	if err != nil {
		return nil, false, err
	}
	return results, len(results) == total || !job.EndedAt.IsZero(), nil
}

// readJobs reads lists from random positions at random nodes until the context ends.
func (s *soak) readJobs(ctx context.Context) {
	random := s.newRand(0, 3)
	for retry.Sleep(ctx, readPause) {
		jobs := s.jobs()
		if len(jobs) == 0 {
			continue
		}
		job := jobs[random.IntN(len(jobs))]
		if !job.Accepted {
			continue
		}
		s.tryReadList(ctx, Read{Job: job.ID, Position: random.IntN(len(job.Items))}, random.IntN(len(s.gateways)))
	}
}

// readLatest reads recently listed results, and the content of items of the latest jobs, at random
// nodes until the context ends.
func (s *soak) readLatest(ctx context.Context, reader int) {
	random := s.newRand(reader, 10)
	for retry.Sleep(ctx, latestPause) {
		node := random.IntN(len(s.gateways))
		if random.Float64() < bodyShare {
			s.readLatestBody(ctx, random, node)
			continue
		}
		if latest := s.latestListed(latestResults); len(latest) > 0 {
			position := latest[random.IntN(len(latest))]
			wait := resultWaits[random.IntN(len(resultWaits))]
			s.tryReadList(ctx, Read{Job: position.job, Position: position.position, Wait: wait}, node)
		}
	}
}

// readLatestBody reads the content of an item of one of the latest jobs at a node.
func (s *soak) readLatestBody(ctx context.Context, random *rand.Rand, node int) {
	jobs := s.jobs()
	jobs = jobs[max(0, len(jobs)-bodyJobs):]
	if len(jobs) == 0 {
		return
	}
	if job := jobs[random.IntN(len(jobs))]; job.Accepted {
		s.readBody(ctx, Read{Job: job.ID, Item: job.Items[random.IntN(len(job.Items))]}, node)
	}
}

// readPairs reads a job at one node and then, once its results must be known everywhere, at another
// node from the last position of the first answer, until the context ends.
func (s *soak) readPairs(ctx context.Context, reader int) {
	random := s.newRand(reader, 14)
	for retry.Sleep(ctx, latestPause) && len(s.gateways) > 1 {
		latest := s.latestListed(latestResults)
		if len(latest) == 0 {
			continue
		}
		job := latest[random.IntN(len(latest))].job
		first := random.IntN(len(s.gateways))
		other := first + 1 + random.IntN(len(s.gateways)-1)
		results, _, err := s.readList(ctx, Read{Job: job}, first)
		if err == nil && retry.Sleep(ctx, readBound+time.Duration(random.Int64N(int64(pairJitter)))) {
			s.tryReadList(ctx, Read{Job: job, Position: max(0, len(results)-1)}, other)
		}
	}
}

// tryReadList is readList for callers that ignore the answer.
func (s *soak) tryReadList(ctx context.Context, read Read, node int) {
	// readList records the answer, and failed reads are checked as well.
	_, _, _ = s.readList(ctx, read, node)
}

// readList reads the list of a job at a node and records the answer.
func (s *soak) readList(ctx context.Context, read Read, node int) (results []standin.JobResult, total int, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	read.Node, read.Sent = s.gateways[node%len(s.gateways)].id, time.Now()
	reading, err := s.client(node).Results(ctx, read.Job, read.Position, read.Wait)
	read.Ended = time.Now()
	if err != nil {
		read.Status = statusOf(err)
		record(&s.History, &s.Reads, read)
		return nil, 0, err
	}
	read.Status, read.Results, read.State = http.StatusOK, reading.Results, reading.State
	s.observe(read.Job, read.Position, reading.Results)
	record(&s.History, &s.Reads, read)
	return reading.Results, reading.Total, nil
}

// statusOf returns the HTTP status of an answer without a result; 0 if there was no answer.
func statusOf(err error) int {
	var noAnswer *standin.ResponseError
	if errors.As(err, &noAnswer) {
		return noAnswer.Status
	}
	return 0
}

// readBody reads the content of an item at a node and records the answer.
func (s *soak) readBody(ctx context.Context, read Read, node int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	read.Node, read.Sent = s.gateways[node%len(s.gateways)].id, time.Now()
	read.Status = s.client(node).Body(ctx, read.Job, read.Item).Status
	read.Ended = time.Now()
	record(&s.History, &s.Reads, read)
}
