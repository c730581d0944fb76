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

// zonedSite is a site with servers in several zones. byZone has the first server of each.
type zonedSite struct {
	*gatewaySite
	byZone map[string]*standin.Server
}

func newZonedSite(t *testing.T, zones ...string) *zonedSite {
	t.Helper()
	site := &zonedSite{gatewaySite: newGatewaySite(t, 0), byZone: map[string]*standin.Server{}}
	for i, zone := range zones {
		server := &standin.Server{ID: fmt.Sprintf("i-%d", i), Events: siteEvents, EventTime: 2 * time.Millisecond}
		httpServer := httptest.NewServer(server)
		t.Cleanup(httpServer.Close)
		site.servers = append(site.servers, server)
		if site.byZone[zone] == nil {
			site.byZone[zone] = server
		}
		site.store.Put("servers", server.ID, standin.ServerRow(httpServer.Listener.Addr().String(), zone, 8, false))
	}
	return site
}

// startCuttable starts a gateway whose connection to the store can be cut.
func (s *zonedSite) startCuttable(id string) (*Gateway, *atomic.Bool) {
	s.t.Helper()
	cut := &atomic.Bool{}
	target, err := url.Parse("http://" + s.storeAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	reverseProxy := httputil.NewSingleHostReverseProxy(target)
	reverseProxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
		reverseProxy.ServeHTTP(&cutWriter{ResponseWriter: w, cut: cut}, r)
	}))
	s.t.Cleanup(proxy.Close)
	previous := s.storeAddress
	s.storeAddress = proxy.Listener.Addr().String()
	defer func() { s.storeAddress = previous }()
	return s.start(id), cut
}

// cutWriter drops responses to calls that were in flight when the connection was cut.
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

func (s *zonedSite) evacuate(zone string)      { s.store.Put("op", "evacuate/"+zone, map[string]any{}) }
func (s *zonedSite) endEvacuation(zone string) { s.store.Remove("op", "evacuate/"+zone) }

// waitEvacuated waits until exactly these zones are evacuated at a gateway.
func (s *zonedSite) waitEvacuated(gateway *Gateway, zones ...string) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("evacuated zones %v", zones), func() bool { return hasEvacuated(gateway.core, zones...) })
}

func hasEvacuated(c *core, zones ...string) bool {
	evacuated := c.replicas.Evacuated()
	for _, zone := range zones {
		if !evacuated[zone] {
			return false
		}
	}
	return len(evacuated) == len(zones) && len(c.evacuations.all()) == len(zones)
}

var siteCalls atomic.Int64

// runsByZone makes concurrent calls and returns how many ran in each zone.
func (s *zonedSite) runsByZone(gateway *Gateway, calls int) map[string]int {
	s.t.Helper()
	before := map[string]int{}
	for zone, server := range s.byZone {
		before[zone] = len(server.Runs())
	}
	failures := make(chan string, calls)
	var group sync.WaitGroup
	for range calls {
		group.Add(1)
		go func() {
			defer group.Done()
			id := fmt.Sprintf("q%d", siteCalls.Add(1))
			if status, text, _ := s.call(gateway, http.MethodPost, "/resume/x", id, []byte("prompt")); status != http.StatusOK {
				failures <- fmt.Sprintf("%s: %d %q", id, status, text)
			}
		}()
	}
	group.Wait()
	close(failures)
	for failure := range failures {
		s.t.Error(failure)
	}
	ran := map[string]int{}
	for zone, server := range s.byZone {
		ran[zone] = len(server.Runs()) - before[zone]
	}
	return ran
}

// waitAllUsed waits until calls run in all zones.
func (s *zonedSite) waitAllUsed(gateway *Gateway) {
	s.t.Helper()
	s.eventually("all zones in use", func() bool {
		for _, count := range s.runsByZone(gateway, 8) {
			if count == 0 {
				return false
			}
		}
		return true
	})
}

// checkAvoids checks that no call runs in a zone.
func (s *zonedSite) checkAvoids(gateway *Gateway, zone string) {
	s.t.Helper()
	if ran := s.runsByZone(gateway, 12); ran[zone] != 0 {
		s.t.Fatalf("%s is evacuated, runs %v", zone, ran)
	}
}

func TestEvacuation_RunningRequestsContinueAndNewOnesAvoidZone(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	for _, server := range site.servers {
		server.EventTime = 150 * time.Millisecond
	}
	gateway := site.start("front-1")
	results := make(chan string, 4)
	for i := range 4 {
		go func() {
			status, text, _ := site.call(gateway, http.MethodPost, "/resume/x", fmt.Sprintf("before-%d", i), []byte("prompt"))
			results <- fmt.Sprint(status, text)
		}()
		// Requests that choose a server before any of them is sent all choose the same one.
		site.eventually("the request runs", func() bool { return len(site.byZone["a"].Runs())+len(site.byZone["b"].Runs()) > i })
	}
	site.eventually("a request in each zone", func() bool {
		return len(site.byZone["a"].Runs()) > 0 && len(site.byZone["b"].Runs()) > 0
	})
	site.evacuate("a")
	site.waitEvacuated(gateway, "a")
	site.eventually("all sent", func() bool { return len(site.byZone["a"].Runs())+len(site.byZone["b"].Runs()) >= 4 })
	before := len(site.byZone["a"].Runs())
	site.runsByZone(gateway, 6)
	for range 4 {
		if got := <-results; got != fmt.Sprint(http.StatusOK, wholeStream()) {
			t.Fatalf("a request sent before the evacuation got %s", got)
		}
	}
	if after := len(site.byZone["a"].Runs()); after != before {
		t.Fatalf("%d runs in the zone after its evacuation", after-before)
	}
	site.endEvacuation("a")
	site.waitEvacuated(gateway)
	site.waitAllUsed(gateway)
}

func TestEvacuation_StreamsResumeInOtherZones(t *testing.T) {
	site := newZonedSite(t, "a", "b", "b")
	gateway := site.start("front-1")
	site.evacuate("a")
	site.waitEvacuated(gateway, "a")
	site.servers[1].SetBehaviour(func(int) standin.Behaviour { return standin.TruncateEvent })
	for i := range 8 {
		status, text, _ := site.call(gateway, http.MethodPost, "/resume/x", fmt.Sprintf("r%d", i), []byte("prompt"))
		if status != http.StatusOK || text != wholeStream() {
			t.Fatalf("an interrupted stream got %d %q", status, text)
		}
	}
	if runs := site.byZone["a"].Runs(); len(runs) != 0 {
		t.Fatalf("runs in the evacuated zone: %v", runs)
	}
}

func TestEvacuation_AllZones(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	gateway := site.start("front-1")
	site.evacuate("a")
	site.evacuate("b")
	site.waitEvacuated(gateway, "a", "b")
	start := time.Now()
	status, _, header := site.call(gateway, http.MethodPost, "/resume/x", "q", []byte("prompt"))
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") != "5.00" {
		t.Fatalf("status %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	if took := time.Since(start); took > time.Second {
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
	if status, text, _ := site.call(gateway, http.MethodPost, "/batch/j", "j", jobBody("j", 3)); status != http.StatusAccepted {
		t.Fatalf("job: %d %q", status, text)
	}
	// The runner looks for runnable items every 100 ms.
	time.Sleep(400 * time.Millisecond)
	if runs := len(site.byZone["a"].Runs()) + len(site.byZone["b"].Runs()); runs != 0 {
		t.Fatalf("%d runs while all zones are evacuated", runs)
	}
	site.endEvacuation("b")
	site.eventually("the items run", func() bool { return len(site.byZone["b"].Runs()) >= 3 })
	if runs := len(site.byZone["a"].Runs()); runs != 0 {
		t.Fatalf("%d items ran in the zone that is still evacuated", runs)
	}
}

func TestEvacuation_TwoZonesEndIndependently(t *testing.T) {
	site := newZonedSite(t, "a", "b", "c")
	gateway := site.start("front-1")
	site.evacuate("a")
	site.evacuate("b")
	site.waitEvacuated(gateway, "a", "b")
	if ran := site.runsByZone(gateway, 6); ran["c"] != 6 {
		t.Fatalf("runs %v", ran)
	}
	site.endEvacuation("a")
	site.waitEvacuated(gateway, "b")
	site.checkAvoids(gateway, "b")
}

func TestEvacuation_DeclaredBeforeNodeStarts(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	site.evacuate("a")
	var calls atomic.Int64
	site.store.SetFault(func(string) standin.Fault {
		// The tables are read late, and in a different order each time.
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
		if !hasEvacuated(gateway.core, "a") {
			t.Fatal("ready without the evacuation")
		}
		return true
	})
	site.checkAvoids(gateway, "a")
}

func TestEvacuation_ChangedWhileNodeIsDisconnected(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	connected := site.start("front-1")
	disconnected, cut := site.startCuttable("front-2")
	cut.Store(true)
	site.evacuate("a")
	site.waitEvacuated(connected, "a")
	site.checkAvoids(connected, "a")
	if !hasEvacuated(disconnected.core) {
		t.Fatal("a disconnected node knows of the evacuation")
	}
	cut.Store(false)
	site.waitEvacuated(disconnected, "a")
	site.checkAvoids(disconnected, "a")
	cut.Store(true)
	site.endEvacuation("a")
	site.waitEvacuated(connected)
	site.checkAvoids(disconnected, "a")
	cut.Store(false)
	site.waitEvacuated(disconnected)
	site.waitAllUsed(disconnected)
}

func TestEvacuation_AfterHistoryIsTruncated(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	gateway, cut := site.startCuttable("front-1")
	site.evacuate("a")
	site.waitEvacuated(gateway, "a")
	cut.Store(true)
	site.endEvacuation("a")
	site.evacuate("b")
	site.store.CompactHistory()
	cut.Store(false)
	site.waitEvacuated(gateway, "b")
	site.checkAvoids(gateway, "b")
}

func TestEvacuation_KeptDuringStoreOutage(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	gateway, cut := site.startCuttable("front-1")
	site.evacuate("a")
	site.waitEvacuated(gateway, "a")
	cut.Store(true)
	site.eventually("the store is disconnected", func() bool { return gateway.configWatch.Age() > time.Second })
	site.checkAvoids(gateway, "a")
	cut.Store(false)
	site.eventually("the store is connected again", func() bool { return gateway.configWatch.Age() < time.Second })
	site.checkAvoids(gateway, "a")
}

func TestEvacuation_IndependentOfConfiguration(t *testing.T) {
	site := newZonedSite(t, "a", "b")
	gateway := site.start("front-1")
	site.configure(5, "resume")
	site.evacuate("a")
	site.waitEvacuated(gateway, "a")
	site.configure(6, "resume", "newer")
	site.eventually("newer configuration", func() bool { return gateway.routes.Load().Version == 6 })
	site.checkAvoids(gateway, "a")
	site.configure(4, "resume")
	site.store.Put("op", "config", "no configuration at all")
	site.store.Put("op", "evacuate/b", 17)
	site.endEvacuation("a")
	site.waitEvacuated(gateway, "b")
	site.checkAvoids(gateway, "b")
	if version := gateway.routes.Load().Version; version != 6 {
		t.Fatalf("configuration %d in force", version)
	}
}
