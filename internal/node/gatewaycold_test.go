package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// TestGateway_ColdReplicaServesAllNodesWithinItsRate checks that with a single, cold replica every
// node serves requests, also those that are not senders of it, and that all nodes together keep its
// rate limit.
func TestGateway_ColdReplicaServesAllNodesWithinItsRate(t *testing.T) {
	const rate, requests = 8.0, 3
	site := newGatewaySite(t, 0)
	cold := &standin.Server{ID: "i-cold", Events: siteEvents, EventTime: 2 * time.Millisecond}
	httpServer := httptest.NewServer(cold)
	t.Cleanup(httpServer.Close)
	site.servers = append(site.servers, cold)
	config := standin.NewConfig(2, siteHost, 1000, "resume").(map[string]any)
	config["services"] = []map[string]any{{"name": "llm", "coldPerS": rate, "coldStartS": 30}}
	listing := standin.ServerRow(httpServer.Listener.Addr().String(), "z", 8, false).(map[string]any)
	listing["coldLeftMs"] = 30000
	site.store.Put("op", "config", config)
	site.store.Put("servers", cold.ID, listing)
	var gateways []*Gateway
	for _, id := range []string{"n1", "n2", "n3"} {
		gateways = append(gateways, site.start(id))
	}
	site.eventually("nodes know each other and that the replica is cold", func() bool {
		for _, gateway := range gateways {
			if gateway.quota.Fleet.Count() != len(gateways) || gateway.replicas.CountCold(time.Now()) != 1 {
				return false
			}
		}
		return true
	})
	var group sync.WaitGroup
	for number, gateway := range gateways {
		for i := range requests {
			group.Go(func() {
				id := fmt.Sprintf("q%d-%d", number, i)
				if status, _, _ := site.call(gateway, http.MethodPost, "/resume/x", id, nil); status != http.StatusOK {
					t.Errorf("request %s: status %d", id, status)
				}
			})
		}
	}
	group.Wait()
	assertRate(t, cold.Runs(), rate)
}

// assertRate checks that no more than limit runs start within any second.
func assertRate(t *testing.T, runs []standin.Run, limit float64) {
	t.Helper()
	first := 0
	for last := range runs {
		for runs[last].At.Sub(runs[first].At) >= time.Second {
			first++
		}
		if got := last - first + 1; float64(got) > limit {
			t.Fatalf("%d requests in a second, at most %v allowed", got, limit)
		}
	}
}
