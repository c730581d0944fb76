package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// zonedSite is a site with one server in each zone.
type zonedSite struct {
	*gatewaySite
	zones map[string]*standin.Server
}

func newZonedSite(t *testing.T, zones ...string) *zonedSite {
	t.Helper()
	site := &zonedSite{gatewaySite: newGatewaySite(t, 0), zones: map[string]*standin.Server{}}
	for i, zone := range zones {
		one := &standin.Server{ID: fmt.Sprintf("i-%d", i), Events: siteEvents, EventTime: 2 * time.Millisecond}
		listening := httptest.NewServer(one)
		t.Cleanup(listening.Close)
		site.servers = append(site.servers, one)
		if site.zones[zone] == nil {
			site.zones[zone] = one
		}
		site.store.Put("servers", one.ID, standin.ServerRow(listening.Listener.Addr().String(), zone, 8, false))
	}
	return site
}

// cuttable starts a gateway whose way to the store can be cut.
func (s *zonedSite) cuttable(id string) (*Gateway, *atomic.Bool) {
	s.t.Helper()
	cut := &atomic.Bool{}
	target, err := url.Parse("http://" + s.storeAt)
	if err != nil {
		s.t.Fatal(err)
	}
	way := httputil.NewSingleHostReverseProxy(target)
	way.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
		way.ServeHTTP(&cutWriter{ResponseWriter: w, cut: cut}, r)
	}))
	s.t.Cleanup(proxy.Close)
	storeAt := s.storeAt
	s.storeAt = proxy.Listener.Addr().String()
	defer func() { s.storeAt = storeAt }()
	return s.start(id), cut
}

// cutWriter drops answers to calls that were under way when the way was cut.
type cutWriter struct {
	http.ResponseWriter
	cut *atomic.Bool
}

func (w *cutWriter) WriteHeader(status int) {
	if w.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

func (s *zonedSite) evacuate(zone string)    { s.store.Put("op", "evacuate/"+zone, map[string]any{}) }
func (s *zonedSite) endEvacuation(id string) { s.store.Remove("op", "evacuate/"+id) }

// knows waits until a gateway has just these zones evacuated.
func (s *zonedSite) knows(gateway *Gateway, zones ...string) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("evacuated zones %v", zones), func() bool { return evacuatedAre(gateway.core, zones...) })
}

func evacuatedAre(c *core, zones ...string) bool {
	known := c.replicas.Evacuated()
	for _, zone := range zones {
		if !known[zone] {
			return false
		}
	}
	return len(known) == len(zones) && len(c.evacuations.all()) == len(zones)
}

var siteCalls atomic.Int64

// sent makes calls at the same time and returns how many ran in each zone meanwhile.
func (s *zonedSite) sent(gateway *Gateway, calls int) map[string]int {
	s.t.Helper()
	before := map[string]int{}
	for zone, server := range s.zones {
		before[zone] = len(server.Runs())
	}
	failed := make(chan string, calls)
	var group sync.WaitGroup
	for range calls {
		group.Add(1)
		go func() {
			defer group.Done()
			id := fmt.Sprintf("q%d", siteCalls.Add(1))
			if status, text, _ := s.call(gateway, http.MethodPost, "/resume/x", id, []byte("prompt")); status != http.StatusOK {
				failed <- fmt.Sprintf("%s: %d %q", id, status, text)
			}
		}()
	}
	group.Wait()
	close(failed)
	for what := range failed {
		s.t.Error(what)
	}
	ran := map[string]int{}
	for zone, server := range s.zones {
		ran[zone] = len(server.Runs()) - before[zone]
	}
	return ran
}

// usesAll waits until calls reach all zones.
func (s *zonedSite) usesAll(gateway *Gateway) {
	s.t.Helper()
	s.eventually("all zones in use", func() bool {
		for _, count := range s.sent(gateway, 8) {
			if count == 0 {
				return false
			}
		}
		return true
	})
}

// avoids checks that calls reach all zones but one.
func (s *zonedSite) avoids(gateway *Gateway, zone string) {
	s.t.Helper()
	if ran := s.sent(gateway, 12); ran[zone] != 0 {
		s.t.Fatalf("%s is evacuated, runs %v", zone, ran)
	}
}

func TestEvacuation_NothingNewIsSentAndWhatRunsRunsOn(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	for _, server := range site.servers {
		server.EventTime = 150 * time.Millisecond
	}
	gateway := site.start("front-1")
	ended := make(chan string, 4)
	for i := range 4 {
		go func() {
			status, text, _ := site.call(gateway, http.MethodPost, "/resume/x", fmt.Sprintf("before-%d", i), []byte("prompt"))
			ended <- fmt.Sprint(status, text)
		}()
	}
	site.eventually("a request in each zone", func() bool {
		return len(site.zones["a"].Runs()) > 0 && len(site.zones["b"].Runs()) > 0
	})
	site.evacuate("a")
	site.knows(gateway, "a")
	site.eventually("all sent", func() bool { return len(site.zones["a"].Runs())+len(site.zones["b"].Runs()) >= 4 })
	before := len(site.zones["a"].Runs())
	site.sent(gateway, 6)
	for range 4 {
		if got := <-ended; got != fmt.Sprint(http.StatusOK, wholeStream()) {
			t.Fatalf("a request from before got %s", got)
		}
	}
	if after := len(site.zones["a"].Runs()); after != before {
		t.Fatalf("%d runs in the zone after its evacuation", after-before)
	}
	site.endEvacuation("a")
	site.knows(gateway)
	site.usesAll(gateway)
}

func TestEvacuation_StreamsGoOnElsewhere(t *testing.T) {
	site := newZonedSite(t, "a", "b", "b")
	gateway := site.start("front-1")
	site.evacuate("a")
	site.knows(gateway, "a")
	site.servers[1].SetBehaviour(func(int) standin.Behaviour { return standin.TruncateEvent })
	for i := range 8 {
		status, text, _ := site.call(gateway, http.MethodPost, "/resume/x", fmt.Sprintf("r%d", i), []byte("prompt"))
		if status != http.StatusOK || text != wholeStream() {
			t.Fatalf("a stream that broke off got %d %q", status, text)
		}
	}
	if runs := site.zones["a"].Runs(); len(runs) != 0 {
		t.Fatalf("runs in the evacuated zone: %v", runs)
	}
}

func TestEvacuation_AllZones(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	gateway := site.start("front-1")
	site.evacuate("a")
	site.evacuate("b")
	site.knows(gateway, "a", "b")
	began := time.Now()
	status, _, header := site.call(gateway, http.MethodPost, "/resume/x", "q", []byte("prompt"))
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") != "5.00" {
		t.Fatalf("status %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	if took := time.Since(began); took > time.Second {
		t.Fatalf("the refusal took %v", took)
	}
	metrics := httptest.NewRecorder()
	gateway.metrics.handler().ServeHTTP(metrics, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`wheelhoist_gateway_requests_excluded_total{reason="evacuated"} 1`, "wheelhoist_gateway_evacuated_zones 2",
	} {
		if !strings.Contains(metrics.Body.String(), want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
	if !gateway.Ready() {
		t.Fatal("not ready while all zones are evacuated")
	}
	if status, text, _ := site.call(gateway, http.MethodPost, "/batch/j", "j", job("j", 3)); status != http.StatusAccepted {
		t.Fatalf("job: %d %q", status, text)
	}
	// The runner looks for work each 100 ms.
	time.Sleep(400 * time.Millisecond)
	if runs := len(site.zones["a"].Runs()) + len(site.zones["b"].Runs()); runs != 0 {
		t.Fatalf("%d runs while all zones are evacuated", runs)
	}
	site.endEvacuation("b")
	site.eventually("the items run", func() bool { return len(site.zones["b"].Runs()) >= 3 })
	if runs := len(site.zones["a"].Runs()); runs != 0 {
		t.Fatalf("%d items ran in the zone that is still evacuated", runs)
	}
}

func TestEvacuation_TwoAtOnceEndApart(t *testing.T) {
	site := newZonedSite(t, "a", "b", "c")
	gateway := site.start("front-1")
	site.evacuate("a")
	site.evacuate("b")
	site.knows(gateway, "a", "b")
	if ran := site.sent(gateway, 6); ran["c"] != 6 {
		t.Fatalf("runs %v", ran)
	}
	site.endEvacuation("a")
	site.knows(gateway, "b")
	site.avoids(gateway, "b")
}

func TestEvacuation_WrittenBeforeANodeStarts(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	site.evacuate("a")
	var calls atomic.Int64
	site.store.SetFault(func(string) standin.Fault {
		// The tables are read late, and not in the same order each time.
		if calls.Add(1) <= 8 {
			return standin.Unavailable
		}
		return standin.NoFault
	})
	gateway := site.launch("front-1", nil)
	site.eventually("ready", func() bool {
		if !gateway.Ready() {
			return false
		}
		if !evacuatedAre(gateway.core, "a") {
			t.Fatal("ready without the evacuation")
		}
		return true
	})
	site.avoids(gateway, "a")
}

func TestEvacuation_WrittenOrEndedWhileANodeIsCutOff(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	whole := site.start("front-1")
	half, cut := site.cuttable("front-2")
	cut.Store(true)
	site.evacuate("a")
	site.knows(whole, "a")
	site.avoids(whole, "a")
	if !evacuatedAre(half.core) {
		t.Fatal("a node that is cut off knows of the evacuation")
	}
	cut.Store(false)
	site.knows(half, "a")
	site.avoids(half, "a")
	cut.Store(true)
	site.endEvacuation("a")
	site.knows(whole)
	site.avoids(half, "a")
	cut.Store(false)
	site.knows(half)
	site.usesAll(half)
}

func TestEvacuation_AfterTheHistoryIsGone(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	gateway, cut := site.cuttable("front-1")
	site.evacuate("a")
	site.knows(gateway, "a")
	cut.Store(true)
	site.endEvacuation("a")
	site.evacuate("b")
	site.store.CompactHistory()
	cut.Store(false)
	site.knows(gateway, "b")
	site.avoids(gateway, "b")
}

func TestEvacuation_KeptThroughAnOutage(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	gateway, cut := site.cuttable("front-1")
	site.evacuate("a")
	site.knows(gateway, "a")
	cut.Store(true)
	site.eventually("the store is lost", func() bool { return gateway.configWatch.Age() > time.Second })
	site.avoids(gateway, "a")
	cut.Store(false)
	site.eventually("the store is back", func() bool { return gateway.configWatch.Age() < time.Second })
	site.avoids(gateway, "a")
}

func TestEvacuation_WhateverTheConfiguration(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	gateway := site.start("front-1")
	site.configure(5, "resume")
	site.evacuate("a")
	site.knows(gateway, "a")
	site.configure(6, "resume", "newer")
	site.eventually("newer configuration", func() bool { return gateway.routes.Load().Version == 6 })
	site.avoids(gateway, "a")
	site.configure(4, "resume")
	site.store.Put("op", "config", "no configuration at all")
	site.store.Put("op", "evacuate/b", 17)
	site.endEvacuation("a")
	site.knows(gateway, "b")
	site.avoids(gateway, "b")
	if version := gateway.routes.Load().Version; version != 6 {
		t.Fatalf("configuration %d in force", version)
	}
}
