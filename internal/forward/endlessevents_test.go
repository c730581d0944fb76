package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// endlessBody brings a text and then, after a pause each time, another one again and again until its context
// ends.
type endlessBody struct {
	ctx           context.Context
	first, repeat string
	pause         time.Duration
	// onRead, if set, is called at each read.
	onRead func()
	read   int
}

// Read implements io.Reader.
func (b *endlessBody) Read(into []byte) (int, error) {
	if b.onRead != nil {
		b.onRead()
	}
	if b.first != "" {
		read := copy(into, b.first)
		b.first = b.first[read:]
		return read, nil
	}
	if b.pause > 0 && !retry.Sleep(b.ctx, b.pause) {
		return 0, context.Cause(b.ctx)
	}
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	if b.pause > 0 {
		into = into[:min(len(into), len(b.repeat))]
	}
	for i := range into {
		into[i] = b.repeat[b.read%len(b.repeat)]
		b.read++
	}
	return len(into), nil
}

// firstEndless answers the first attempt with a body without end and all others soundly.
func firstEndless(kind route.Kind, first, repeat string, pause time.Duration) *scriptedBackend {
	return &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, number int) (*Answer, error) {
		switch {
		case number == 1:
			body := &endlessBody{ctx: ctx, first: first, repeat: repeat, pause: pause}
			return &Answer{Status: http.StatusOK, Header: http.Header{}, EventStream: kind == route.Stream, Body: io.NopCloser(body)}, nil
		case kind == route.Stream:
			return streamAnswer(events(attempt.LastEventID+1, 4)), nil
		default:
			return bufferedAnswer(http.StatusOK, "body"), nil
		}
	}}
}

// Guards against lines that bring no event, and events that come again and again, which are passed on or count
// as progress, so that a stream ends with its request's deadline in place of going on elsewhere.
func TestDo_EndlessLinesAreNoProgress(t *testing.T) {
	for name, repeat := range map[string]string{
		"blank lines": "\n", "comments": ": c\n\n", "comment that never ends": ":", "other fields": "retry: 1\n\n", "the same event": "id: 2\ndata: 2\n\n",
	} {
		for _, first := range []string{"", events(1, 2)} {
			for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
				if first == "" && name == "the same event" {
					continue
				}
				t.Run(fmt.Sprintf("%s/%d bytes before/%v", name, len(first), pause), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						defer time.Sleep(2 * slotReleaseDelay)
						forwarder := newForwarder(firstEndless(route.Stream, first, repeat, pause), 3)
						began := time.Now()
						sink, result, err := do(t, forwarder, silentRoute(route.Stream))
						if err != nil || result.Attempts != 2 || sink.body.String() != events(1, 4) {
							t.Fatalf("caller got %q after %d attempts, %v", sink.body.String(), result.Attempts, err)
						}
						if took := time.Since(began); took > 2*time.Second || pause == 0 && took > 100*time.Millisecond {
							t.Errorf("went on after %v", took)
						}
					})
				})
			}
		}
	}
}

// Guards against the same where the replica answers other requests: a pause of its stream is then allowed to be
// longer, but not as long as the request's deadline.
func TestDo_EndlessLinesOfABusyReplicaAreNoProgress(t *testing.T) {
	for _, repeat := range []string{"\n", ": c\n\n", "id: 2\ndata: 2\n\n"} {
		synctest.Test(t, func(t *testing.T) {
			defer time.Sleep(2 * slotReleaseDelay)
			forwarder := newForwarder(firstEndless(route.Stream, events(1, 2), repeat, 50*time.Millisecond), 3)
			answerOtherRequests(t, forwarder.Replicas, "r0", "r1", "r2")
			began := time.Now()
			sink, result, err := do(t, forwarder, silentRoute(route.Stream))
			if err != nil || result.Attempts != 2 || sink.body.String() != events(1, 4) {
				t.Fatalf("%q: caller got %q after %d attempts, %v", repeat, sink.body.String(), result.Attempts, err)
			}
			if took := time.Since(began); took > minStalledLimit+time.Second {
				t.Errorf("%q: went on after %v", repeat, took)
			}
		})
	}
}

// Guards against a sound stream that is changed because it has blank lines and comments.
func TestDo_CommentsOfASoundStreamArrive(t *testing.T) {
	text := ": begin\n\nid: 1\ndata: a\n\n\n: wait\n\nweight-versions: 2\nid: 2\ndata: b\n\n\n\n: end\n\n"
	backend := &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) { return streamAnswer(text), nil }}
	sink, result, err := do(t, newForwarder(backend, 2), routeOf(route.Stream, true, 2))
	if err != nil || result.Attempts != 1 || sink.body.String() != text {
		t.Errorf("caller got %q after %d attempts, %v", sink.body.String(), result.Attempts, err)
	}
}

// Guards against a body of which a byte comes now and then, which keeps a request from going on elsewhere, or a
// slot beyond the request's deadline.
func TestDo_SlowBodyIsLeft(t *testing.T) {
	for _, kind := range []route.Kind{route.Repeatable, route.Once} {
		synctest.Test(t, func(t *testing.T) {
			forwarder := newForwarder(firstEndless(kind, "", "x", 50*time.Millisecond), 2)
			began, target := time.Now(), silentRoute(kind)
			sink, result, err := do(t, forwarder, target)
			took := time.Since(began)
			if kind == route.Repeatable && (err != nil || result.Attempts != 2 || sink.body.String() != "body" || took > 2*time.Second) {
				t.Errorf("repeatable: caller got %q after %v and %d attempts, %v", sink.body.String(), took, result.Attempts, err)
			}
			if kind == route.Once && (!errors.Is(err, ErrTimeout) || outcome.Of(err) != outcome.Unknown || took > target.Timeout) {
				t.Errorf("once: ended after %v, %v", took, err)
			}
			time.Sleep(2 * slotReleaseDelay)
			if open := forwarder.Replicas.PoolStats(clock.Now())[testPool].Open; open > 0 {
				t.Errorf("%v: %d slots are still taken", kind, open)
			}
		})
	}
}
