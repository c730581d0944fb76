package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against the answer to a control call, or its header, that is read without end.
func TestClient_EndlessControlAnswers(t *testing.T) {
	large := strings.Repeat(" ", 16<<10)
	for name, answer := range map[string]http.HandlerFunc{
		"body": func(w http.ResponseWriter, _ *http.Request) {
			for range 16 << 20 / len(large) {
				if _, err := io.WriteString(w, large); err != nil {
					return
				}
			}
			_, _ = io.WriteString(w, "{}")
		},
		"header": func(w http.ResponseWriter, _ *http.Request) {
			for range 1 << 20 / len(large) {
				w.Header().Add("X-Filler", strings.Repeat("x", len(large)))
			}
			_, _ = io.WriteString(w, "{}")
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(answer)
			defer server.Close()
			client := NewClient(nil)
			defer client.Close()
			if load, err := client.Load(t.Context(), server.URL); err == nil {
				t.Errorf("load is %+v, want an error", load)
			}
		})
	}
}
