package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
)

const (
	// crowdShare is the fraction of new connections that a crowded node gets. Meanwhile callers open more
	// of them by crowdExtra.
	crowdShare = 0.9
	crowdExtra = 0.4
	// calmCrowd is how long a node is crowded at the end of the calm phase, the only time at which that is
	// judged: by the requests of crowdBefore.
	calmCrowd   = 7 * time.Second
	crowdBefore = 3 * time.Second
	// minCrowdShare is the fraction of requests that a crowded node has to serve, compared with the time
	// before, and minCrowdRequests the number from which on it is checked.
	minCrowdShare    = 0.75
	minCrowdRequests = 20
)

// Crowd is a period in which most new connections went to one node.
type Crowd struct {
	Node     string
	From, To time.Time
}

// crowd sends most new connections to one node for a time.
func (s *soak) crowd(ctx context.Context, node *gateway, duration time.Duration) Crowd {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	from := time.Now()
	s.crowded.Store(node)
	defer s.crowded.CompareAndSwap(node, nil)
	var extra sync.WaitGroup
	for caller := range int(crowdExtra * float64(s.onlineCallers())) {
		extra.Go(func() {
			for number := 0; retry.Sleep(ctx, onlinePause); number++ {
				s.sendTo(ctx, node, tenantMain, "resume", fmt.Sprintf("crowd-%d-%d-%d", from.UnixMilli(), caller, number))
			}
		})
	}
	extra.Wait()
	return Crowd{Node: node.id, From: from, To: time.Now()}
}

// nodeForConnection returns the node that gets a new connection if the node with the given number would get it
// otherwise.
func (s *soak) nodeForConnection(number int) *gateway {
	// Not from the caller's random stream, so that recorded seeds keep their requests.
	if node := s.crowded.Load(); node != nil && rand.Float64() < crowdShare {
		return node
	}
	return s.gateways[number]
}

// checkCrowds checks that crowded nodes serve almost as many requests as all nodes did before. Requests that
// no node read do not count.
func (c *checker) checkCrowds() {
	for _, crowd := range c.Crowds {
		before, during := c.servedInCrowd(crowd)
		if min(before.sent, during.sent) >= minCrowdRequests && during.share() < minCrowdShare*before.share() {
			c.addViolation(CrowdServed, "while most connections went to %s from %s to %s it served %d of %d requests, before it was %d of %d",
				crowd.Node, c.timestamp(crowd.From), c.timestamp(crowd.To), during.whole, during.sent, before.whole, before.sent)
		}
	}
}

// servedInCrowd counts the requests of connected nodes before a crowd, and those of the crowded node from
// contactBound on.
func (c *checker) servedInCrowd(crowd Crowd) (before, during served) {
	for i := range c.Requests {
		req := &c.Requests[i]
		if req.Answer.Status == 0 || !c.expectsAnswer(req, "") {
			continue
		}
		switch {
		case req.Sent.After(crowd.From.Add(-crowdBefore)) && req.Sent.Before(crowd.From):
			before.record(req.Answer)
		case req.Sent.After(crowd.From.Add(contactBound)) && req.Sent.Before(crowd.To) && req.Node == crowd.Node:
			during.record(req.Answer)
		}
	}
	return before, during
}

// judgedCrowds returns the number of crowds that checkCrowds judges.
func (c *checker) judgedCrowds() int {
	count := 0
	for _, crowd := range c.Crowds {
		if before, during := c.servedInCrowd(crowd); min(before.sent, during.sent) >= minCrowdRequests {
			count++
		}
	}
	return count
}
