package server

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// TestReconnect_EndsWhenTheEngineRestarts guards against a resumed stream that hangs after a restart
// of the engine: the new process has no answer, and the old connection may stay open without data.
func TestReconnect_EndsWhenTheEngineRestarts(t *testing.T) {
	engineServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, "id: 3\ndata: {}\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer engineServer.Close()
	set := replica.NewSet()
	info := replica.Info{ID: "r", Pool: "p", Address: engineServer.URL, Slots: 1, StartedUnixMs: 2000}
	set.Put(info)
	s := &Server{options: Options{Replicas: set, Engines: engine.NewClient(nil)}}
	app := iris.New()
	app.Post("/", s.reconnect)
	if err := app.Build(); err != nil {
		t.Fatal(err)
	}
	frontend := httptest.NewServer(app)
	defer frontend.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, frontend.URL, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(engine.HeaderAttempt, "a@r")
	request.Header.Set(engine.HeaderLastEventID, "2")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body := bufio.NewReader(response.Body)
	if line, err := body.ReadString('\n'); err != nil || line != "id: 3\n" {
		t.Fatalf("the caller got %q, %v", line, err)
	}
	info.StartedUnixMs = 1000
	set.Put(info)
	rest, err := io.ReadAll(body)
	if err != nil || bytes.Contains(rest, []byte("[DONE]")) {
		t.Errorf("the caller got %q, %v", rest, err)
	}
}
