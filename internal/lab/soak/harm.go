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
	// harmFirst is when the first such work is sent, harmEvery the time between two new pieces
	// of it, harmFor how long each is
	// sent on, at all nodes: well beyond the time until all nodes must know of it.
	harmFirst = time.Second
	harmEvery = 6 * time.Second
	harmFor   = 10 * time.Second
	harmPause = 120 * time.Millisecond
	// fuse is how long such work runs before its server ends.
	fuse = 20 * time.Millisecond
	// backAfter is how long a server that ended stays away once its row has lapsed.
	backAfter = 500 * time.Millisecond
	// harmFree is how many servers a piece of work may end before it counts, and harmRetries
	// how many it may reach after that from nodes in touch (BUDGET).
	harmFree    = 3
	harmRetries = 3
	// quarantined is the reason of refusals.
	quarantined = "quarantined"
)

// callHarm sends work that ends servers, one piece after the other, until the context ends.
func (s *soak) callHarm(ctx context.Context) {
	random := s.random(0, 6)
	var sending sync.WaitGroup
	defer sending.Wait()
	if !retry.Sleep(ctx, harmFirst) {
		return
	}
	for number := 0; ctx.Err() == nil; number++ {
		work, chance := fmt.Sprintf("%s%d", harmPrefix, number), rand.New(rand.NewPCG(random.Uint64(), 7))
		sending.Go(func() { s.sendHarm(ctx, work, chance) })
		retry.Sleep(ctx, harmEvery)
	}
}

// sendHarm sends one piece of work again and again, under new ids and at any node.
func (s *soak) sendHarm(ctx context.Context, work string, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, harmFor)
	defer cancel()
	var answers sync.WaitGroup
	defer answers.Wait()
	for number := 0; retry.Sleep(ctx, harmPause); number++ {
		node := s.gateways[random.IntN(len(s.gateways))]
		one := HarmSend{ID: fmt.Sprintf("%s-%d", work, number), Work: work, Node: node.id, Sent: time.Now()}
		answers.Go(func() {
			client := &standin.Client{Address: node.at(), Host: host, Key: keyOf(tenantMain)}
			one.Answer = client.StreamOf(context.WithoutCancel(ctx), "resume", one.ID, []byte(one.Work), onlineWait)
			record(&s.History, &s.HarmSends, one)
		})
	}
}

// harmable is a server's handler: harmful work ends the server.
func (s *soak) harmable(one *server) http.Handler {
	return one.WithHarmfulWork(standin.HarmfulWork{
		IsHarmful:  func(_ string, body []byte) bool { return strings.HasPrefix(string(body), harmPrefix) },
		CrashDelay: fuse,
		Crash: func(id string, run standin.HarmfulRun) {
			if !one.crash(id) {
				return
			}
			record(&s.History, &s.HarmEnds, HarmEnd{
				ID: run.ID, Work: string(run.Body), Server: one.name, Reached: run.Received, At: time.Now(),
			})
			go one.recover()
		},
	})
}

// crash ends the server's process. It reports whether it ran, in the life that had an id.
func (one *server) crash(id string) bool {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.lost || one.crashed || one.key != id {
		return false
	}
	one.crashed = true
	one.noteLocked()
	one.proxy.refuse()
	return true
}

// recover has the row of a server that crashed lapse, and then the server be there again,
// unless its zone was lost meanwhile.
func (one *server) recover() {
	gone := one.present()
	time.Sleep(lapse)
	one.unlist(gone)
	time.Sleep(backAfter)
	if err := one.proxy.accepts(); err != nil {
		// Its address is taken: it stays away, as a machine that is not repaired.
		return
	}
	one.mu.Lock()
	one.crashed = false
	if !one.lost {
		one.bear(fmt.Sprintf("%s-%d", one.name, one.starts+1), time.Now(), 0)
	}
	one.mu.Unlock()
	one.list()
}

// harm: work that ended servers reaches few others once all nodes must know of it, and no
// other work is taken for such.
func (c *check) harm() {
	nodeOf := map[string]string{}
	for _, one := range c.HarmSends {
		nodeOf[one.ID] = one.Node
	}
	ends := map[string][]HarmEnd{}
	for _, one := range c.HarmEnds {
		ends[one.Work] = append(ends[one.Work], one)
	}
	for work, all := range ends {
		sort.Slice(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
		if len(all) <= harmFree {
			continue
		}
		known := all[harmFree-1].At.Add(contactBound)
		var late []HarmEnd
		for _, one := range all[harmFree:] {
			run := ServerRun{Server: one.Server, Run: standin.Run{ID: one.ID, At: one.Reached}}
			if one.Reached.After(known) && c.inTouch(nodeOf, run) {
				late = append(late, one)
			}
		}
		if len(late) > harmRetries {
			last := late[len(late)-1]
			c.broken(HarmBounded, "%s ended %d servers, %d of them later than %v after the third, the last by %s from %s",
				work, len(all), len(late), contactBound, last.ID, nodeOf[last.ID])
		}
	}
	for _, one := range c.Requests {
		if one.Answer.Reason == quarantined {
			c.broken(HarmlessServed, "request %s at %s was refused as harmful", one.ID, one.Node)
		}
	}
}
