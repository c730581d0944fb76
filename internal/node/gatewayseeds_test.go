package node

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// silentAddress returns an address at which connections are accepted and nothing is answered.
func silentAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// Guards against a node on a machine that no other node knows, which starts while the store does not answer and
// knows nobody to ask which parts of prompts crash replicas. Of the nodes that its settings name, one is gone, one
// does not answer, and one may be itself.
func TestGateway_StartedNodeAsksSeedsForCrashes(t *testing.T) {
	site := newPartSite(t, 0, "bad")
	gateways := site.startGateways("a", "b", "c")
	site.run(gateways, 2*time.Second)
	site.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
	site.seeds, site.bootstrapAfter = []string{freeAddress(t), silentAddress(t), gateways[0].peers.Address()}, time.Hour
	launched := time.Now()
	started := site.launch("d", nil)
	site.eventually("the started node knows a quarantined part", started.quarantine.guard.Parts.AnyQuarantined)
	if took := time.Since(launched); took > bootstrapTimeout {
		t.Errorf("the started node knew the part after %v, as if it had waited for a node that does not answer", took)
	}
	if started.populated() {
		t.Error("the node has the state of another node already")
	}
}

// Guards against a machine that no node knows waiting for the store although its settings name a node that could
// give it its state.
func TestGateway_StartsWithStateOfASeedDuringStoreOutage(t *testing.T) {
	site := newGatewaySite(t, 2)
	first := site.start("a")
	site.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
	site.seeds = []string{freeAddress(t), first.peers.Address()}
	started := site.launch("new", nil)
	site.eventually("the gateway is ready without the store", started.Ready)
	if status, text, _ := site.call(started, http.MethodPost, "/resume/x", "q", nil); status != http.StatusOK {
		t.Errorf("status %d, %s", status, text)
	}
}
