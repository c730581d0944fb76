package node

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/api/client"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/quarantine"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	// crashesUntilKnown is the number of crashes under one part of prompts after which nodes have to
	// know it, and maxLateRequests the number of requests with it that may reach servers later than
	// crashPropagationTime after that.
	crashesUntilKnown = 5
	maxLateRequests   = 3
	// partSiteServers is the number of servers of a partSite, partInterval the time between two
	// requests to one of its nodes, and harmfulEvery makes each so many-th of them harmful.
	partSiteServers = 16
	partInterval    = 10 * time.Millisecond
	harmfulEvery    = 4
)

// partSite is a site whose servers crash under prompts that hold a harmful part. All prompts have the
// same first part, and each a last part and a body of its own.
type partSite struct {
	*gatewaySite
	processes []*standin.Process
	harmful   []string
	requests  atomic.Int64
	// sound counts the sound requests by when they were sent.
	mu    sync.Mutex
	sound []soundRequest
}

// soundRequest is a request that crashes no server.
type soundRequest struct {
	sent   time.Time
	served bool
}

func newPartSite(t *testing.T, eventsBeforeCrash int, harmful ...string) *partSite {
	t.Helper()
	site := &partSite{gatewaySite: newGatewaySite(t, 0), harmful: harmful}
	for i := range partSiteServers {
		process := &standin.Process{
			Name: fmt.Sprintf("i-%d", i), Store: site.store, Zone: "z", Slots: 12, Events: siteEvents,
			EventTime: 2 * time.Millisecond, CrashDelay: 10 * time.Millisecond, EventsBeforeCrash: eventsBeforeCrash,
			IsHarmfulPart: func(part string) bool { return slices.Contains(harmful, part) },
			RemovalDelay:  200 * time.Millisecond, Downtime: 600 * time.Millisecond,
		}
		startProcess(t, process)
		site.processes = append(site.processes, process)
	}
	return site
}

// startGateways starts gateways with the given ids and waits until they know all servers and each other.
func (s *partSite) startGateways(ids ...string) []*Gateway {
	s.t.Helper()
	var gateways []*Gateway
	for _, id := range ids {
		gateways = append(gateways, s.launch(id, nil))
	}
	s.eventually("gateways know the servers and each other", func() bool {
		return !slices.ContainsFunc(gateways, func(g *Gateway) bool {
			return !g.Ready() || len(g.replicas.Snapshot("llm", 0, time.Now())) == 0 || g.roster.Count() != len(ids) || len(g.owners.Live()) != len(ids)
		})
	})
	return gateways
}

// send sends a request whose prompt has the given middle part, and reports whether it was answered whole.
func (s *partSite) send(gateway *Gateway, middle string) bool {
	number := s.requests.Add(1)
	header := http.Header{"Prompt-Prefix": {fmt.Sprintf("aa:40,%s:30,%x:20", middle, 1<<32+number)}, "Token-Usage": {"90,20"}}
	status, text, _ := s.callWith(gateway, http.MethodPost, "/resume/part", fmt.Sprintf("p%d", number), fmt.Appendf(nil, "body %d", number), header)
	return status == http.StatusOK && text == eventsUpTo(siteEvents)
}

// eventsUpTo returns the text of the first events of a stream of the site's servers.
func eventsUpTo(last int) string {
	var text strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", id, standin.EventData(id))
	}
	return text.String()
}

// sendSound sends a sound request with one of nine middle parts and records whether it was answered.
func (s *partSite) sendSound(gateway *Gateway, number int) {
	sent := time.Now()
	served := s.send(gateway, fmt.Sprintf("b%d", number%9))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sound = append(s.sound, soundRequest{sent: sent, served: served})
}

// run sends requests to all gateways for a time, every harmfulEvery-th of them harmful.
func (s *partSite) run(gateways []*Gateway, duration time.Duration) {
	var requests sync.WaitGroup
	ticker := time.NewTicker(partInterval)
	defer ticker.Stop()
	number := 0
	for end := time.Now().Add(duration); time.Now().Before(end); <-ticker.C {
		number++
		gateway, count := gateways[number%len(gateways)], number
		requests.Go(func() {
			if count%harmfulEvery == 0 && len(s.harmful) > 0 {
				s.send(gateway, s.harmful[count/harmfulEvery%len(s.harmful)])
				return
			}
			s.sendSound(gateway, count)
		})
	}
	requests.Wait()
}

// crashes returns the crashes that requests caused, oldest first.
func (s *partSite) crashes() []standin.Crash {
	var crashes []standin.Crash
	for _, process := range s.processes {
		crashes = append(crashes, process.Crashes()...)
	}
	slices.SortFunc(crashes, func(a, b standin.Crash) int { return a.At.Compare(b.At) })
	return crashes
}

// checkContained fails if more than maxLateRequests requests for each harmful part crashed servers after
// all nodes had to know it.
func (s *partSite) checkContained() {
	s.t.Helper()
	crashes, allowed := s.crashes(), crashesUntilKnown*len(s.harmful)
	s.t.Logf("%d servers crashed", len(crashes))
	if len(crashes) < crashesUntilKnown {
		s.t.Fatalf("only %d servers crashed", len(crashes))
	}
	if len(crashes) < allowed {
		return
	}
	known := crashes[allowed-1].At.Add(crashPropagationTime)
	late := 0
	for _, crash := range crashes {
		if crash.Received.After(known) {
			late++
		}
	}
	if late > maxLateRequests*len(s.harmful) {
		s.t.Errorf("%d servers crashed, %d of them under requests that reached them later than %v after crash %d, want at most %d",
			len(crashes), late, crashPropagationTime, allowed, maxLateRequests*len(s.harmful))
	}
}

// checkSoundServed fails if sound requests sent after a time were answered less than half as often as the
// given share.
func (s *partSite) checkSoundServed(after time.Time, normal float64) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	served, sent := 0, 0
	for _, request := range s.sound {
		if request.sent.Before(after) {
			continue
		}
		sent++
		if request.served {
			served++
		}
	}
	s.t.Logf("%d of %d sound requests with the same first part were served", served, sent)
	if sent < 20 || float64(served) < normal/2*float64(sent) {
		s.t.Errorf("%d of %d sound requests with the same first part were served", served, sent)
	}
}

// Guards against quarantine by whole contents alone (issue BUDGET, prompt parts): requests of which no two are
// alike crash all servers one after the other if their prompts share a part that does, and sound
// requests with the same other parts fail beside them.
func TestGateway_PartThatCrashesReplicasIsContained(t *testing.T) {
	const duration = 6 * time.Second
	play := func(t *testing.T, site *partSite, gateways []*Gateway) {
		t.Helper()
		begun := time.Now()
		site.run(gateways, duration)
		site.checkContained()
		site.checkSoundServed(begun.Add(2*crashPropagationTime), 1)
	}
	t.Run("one part", func(t *testing.T) {
		site := newPartSite(t, 0, "bad")
		play(t, site, site.startGateways("a", "b", "c"))
	})
	t.Run("two parts by turns", func(t *testing.T) {
		site := newPartSite(t, 0, "bad", "bed")
		play(t, site, site.startGateways("a", "b", "c"))
	})
	t.Run("store outage", func(t *testing.T) {
		site := newPartSite(t, 0, "bad")
		gateways := site.startGateways("a", "b", "c")
		site.store.SetFault(func(string) standin.Fault { return standin.Unavailable })
		play(t, site, gateways)
	})
	t.Run("no datagrams between nodes", func(t *testing.T) {
		site := newPartSite(t, 0, "bad")
		site.withoutPeers = true
		play(t, site, site.startGateways("a", "b", "c"))
	})
	t.Run("crash after an event", func(t *testing.T) {
		site := newPartSite(t, 1, "bad")
		play(t, site, site.startGateways("a", "b", "c"))
	})
	t.Run("restart of all nodes", func(t *testing.T) {
		site := newPartSite(t, 0, "bad")
		gateways := site.startGateways("a", "b", "c")
		site.run(gateways, 2*time.Second)
		for _, gateway := range gateways {
			gateway.Kill()
		}
		site.run(site.startGateways("a2", "b2", "c2"), duration)
		site.checkContained()
	})
	t.Run("one request at a time", func(t *testing.T) {
		site := newPartSite(t, 0, "bad")
		gateways := site.startGateways("a", "b", "c")
		for number := range 60 {
			site.send(gateways[number%len(gateways)], "bad")
			site.sendSound(gateways[number%len(gateways)], number)
		}
		site.checkContained()
		if crashed := len(site.crashes()); crashed > crashesUntilKnown+maxLateRequests {
			t.Errorf("%d servers crashed under 60 requests", crashed)
		}
	})
}

// Guards against parts that are refused because replicas end by themselves: no part is harmful, and every
// request of the fleet holds the same first one.
func TestGateway_ReplicasThatCrashByThemselvesRefuseNoPart(t *testing.T) {
	site := newPartSite(t, 0)
	gateways := site.startGateways("a", "b", "c")
	stopped := make(chan struct{})
	var killer sync.WaitGroup
	killer.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-stopped:
				return
			case <-time.After(80 * time.Millisecond):
				site.processes[number%len(site.processes)].Kill()
			}
		}
	})
	site.run(gateways, 4*time.Second)
	close(stopped)
	killer.Wait()
	for _, gateway := range gateways {
		for _, suspect := range gateway.Suspects().Items {
			if suspect.Quarantined {
				t.Errorf("%s quarantined %+v", gateway.settings.Node.ID, suspect)
			}
		}
	}
	site.eventually("servers are back", func() bool { return site.send(gateways[0], "b1") })
	before := len(site.sound)
	site.run(gateways, time.Second)
	site.sound = site.sound[before:]
	site.checkSoundServed(time.Time{}, 1)
}

// Guards against answers that are taken for complete because they came with neither a length nor chunks and
// ended between two events, though they ended as their replica crashed: callers would get a part of
// the text as if it were all, and work that crashes replicas would be cleared by it.
func TestGateway_StreamThatEndsWithItsReplicaIsNotComplete(t *testing.T) {
	site := newCrashSite(t, 8)
	for _, process := range site.processes {
		process.EventsBeforeCrash = 2
	}
	gateways := []*Gateway{site.startGateway("a"), site.startGateway("b"), site.startGateway("c")}
	complete := 0
	for number := range 30 {
		status, text, _ := site.call(gateways[number%len(gateways)], http.MethodPost, "/resume/work", fmt.Sprintf("e%d", number), crashingBody)
		if status == http.StatusOK && text == eventsUpTo(2) {
			complete++
		}
	}
	if complete > 0 {
		t.Errorf("%d of 30 callers got the beginning of a stream as if it were complete", complete)
	}
	if crashed := site.crashes(time.Time{}); crashed < 3 {
		t.Fatalf("the work crashed %d servers", crashed)
	}
	site.checkContained(gateways)
}

// Guards against whole streams with neither a length nor chunks that are taken for broken ones.
func TestGateway_UnframedStreamsAreWhole(t *testing.T) {
	site := newGatewaySite(t, 3)
	for _, server := range site.servers {
		server.Unframed = true
	}
	gateway := site.start("a")
	for number := range 30 {
		status, text, _ := site.call(gateway, http.MethodPost, "/resume/work", fmt.Sprintf("u%d", number), []byte("harmless"))
		if status != http.StatusOK || text != eventsUpTo(siteEvents) {
			t.Fatalf("stream %d: %d, %q", number, status, text)
		}
	}
}

// Guards against a node that serves fewer of its requests while most new connections of the fleet go to it and
// callers open more of them (RECOVER): its own share of the slots is a fifth of all.
func TestGateway_ServesMostNewConnections(t *testing.T) {
	site := newPartSite(t, 0)
	gateways := site.startGateways("a", "b", "c", "d", "e")
	const rate = 4 * time.Millisecond
	// serve sends requests over new connections at an interval, nine of ten to the first gateway if it is
	// crowded, and returns the share that is answered.
	serve := func(interval time.Duration, crowded bool) float64 {
		site.sound = nil
		var requests sync.WaitGroup
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for number := range 500 {
			<-ticker.C
			gateway := gateways[number%len(gateways)]
			if crowded && number%10 != 0 {
				gateway = gateways[0]
			}
			requests.Go(func() { site.sendSound(gateway, number) })
		}
		requests.Wait()
		served := 0
		for _, request := range site.sound {
			if request.served {
				served++
			}
		}
		return float64(served) / float64(len(site.sound))
	}
	before := serve(rate, false)
	if during := serve(rate*10/14, true); before < 0.9 || during < 0.75*before {
		t.Errorf("a share of %.2f was served while most connections went to one node, %.2f before", during, before)
	}
}

// TestGateway_QuarantinedPartIsShownAndReleased follows the steps of an operator who sees refusals of requests of
// which no two are alike, finds the part of their prompts and releases it at all nodes.
func TestGateway_QuarantinedPartIsShownAndReleased(t *testing.T) {
	site := newPartSite(t, 0, "bad")
	gateways := site.startGateways("a", "b")
	for _, gateway := range gateways {
		gateway.settings.Operator.KeySHA256 = v1.HashKey("operator")
	}
	for number := range 20 {
		site.send(gateways[number%len(gateways)], "bad")
	}
	part := quarantine.PartOf("llm", 0xbad).String()
	operator := client.New("http://"+gateways[0].settings.Gateway.Metrics, "operator")
	list, err := operator.Suspects(t.Context())
	if err != nil || !slices.ContainsFunc(list.Items, func(s v1.Suspect) bool { return s.Work == part && s.Part && s.Quarantined }) {
		t.Fatalf("suspects %+v, %v", list, err)
	}
	header := http.Header{"Prompt-Prefix": {"aa:40,bad:30,1:20"}}
	status, _, answer := site.callWith(gateways[1], http.MethodPost, "/resume/part", "refused", []byte("refused"), header)
	if status != http.StatusServiceUnavailable || answer.Get("X-Wheelhoist-Reason") != "quarantined" || answer.Get("Retry-After") == "" {
		t.Fatalf("refused with %d, %v", status, answer)
	}
	if _, err := operator.Release(t.Context(), part); err != nil {
		t.Fatal(err)
	}
	site.eventually("both run it again", func() bool {
		return !gateways[0].quarantine.guard.Parts.AnyQuarantined() && !gateways[1].quarantine.guard.Parts.AnyQuarantined()
	})
	before := len(site.crashes())
	site.send(gateways[1], "bad")
	if len(site.crashes()) == before {
		t.Error("a released part does not run")
	}
}

// Guards against a node that starts while the store does not answer and sends requests with a part that the others
// have quarantined (soak seeds 30003 and 30006): it has not read the crashes, and the others did not tell it.
func TestGateway_NodeStartedInOutageLearnsOfQuarantinedPart(t *testing.T) {
	site := newPartSite(t, 0, "bad")
	gateways := site.startGateways("a", "b", "c")
	site.run(gateways, 2*time.Second)
	started := site.restartInOutage(gateways[2], gateways[2].settings)
	site.eventually("the started node is ready", started.Ready)
	before := len(site.crashes())
	for range 20 {
		site.send(started, "bad")
		time.Sleep(50 * time.Millisecond)
	}
	// The node learns from the answers to its first report; a request makes two attempts at most.
	if crashed := len(site.crashes()) - before; crashed > maxLateRequests {
		t.Errorf("%d servers crashed under 20 requests at a node that had just started", crashed)
	}
}
