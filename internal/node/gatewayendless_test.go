package node

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a response of another node, or its header, that is read without end, and against one that comes
// slowly and keeps a call beyond its time.
func TestPeerCalls_EndlessResponses(t *testing.T) {
	filler := strings.Repeat("x", 64<<10)
	var sent atomic.Int64
	for name, answer := range map[string]http.HandlerFunc{
		"header": func(w http.ResponseWriter, _ *http.Request) {
			for range 16 {
				w.Header().Add("X-Filler", filler)
			}
			const emptyMap = "\xa0"
			_, _ = io.WriteString(w, emptyMap)
		},
		"body": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				n, _ := io.WriteString(w, filler)
				sent.Add(int64(n))
			}
		},
		"slow body": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				_, _ = io.WriteString(w, "x")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(10 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(answer)
			defer server.Close()
			address := server.Listener.Addr().String()
			limit := 30 * time.Second
			if name == "slow body" {
				limit = 200 * time.Millisecond
			}
			calls := map[string]func(context.Context) error{
				"state": func(ctx context.Context) error {
					var state feedState
					return fetchState(ctx, &http.Client{Transport: peerTransport()}, address, "/x", &state)
				},
				"changes": func(ctx context.Context) error {
					_, err := newRelays(1, nil).ask(ctx, jobGroup, address, 1, 0)
					return err
				},
			}
			for call, do := range calls {
				sent.Store(0)
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				err := do(ctx)
				if ended := ctx.Err() != nil; err == nil || ended != (name == "slow body") {
					t.Errorf("%s: %v", call, err)
				}
				cancel()
				const inConnection = 16 << 20
				if got := sent.Load(); got > maxBootstrapBytes+inConnection {
					t.Errorf("%s: %d bytes were sent", call, got)
				}
			}
		})
	}
}
