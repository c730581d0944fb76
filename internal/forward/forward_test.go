package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

const testPool = "pool"

// scriptedBackend answers attempts with its answer function and records them.
type scriptedBackend struct {
	mu     sync.Mutex
	sent   []Attempt
	answer func(ctx context.Context, attempt *Attempt, number int) (*Answer, error)
}

func (b *scriptedBackend) Send(ctx context.Context, attempt *Attempt) (*Answer, error) {
	b.mu.Lock()
	b.sent = append(b.sent, *attempt)
	number := len(b.sent)
	b.mu.Unlock()
	return b.answer(ctx, attempt, number)
}

// recordingSink records what the caller received.
type recordingSink struct {
	status int
	header http.Header
	body   strings.Builder
}

func (s *recordingSink) Head(status int, header http.Header) error {
	s.status, s.header = status, header
	return nil
}

func (s *recordingSink) Write(chunk []byte, _ bool) error {
	s.body.Write(chunk)
	return nil
}

func newForwarder(backend Backend, replicas int) *Forwarder {
	set := replica.NewSet()
	for i := range replicas {
		id := fmt.Sprintf("r%d", i)
		set.Put(replica.Info{ID: id, Pool: testPool, Address: id, Slots: 4})
	}
	return &Forwarder{Replicas: set, Backend: backend, Budget: retry.NewBudget(1)}
}

func routeOf(kind route.Kind, resumable bool, attempts int) *route.Route {
	return &route.Route{
		Name: "r", Kind: kind, Resumable: resumable, MaxAttempts: attempts, Timeout: 2 * time.Second,
		Objective: 50 * time.Millisecond, Gap: 50 * time.Millisecond,
		Shares: []route.Share{{Pool: testPool, Weight: 1}},
	}
}

func streamAnswer(text string) *Answer {
	return &Answer{Status: http.StatusOK, Header: http.Header{}, EventStream: true, Body: io.NopCloser(strings.NewReader(text))}
}

func bufferedAnswer(status int, text string) *Answer {
	return &Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}
}

func events(first, last int) string {
	var text strings.Builder
	for id := first; id <= last; id++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", id, id)
	}
	return text.String()
}

func do(t *testing.T, forwarder *Forwarder, target *route.Route) (*recordingSink, Result, error) {
	t.Helper()
	sink := &recordingSink{}
	request := &Request{ID: "q", Method: http.MethodPost, Target: "/x", Received: time.Now(), Prompt: route.Prompt{Tokens: 100, MaxOutput: 20}}
	result, err := forwarder.Do(t.Context(), target, request, sink)
	return sink, result, err
}

func TestDo_BrokenStreamResumesSeamlessly(t *testing.T) {
	backend := &scriptedBackend{answer: func(_ context.Context, attempt *Attempt, number int) (*Answer, error) {
		if number == 1 {
			return streamAnswer(events(1, 3) + "id: 4\nda"), nil
		}
		return streamAnswer(events(attempt.LastEventID+1, 6)), nil
	}}
	sink, result, err := do(t, newForwarder(backend, 3), routeOf(route.Stream, true, 2))
	if err != nil || sink.body.String() != events(1, 6) {
		t.Fatalf("caller got %q, %v", sink.body.String(), err)
	}
	if result.Attempts != 2 || backend.sent[1].LastEventID != 3 {
		t.Fatalf("attempts %d, second after %d", result.Attempts, backend.sent[1].LastEventID)
	}
	if backend.sent[0].Replica.ID == backend.sent[1].Replica.ID {
		t.Fatal("the stream resumed at the replica that broke it off")
	}
}

func TestDo_ReceivedEventsAreNotRepeated(t *testing.T) {
	backend := &scriptedBackend{answer: func(_ context.Context, _ *Attempt, number int) (*Answer, error) {
		if number == 1 {
			return streamAnswer(events(1, 3) + "id"), nil
		}
		return streamAnswer(events(1, 5)), nil
	}}
	sink, _, err := do(t, newForwarder(backend, 3), routeOf(route.Stream, true, 2))
	if err != nil || sink.body.String() != events(1, 5) {
		t.Fatalf("caller got %q, %v", sink.body.String(), err)
	}
}

func TestDo_GapInEventIDsFails(t *testing.T) {
	backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		return streamAnswer(events(1, 2) + events(4, 5)), nil
	}}
	sink, result, err := do(t, newForwarder(backend, 3), routeOf(route.Stream, true, 2))
	if err == nil || sink.body.String() != events(1, 2) || !result.HeadSent {
		t.Fatalf("caller got %q, %v", sink.body.String(), err)
	}
}

func TestDo_NonRepeatableRequestIsSentOnce(t *testing.T) {
	for _, target := range []*route.Route{routeOf(route.Stream, false, 3), routeOf(route.Once, false, 3)} {
		backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
			return nil, outcome.AsUnknown(ErrBroken)
		}}
		_, _, err := do(t, newForwarder(backend, 3), target)
		if len(backend.sent) != 1 || outcome.Of(err) != outcome.Unknown {
			t.Fatalf("%s was sent %d times, outcome %v", target.Kind, len(backend.sent), outcome.Of(err))
		}
	}
}

func TestDo_RefusalsDoNotCountAsAttempts(t *testing.T) {
	backend := &scriptedBackend{answer: func(_ context.Context, _ *Attempt, number int) (*Answer, error) {
		if number <= 4 {
			return nil, outcome.AsNotDone(ErrRefused)
		}
		return bufferedAnswer(http.StatusOK, "body"), nil
	}}
	sink, result, err := do(t, newForwarder(backend, 3), routeOf(route.Once, false, 1))
	if err != nil || sink.body.String() != "body" || result.Attempts != 1 || result.Refusals != 4 {
		t.Fatalf("caller got %q, result %+v, %v", sink.body.String(), result, err)
	}
}

func TestDo_TimeoutWithoutRunIsNotDone(t *testing.T) {
	backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		return nil, outcome.AsNotDone(ErrRefused)
	}}
	target := routeOf(route.Once, false, 1)
	target.Timeout = 150 * time.Millisecond
	_, _, err := do(t, newForwarder(backend, 2), target)
	if outcome.Of(err) != outcome.NotDone {
		t.Fatalf("outcome of a request that never ran is %v", outcome.Of(err))
	}
}

func TestDo_TimeoutAfterSendIsUnknown(t *testing.T) {
	backend := &scriptedBackend{answer: func(ctx context.Context, _ *Attempt, _ int) (*Answer, error) {
		<-ctx.Done()
		return nil, outcome.AsUnknown(ErrBroken)
	}}
	target := routeOf(route.Once, false, 1)
	target.Timeout = 100 * time.Millisecond
	began := time.Now()
	_, _, err := do(t, newForwarder(backend, 2), target)
	if !errors.Is(err, ErrTimeout) || outcome.Of(err) != outcome.Unknown {
		t.Fatalf("error is %v, outcome %v", err, outcome.Of(err))
	}
	if took := time.Since(began); took > time.Second {
		t.Fatalf("the answer took %v", took)
	}
}

func TestDo_ResumableStreamAbandonsSilentReplica(t *testing.T) {
	backend := &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, number int) (*Answer, error) {
		if number == 1 {
			<-ctx.Done()
			return nil, outcome.AsUnknown(ErrBroken)
		}
		return streamAnswer(events(attempt.LastEventID+1, 2)), nil
	}}
	sink, _, err := do(t, newForwarder(backend, 2), routeOf(route.Stream, true, 2))
	if err != nil || sink.body.String() != events(1, 2) {
		t.Fatalf("caller got %q, %v", sink.body.String(), err)
	}
}

func TestDo_ReplicaFailureIsForwardedUnchanged(t *testing.T) {
	backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		answer := bufferedAnswer(http.StatusInternalServerError, "failed")
		answer.Header.Set("X-Mark", "replica")
		return answer, nil
	}}
	sink, _, err := do(t, newForwarder(backend, 2), routeOf(route.Once, false, 2))
	if err != nil || sink.status != http.StatusInternalServerError || sink.header.Get("X-Mark") != "replica" {
		t.Fatalf("caller got %d %v, %v", sink.status, sink.header, err)
	}
	if len(backend.sent) != 1 {
		t.Fatalf("a request that may run once was sent %d times", len(backend.sent))
	}
}

func TestDo_CallerDisconnectCancelsAttempt(t *testing.T) {
	ended := make(chan struct{})
	backend := &scriptedBackend{answer: func(ctx context.Context, _ *Attempt, _ int) (*Answer, error) {
		<-ctx.Done()
		close(ended)
		return nil, outcome.AsUnknown(ErrBroken)
	}}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	request := &Request{ID: "q", Received: time.Now()}
	_, err := newForwarder(backend, 1).Do(ctx, routeOf(route.Once, false, 1), request, &recordingSink{})
	<-ended
	if !errors.Is(err, ErrCallerDisconnected) {
		t.Fatalf("error is %v", err)
	}
}

// TestDo_ForwardedFailureCountsAgainstReplica has a replica answer 500 to requests that must not be
// retried. Each answer is relayed, and the replica must still be ejected.
func TestDo_ForwardedFailureCountsAgainstReplica(t *testing.T) {
	backend := &scriptedBackend{answer: func(_ context.Context, attempt *Attempt, _ int) (*Answer, error) {
		if attempt.Replica.ID == "r0" {
			return bufferedAnswer(http.StatusInternalServerError, "no"), nil
		}
		return streamAnswer(events(1, 3)), nil
	}}
	forwarder := newForwarder(backend, 2)
	failed := 0
	for i := range uint64(30) {
		sink := &recordingSink{}
		request := &Request{ID: "q", Received: time.Now(), Prompt: route.Prompt{Parts: []route.Part{{Key: i + 1}, {Key: 99}}}}
		if _, err := forwarder.Do(t.Context(), routeOf(route.Once, false, 1), request, sink); err != nil {
			t.Fatal(err)
		}
		if sink.status == http.StatusInternalServerError {
			failed++
		}
	}
	if failed == 0 || failed > 3 {
		t.Errorf("%d of 30 requests reached the failing replica, want it ejected after two in a row", failed)
	}
}
