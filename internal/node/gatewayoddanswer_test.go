package node

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// rawServer is a model server that answers with what answer returns for the last event that the caller has, and
// then closes the connection. id is the value of the Request-Id header.
func rawServer(t *testing.T, answer func(id, lastEvent string) string) (address string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, answer(r.Header.Get("Request-Id"), r.Header.Get("Last-Event-Id")))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startBeforeRawServers starts a gateway before two servers that answer alike.
func startBeforeRawServers(t *testing.T, answer func(id, lastEvent string) string) (*gatewaySite, *Gateway) {
	t.Helper()
	site := newGatewaySite(t, 0)
	for _, id := range []string{"i-1", "i-2"} {
		site.listServer(id, rawServer(t, answer), "ready")
	}
	site.store.Put("op", "config", changeableConfig(2))
	gateway := site.launch("a", nil)
	site.eventually("gateway ready", func() bool {
		return gateway.Ready() && gateway.routes.Load().Version == 2 && len(gateway.replicas.Snapshot("llm", 0, time.Now())) == 2
	})
	return site, gateway
}

// TestGateway_InvalidStatusIsAnsweredWithAnError guards against a caller whose connection is closed without an
// answer because a server in disruption sent a status that HTTP does not have.
func TestGateway_InvalidStatusIsAnsweredWithAnError(t *testing.T) {
	site, gateway := startBeforeRawServers(t, func(id, _ string) string {
		return "HTTP/1.1 099 Odd\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok"
	})
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		if status, body, _ := site.call(gateway, http.MethodPost, path, path, []byte("prompt")); status != http.StatusBadGateway {
			t.Errorf("%s: status %d, %s, want %d", path, status, body, http.StatusBadGateway)
		}
	}
}

// TestGateway_StreamContinuesBeyondTheLengthOfItsFirstAnswer guards against a stream that is cut because the server
// that began it named a length, and the one that continues it writes its events with more or fewer bytes.
func TestGateway_StreamContinuesBeyondTheLengthOfItsFirstAnswer(t *testing.T) {
	for name, last := range map[string]string{"longer": "id: 2\ndata: " + strings.Repeat("l", 100) + "\n\n", "shorter": "id: 2\ndata:\n\n"} {
		t.Run(name, func(t *testing.T) {
			site, gateway := startBeforeRawServers(t, func(id, lastEvent string) string {
				head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: "
				if lastEvent == "" {
					return fmt.Sprintf("%s%d\r\n\r\n%s", head, len(gatedFirstEvent)+50, gatedFirstEvent)
				}
				return fmt.Sprintf("%s%d\r\n\r\n%s", head, len(last), last)
			})
			status, body, _ := site.call(gateway, http.MethodPost, "/stream/x", "q", []byte("prompt"))
			if status != http.StatusOK || body != gatedFirstEvent+last {
				t.Errorf("status %d, body %q", status, body)
			}
		})
	}
}
