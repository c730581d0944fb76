package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	onlineTimeout = 5 * time.Second
	onlinePause   = 60 * time.Millisecond
	// overLimitPause makes about 20 requests per second, five times limitRate.
	overLimitPause = 20 * time.Millisecond
	// underLimitPause makes about 2 requests per second, half of limitRate.
	underLimitPause = 300 * time.Millisecond
	jobPause        = 700 * time.Millisecond
	jobItems        = 12
	// invalidSuffix is the suffix of the IDs of items that servers reject as invalid. Every
	// invalidInterval-th job of a caller has one.
	invalidSuffix   = "-invalid"
	invalidInterval = 4
	// submitAttempts limits the attempts to submit or end a job, each at a random node.
	submitAttempts = 12
	// endShare is the fraction of accepted jobs that are ended while they run.
	endShare    = 0.15
	callTimeout = 4 * time.Second
	// keepAliveCallers is the number of callers that reuse their connections.
	keepAliveCallers = 3
)

// newRand returns the random stream of one caller, derived from the seed of the run.
func (s *soak) newRand(caller int, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed+uint64(caller), stream))
}

// callOnline sends streaming requests sequentially until the context ends.
func (s *soak) callOnline(ctx context.Context, caller int) {
	random := s.newRand(caller, 1)
	for number := 0; retry.Sleep(ctx, onlinePause); number++ {
		s.sendToAny(ctx, random, tenantMain, s.prefix(random), fmt.Sprintf("online-%d-%d", caller, number))
	}
}

// callOverLimit sends requests to all nodes at a multiple of the rate limit of the tenant until the
// context ends.
func (s *soak) callOverLimit(ctx context.Context) {
	random := s.newRand(0, 4)
	for number := 0; retry.Sleep(ctx, overLimitPause); number++ {
		s.sendToAny(ctx, random, tenantLimited, "resume", fmt.Sprintf("beyond-%d", number))
	}
}

// callUnderLimit sends requests to all nodes at half of the rate limit of the tenant until the
// context ends.
func (s *soak) callUnderLimit(ctx context.Context) {
	random := s.newRand(0, 5)
	for number := 0; retry.Sleep(ctx, underLimitPause); number++ {
		s.sendToAny(ctx, random, tenantFlood, "resume", fmt.Sprintf("little-%d", number))
	}
}

// callFlood sends requests to one node at a multiple of the rate limit of the tenant that
// callUnderLimit uses.
func (s *soak) callFlood(ctx context.Context, node *gateway, fault Fault, caller int) {
	for number := 0; retry.Sleep(ctx, floodPause); number++ {
		s.sendTo(ctx, node, tenantFlood, "resume", fmt.Sprintf("flood-%d-%d-%d", fault.After.Milliseconds(), caller, number))
	}
}

// callKeepAlive sends requests over persistent connections and stays with a node until it fails to
// answer. A node that is shutting down thus receives requests until its process exits.
func (s *soak) callKeepAlive(ctx context.Context, caller int) {
	random := s.newRand(caller, 8)
	for number := 0; ctx.Err() == nil; number++ {
		node := s.gateways[random.IntN(len(s.gateways))]
		s.sendUntilFailure(ctx, node, fmt.Sprintf("kept-%d-%d", caller, number), random)
	}
}

// sendUntilFailure sends requests to a node over one connection until a request gets no answer.
func (s *soak) sendUntilFailure(ctx context.Context, node *gateway, name string, random *rand.Rand) {
	connections := &http.Transport{MaxConnsPerHost: 1}
	defer connections.CloseIdleConnections()
	for number := 0; retry.Sleep(ctx, onlinePause); number++ {
		client := &standin.Client{Address: node.listenAddress(), Host: host, Key: apiKey(tenantMain), Transport: connections}
		if s.sendOver(ctx, client, node, tenantMain, s.prefix(random), fmt.Sprintf("%s-%d", name, number)).Status == 0 {
			return
		}
	}
}

// sendToAny sends one request to a random node.
func (s *soak) sendToAny(ctx context.Context, random *rand.Rand, tenant, prefix, id string) {
	s.sendTo(ctx, s.nodeForConnection(random.IntN(len(s.gateways))), tenant, prefix, id)
}

func (s *soak) sendTo(ctx context.Context, node *gateway, tenant, prefix, id string) {
	client := &standin.Client{Address: node.listenAddress(), Host: host, Key: apiKey(tenant)}
	s.sendOver(ctx, client, node, tenant, prefix, id)
}

// sendOver sends one request to a node with the given client and records the result.
func (s *soak) sendOver(ctx context.Context, client *standin.Client, node *gateway, tenant, prefix, id string) *standin.Response {
	req := Request{
		ID: id, Prefix: prefix, AtMostOnce: runsOnce(prefix), Tenant: tenant,
		Node: node.id, Process: node.processNumber(), Sent: time.Now(),
	}
	req.Answer = client.Stream(context.WithoutCancel(ctx), prefix, req.ID, onlineTimeout)
	req.Ended = time.Now()
	if node.processNumber() != req.Process {
		// The node was restarted in the meantime, so the answer may come from either process. A
		// unique negative number keeps it separate from both.
		req.Process = -int(req.Ended.UnixNano())
	}
	record(&s.History, &s.Requests, req)
	return req.Answer
}

// plainPrefix is the prefix of the route whose requests are no streams and may run once.
const plainPrefix = "plain"

// runsOnce reports whether the requests of a route may run once.
func runsOnce(prefix string) bool { return strings.HasPrefix(prefix, "once") || prefix == plainPrefix }

// callJobs submits jobs sequentially until the context ends, and ends some of them.
func (s *soak) callJobs(ctx context.Context, caller int) {
	random := s.newRand(caller, 2)
	for number := 0; retry.Sleep(ctx, jobPause); number++ {
		job := Job{ID: fmt.Sprintf("job-%d-%d", caller, number), Tokens: itemTokens}
		for item := range 1 + random.IntN(jobItems) {
			job.Items = append(job.Items, fmt.Sprintf("%s-item-%d", job.ID, item))
		}
		if number%invalidInterval == 0 {
			job.Items[0] += invalidSuffix
		}
		s.submit(context.WithoutCancel(ctx), &job, random, submitAttempts)
		if job.Accepted && random.Float64() < endShare {
			retry.Sleep(ctx, time.Second)
			s.endJob(context.WithoutCancel(ctx), &job, random)
		}
		record(&s.History, &s.Jobs, job)
	}
}

// isInvalidItem reports whether servers reject an item as invalid.
func isInvalidItem(id string) bool { return strings.HasSuffix(id, invalidSuffix) }

// submit is submitFrom at random nodes.
func (s *soak) submit(ctx context.Context, job *Job, random *rand.Rand, attempts int) {
	s.submitFrom(ctx, job, random.IntN(len(s.gateways)), random, attempts)
}

// submitFrom tries to submit a job at a node and then at random ones until one accepts it, at most a number of
// times. The job counts as refused only if every answer guarantees that nothing runs.
func (s *soak) submitFrom(ctx context.Context, job *Job, node int, random *rand.Rand, attempts int) {
	job.Refused = true
	for range attempts {
		attemptCtx, cancel := context.WithTimeout(ctx, callTimeout)
		answer := s.client(node).Submit(attemptCtx, job.ID, job.Items, job.Tokens)
		cancel()
		if answer.Status == http.StatusAccepted {
			job.Accepted, job.Refused, job.At = true, false, time.Now()
			return
		}
		// A node that refused the connection has not read the job either.
		job.Refused = job.Refused && answer.NotExecuted()
		node = random.IntN(len(s.gateways))
		retry.Sleep(ctx, 200*time.Millisecond)
	}
}

// endJob tries to end a job at random nodes until one acknowledges it.
func (s *soak) endJob(ctx context.Context, job *Job, random *rand.Rand) {
	for range submitAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, callTimeout)
		ended := s.client(random.IntN(len(s.gateways))).End(attemptCtx, job.ID)
		cancel()
		if ended {
			job.EndedAt = time.Now()
			return
		}
		retry.Sleep(ctx, 200*time.Millisecond)
	}
}
