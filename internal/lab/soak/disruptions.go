package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// longSuffix is the suffix of the IDs of requests and items that have long texts, too long for a row of the
// store, and longEventTime between two events. They run for longer than maxOverlap.
const (
	longSuffix    = "-long"
	longEventTime = 100 * time.Millisecond
)

// isLong reports whether a request or item has a long text.
func isLong(id string) bool { return strings.HasSuffix(id, longSuffix) }

// disruptions returns the shares of a disruption of servers: of total a quarter for answers that come again and for
// other late ones each, which a node can take for the answer to another request, and half for all others. The
// answers that are not disrupted otherwise come again if the same request comes next on the connection.
func disruptions(total float64) standin.Shares {
	shares := standin.Shares{standin.RepeatToSame: 1 - total, standin.RepeatAnswer: total / 4}
	var late, others []standin.Disruption
	for _, disruption := range standin.Disruptions() {
		switch {
		case shares[disruption] > 0:
		case disruption.IsLate():
			late = append(late, disruption)
		default:
			others = append(others, disruption)
		}
	}
	maps.Copy(shares, standin.EqualShares(total/4, late...))
	maps.Copy(shares, standin.EqualShares(total/2, others...))
	return shares
}

// disruptServers disrupts a part of the servers.
func (s *soak) disruptServers(ctx context.Context, fault Fault) {
	var disrupted sync.WaitGroup
	for number := range max(1, len(s.servers)/disruptedSlice) {
		target := fault
		target.Target += number
		srv := s.targetServer(target)
		disrupted.Go(func() {
			defer s.trackOutage(srv)()
			srv.connections.Disrupt(disruptions(fault.Share))
			retry.Sleep(ctx, fault.Duration)
			srv.connections.Disrupt(nil)
		})
	}
	disrupted.Wait()
}

const (
	// fillQueue is the number of requests that wait at a server while the servers are filled. It refuses more.
	fillQueue = 2
	// fillFactor is the number of callers for each request that the servers run or hold, beside all others, and
	// maxFillers the maximum.
	fillFactor = 1.0
	maxFillers = 96
	fillPause  = 10 * time.Millisecond
	// One of longInterval requests that fill servers is long, and one of resumeInterval may be repeated.
	longInterval   = 8
	resumeInterval = 5
)

// fillServers sends more requests than the servers can run, most of which may run once.
func (s *soak) fillServers(ctx context.Context, fault Fault) {
	fillCtx, cancel := context.WithTimeout(ctx, fault.Duration)
	defer cancel()
	overload := Overload{From: time.Now()}
	capacity := 0
	for _, srv := range s.servers {
		srv.SetMaxQueue(fillQueue)
		defer srv.SetMaxQueue(0)
		defer s.trackOutage(srv)()
		capacity += srv.slots + fillQueue
	}
	var callers sync.WaitGroup
	for caller := range min(maxFillers, int(fillFactor*float64(capacity))) {
		callers.Go(func() { s.callToFill(fillCtx, fault, caller) })
	}
	callers.Wait()
	overload.To = time.Now()
	record(&s.History, &s.Overloads, overload)
}

// callToFill sends requests one after the other until the context ends.
func (s *soak) callToFill(ctx context.Context, fault Fault, caller int) {
	random := rand.New(rand.NewPCG(s.Seed+uint64(caller), uint64(fault.After)))
	for number := 0; retry.Sleep(ctx, fillPause); number++ {
		prefix := []string{"once", plainPrefix}[random.IntN(2)]
		if number%resumeInterval == resumeInterval-1 {
			prefix = "resume"
		}
		id := fmt.Sprintf("fill-%d-%d-%d", fault.After.Milliseconds(), caller, number)
		if number%longInterval == longInterval-1 {
			id += longSuffix
		}
		s.sendToAny(ctx, random, tenantMain, prefix, id)
	}
}

const (
	// longJobs is the number of jobs with long texts that run when a node is cut off, longItems that of their
	// items. The node is cut off once longRunning of the items run, or after maxLongWait.
	longJobs     = 3
	longItems    = 8
	longRunning  = 6
	maxLongWait  = 4 * time.Second
	longWaitStep = 20 * time.Millisecond
	// updateSettle is how long after an update of the servers nodes know of it.
	updateSettle = 1500 * time.Millisecond
)

// cutBesideLongTexts cuts a node off from the store while jobs with long texts run at servers of two software
// versions.
func (s *soak) cutBesideLongTexts(ctx context.Context, node *gateway, fault Fault) {
	if s.updates() == 0 {
		s.updateServers(ctx, fault)
		retry.Sleep(ctx, updateSettle)
	}
	random := rand.New(rand.NewPCG(s.Seed, uint64(fault.After)))
	for number := range longJobs {
		job := Job{ID: fmt.Sprintf("texts-%d-%d", fault.After.Milliseconds(), number), Tokens: itemTokens}
		for item := range longItems {
			job.Items = append(job.Items, fmt.Sprintf("%s-item-%d%s", job.ID, item, longSuffix))
		}
		s.submitFrom(context.WithoutCancel(ctx), &job, fault.Target, random, submitAttempts)
		record(&s.History, &s.Jobs, job)
	}
	waitUntil := time.Now().Add(maxLongWait)
	for s.runningLong() < longRunning && time.Now().Before(waitUntil) && retry.Sleep(ctx, longWaitStep) {
	}
	cut := Disturbance{Name: node.id, From: time.Now()}
	node.store.setFault(Reset)
	retry.Sleep(ctx, fault.Duration)
	node.store.setFault(NoFault)
	s.recordDisturbance(cut)
	record(&s.History, &s.LongCuts, fault.Kind)
}

// runningLong returns the number of items with long texts that servers run now.
func (s *soak) runningLong() int {
	count := 0
	for _, srv := range s.servers {
		for _, run := range srv.Runs() {
			if isLong(run.ID) && run.Ended.IsZero() {
				count++
			}
		}
	}
	return count
}

// updates returns the number of updates of the servers so far.
func (h *History) updates() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ServerUpdates)
}

const (
	// refusedCallers is the number of callers that submit jobs which may be refused for good, refusedPause the
	// time between two jobs of one.
	refusedCallers = 4
	refusedPause   = 100 * time.Millisecond
	// maxRefusedAttempts limits the attempts for such a job.
	maxRefusedAttempts = 3
)

// submitToBeRefused submits jobs with few attempts each while a share of the calls to the store get no answer
// and are executed late, so that some jobs are refused after a write whose outcome the node did not know.
func (s *soak) submitToBeRefused(ctx context.Context, fault Fault) {
	s.store.SetFault(s.storeFaults(fault))
	defer s.store.SetFault(nil)
	submitCtx, cancel := context.WithTimeout(ctx, fault.Duration)
	defer cancel()
	var callers sync.WaitGroup
	for caller := range refusedCallers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(s.Seed+uint64(caller), uint64(fault.After)))
			for number := 0; retry.Sleep(submitCtx, refusedPause); number++ {
				job := Job{ID: fmt.Sprintf("tried-%d-%d-%d", fault.After.Milliseconds(), caller, number), Tokens: itemTokens}
				for item := range jobItems {
					job.Items = append(job.Items, fmt.Sprintf("%s-item-%d", job.ID, item))
				}
				s.submit(context.WithoutCancel(ctx), &job, random, 1+random.IntN(maxRefusedAttempts))
				record(&s.History, &s.Jobs, job)
			}
		})
	}
	callers.Wait()
}
