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

// blockedBody returns no data until its context ends.
type blockedBody struct{ ctx context.Context }

func (b blockedBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, context.Cause(b.ctx)
}

// answerOtherRequests has the replicas answer other requests of the node every 100 ms until the
// test ends.
func answerOtherRequests(t *testing.T, replicas *replica.Set, ids ...string) {
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

// TestDo_StalledStreamResumesElsewhere has the connection die without a reset after the second
// event while the replica keeps answering other requests. The stream must resume elsewhere long
// before its deadline.
func TestDo_StalledStreamResumesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, number int) (*Answer, error) {
			answer := &Answer{Status: http.StatusOK, Header: http.Header{}, EventStream: true}
			if number == 1 {
				firstEvents := strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
				answer.Body = io.NopCloser(io.MultiReader(firstEvents, blockedBody{ctx}))
				return answer, nil
			}
			if attempt.LastEventID != 2 {
				t.Errorf("second attempt resumes after event %d, want 2", attempt.LastEventID)
			}
			answer.Body = io.NopCloser(strings.NewReader("id: 3\ndata: c\n\n"))
			return answer, nil
		}}
		forwarder := newForwarder(backend, 2)
		answerOtherRequests(t, forwarder.Replicas, "r0", "r1")
		sink, began := &recordingSink{}, time.Now()
		request := &Request{ID: "q", Method: http.MethodPost, Header: http.Header{}, Received: clock.Now()}
		if _, err := forwarder.Do(t.Context(), stallingRoute(), request, sink); err != nil {
			t.Fatalf("after %v: %v", time.Since(began), err)
		}
		if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; sink.body.String() != want {
			t.Fatalf("caller got %q, want %q", sink.body.String(), want)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Fatalf("the stream resumed after %v, want it within 5 s", took)
		}
	})
}

// slowSink is a caller that pauses during its first event.
type slowSink struct {
	recordingSink
	pause  time.Duration
	events int
}

// Write implements Sink.
func (s *slowSink) Write(chunk []byte, more bool) error {
	if s.events++; s.events == 1 {
		time.Sleep(s.pause)
	}
	return s.recordingSink.Write(chunk, more)
}

// chunkedBody returns a few bytes per read, as a connection may, until its context ends.
type chunkedBody struct {
	ctx  context.Context
	text string
}

// Read implements io.Reader.
func (p *chunkedBody) Read(into []byte) (int, error) {
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

// TestDo_SlowCallerIsNotAStall guards against taking a slow caller for a stalled answer: while the
// caller does not read, nothing is read from the answer either.
func TestDo_SlowCallerIsNotAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, _ int) (*Answer, error) {
			body := io.NopCloser(&chunkedBody{ctx: ctx, text: events(attempt.LastEventID+1, 5)})
			return &Answer{Status: http.StatusOK, Header: http.Header{}, EventStream: true, Body: body}, nil
		}}
		forwarder := newForwarder(backend, 2)
		answerOtherRequests(t, forwarder.Replicas, "r0", "r1")
		for range 3 {
			request := &Request{ID: "q", Method: http.MethodPost, Header: http.Header{}, Received: clock.Now()}
			result, err := forwarder.Do(t.Context(), stallingRoute(), request, &slowSink{pause: 3 * time.Second})
			if err != nil || result.Attempts != 1 {
				t.Errorf("a healthy replica was abandoned: %v, %d attempts", err, result.Attempts)
			}
		}
	})
}

// stallingRoute returns a route whose streams are canceled after 2.8 s without an event.
func stallingRoute() *route.Route {
	return &route.Route{
		Name: "s", Kind: route.Stream, Resumable: true, MaxAttempts: 2, Timeout: time.Minute,
		Objective: 200 * time.Millisecond, Gap: 100 * time.Millisecond,
		Shares: []route.Share{{Pool: testPool, Weight: 1}},
	}
}

// blockedSink is a caller that has stopped reading.
type blockedSink struct {
	recordingSink
	unblock chan struct{}
}

// Write implements Sink.
func (s *blockedSink) Write(chunk []byte, more bool) error {
	<-s.unblock
	return s.recordingSink.Write(chunk, more)
}

// TestDo_BlockedCallerReleasesSlotAtDeadline guards against a request that holds its slot after its
// deadline because its caller has stopped reading.
func TestDo_BlockedCallerReleasesSlotAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, _ int) (*Answer, error) {
			body := io.NopCloser(&chunkedBody{ctx: ctx, text: events(attempt.LastEventID+1, 5)})
			return &Answer{Status: http.StatusOK, Header: http.Header{}, EventStream: true, Body: body}, nil
		}}
		forwarder := newForwarder(backend, 1)
		target := stallingRoute()
		target.Timeout = 2 * time.Second
		sink := &blockedSink{unblock: make(chan struct{})}
		done := make(chan error, 1)
		go func() {
			request := &Request{ID: "q", Method: http.MethodPost, Header: http.Header{}, Received: clock.Now()}
			_, err := forwarder.Do(t.Context(), target, request, sink)
			done <- err
		}()
		time.Sleep(10 * time.Second)
		if open := forwarder.Replicas.PoolStats(clock.Now())[testPool].Open; open > 0 {
			t.Errorf("%d requests still hold slots 8 s after the deadline", open)
		}
		close(sink.unblock)
		<-done
	})
}
