package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/quarantine"
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

// crashAt makes a gateway see a replica crash under a work.
func crashAt(gateway *Gateway, name string, work quarantine.Work) {
	now := time.Now()
	report := quarantine.CrashReport{Replica: name, Runs: []quarantine.Run{{Work: work, SentAt: now.Add(-time.Second)}}, At: now}
	gateway.quarantine.guard.RecordCrash(report)
	gateway.ReplicaCrashed(report)
}

// knowsCrash reports whether a gateway knows that a replica crashed under a work.
func knowsCrash(gateway *Gateway, name string, work quarantine.Work) bool {
	return slices.Contains(gateway.quarantine.Check(work, time.Now()).Replicas, name)
}

// Guards against a node that starts beside a silent store hearing nothing of crashes after its first question, and
// nobody hearing of those that it sees: the members of the fleet, of whom its settings name one, and another node
// that starts.
func TestGateway_CrashesAreExchangedWithStartingNodes(t *testing.T) {
	site := newGatewaySite(t, 2)
	a, b := site.start("a"), site.start("b")
	site.eventually("nodes know each other", func() bool { return a.roster.Count() == 2 && b.roster.Count() == 2 })
	site.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
	site.seeds, site.bootstrapAfter = []string{a.peers.Address()}, time.Hour
	c, d := site.launch("c", nil), site.launch("d", nil)
	all := []*Gateway{a, b, c, d}
	for number, source := range all {
		work := quarantine.Work{byte(number + 1)}
		// Reports may be lost, and nodes may not know each other at first.
		attempt := 0
		site.eventually("all nodes know a crash that "+source.settings.Node.ID+" saw", func() bool {
			if attempt++; attempt%20 == 1 {
				crashAt(source, "r-"+source.settings.Node.ID, work)
			}
			return !slices.ContainsFunc(all, func(g *Gateway) bool { return !knowsCrash(g, "r-"+source.settings.Node.ID, work) })
		})
	}
	if c.populated() || d.populated() {
		t.Error("a node that started has read the store")
	}
}

// trialTimeout is how long a request waits for a trial in these tests.
const trialTimeout = 500 * time.Millisecond

// reportPartCrashes reports to all gateways as many crashes of replicas under a part of prompts as quarantine it.
func reportPartCrashes(gateways []*Gateway, part quarantine.Work) {
	for i := range crashesUntilKnown {
		sentAt := time.Now()
		time.Sleep(20 * time.Millisecond)
		report := quarantine.CrashReport{
			Replica: fmt.Sprintf("gone-%d", i), Parts: []quarantine.Run{{Work: part, SentAt: sentAt}}, At: time.Now(),
		}
		for _, gateway := range gateways {
			gateway.quarantine.guard.RecordCrash(report)
		}
	}
}

// getsTrial reports whether a request with a quarantined part gets a trial at a gateway.
func getsTrial(t *testing.T, gateway *Gateway, part quarantine.Work) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), trialTimeout)
	defer cancel()
	trial, err := gateway.quarantine.guard.RefuseParts(ctx, func() []quarantine.Work { return []quarantine.Work{part} }, func() quarantine.Work { return quarantine.Work{0xff} })
	if trial == nil && err == nil {
		t.Errorf("%s does not refuse the part", gateway.settings.Node.ID)
	}
	return trial != nil
}

// Guards against nodes that start together beside a silent store, each of which takes itself for the only node and
// grants itself the same trial.
func TestGateway_NodesThatStartTogetherGrantOneTrial(t *testing.T) {
	site := newGatewaySite(t, 2)
	site.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
	var gateways []*Gateway
	for _, id := range []string{"a", "b", "c"} {
		gateway := site.launch(id, nil)
		site.seeds = append(site.seeds, gateway.peers.Address())
		gateways = append(gateways, gateway)
	}
	part := quarantine.PartOf("llm", 0xbad)
	reportPartCrashes(gateways, part)
	time.Sleep(time.Second)
	var granted atomic.Int64
	var requests sync.WaitGroup
	for _, gateway := range gateways {
		requests.Go(func() {
			if getsTrial(t, gateway, part) {
				granted.Add(1)
			}
		})
	}
	requests.Wait()
	if granted.Load() != 1 {
		t.Errorf("%d trials of one part at the same time", granted.Load())
	}
}

// Guards against a node that knows no other one granting trials at once while the store is silent, and against it
// granting none as soon as the table shows that it is alone.
func TestGateway_NodeWithoutMembersWaitsWithTrials(t *testing.T) {
	site := newGatewaySite(t, 2)
	site.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
	gateway := site.launch("a", nil)
	part := quarantine.PartOf("llm", 0xbad)
	reportPartCrashes([]*Gateway{gateway}, part)
	if getsTrial(t, gateway, part) {
		t.Fatal("a node that knows no other one granted itself a trial")
	}
	site.store.SetFault(nil)
	site.eventually("the node grants itself the trial once it has read that it is alone", func() bool {
		return getsTrial(t, gateway, part)
	})
}

// Guards against a node that is alone beside a store that never answers, and grants no trial ever.
func TestGateway_LonelyNodeGrantsTrialsAfterATime(t *testing.T) {
	site := newGatewaySite(t, 2)
	site.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
	gateway := site.launch("a", nil)
	gateway.startedAt = time.Now().Add(-maxLonelyTime)
	part := quarantine.PartOf("llm", 0xbad)
	reportPartCrashes([]*Gateway{gateway}, part)
	if !getsTrial(t, gateway, part) {
		t.Errorf("no trial %v after the start", maxLonelyTime)
	}
}

// Guards against a node that starts beside a silent store and is not told of crashes that another one, which has not
// read the store either, saw before.
func TestGateway_StartingNodesTellWhatTheySaw(t *testing.T) {
	site := newGatewaySite(t, 2)
	site.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
	first := site.launch("a", nil)
	work := quarantine.Work{1}
	crashAt(first, "r", work)
	time.Sleep(500 * time.Millisecond)
	site.seeds = []string{first.peers.Address()}
	second := site.launch("b", nil)
	site.eventually("the second node knows the crash", func() bool { return knowsCrash(second, "r", work) })
}
