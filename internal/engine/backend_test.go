package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
)

// fakeEngine answers with a stream of tokens and can break it off.
type fakeEngine struct {
	mu sync.Mutex
	// breakAfter is the number of tokens after which the first stream breaks; 0 means never.
	breakAfter int
	// forgetful makes the engine forget attempts, so that they cannot be resumed.
	forgetful bool
	status    int
	tokens    int
	sent      []string
	resumed   []string
	aborted   chan string
}

func (f *fakeEngine) start(t *testing.T) (*Backend, replica.Info) {
	t.Helper()
	f.aborted = make(chan string, 4)
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	client := NewClient(nil)
	t.Cleanup(client.Close)
	return NewBackend(client), replica.Info{ID: "r1", Address: server.URL}
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasSuffix(r.URL.Path, "/abort"):
		f.aborted <- r.URL.Path
	case r.Method == http.MethodGet:
		f.resume(w, r)
	case f.status != 0:
		w.WriteHeader(f.status)
	default:
		f.mu.Lock()
		f.sent = append(f.sent, r.Header.Get(HeaderRequestID))
		f.mu.Unlock()
		f.stream(w, 0, f.breakAfter)
	}
}

func (f *fakeEngine) resume(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.resumed = append(f.resumed, r.Header.Get(HeaderLastEventID))
	f.mu.Unlock()
	if f.forgetful {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	after := 0
	_, _ = fmt.Sscan(r.Header.Get(HeaderLastEventID), &after)
	f.stream(w, after, 0)
}

// stream sends the tokens that follow the given one, and the closing events unless it breaks first.
func (f *fakeEngine) stream(w http.ResponseWriter, after, breakAfter int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for token := after + 1; token <= f.tokens; token++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", token, token)
		if token == breakAfter {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"model\":\"m\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", f.tokens)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func attemptOf(info replica.Info, batch, once bool) *forward.Attempt {
	return &forward.Attempt{Replica: info, Request: &forward.Request{
		ID: "q", Target: "/v1/chat/completions", Body: []byte(`{"model":"m"}`), Batch: batch, AtMostOnce: once,
	}}
}

func TestBackend_BrokenStreamResumesAtSameEngine(t *testing.T) {
	engine := &fakeEngine{tokens: 5, breakAfter: 3}
	backend, info := engine.start(t)
	answer, err := backend.Send(t.Context(), attemptOf(info, false, false))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	for token := 1; token <= 5; token++ {
		if count := strings.Count(string(body), fmt.Sprintf(`"t%d "`, token)); count != 1 {
			t.Fatalf("token %d occurs %d times in %q", token, count, body)
		}
	}
	if len(engine.sent) != 1 || len(engine.resumed) != 1 || engine.resumed[0] != "3" {
		t.Fatalf("sent %v, resumed after %v", engine.sent, engine.resumed)
	}
	if !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		t.Fatalf("answer ends with %q", body[len(body)-30:])
	}
}

func TestBackend_ForgottenAttemptIsBrokenAnswer(t *testing.T) {
	engine := &fakeEngine{tokens: 5, breakAfter: 3, forgetful: true}
	backend, info := engine.start(t)
	answer, err := backend.Send(t.Context(), attemptOf(info, false, false))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(answer.Body); err == nil {
		t.Fatal("a truncated answer was read without an error")
	}
}

func TestBackend_ClosingUnfinishedAnswerAbortsAttempt(t *testing.T) {
	engine := &fakeEngine{tokens: 5}
	backend, info := engine.start(t)
	answer, err := backend.Send(t.Context(), attemptOf(info, false, false))
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	select {
	case path := <-engine.aborted:
		if !strings.Contains(path, "q~") {
			t.Fatalf("aborted %s", path)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the attempt was not aborted")
	}
}

func TestBackend_Refusals(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		batch  bool
		want   int
		failed error
	}{
		"full":                {status: http.StatusServiceUnavailable, failed: forward.ErrRefused},
		"invalid online":      {status: http.StatusBadRequest, want: http.StatusBadRequest},
		"invalid batch item":  {status: http.StatusBadRequest, batch: true, want: http.StatusUnprocessableEntity},
		"full for batch item": {status: http.StatusTooManyRequests, batch: true, failed: forward.ErrRefused},
	} {
		t.Run(name, func(t *testing.T) {
			engine := &fakeEngine{status: test.status}
			backend, info := engine.start(t)
			answer, err := backend.Send(t.Context(), attemptOf(info, test.batch, false))
			if test.failed != nil {
				if !errors.Is(err, test.failed) || outcome.Of(err) != outcome.NotDone {
					t.Fatalf("error is %v", err)
				}
				return
			}
			if err != nil || answer.Status != test.want {
				t.Fatalf("answer %+v, %v", answer, err)
			}
		})
	}
}

// TestBackend_FailedEngineMayHaveRun guards against a request that runs twice, and an item that is dead after one
// failure, because an engine's failure counts as its refusal.
func TestBackend_FailedEngineMayHaveRun(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
		for _, batch := range []bool{false, true} {
			backend, info := (&fakeEngine{status: status}).start(t)
			answer, err := backend.Send(t.Context(), attemptOf(info, batch, true))
			if answer != nil || !errors.Is(err, forward.ErrBroken) || outcome.Of(err) != outcome.Unknown {
				t.Errorf("status %d, batch %v: %+v, %v, outcome %v", status, batch, answer, err, outcome.Of(err))
			}
		}
	}
}

func TestBackend_UnreachableDidNotRun(t *testing.T) {
	backend := NewBackend(NewClient(nil))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := backend.Send(ctx, attemptOf(replica.Info{Address: "http://127.0.0.1:1"}, false, false))
	if !errors.Is(err, forward.ErrUnreachable) || outcome.Of(err) != outcome.NotDone {
		t.Fatalf("error is %v", err)
	}
}

// TestBackend_OnlyATimeoutMayBeAPause guards against an engine that pauses and is taken for one that is gone, and
// against the reverse.
func TestBackend_OnlyATimeoutMayBeAPause(t *testing.T) {
	for cause, pause := range map[error]bool{os.ErrDeadlineExceeded: true, syscall.ECONNREFUSED: false} {
		client := NewClient(nil)
		client.http.Transport = newTransport(func(_ context.Context, network, _ string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: cause}
		}, 1)
		_, err := NewBackend(client).Send(t.Context(), attemptOf(replica.Info{Address: "http://127.0.0.1:1"}, false, false))
		if !errors.Is(err, forward.ErrUnreachable) || errors.Is(err, forward.ErrNotAccepted) != pause || outcome.Of(err) != outcome.NotDone {
			t.Errorf("after %v: %v, outcome %v", cause, err, outcome.Of(err))
		}
	}
}

// A batch item's text becomes one complete answer even if the stream broke in between.
func TestAssembleAnswer_JoinsRenderedEvents(t *testing.T) {
	engine := &fakeEngine{tokens: 4, breakAfter: 2}
	backend, info := engine.start(t)
	answer, err := backend.Send(t.Context(), attemptOf(info, true, true))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	var data []string
	for line := range strings.SplitSeq(string(body), "\n") {
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			data = append(data, text)
		}
	}
	whole, err := AssembleAnswer(strings.Join(data, "\n"), "/v1/chat/completions")
	if err != nil || !strings.Contains(string(whole), `"content":"t1 t2 t3 t4 "`) {
		t.Fatalf("whole answer %s, %v", whole, err)
	}
	if engine.sent[0] != "q~once" {
		t.Fatalf("an item that may run only once was sent as %s", engine.sent[0])
	}
}
