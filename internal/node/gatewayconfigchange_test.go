package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/platform/standin"
)

// gatedServer is a model server that answers only when the test lets it. It is safe for concurrent use.
type gatedServer struct {
	// begin and finish are closed to let answers begin and end. Requests with the header X-Begin begin
	// at once, those with X-Quick are answered at once.
	begin, finish chan struct{}
	// received counts the requests, begun the answers that have begun.
	received, begun atomic.Int64
}

const (
	gatedFirstEvent = "id: 1\ndata: first\n\n"
	gatedLastEvent  = "id: 2\ndata: last\n\n"
	gatedPlain      = "whole body"
)

func newGatedServer(t *testing.T) (server *gatedServer, address string) {
	server = &gatedServer{begin: make(chan struct{}), finish: make(chan struct{})}
	httpServer := httptest.NewServer(server)
	t.Cleanup(httpServer.Close)
	return server, httpServer.Listener.Addr().String()
}

// ServeHTTP implements http.Handler.
func (s *gatedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.received.Add(1)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "signed")
	finish := s.finish
	switch {
	case r.Header.Get("X-Quick") != "":
		finish = make(chan struct{})
		close(finish)
	case r.Header.Get("X-Begin") == "":
		<-s.begin
	}
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		s.begun.Add(1)
		<-finish
		_, _ = io.WriteString(w, gatedPlain)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, gatedFirstEvent)
	_ = http.NewResponseController(w).Flush()
	s.begun.Add(1)
	<-finish
	_, _ = io.WriteString(w, gatedLastEvent)
}

// changeableConfig returns a configuration with a route of each kind of request.
func changeableConfig(version int) map[string]any {
	var routes []map[string]any
	for name, kind := range map[string]string{"stream": "stream", "safe": "safe", "unsafe": "unsafe"} {
		routes = append(routes, map[string]any{
			"name": name, "host": siteHost, "pathPrefix": "/" + name + "/", "routeType": kind, "service": "llm",
			"timeoutMs": 10000, "sloMs": 5000, "gapTargetMs": 5000, "maxAttempts": 2, "resumable": true,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": "llm"}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 5000},
	}
}

// setInRoutes sets a field of all routes of a configuration.
func setInRoutes(config map[string]any, field string, value any) {
	for _, declared := range config["routes"].([]map[string]any) {
		declared[field] = value
	}
}

// configChanges are changes of a configuration while requests are in flight.
var configChanges = map[string]func(config map[string]any){
	"shorter timeout": func(config map[string]any) { setInRoutes(config, "timeoutMs", 200) },
	"longer timeout":  func(config map[string]any) { setInRoutes(config, "timeoutMs", 60000) },
	"other service":   func(config map[string]any) { setInRoutes(config, "service", "other") },
	"other kind":      func(config map[string]any) { setInRoutes(config, "routeType", "unsafe") },
	"other regions":   func(config map[string]any) { setInRoutes(config, "allowedRegions", []string{"nowhere"}) },
	"routes dropped":  func(config map[string]any) { config["routes"] = []map[string]any{} },
	"limits": func(config map[string]any) {
		config["limits"] = map[string]any{"maxHeaderBytes": 1, "maxBodyBytes": 1, "headerTimeoutMs": 50, "idleTimeoutMs": 50}
	},
	"tenants": func(config map[string]any) { config["tenants"] = twoTenants() },
	"cold limits": func(config map[string]any) {
		config["services"] = []map[string]any{{"name": "llm", "coldStartS": 60, "coldPerS": 0.1}}
	},
}

// rawRequest is a request that is sent on a connection of its own, in two parts.
type rawRequest struct {
	name          string
	before, after string
	// pipelined is the number of requests among the text.
	pipelined int
	// routed is set if the request is complete enough to be routed before the change.
	routed bool
	conn   net.Conn
}

// expectContinue makes the gateway say when it begins to read the body of a request, which it has routed
// then.
const expectContinue = "Expect: 100-continue"

// awaitRouted waits until the gateway reads the body of a request that is not complete.
func (r *rawRequest) awaitRouted(t *testing.T) {
	t.Helper()
	const interim = "HTTP/1.1 100 Continue\r\n\r\n"
	if !strings.Contains(r.before, expectContinue) {
		return
	}
	received := make([]byte, len(interim))
	if _, err := io.ReadFull(r.conn, received); err != nil || string(received) != interim {
		t.Errorf("%s: received %q, %v, want an interim response", r.name, received, err)
	}
}

// rawHead returns the head of a request without the blank line that ends it.
func rawHead(path, id string, headers ...string) string {
	lines := append([]string{"POST " + path + " HTTP/1.1", "Host: " + siteHost, "Request-Id: " + id, "Deadline-Ms: 9000"}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

func rawRequests() []*rawRequest {
	const length = "Content-Length: 6"
	return []*rawRequest{
		{name: "stream not begun", before: rawHead("/stream/x", "a", length) + "\r\nprompt", pipelined: 1, routed: true},
		{name: "stream begun", before: rawHead("/stream/x", "b", length, "X-Begin: 1") + "\r\nprompt", pipelined: 1, routed: true},
		{name: "unsafe", before: rawHead("/unsafe/x", "c", length) + "\r\nprompt", pipelined: 1, routed: true},
		{name: "safe begun", before: rawHead("/safe/x", "d", length, "X-Begin: 1") + "\r\nprompt", pipelined: 1, routed: true},
		{
			name: "chunks", before: rawHead("/safe/x", "e", "Transfer-Encoding: chunked", expectContinue) + "\r\n3\r\npro\r\n",
			after: "3\r\nmpt\r\n0\r\n\r\n", pipelined: 1, routed: true,
		},
		{name: "half a body", before: rawHead("/unsafe/x", "f", length, expectContinue) + "\r\npro", after: "mpt", pipelined: 1, routed: true},
		// It begins with the new configuration, so its time limit may be shorter than the test.
		{name: "half a head", before: rawHead("/stream/x", "g", "X-Quick: 1"), after: length + "\r\n\r\nprompt", pipelined: 1},
		{
			name: "pipelined", before: rawHead("/stream/x", "h", length) + "\r\nprompt" + rawHead("/safe/x", "i", length) + "\r\nprompt",
			pipelined: 2,
		},
	}
}

func (r *rawRequest) send(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	r.conn = conn
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	r.write(t, r.before)
}

func (r *rawRequest) write(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(r.conn, text); err != nil {
		t.Errorf("%s: %v", r.name, err)
	}
}

// answers returns the answers on the connection. Each must be whole, or a refusal that means what it says.
func (r *rawRequest) answers() error {
	reader := bufio.NewReader(r.conn)
	for number := range r.pipelined {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return fmt.Errorf("answer %d: %w", number, err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return fmt.Errorf("answer %d: %w", number, err)
		}
		whole := string(body) == gatedFirstEvent+gatedLastEvent || string(body) == gatedPlain
		refused := false
		switch response.StatusCode {
		case http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestHeaderFieldsTooLarge, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
			refused = !r.routed && len(body) == 0
		}
		if response.StatusCode == http.StatusOK && !whole || response.StatusCode != http.StatusOK && !refused {
			return fmt.Errorf("answer %d: status %d, body %q", number, response.StatusCode, body)
		}
	}
	return nil
}

// startChangeable starts a gateway before one server whose answers wait.
func startChangeable(t *testing.T) (*gatewaySite, *gatedServer, *Gateway) {
	t.Helper()
	site := newGatewaySite(t, 0)
	server, address := newGatedServer(t)
	site.listServer("i-gated", address, "ready")
	site.store.Put("op", "config", changeableConfig(2))
	gateway := site.launch("a", nil)
	site.eventually("gateway ready", func() bool {
		return gateway.Ready() && gateway.routes.Load().Version == 2 && len(gateway.replicas.Snapshot("llm", 0, time.Now())) == 1
	})
	return site, server, gateway
}

// TestGateway_RequestsInFlightOutlastAConfiguration guards against requests that end without an answer, or
// with that of another configuration, because one was put in force while they were read, waited for the
// beginning of their answer or received it.
func TestGateway_RequestsInFlightOutlastAConfiguration(t *testing.T) {
	for name, change := range configChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site, server, gateway := startChangeable(t)
			requests, routed, begun := rawRequests(), int64(0), int64(0)
			for _, request := range requests {
				request.send(t, gateway.settings.Node.Listen)
				if request.after == "" {
					routed++
				}
				begun += int64(strings.Count(request.before, "X-Begin"))
			}
			site.eventually("requests in flight", func() bool { return server.received.Load() == routed && server.begun.Load() == begun })
			for _, request := range requests {
				request.awaitRouted(t)
			}
			config := changeableConfig(3)
			change(config)
			site.store.Put("op", "config", config)
			site.eventually("configuration in force", func() bool { return gateway.routes.Load().Version == 3 })
			// Longer than the new time limits.
			time.Sleep(300 * time.Millisecond)
			for _, request := range requests {
				request.write(t, request.after)
			}
			close(server.begin)
			time.Sleep(300 * time.Millisecond)
			close(server.finish)
			for _, request := range requests {
				if err := request.answers(); err != nil {
					t.Errorf("%s: %v", request.name, err)
				}
			}
		})
	}
}

// TestGateway_KeptConnectionsOutlastConfigurations guards against kept connections that are closed, or
// requests on them that get no answer, while configurations follow each other at once.
func TestGateway_KeptConnectionsOutlastConfigurations(t *testing.T) {
	site := newGatewaySite(t, 2)
	gateway := site.start("a")
	conn, err := net.Dial("tcp", gateway.settings.Node.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	reader := bufio.NewReader(conn)
	const requests = 60
	for number := range requests {
		prefixes := []string{"resume", fmt.Sprintf("added-%d", number)}
		site.store.Put("op", "config", standin.NewConfig(number+2, siteHost, 100000, prefixes...))
		text := rawHead("/resume/x", fmt.Sprintf("q%d", number), "Content-Length: 6") + "\r\nprompt"
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatalf("request %d: %v", number, err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", number, err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusOK || string(body) != wholeStream() {
			t.Fatalf("request %d: status %d, body %q, %v", number, response.StatusCode, body, err)
		}
	}
	if version := gateway.routes.Load().Version; version < requests/2 {
		t.Errorf("version %d in force after %d configurations, so few were crossed", version, requests)
	}
}

// TestGateway_RequestsInFlightOutlastAStop guards against requests that end without an answer because the
// gateway stops while they are read, wait for the beginning of their answer or receive it.
func TestGateway_RequestsInFlightOutlastAStop(t *testing.T) {
	site, server, gateway := startChangeable(t)
	// A stopping gateway closes a connection after the answer to the first of two requests on it.
	requests := slices.DeleteFunc(rawRequests(), func(r *rawRequest) bool { return r.pipelined > 1 })
	routed := int64(0)
	for _, request := range requests {
		request.send(t, gateway.settings.Node.Listen)
		if request.after == "" {
			routed++
		}
	}
	site.eventually("requests in flight", func() bool { return server.received.Load() == routed })
	for _, request := range requests {
		request.awaitRouted(t)
	}
	stopped := make(chan struct{})
	go func() {
		gateway.Stop()
		close(stopped)
	}()
	site.eventually("gateway stopping", gateway.Stopping)
	time.Sleep(300 * time.Millisecond)
	for _, request := range requests {
		request.write(t, request.after)
	}
	close(server.begin)
	// Longer than new connections are accepted, shorter than the grace period of 4 s.
	time.Sleep(2400 * time.Millisecond)
	close(server.finish)
	for _, request := range requests {
		if err := request.answers(); err != nil {
			t.Errorf("%s: %v", request.name, err)
		}
	}
	<-stopped
}
