package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/settings"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

var regionZones = place.Map{"n1": "north", "s1": "south"}

// newRegionsSite returns a site with a server and a gateway in each of two regions.
func newRegionsSite(t *testing.T) (site *gatewaySite, north, south *Gateway) {
	t.Helper()
	site = newGatewaySite(t, 0)
	for _, zone := range []string{"n1", "s1"} {
		server := &standin.Server{ID: "i-" + zone, Events: siteEvents, EventTime: 2 * time.Millisecond}
		httpServer := httptest.NewServer(server)
		t.Cleanup(httpServer.Close)
		site.servers = append(site.servers, server)
		site.store.Put("servers", server.ID, standin.ServerRow(httpServer.Listener.Addr().String(), zone, 8, false))
	}
	north = site.startNode(settings.Node{ID: "n", Zone: "n1", Region: "north", Zones: regionZones})
	south = site.startNode(settings.Node{ID: "s", Zone: "s1", Region: "south", Zones: regionZones})
	return site, north, south
}

// configureAllowedRegions puts a configuration in force in which all routes have the allowed
// regions, and waits for the gateways.
func (s *gatewaySite) configureAllowedRegions(version int, regions ...string) {
	s.t.Helper()
	declared := standin.NewConfig(version, siteHost, 100000, "resume").(map[string]any)
	for _, target := range declared["routes"].([]map[string]any) {
		target["allowedRegions"] = append([]string{}, regions...)
	}
	s.store.Put("op", "config", declared)
	for _, gateway := range s.gateways {
		s.eventually("allowed regions in force", func() bool { return gateway.routes.Load().Version == uint64(version) })
	}
}

func TestGateway_RequestsStayInAllowedRegions(t *testing.T) {
	site, north, south := newRegionsSite(t)
	site.configureAllowedRegions(2, "north")
	for number := range 12 {
		gateway := []*Gateway{north, south}[number%2]
		if status, text, _ := site.call(gateway, http.MethodPost, "/resume/x", fmt.Sprint("q", number), nil); status != http.StatusOK {
			t.Fatalf("request: %d %q", status, text)
		}
	}
	if status, text, _ := site.call(south, http.MethodPost, "/batch/j", "j", jobBody("j", 6)); status != http.StatusAccepted {
		t.Fatalf("submission: %d %q", status, text)
	}
	site.awaitJob(south, "j")
	if runs := site.servers[1].Runs(); len(runs) != 0 {
		t.Fatalf("%d requests ran in another region", len(runs))
	}
}

// TestGateway_NoServerInAllowedRegionIsRefusedAtOnce removes the only server of the allowed region
// from the list.
func TestGateway_NoServerInAllowedRegionIsRefusedAtOnce(t *testing.T) {
	site, north, south := newRegionsSite(t)
	site.configureAllowedRegions(2, "north")
	site.store.Remove("servers", "i-n1")
	for _, gateway := range []*Gateway{north, south} {
		site.eventually("server gone", func() bool { return len(gateway.replicas.Snapshot("llm", 0, time.Now())) == 1 })
		start := time.Now()
		status, _, header := site.call(gateway, http.MethodPost, "/resume/x", "q", nil)
		if status != http.StatusServiceUnavailable || header.Get("Retry-After") != "1.20" || time.Since(start) > time.Second {
			t.Errorf("status %d after %v, Retry-After %q", status, time.Since(start), header.Get("Retry-After"))
		}
	}
	site.configureAllowedRegions(3)
	if status, text, header := site.call(north, http.MethodPost, "/batch/j", "j", jobBody("j", 1)); status != http.StatusServiceUnavailable || header.Get("Retry-After") != "1.20" {
		t.Errorf("a job without an allowed region: %d %q", status, text)
	}
	if runs := site.servers[1].Runs(); len(runs) != 0 {
		t.Fatalf("%d requests ran in another region", len(runs))
	}
}
