package node

import (
	"slices"
	"testing"
	"time"
)

// TestGateway_PauseOfASoundServerIsNoFault guards against requests that are sent twice, cut or answered with
// an error because their server sends nothing for 1.5 s before its answer begins, and again within it.
func TestGateway_PauseOfASoundServerIsNoFault(t *testing.T) {
	const pause = 1500 * time.Millisecond
	site := newGatewaySite(t, 0)
	server, address := newGatedServer(t)
	site.listServer("i-gated", address, "ready")
	config := changeableConfig(2)
	setInRoutes(config, "sloMs", 200)
	setInRoutes(config, "gapTargetMs", 250)
	site.store.Put("op", "config", config)
	gateway := site.launch("a", nil)
	site.eventually("gateway ready", func() bool {
		return gateway.Ready() && gateway.routes.Load().Version == 2 && len(gateway.replicas.Snapshot("llm", 0, time.Now())) == 1
	})
	requests := slices.DeleteFunc(rawRequests(), func(r *rawRequest) bool { return r.after != "" || r.pipelined > 1 })
	for _, request := range requests {
		request.send(t, gateway.settings.Node.Listen)
	}
	site.eventually("requests in flight", func() bool { return server.received.Load() == int64(len(requests)) })
	time.Sleep(pause)
	close(server.begin)
	site.eventually("answers begun", func() bool { return server.begun.Load() == int64(len(requests)) })
	time.Sleep(pause)
	close(server.finish)
	for _, request := range requests {
		if err := request.answers(); err != nil {
			t.Errorf("%s: %v", request.name, err)
		}
	}
	if received := server.received.Load(); received != int64(len(requests)) {
		t.Errorf("the server received %d requests, want %d", received, len(requests))
	}
	if _, ejected := gateway.replicas.Count(time.Now()); ejected > 0 {
		t.Error("the server is ejected")
	}
}
