package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// harmPrefix is the prefix of request bodies that crash the servers which run them.
	harmPrefix = "harm-"
	// harmStart is when the first harmful work is sent and harmInterval the time between two pieces
	// of it. Each piece is sent repeatedly for harmDuration to all nodes, which is well beyond the
	// time in which all nodes have to learn of the crashes.
	harmStart    = time.Second
	harmInterval = 6 * time.Second
	harmDuration = 10 * time.Second
	harmPause    = 120 * time.Millisecond
	// crashDelay is how long harmful work runs before its server crashes.
	crashDelay = 20 * time.Millisecond
	// crashRestartDelay is the time between the expiry of the row of a crashed server and its
	// restart.
	crashRestartDelay = 500 * time.Millisecond
	// harmThreshold is the number of servers that a piece of work may crash before nodes have to
	// stop it, and maxHarmRetries the number of further servers that it may reach from connected
	// nodes (BUDGET).
	harmThreshold  = 3
	maxHarmRetries = 3
	// quarantinedReason is the reason in answers that refuse quarantined work.
	quarantinedReason = "quarantined"
)

// callHarmful sends one piece of harmful work after the other until the context ends.
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

// sendHarmful sends one piece of harmful work repeatedly to random nodes, each time under a new ID.
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

// harmfulHandler returns the handler of a server, which crashes under harmful work.
func (s *soak) harmfulHandler(srv *server) http.Handler {
	return srv.WithHarmfulWork(standin.HarmfulWork{
		IsHarmful:  func(_ string, body []byte) bool { return strings.HasPrefix(string(body), harmPrefix) },
		CrashDelay: crashDelay, IsHarmfulPart: isHarmfulPart,
		Crash: func(id string, run standin.HarmfulRun) {
			if !srv.crash(id) {
				return
			}
			work := string(run.Body)
			if part, ok := harmfulPartOf(work); ok {
				work = part
			}
			record(&s.History, &s.HarmfulCrashes, HarmfulCrash{
				ID: run.ID, Work: work, Server: srv.name, Reached: run.Received, At: time.Now(),
			})
			go srv.recover()
		},
	})
}

// crash stops the server as if its process had crashed. It returns false if the server was not
// running under the given ID.
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

// recover lets the row of a crashed server expire and restarts the server, unless its zone was lost
// in the meantime.
func (srv *server) recover() {
	previous := srv.current()
	time.Sleep(rowTTL)
	srv.removeRow(previous)
	time.Sleep(crashRestartDelay)
	if err := srv.proxy.acceptAgain(); err != nil {
		// The address is in use, so the server stays down.
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

// crashesByWork returns the crashes of each harmful work or part, oldest first.
func (c *checker) crashesByWork() map[string][]HarmfulCrash {
	crashes := map[string][]HarmfulCrash{}
	for _, crash := range c.HarmfulCrashes {
		crashes[crash.Work] = append(crashes[crash.Work], crash)
	}
	for _, workCrashes := range crashes {
		sort.Slice(workCrashes, func(i, j int) bool { return workCrashes[i].At.Before(workCrashes[j].At) })
	}
	return crashes
}

// checkHarm checks that harmful work, and harmful parts of prompts, reach few servers once all nodes have
// to know of them, and that no other work is quarantined.
func (c *checker) checkHarm() {
	nodeOf := map[string]string{}
	for _, req := range c.HarmfulRequests {
		nodeOf[req.ID] = req.Node
	}
	for work, crashes := range c.crashesByWork() {
		promise, threshold, excused := HarmBounded, harmThreshold, c.fromDisturbedNode
		if isHarmfulPart(work) {
			promise, threshold, excused = PartBounded, partThreshold, c.fromNodeOutOfTouch
		}
		if late := lateCrashes(crashes, threshold, func(crash HarmfulCrash) bool { return excused(nodeOf, crash) }); len(late) > maxHarmRetries {
			last := late[len(late)-1]
			c.addViolation(promise, "%s ended %d servers, %d of them later than %v after number %d, the last by %s from %s",
				work, len(crashes), len(late), contactBound, threshold, last.ID, nodeOf[last.ID])
		}
	}
	for _, req := range c.Requests {
		if req.Answer.Reason == quarantinedReason {
			c.addViolation(HarmlessServed, "request %s at %s was refused as harmful", req.ID, req.Node)
		}
	}
}

// lateCrashes returns the crashes under requests that reached servers later than contactBound after a number
// of crashes, without those that are excused.
func lateCrashes(crashes []HarmfulCrash, threshold int, excused func(HarmfulCrash) bool) []HarmfulCrash {
	if len(crashes) <= threshold {
		return nil
	}
	knownAt := crashes[threshold-1].At.Add(contactBound)
	return slices.DeleteFunc(slices.Clone(crashes[threshold:]), func(crash HarmfulCrash) bool {
		return !crash.Reached.After(knownAt) || excused(crash)
	})
}

// fromDisturbedNode reports whether the node that sent a harmful request, or the server, was disturbed.
func (c *checker) fromDisturbedNode(nodeOf map[string]string, crash HarmfulCrash) bool {
	return !c.fromConnectedNode(nodeOf, ServerRun{Server: crash.Server, Run: standin.Run{ID: crash.ID, At: crash.Reached}})
}

// fromNodeOutOfTouch reports whether the node that sent a harmful request was out of touch with the others.
// Nodes tell each other of crashes while the store is disturbed.
func (c *checker) fromNodeOutOfTouch(nodeOf map[string]string, crash HarmfulCrash) bool {
	return c.outOfTouch(nodeOf[crash.ID], crash.Reached.Add(-contactBound), crash.Reached)
}

// outOfTouch reports whether a node was disturbed between two times, other than by a fault of the store that
// affects all nodes.
func (c *checker) outOfTouch(node string, from, to time.Time) bool {
	return slices.ContainsFunc(c.Disturbances, func(d Disturbance) bool {
		applies := d.Name == node || d.Name == AllNodes && !d.Store
		return applies && d.From.Before(to) && d.To.After(from)
	})
}
