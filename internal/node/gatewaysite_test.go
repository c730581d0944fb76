package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/lab/port"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/settings"
	"github.com/wheelhoist/wheelhoist/platform/standin"
)

const (
	siteHost   = "site.example"
	siteEvents = 6
	// siteQuotaOver and siteQuotaSlack are the tolerances of tenants' limits.
	siteQuotaOver  = 0.1
	siteQuotaSlack = 10
)

// gatewaySite is a simulated platform with gateways.
type gatewaySite struct {
	t            *testing.T
	store        *standin.Store
	storeAddress string
	servers      []*standin.Server
	gateways     []*Gateway
	// relayFrom is the number of nodes above which gateways follow relays; 0 means the default.
	relayFrom int
	// withoutPeers starts gateways without an address for other nodes.
	withoutPeers bool
	// seeds are the addresses of other nodes in the settings of gateways.
	seeds []string
	// bootstrapAfter is how long gateways wait for the store before they read the state of another node;
	// 0 means the default.
	bootstrapAfter time.Duration
}

func newGatewaySite(t *testing.T, servers int) *gatewaySite {
	t.Helper()
	site := &gatewaySite{t: t, store: standin.NewStore()}
	storeServer := httptest.NewServer(site.store)
	t.Cleanup(storeServer.Close)
	site.storeAddress = storeServer.Listener.Addr().String()
	for i := range servers {
		server := &standin.Server{ID: fmt.Sprintf("i-%d", i), Events: siteEvents, EventTime: 2 * time.Millisecond}
		httpServer := httptest.NewServer(server)
		t.Cleanup(httpServer.Close)
		site.servers = append(site.servers, server)
		site.listServer(server.ID, httpServer.Listener.Addr().String(), "ready")
	}
	site.configure(1, "resume")
	return site
}

func (s *gatewaySite) listServer(id, address, state string) {
	s.store.Put("servers", id, standin.ServerRow(address, "z", 8, state != "ready"))
}

// configure puts a configuration in force with a stream route under each prefix and a batch route.
func (s *gatewaySite) configure(version int, prefixes ...string) {
	s.store.Put("op", "config", standin.NewConfig(version, siteHost, 100000, prefixes...))
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := port.Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// start starts a gateway and waits until it is ready and knows all servers.
func (s *gatewaySite) start(id string) *Gateway {
	s.t.Helper()
	return s.startNode(settings.Node{ID: id, Zone: "z"})
}

// startNode starts a gateway with the given node settings and waits until it is ready and knows all
// servers.
func (s *gatewaySite) startNode(node settings.Node) *Gateway {
	s.t.Helper()
	gateway := s.launchNode(node)
	s.eventually("gateway ready", func() bool {
		return gateway.Ready() && len(gateway.replicas.Snapshot("llm", 0, time.Now())) == len(s.servers)
	})
	return gateway
}

// launch starts a gateway without waiting for it.
func (s *gatewaySite) launch(id string, zones place.Map) *Gateway {
	s.t.Helper()
	return s.launchNode(settings.Node{ID: id, Zone: "z", Zones: zones})
}

// launchNode starts a gateway with the given node settings without waiting for it.
func (s *gatewaySite) launchNode(node settings.Node) *Gateway {
	s.t.Helper()
	node.Listen = freeAddress(s.t)
	config := &settings.Settings{
		Node: node,
		Gateway: settings.Gateway{
			Store: s.storeAddress, Readiness: freeAddress(s.t), Metrics: freeAddress(s.t), Peers: freeAddress(s.t), Quota: settings.Quota{Over: siteQuotaOver, Slack: siteQuotaSlack}, Grace: v1.Duration(4 * time.Second), RelayFrom: s.relayFrom,
			Seeds: s.seeds, BootstrapAfter: v1.Duration(s.bootstrapAfter),
		},
	}
	if s.withoutPeers {
		config.Gateway.Peers, config.Gateway.Seeds = "", nil
	}
	config.ApplyDefaults()
	gateway, err := StartGateway(context.Background(), config, zerolog.Nop())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(gateway.Kill)
	s.gateways = append(s.gateways, gateway)
	return gateway
}

func (s *gatewaySite) eventually(description string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting for: %s", description)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *gatewaySite) call(gateway *Gateway, method, path, id string, body []byte) (int, string, http.Header) {
	s.t.Helper()
	return s.callWith(gateway, method, path, id, body, nil)
}

// callWith makes a call with additional headers.
func (s *gatewaySite) callWith(gateway *Gateway, method, path, id string, body []byte, header http.Header) (int, string, http.Header) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.settings.Node.Listen+path, bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = siteHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Model", "m")
	maps.Copy(request.Header, header)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err.Error(), response.Header
	}
	return response.StatusCode, string(text), response.Header
}
