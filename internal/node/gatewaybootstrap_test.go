package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// TestGateway_StartsWithStateOfAnotherNodeDuringStoreOutage kills a gateway and restarts it while
// the store is unavailable. It must serve with the state of another node, and use the store again
// afterwards.
func TestGateway_StartsWithStateOfAnotherNodeDuringStoreOutage(t *testing.T) {
	site := newGatewaySite(t, 2)
	site.store.Put("op", "evacuate/far", map[string]any{})
	first, second := site.start("a"), site.start("b")
	site.eventually("nodes know each other", func() bool {
		return first.roster.Address("b") != "" && second.roster.Address("a") != ""
	})
	second.Kill()
	site.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
	restarted, err := StartGateway(context.Background(), second.settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(restarted.Kill)
	site.eventually("the gateway is ready without the store", restarted.Ready)
	if restarted.configWatch.Ready() || restarted.replicaWatch.Ready() || restarted.jobWatch.Ready() {
		t.Fatal("the store has responded")
	}
	if status, text, _ := site.call(restarted, http.MethodPost, "/resume/x", "q", nil); status != http.StatusOK {
		t.Fatalf("status %d, %s", status, text)
	}
	if !restarted.replicas.Evacuated()["far"] {
		t.Error("the evacuated zone is unknown")
	}
	if nodes := restarted.roster.Nodes(); len(nodes) != 2 {
		t.Errorf("slots are divided among %v", nodes)
	}
	site.store.Remove("op", "evacuate/far")
	site.store.Remove("servers", site.servers[0].ID)
	site.configure(2, "resume", "more")
	site.store.SetFault(nil)
	site.eventually("the gateway uses the store again", func() bool {
		status, _, _ := site.call(restarted, http.MethodPost, "/more/x", "q2", nil)
		return status == http.StatusOK && restarted.jobWatch.Ready() && !restarted.replicas.Evacuated()["far"] &&
			len(restarted.replicas.List(time.Now())) == 1
	})
}

// TestGateway_WithoutPeersWaitsForStore starts a single gateway while the store is unavailable.
func TestGateway_WithoutPeersWaitsForStore(t *testing.T) {
	site := newGatewaySite(t, 1)
	site.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
	gateway := site.launch("a", nil)
	for number := range 3 {
		status, _, header := site.call(gateway, http.MethodPost, "/resume/x", fmt.Sprint(number), nil)
		if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
			t.Fatalf("status %d, header %v", status, header)
		}
	}
	if gateway.Ready() {
		t.Error("a node without state is ready")
	}
	response, err := http.Get("http://" + gateway.peers.Address() + pathBootstrap)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a node without state responds with %d", response.StatusCode)
	}
	site.store.SetFault(nil)
	site.eventually("ready once the store answers", gateway.Ready)
}

// FuzzHeldTold decodes bootstrap states that a node may receive from another process.
func FuzzHeldTold(f *testing.F) {
	valid, err := cbor.Marshal(bootstrapState{Config: feedState{AgeMs: 5, Rows: []feedRow{{Partition: "op", Sort: "config", Version: 3, Body: []byte("{}")}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0xa1, 0x01, 0xf6})
	f.Fuzz(func(t *testing.T, body []byte) {
		state := &bootstrapState{}
		if cbor.Unmarshal(body, state) != nil {
			return
		}
		for _, feed := range []feedState{state.Config, state.Replicas, state.Members} {
			if len(feed.changes().Changes) != len(feed.Rows) || feed.age() < 0 {
				t.Errorf("%d rows, age %v", len(feed.Rows), feed.age())
			}
		}
	})
}
