package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/bytebudget"
	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// Guards against answers without end that together take more memory than a node has, and against sound answers
// that find no room beside them.
func TestDo_EndlessBodiesAreBoundedTogether(t *testing.T) {
	const requests = 100
	// Each of 200 holders finds this much at any moment.
	sound := strings.Repeat("s", bytebudget.DefaultLimit/(2*requests+1)/2)
	var forwarder *Forwarder
	var most atomic.Int64
	backend := &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, _ int) (*Answer, error) {
		if strings.HasPrefix(attempt.Request.ID, "sound") {
			return bufferedAnswer(http.StatusOK, sound), nil
		}
		body := &endlessBody{ctx: ctx, repeat: "x", onRead: func() { most.Store(max(most.Load(), forwarder.HeldBytes())) }}
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}, nil
	}}
	forwarder = newForwarder(backend, requests)
	target := routeOf(route.Once, false, 1)
	target.Timeout = time.Minute
	results := make(chan error, 2*requests)
	send := func(id string) {
		sink, request := &recordingSink{}, &Request{ID: id, Method: http.MethodPost, Received: clock.Now()}
		_, err := forwarder.Do(t.Context(), target, request, sink)
		switch {
		case strings.HasPrefix(id, "sound") && (err != nil || sink.body.String() != sound):
			err = fmt.Errorf("sound answer of %d bytes: %w", sink.body.Len(), err)
		case strings.HasPrefix(id, "endless") && errors.Is(err, ErrBroken) && outcome.Of(err) == outcome.Unknown && sink.status == 0:
			err = nil
		case strings.HasPrefix(id, "endless"):
			err = fmt.Errorf("endless answer: status %d, %w", sink.status, err)
		}
		results <- err
	}
	for i := range requests {
		go send(fmt.Sprintf("endless-%d", i))
		go send(fmt.Sprintf("sound-%d", i))
	}
	for range 2 * requests {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if most.Load() > bytebudget.DefaultLimit || most.Load() == 0 {
		t.Errorf("%d bytes were held at once", most.Load())
	}
	if held := forwarder.HeldBytes(); held != 0 {
		t.Errorf("%d bytes are still held", held)
	}
}

// Guards against a large answer that is changed because it is kept in pieces, and against a limit that is off
// by one.
func TestDo_LargeAnswerIsWhole(t *testing.T) {
	for _, size := range []int{0, 1, minChunk, minChunk + 1, maxChunk, 300_000, maxBufferedBody, maxBufferedBody + 1} {
		var text strings.Builder
		for text.Len() < size {
			_, _ = fmt.Fprintf(&text, "%d,", text.Len())
		}
		body := text.String()[:size]
		backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
			return bufferedAnswer(http.StatusOK, body), nil
		}}
		forwarder := newForwarder(backend, 1)
		sink, _, err := do(t, forwarder, routeOf(route.Once, false, 1))
		if size > maxBufferedBody {
			if !errors.Is(err, errTooLong) || sink.status != 0 {
				t.Errorf("%d bytes: status %d, %v", size, sink.status, err)
			}
		} else if err != nil || sink.body.String() != body {
			t.Errorf("%d bytes: %d relayed, %v", size, sink.body.Len(), err)
		}
		if held := forwarder.HeldBytes(); held != 0 {
			t.Errorf("%d bytes: %d still held", size, held)
		}
	}
}

// Guards against a body that ended too early and counts as whole.
func TestDo_BodyThatBreaksOffIsNotWhole(t *testing.T) {
	backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		answer := bufferedAnswer(http.StatusOK, "")
		answer.Body = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", 5000)), failingReader{io.ErrUnexpectedEOF}))
		return answer, nil
	}}
	if sink, _, err := do(t, newForwarder(backend, 1), routeOf(route.Once, false, 1)); !errors.Is(err, ErrBroken) || sink.status != 0 {
		t.Errorf("status %d, %v", sink.status, err)
	}
}

// failingReader fails at once.
type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against replicas that count as failed, and against crashes that are suspected, because a node had no
// memory left for an answer.
func TestDo_LackOfMemoryIsNoFaultOfAReplica(t *testing.T) {
	synctest.Test(t, expectLackOfMemoryIsNoFault)
}

func expectLackOfMemoryIsNoFault(t *testing.T) {
	defer time.Sleep(2 * slotReleaseDelay)
	backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		return bufferedAnswer(http.StatusOK, strings.Repeat("x", 200<<10)), nil
	}}
	forwarder, guard := newForwarder(backend, 3), &recordingGuard{}
	forwarder.Quarantine, forwarder.answers.Limit = guard, 100<<10
	for range 5 {
		if _, _, err := do(t, forwarder, routeOf(route.Once, false, 1)); !errors.Is(err, ErrBroken) || outcome.Of(err) != outcome.Unknown {
			t.Fatal(err)
		}
	}
	now := clock.Now()
	if _, ejected := forwarder.Replicas.Count(now); ejected > 0 || len(forwarder.Replicas.FailureReports(now)) > 0 || len(guard.interrupted) > 0 {
		t.Errorf("%d replicas are ejected, reports %+v, %d interrupted runs", ejected, forwarder.Replicas.FailureReports(now), len(guard.interrupted))
	}
}
