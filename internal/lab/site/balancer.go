package site

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// probeInterval is the time between two probes of the readiness of the nodes.
const probeInterval = 200 * time.Millisecond

// balancer emulates a load balancer between the callers and the nodes: it probes the nodes and keeps
// the list of those that are ready.
type balancer struct {
	client *http.Client

	mu    sync.Mutex
	ready []string
}

func newBalancer() *balancer {
	return &balancer{client: &http.Client{Timeout: 4 * probeInterval}}
}

// run probes the nodes of site until the context ends.
func (b *balancer) run(ctx context.Context, site *Site) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		b.probe(ctx, site)
		select {
		case <-ctx.Done():
			b.client.CloseIdleConnections()
			return
		case <-ticker.C:
		}
	}
}

// probe probes all nodes in parallel and updates the list of ready nodes.
func (b *balancer) probe(ctx context.Context, site *Site) {
	nodes := site.Nodes()
	results := make([]bool, len(nodes))
	var group sync.WaitGroup
	for i, node := range nodes {
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = probeReady(ctx, b.client, node.URL())
		}()
	}
	group.Wait()
	var ready []string
	for i, node := range nodes {
		if results[i] {
			ready = append(ready, node.URL())
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// probeReady reports whether the readiness endpoint of the node at url returns 200.
func probeReady(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ReadyURLs returns the base URLs of the nodes that were ready at the last probe.
func (s *Site) ReadyURLs() []string {
	s.balancer.mu.Lock()
	defer s.balancer.mu.Unlock()
	return append([]string(nil), s.balancer.ready...)
}
