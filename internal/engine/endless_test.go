package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/sse"
)

// Guards against an engine whose answer goes on without a new token, and which is read until the request's
// deadline.
func TestBackend_EndlessStreamBreaksOff(t *testing.T) {
	for name, repeat := range map[string]string{
		"blank lines": "\n", "comments": ": c\n\n", "the same event": "id: 1\ndata: {}\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, err := io.WriteString(w, "id: 1\ndata: {}\n\n")
				for large := strings.Repeat(repeat, 16<<10/len(repeat)); err == nil && r.Context().Err() == nil; sent.Add(int64(len(large))) {
					_, err = io.WriteString(w, large)
				}
			}))
			defer server.Close()
			client := NewClient(nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			answer, err := NewBackend(client).Send(ctx, attemptOf(replica.Info{ID: "r1", Address: server.URL}, false, false))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = answer.Body.Close() }()
			read, err := io.Copy(io.Discard, answer.Body)
			if !errors.Is(err, sse.ErrTooLong) || ctx.Err() != nil || read > sse.MaxEventBytes {
				t.Errorf("%d bytes, %v", read, err)
			}
		})
	}
}
