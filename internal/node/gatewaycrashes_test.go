package node

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/settings"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// checkRefused checks that a part which other nodes have quarantined crashes no server at a node that has
// just started.
func (s *partSite) checkRefused(started *Gateway, part string) {
	s.t.Helper()
	before := len(s.crashes())
	for range 20 {
		s.send(started, part)
		time.Sleep(20 * time.Millisecond)
	}
	if crashed := len(s.crashes()) - before; crashed > 0 {
		s.t.Errorf("%d servers crashed under 20 requests at a node that had just started", crashed)
	}
}

// restartInOutage kills a node and starts it with the given settings while the store does not answer.
func (s *partSite) restartInOutage(node *Gateway, config *settings.Settings) *Gateway {
	s.t.Helper()
	s.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
	node.Kill()
	started, err := StartGateway(s.t.Context(), config, zerolog.Nop())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(started.Kill)
	return started
}

// Guards against a node that starts with the state of another one, as the store does not answer, and sends
// what that one refuses.
func TestGateway_StateOfAnotherNodeIncludesCrashes(t *testing.T) {
	site := newPartSite(t, 0, "bad")
	gateways := site.startGateways("a", "b", "c")
	site.run(gateways, 2*time.Second)
	started := site.restartInOutage(gateways[2], gateways[2].settings)
	site.eventually("the started node is ready", started.Ready)
	site.checkRefused(started, "bad")
}

// Guards against a node that starts with rows that lack the crashes, because the nodes that saw them could
// not write them.
func TestGateway_StartedNodeAsksForCrashesThatTheTableLacks(t *testing.T) {
	site := newPartSite(t, 0, "bad")
	gateways := site.startGateways("a", "b", "c")
	site.store.SetFault(func(path string) standin.Fault {
		if path == "/v1/rows-tx" {
			return standin.Unavailable
		}
		return standin.NoFault
	})
	site.run(gateways, 2*time.Second)
	started := site.launch("d", nil)
	site.eventually("the started node knows a quarantined part", started.quarantine.guard.Parts.AnyQuarantined)
	site.checkRefused(started, "bad")
}

// Guards against a node that has routes and replicas but neither the rows with crashes nor the state of
// another node, and sends meanwhile what others refuse.
func TestGateway_StartedNodeAsksForCrashesAtOnce(t *testing.T) {
	site := newPartSite(t, 0, "bad")
	gateways := site.startGateways("a", "b", "c")
	site.run(gateways, 2*time.Second)
	patient := *gateways[2].settings
	patient.Gateway.BootstrapAfter = v1.Duration(time.Hour)
	started := site.restartInOutage(gateways[2], &patient)
	site.eventually("the started node knows a quarantined part", started.quarantine.guard.Parts.AnyQuarantined)
	if started.populated() {
		t.Error("the node has the state of another node already")
	}
}

// Guards against a node that has just started and sends requests in the moment between its read of the
// routes and that of the crashes.
func TestGateway_RequestsOfAStartingNodeWaitForCrashes(t *testing.T) {
	site := newPartSite(t, 0, "bad")
	gateways := site.startGateways("a", "b", "c")
	site.run(gateways, 2*time.Second)
	node := gateways[2]
	for range 5 {
		node.Kill()
		started, err := StartGateway(t.Context(), node.settings, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(started.Kill)
		node = started
		before := len(site.crashes())
		for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); {
			site.send(started, "bad")
		}
		if crashed := len(site.crashes()) - before; crashed > 0 {
			t.Fatalf("%d servers crashed under requests at a node that was starting", crashed)
		}
	}
}

// Guards against a node that waits for the crashes of the past although nobody can tell it.
func TestGateway_StartingNodeServesWithoutCrashes(t *testing.T) {
	site := newPartSite(t, 0)
	site.withoutPeers = true
	gateway := site.startGateways("a")[0]
	gateway.crashesKnown = make(chan struct{})
	time.AfterFunc(maxCrashWait, func() { close(gateway.crashesKnown) })
	began := time.Now()
	if !site.send(gateway, "sound") || time.Since(began) < maxCrashWait {
		t.Errorf("served after %v, or not at all", time.Since(began))
	}
}
