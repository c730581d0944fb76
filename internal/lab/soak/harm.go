package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// harmPrefix begins the bodies of work that ends the servers which run it.
	harmPrefix = "harm-"
	// harmStart is when the first such work is sent, harmEvery the time between two new pieces
	// of it, harmFor how long each is
	// sent on, at all nodes: well beyond the time until all nodes must know of it.
	harmStart    = time.Second
	harmInterval = 6 * time.Second
	harmDuration = 10 * time.Second
	harmPause    = 120 * time.Millisecond
	// crashDelay is how long such work runs before its server ends.
	crashDelay = 20 * time.Millisecond
	// crashRestartDelay is how long a server that ended stays away once its row has lapsed.
	crashRestartDelay = 500 * time.Millisecond
	// harmThreshold is how many servers a piece of work may end before it counts, and harmRetries
	// how many it may reach after that from nodes in touch (BUDGET).
	harmThreshold  = 3
	maxHarmRetries = 3
	// quarantinedReason is the reason of refusals.
	quarantinedReason = "quarantined"
)

// callHarmful sends work that ends servers, one piece after the other, until the context ends.
func (s *soak) callHarmful(ctx context.Context) {
	random := s.newRand(0, 6)
	var sending sync.WaitGroup
	defer sending.Wait()
	if !retry.Sleep(ctx, harmStart) {
		return
	}
	for number := 0; ctx.Err() == nil; number++ {
		work, workRandom := fmt.Sprintf("%s%d", harmPrefix, number), rand.New(rand.NewPCG(random.Uint64(), 7))
		sending.Go(func() { s.sendHarmful(ctx, work, workRandom) })
		retry.Sleep(ctx, harmInterval)
	}
}

// sendHarmful sends one piece of work again and again, under new ids and at any node.
func (s *soak) sendHarmful(ctx context.Context, work string, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, harmDuration)
	defer cancel()
	var answers sync.WaitGroup
	defer answers.Wait()
	for number := 0; retry.Sleep(ctx, harmPause); number++ {
		node := s.gateways[random.IntN(len(s.gateways))]
		req := HarmfulRequest{ID: fmt.Sprintf("%s-%d", work, number), Work: work, Node: node.id, Sent: time.Now()}
		answers.Go(func() {
			client := &standin.Client{Address: node.listenAddress(), Host: host, Key: apiKey(tenantMain)}
			req.Answer = client.StreamOf(context.WithoutCancel(ctx), "resume", req.ID, []byte(req.Work), onlineTimeout)
			record(&s.History, &s.HarmfulRequests, req)
		})
	}
}

// harmfulHandler is a server's handler: harmful work ends the server.
func (s *soak) harmfulHandler(srv *server) http.Handler {
	return srv.Harmed(standin.Harm{
		Harmful: func(_ string, body []byte) bool { return strings.HasPrefix(string(body), harmPrefix) },
		Fuse:    crashDelay,
		End: func(id string, run standin.HarmfulRun) {
			if !srv.crash(id) {
				return
			}
			record(&s.History, &s.HarmfulCrashes, HarmfulCrash{
				ID: run.ID, Work: string(run.Body), Server: srv.name, Reached: run.Sent, At: time.Now(),
			})
			go srv.recover()
		},
	})
}

// crash ends the server's process. It reports whether it ran, in the life that had an id.
func (srv *server) crash(id string) bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.lost || srv.crashed || srv.key != id {
		return false
	}
	srv.crashed = true
	srv.updateOutageLocked()
	srv.proxy.refuse()
	return true
}

// recover has the row of a server that crashed lapse, and then the server be there again,
// unless its zone was lost meanwhile.
func (srv *server) recover() {
	previous := srv.current()
	time.Sleep(rowTTL)
	srv.removeRow(previous)
	time.Sleep(crashRestartDelay)
	if err := srv.proxy.acceptAgain(); err != nil {
		// Its address is taken: it stays away, as a machine that is not repaired.
		return
	}
	srv.mu.Lock()
	srv.crashed = false
	if !srv.lost {
		srv.startIncarnationLocked(fmt.Sprintf("%s-%d", srv.name, srv.starts+1), time.Now(), 0)
	}
	srv.mu.Unlock()
	srv.writeRow()
}

// checkHarm: work that ended servers reaches few others once all nodes must know of it, and no
// other work is taken for such.
func (c *checker) checkHarm() {
	nodeOf := map[string]string{}
	for _, req := range c.HarmfulRequests {
		nodeOf[req.ID] = req.Node
	}
	crashes := map[string][]HarmfulCrash{}
	for _, crash := range c.HarmfulCrashes {
		crashes[crash.Work] = append(crashes[crash.Work], crash)
	}
	for work, workCrashes := range crashes {
		sort.Slice(workCrashes, func(i, j int) bool { return workCrashes[i].At.Before(workCrashes[j].At) })
		if len(workCrashes) <= harmThreshold {
			continue
		}
		knownAt := workCrashes[harmThreshold-1].At.Add(contactBound)
		var late []HarmfulCrash
		for _, crash := range workCrashes[harmThreshold:] {
			run := ServerRun{Server: crash.Server, Run: standin.Run{ID: crash.ID, At: crash.Reached}}
			if crash.Reached.After(knownAt) && c.fromConnectedNode(nodeOf, run) {
				late = append(late, crash)
			}
		}
		if len(late) > maxHarmRetries {
			last := late[len(late)-1]
			c.addViolation(HarmBounded, "%s ended %d servers, %d of them later than %v after the third, the last by %s from %s",
				work, len(workCrashes), len(late), contactBound, last.ID, nodeOf[last.ID])
		}
	}
	for _, req := range c.Requests {
		if req.Answer.Reason == quarantinedReason {
			c.addViolation(HarmlessServed, "request %s at %s was refused as harmful", req.ID, req.Node)
		}
	}
}
