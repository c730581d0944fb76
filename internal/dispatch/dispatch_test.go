package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/engine"
	"github.com/wheelhoist/wheelhoist/internal/fleet"
	"github.com/wheelhoist/wheelhoist/internal/lab/emulator"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/machines"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/routing"
)

const model = "m"

// breaker breaks answers off: the first breaks of them, after a number of bytes.
type breaker struct {
	next   http.Handler
	mu     sync.Mutex
	breaks int
	after  int
	// dead refuses everything after the first break.
	dead    bool
	refuses bool
	posts   int
}

func (b *breaker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	cut := b.breaks > 0 && strings.Contains(r.URL.Path, "completions") || b.breaks > 0 && strings.HasSuffix(r.URL.Path, "/stream")
	if cut {
		b.breaks--
	}
	gone := b.dead && b.posts > 0
	if r.Method == http.MethodPost && strings.Contains(r.URL.Path, "completions") {
		b.posts++
	}
	refuses := b.refuses
	b.mu.Unlock()
	switch {
	case refuses:
		w.WriteHeader(http.StatusServiceUnavailable)
	case gone:
		panic(http.ErrAbortHandler)
	case cut:
		b.next.ServeHTTP(&cutWriter{ResponseWriter: w, left: b.after}, r)
	default:
		b.next.ServeHTTP(w, r)
	}
}

// cutWriter drops the connection once its bytes are used up.
type cutWriter struct {
	http.ResponseWriter
	left int
}

func (c *cutWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func (c *cutWriter) Write(body []byte) (int, error) {
	c.left -= len(body)
	if c.left < 0 {
		panic(http.ErrAbortHandler)
	}
	return c.ResponseWriter.Write(body)
}

// bench is a dispatcher before emulated engines.
type bench struct {
	dispatcher *Dispatcher
	breakers   []*breaker
	recorder   *history.Recorder
}

func newBench(t *testing.T, engines int) *bench {
	t.Helper()
	b := &bench{recorder: &history.Recorder{}}
	registry, index := fleet.NewRegistry("z"), fleet.NewPrefixIndex()
	client := engine.NewClient(nil)
	t.Cleanup(client.Close)
	var list []machines.Machine
	for i := range engines {
		id := fmt.Sprintf("r%d", i)
		one := emulator.NewEngine(emulator.EngineConfig{
			Replica: id, Model: model, Version: "v1", Generation: emulator.Newer, Recorder: b.recorder,
		})
		ctx, cancel := context.WithCancel(context.Background())
		go one.Run(ctx)
		made := &breaker{next: one.Handler()}
		server := httptest.NewServer(made)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close(); cancel() })
		b.breakers = append(b.breakers, made)
		list = append(list, machines.Machine{ID: id, Role: machines.RoleEngine, Zone: "z", State: machines.Live, Address: server.URL})
	}
	registry.SetMachines(list)
	for i := range engines {
		registry.SetLoad(fmt.Sprintf("r%d", i), engine.Load{
			State: engine.StateReady, Role: engine.RoleMixed, Model: model, Version: "v1", MaxSequences: 8, PrefillPerSec: 8000,
		})
	}
	turn := uint64(0)
	b.dispatcher = &Dispatcher{
		Registry: registry, Index: index, Engines: client, Budget: retry.NewBudget(0.1), Unique: "u",
		Router: routing.NewRouter(routing.PolicyRoundRobin, index, func() uint64 { turn++; return turn }),
		Sent:   func(string) {},
	}
	return b
}

// collector is a sink that keeps the text.
type collector struct {
	text strings.Builder
	done bool
}

func (c *collector) Begin(string, string) {}

func (c *collector) Event(event engine.Event) error {
	if event.Done {
		c.done = true
		return nil
	}
	if at := bytes.Index(event.Data, []byte(`"content":"`)); at >= 0 {
		text := event.Data[at+len(`"content":"`):]
		c.text.Write(text[:bytes.IndexByte(text, '"')])
	}
	return nil
}

func (b *bench) ask(t *testing.T, repeatable bool) (Result, *collector, error) {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":30,"seed":4,"messages":[{"role":"user","content":"hours of crew 7"}]}`, model)
	request := &Request{
		ID: "req", Path: openai.PathChatCompletions, Body: engine.Encode([]byte(body), engine.PriorityOnline, true),
		Repeatable: repeatable, Route: routing.Request{Model: model, Words: 4},
	}
	sink := &collector{}
	result, err := b.dispatcher.Do(t.Context(), request, sink)
	return result, sink, err
}

func (b *bench) starts() int {
	starts := 0
	for _, event := range b.recorder.Events() {
		if event.Type == history.EngineStart {
			starts++
		}
	}
	return starts
}

var expected = emulator.NewAnswer(model, "v1", "user: hours of crew 7\n", 4, 30).Text()

// A stream that breaks is continued at its engine: no token twice, none missing,
// and the request runs once.
func TestDo_BrokenStreamIsResumed(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		b := newBench(t, 1)
		b.breakers[0].breaks, b.breakers[0].after = 2, 1500
		_, sink, err := b.ask(t, repeatable)
		if err != nil || !sink.done || sink.text.String() != expected {
			t.Errorf("repeatable %v: error %v, text %q", repeatable, err, sink.text.String())
		}
		if b.starts() != 1 {
			t.Errorf("repeatable %v: ran %d times", repeatable, b.starts())
		}
	}
}

// When the engine is gone, a repeatable request is replayed elsewhere and the
// caller sees one whole answer.
func TestDo_DeadEngineIsReplaced(t *testing.T) {
	b := newBench(t, 2)
	for _, one := range b.breakers {
		one.breaks, one.after = 1, 1500
	}
	b.breakers[1].dead = true // round robin begins with the second
	result, sink, err := b.ask(t, true)
	if err != nil || !sink.done || sink.text.String() != expected {
		t.Fatalf("error %v, text %q", err, sink.text.String())
	}
	if result.Attempts != 2 {
		t.Fatalf("%d attempts, want 2", result.Attempts)
	}
}

// A request that may run only once is not sent again when nobody can tell
// whether it ran, and the error says so.
func TestDo_OnceMeansOnce(t *testing.T) {
	b := newBench(t, 2)
	b.breakers[1].breaks, b.breakers[1].after, b.breakers[1].dead = 1, 600, true
	_, _, err := b.ask(t, false)
	if err == nil || outcome.Of(err) != outcome.Unknown {
		t.Fatalf("error %v with outcome %s, want unknown", err, outcome.Of(err))
	}
	if b.breakers[0].posts != 0 {
		t.Fatal("the request was sent to a second engine")
	}
}

// A refusal did not run: the request goes elsewhere, or is answered as not run.
func TestDo_Refusals(t *testing.T) {
	b := newBench(t, 2)
	b.breakers[1].refuses = true
	if _, sink, err := b.ask(t, false); err != nil || sink.text.String() != expected {
		t.Fatalf("error %v, text %q", err, sink.text.String())
	}
	b.breakers[0].refuses = true
	if _, _, err := b.ask(t, true); outcome.Of(err) != outcome.NotDone {
		t.Fatalf("error %v with outcome %s, want not done", err, outcome.Of(err))
	}
}
