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
	onlineWait  = 5 * time.Second
	onlinePause = 60 * time.Millisecond
	// beyondPause makes some 20 requests a second, five times limitRate.
	beyondPause = 20 * time.Millisecond
	// littlePause makes some 2 requests a second, half of limitRate.
	littlePause = 300 * time.Millisecond
	jobPause    = 700 * time.Millisecond
	jobItems    = 12
	// jobTries bounds the tries to hand a job in, each at another node.
	jobTries = 12
	// endShare is the part of the jobs that are ended while they run.
	endShare = 0.15
	callWait = 4 * time.Second
	// keptCallers keep connections open.
	keptCallers = 3
)

// random is the chance of one caller, from the run's seed.
func (s *soak) random(caller int, kind uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed+uint64(caller), kind))
}

// callOnline asks for streams, one after the other, until the context ends.
func (s *soak) callOnline(ctx context.Context, caller int) {
	random := s.random(caller, 1)
	for number := 0; retry.Sleep(ctx, onlinePause); number++ {
		s.ask(ctx, random, tenantMain, s.prefix(random), fmt.Sprintf("online-%d-%d", caller, number))
	}
}

// callBeyond asks for far more than a tenant's limit allows, at all nodes, until the
// context ends.
func (s *soak) callBeyond(ctx context.Context) {
	random := s.random(0, 4)
	for number := 0; retry.Sleep(ctx, beyondPause); number++ {
		s.ask(ctx, random, tenantLimited, "resume", fmt.Sprintf("beyond-%d", number))
	}
}

// callLittle asks at all nodes for half of what a tenant's limit allows, until the
// context ends.
func (s *soak) callLittle(ctx context.Context) {
	random := s.random(0, 5)
	for number := 0; retry.Sleep(ctx, littlePause); number++ {
		s.ask(ctx, random, tenantFlood, "resume", fmt.Sprintf("little-%d", number))
	}
}

// callFlood asks at one node for far more than the same tenant's limit allows.
func (s *soak) callFlood(ctx context.Context, node *gateway, fault Fault, caller int) {
	for number := 0; retry.Sleep(ctx, floodPause); number++ {
		s.askAt(ctx, node, tenantFlood, "resume", fmt.Sprintf("flood-%d-%d-%d", fault.At.Milliseconds(), caller, number))
	}
}

// callKept asks over connections that are kept open, always at the same node until that
// fails: also while it is told to stop, until its process is gone.
func (s *soak) callKept(ctx context.Context, caller int) {
	random := s.random(caller, 8)
	for number := 0; ctx.Err() == nil; number++ {
		node := s.gateways[random.IntN(len(s.gateways))]
		s.keepAsking(ctx, node, fmt.Sprintf("kept-%d-%d", caller, number), random)
	}
}

// keepAsking asks a node over one connection until it gives no answer.
func (s *soak) keepAsking(ctx context.Context, node *gateway, name string, random *rand.Rand) {
	connections := &http.Transport{MaxConnsPerHost: 1}
	defer connections.CloseIdleConnections()
	for number := 0; retry.Sleep(ctx, onlinePause); number++ {
		client := &standin.Client{Address: node.at(), Host: host, Key: keyOf(tenantMain), Transport: connections}
		if s.askOver(ctx, client, node, tenantMain, s.prefix(random), fmt.Sprintf("%s-%d", name, number)).Status == 0 {
			return
		}
	}
}

// ask sends one request to a random node.
func (s *soak) ask(ctx context.Context, random *rand.Rand, tenant, prefix, id string) {
	s.askAt(ctx, s.gateways[random.IntN(len(s.gateways))], tenant, prefix, id)
}

func (s *soak) askAt(ctx context.Context, chosen *gateway, tenant, prefix, id string) {
	client := &standin.Client{Address: chosen.at(), Host: host, Key: keyOf(tenant)}
	s.askOver(ctx, client, chosen, tenant, prefix, id)
}

// askOver sends one request to a node with a client, and notes what came of it.
func (s *soak) askOver(ctx context.Context, client *standin.Client, chosen *gateway, tenant, prefix, id string) *standin.Response {
	one := Request{
		ID: id, Prefix: prefix, Once: strings.HasPrefix(prefix, "once"), Tenant: tenant,
		Node: chosen.id, Life: chosen.lives(), Sent: time.Now(),
	}
	one.Answer = client.Stream(context.WithoutCancel(ctx), prefix, one.ID, onlineWait)
	one.Ended = time.Now()
	if chosen.lives() != one.Life {
		// The node was started again meanwhile; the answer is of one of two lives.
		one.Life = -int(one.Ended.UnixNano())
	}
	record(&s.History, &s.Requests, one)
	return one.Answer
}

// callJobs hands jobs in, one after the other, until the context ends.
func (s *soak) callJobs(ctx context.Context, caller int) {
	random := s.random(caller, 2)
	for number := 0; retry.Sleep(ctx, jobPause); number++ {
		one := Job{ID: fmt.Sprintf("job-%d-%d", caller, number), Tokens: itemTokens}
		for item := range 1 + random.IntN(jobItems) {
			one.Items = append(one.Items, fmt.Sprintf("%s-item-%d", one.ID, item))
		}
		s.submit(context.WithoutCancel(ctx), &one, random)
		if one.Accepted && random.Float64() < endShare {
			retry.Sleep(ctx, time.Second)
			s.end(context.WithoutCancel(ctx), &one, random)
		}
		record(&s.History, &s.Jobs, one)
	}
}

// submit tries until a job is accepted, at another node each time. Only if all
// answers promise that nothing runs the job counts as refused.
func (s *soak) submit(ctx context.Context, one *Job, random *rand.Rand) {
	one.Refused = true
	for range jobTries {
		callCtx, cancel := context.WithTimeout(ctx, callWait)
		answer := s.client(random.IntN(len(s.gateways))).Submit(callCtx, one.ID, one.Items, one.Tokens)
		cancel()
		if answer.Status == http.StatusAccepted {
			one.Accepted, one.At = true, time.Now()
			return
		}
		// A refused connection was not read either.
		one.Refused = one.Refused && answer.NotExecuted()
		retry.Sleep(ctx, 200*time.Millisecond)
	}
}

func (s *soak) end(ctx context.Context, one *Job, random *rand.Rand) {
	for range jobTries {
		callCtx, cancel := context.WithTimeout(ctx, callWait)
		ended := s.client(random.IntN(len(s.gateways))).End(callCtx, one.ID)
		cancel()
		if ended {
			one.EndedAt = time.Now()
			return
		}
		retry.Sleep(ctx, 200*time.Millisecond)
	}
}
