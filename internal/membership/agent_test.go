package membership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/peer"
)

// Two pairs of nodes that each know only each other find the other pair by
// their seeds. Found by the hollow fleet of 320, where two nodes that started
// at the same time stayed an island.
func TestAgent_IslandsMerge(t *testing.T) {
	var mu sync.Mutex
	var addresses []string
	seeds := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), addresses...)
	}
	var agents []*Agent
	for i := range 4 {
		transport, err := peer.Listen(peer.Options{Address: "127.0.0.1:0"})
		if err != nil {
			t.Fatal(err)
		}
		agents = append(agents, NewAgent(AgentOptions{
			Config: DefaultConfig(), Transport: transport, Seeds: seeds, Seed: uint64(i),
			Self: Member{ID: fmt.Sprintf("n%d", i), Zone: "z", Address: transport.Address()},
		}))
		transport.Serve()
		t.Cleanup(func() { _ = transport.Close() })
	}
	for i, agent := range agents {
		agent.state.Merge(time.Now(), []Member{agents[i^1].Self()})
	}
	mu.Lock()
	for _, agent := range agents {
		addresses = append(addresses, agent.Self().Address)
	}
	mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, agent := range agents {
		running.Add(1)
		go func() {
			defer running.Done()
			agent.Run(ctx)
		}()
	}
	defer running.Wait()
	defer cancel()
	const limit = 30 * time.Second
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		merged := true
		for _, agent := range agents {
			merged = merged && len(agent.Members()) == len(agents)
		}
		if merged {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the islands do not find each other")
		}
	}
}
