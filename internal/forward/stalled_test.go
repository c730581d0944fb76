package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// untilDone says nothing until its context ends.
type untilDone struct{ ctx context.Context }

func (b untilDone) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, context.Cause(b.ctx)
}

// answerOthers has the replicas answer other requests of the node, each 100 ms, until the
// test ends.
func answerOthers(t *testing.T, replicas *replica.Set, ids ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for retry.Sleep(ctx, 100*time.Millisecond) {
			for _, id := range ids {
				now := clock.Now()
				use := replicas.Begin(id, replica.RequestInfo{Tokens: 10}, now)
				use.Received(now)
				use.End(replica.Succeeded, now)
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// The answer's connection dies without a reset after its second event; its replica answers
// others all the time. The stream goes on elsewhere long before its deadline.
func TestDo_StreamWhoseAnswerStalledGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, number int) (*Answer, error) {
			answer := &Answer{Status: http.StatusOK, Header: http.Header{}, Events: true}
			if number == 1 {
				begun := strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
				answer.Body = io.NopCloser(io.MultiReader(begun, untilDone{ctx}))
				return answer, nil
			}
			if attempt.After != 2 {
				t.Errorf("second attempt goes on after event %d, want 2", attempt.After)
			}
			answer.Body = io.NopCloser(strings.NewReader("id: 3\ndata: c\n\n"))
			return answer, nil
		}}
		forwarder := newForwarder(backend, 2)
		answerOthers(t, forwarder.Replicas, "r0", "r1")
		sink, began := &recordedSink{}, time.Now()
		request := &Request{ID: "q", Method: http.MethodPost, Header: http.Header{}, Received: clock.Now()}
		if _, err := forwarder.Do(t.Context(), stallingRoute(), request, sink); err != nil {
			t.Fatalf("after %v: %v", time.Since(began), err)
		}
		if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; sink.body.String() != want {
			t.Fatalf("caller got %q, want %q", sink.body.String(), want)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Fatalf("the stream went on after %v, want it within 5 s", took)
		}
	})
}

// slowReader is a caller that does not read for a while after its first event.
type slowReader struct {
	recordedSink
	slow   time.Duration
	events int
}

// Write implements Sink.
func (s *slowReader) Write(piece []byte, more bool) error {
	if s.events++; s.events == 1 {
		time.Sleep(s.slow)
	}
	return s.recordedSink.Write(piece, more)
}

// pieces gives some bytes a read, as a connection does, until its context ends.
type pieces struct {
	ctx  context.Context
	text string
}

// Read implements io.Reader.
func (p *pieces) Read(into []byte) (int, error) {
	if err := p.ctx.Err(); err != nil {
		return 0, err
	}
	if p.text == "" {
		return 0, io.EOF
	}
	const piece = 8
	read := copy(into[:min(len(into), piece)], p.text)
	p.text = p.text[read:]
	return read, nil
}

// While the caller does not read, nothing is read of the answer: that is no stall.
func TestDo_CallerThatReadsSlowlyIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, _ int) (*Answer, error) {
			body := io.NopCloser(&pieces{ctx: ctx, text: events(attempt.After+1, 5)})
			return &Answer{Status: http.StatusOK, Header: http.Header{}, Events: true, Body: body}, nil
		}}
		forwarder := newForwarder(backend, 2)
		answerOthers(t, forwarder.Replicas, "r0", "r1")
		for range 3 {
			request := &Request{ID: "q", Method: http.MethodPost, Header: http.Header{}, Received: clock.Now()}
			result, err := forwarder.Do(t.Context(), stallingRoute(), request, &slowReader{slow: 3 * time.Second})
			if err != nil || result.Attempts != 1 {
				t.Errorf("a sound replica was left: %v, %d attempts", err, result.Attempts)
			}
		}
	})
}

// stallingRoute is a route whose streams are left after 2.8 s without an event.
func stallingRoute() *route.Route {
	return &route.Route{
		Name: "s", Kind: route.Stream, Resumable: true, MaxAttempts: 2, Timeout: time.Minute,
		Objective: 200 * time.Millisecond, Gap: 100 * time.Millisecond,
		Shares: []route.Share{{Pool: testPool, Weight: 1}},
	}
}

// blockedSink is a caller that reads no more.
type blockedSink struct {
	recordedSink
	until chan struct{}
}

// Write implements Sink.
func (s *blockedSink) Write(piece []byte, more bool) error {
	<-s.until
	return s.recordedSink.Write(piece, more)
}

// A request whose caller reads no more ends at its deadline, and with it the slot that it
// holds of its node's.
func TestDo_CallerThatReadsNoMoreHoldsNoSlotBeyondTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, _ int) (*Answer, error) {
			body := io.NopCloser(&pieces{ctx: ctx, text: events(attempt.After+1, 5)})
			return &Answer{Status: http.StatusOK, Header: http.Header{}, Events: true, Body: body}, nil
		}}
		forwarder := newForwarder(backend, 1)
		target := stallingRoute()
		target.Timeout = 2 * time.Second
		sink := &blockedSink{until: make(chan struct{})}
		done := make(chan error, 1)
		go func() {
			request := &Request{ID: "q", Method: http.MethodPost, Header: http.Header{}, Received: clock.Now()}
			_, err := forwarder.Do(t.Context(), target, request, sink)
			done <- err
		}()
		time.Sleep(10 * time.Second)
		if open := forwarder.Replicas.PoolStats(clock.Now())[testPool].Open; open > 0 {
			t.Errorf("8 s after its deadline %d requests still hold slots", open)
		}
		close(sink.until)
		<-done
	})
}
