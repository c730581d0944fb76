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
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// silences are pauses that a sound replica may make.
var silences = []time.Duration{time.Second, 1500 * time.Millisecond}

// pausedBody reads from a text, and pauses before the byte at an offset.
type pausedBody struct {
	ctx        context.Context
	text       string
	offset, at int
	pause      time.Duration
}

// Read implements io.Reader.
func (b *pausedBody) Read(into []byte) (int, error) {
	if b.at == b.offset {
		if !retry.Sleep(b.ctx, b.pause) {
			return 0, b.ctx.Err()
		}
		b.offset = -1
	}
	if b.at == len(b.text) {
		return 0, io.EOF
	}
	end := len(b.text)
	if b.offset > b.at {
		end = b.offset
	}
	read := copy(into, b.text[b.at:end])
	b.at += read
	return read, nil
}

// pausingBackend answers every request whole, with one pause of the first replica that is asked: before
// the head of the answer, or after the given number of events. It answers as soon as the others do.
func pausingBackend(kind route.Kind, pause time.Duration, beforeHead bool, after int) *scriptedBackend {
	return &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, number int) (*Answer, error) {
		if number > 1 {
			pause = 0
		}
		if beforeHead && !retry.Sleep(ctx, pause) {
			return nil, outcome.AsUnknown(fmt.Errorf("%w: %w", ErrBroken, ctx.Err()))
		}
		if beforeHead {
			pause = 0
		}
		if kind != route.Stream {
			return bufferedAnswer(http.StatusOK, "body"), nil
		}
		offset := 0
		if after > 0 {
			offset = len(events(1, after))
		}
		body := &pausedBody{ctx: ctx, text: events(attempt.LastEventID+1, 4), offset: offset, pause: pause}
		return &Answer{Status: http.StatusOK, Header: http.Header{}, EventStream: true, Body: io.NopCloser(body)}, nil
	}}
}

// silentRoute returns a route with short targets.
func silentRoute(kind route.Kind) *route.Route {
	target := routeOf(kind, true, 3)
	target.Timeout = 5 * time.Second
	return target
}

// expectUndisturbed reports an error if a request was not answered by its first attempt, or if anything
// was held against a replica.
func expectUndisturbed(t *testing.T, forwarder *Forwarder, guard *recordingGuard, result Result, err error) {
	t.Helper()
	if err != nil || result.Attempts != 1 {
		t.Errorf("%d attempts, %v; want one that succeeds", result.Attempts, err)
	}
	now := clock.Now()
	if _, ejected := forwarder.Replicas.Count(now); ejected > 0 {
		t.Errorf("%d replicas are ejected", ejected)
	}
	if reports := forwarder.Replicas.FailureReports(now); len(reports) > 0 {
		t.Errorf("failures are reported to other nodes: %+v", reports)
	}
	if len(guard.interrupted) > 0 {
		t.Errorf("%d runs count as interrupted", len(guard.interrupted))
	}
}

// TestDo_PauseOfASoundReplicaIsNoFault guards against answers that are cut, and replicas that are ejected
// or suspected of a crash, because a replica sent nothing for a second or so.
func TestDo_PauseOfASoundReplicaIsNoFault(t *testing.T) {
	cases := map[string]struct {
		kind       route.Kind
		beforeHead bool
		after      int
	}{
		"request":                       {route.Repeatable, true, 0},
		"request that may run once":     {route.Once, true, 0},
		"stream before its head":        {route.Stream, true, 0},
		"stream before its first event": {route.Stream, false, 0},
		"stream between events":         {route.Stream, false, 2},
	}
	for name, tc := range cases {
		for _, pause := range silences {
			t.Run(fmt.Sprintf("%s/%v", name, pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					forwarder, guard := newForwarder(pausingBackend(tc.kind, pause, tc.beforeHead, tc.after), 3), &recordingGuard{}
					forwarder.Quarantine = guard
					sink, result, err := do(t, forwarder, silentRoute(tc.kind))
					expectUndisturbed(t, forwarder, guard, result, err)
					if want := events(1, 4); tc.kind == route.Stream && sink.body.String() != want {
						t.Errorf("caller got %q, want %q", sink.body.String(), want)
					}
				})
			})
		}
	}
}

// TestDo_PauseInTheListIsNoFault guards against answers that are cut because the row of a sound replica was
// not written in time, so that it is missing from the list for a while.
func TestDo_PauseInTheListIsNoFault(t *testing.T) {
	for _, pause := range silences {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder, guard := forwarderWithStartTimes(nil, 2), &recordingGuard{}
				paused := pausingBackend(route.Stream, pause, false, 2)
				forwarder.Quarantine = guard
				forwarder.Backend = &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, number int) (*Answer, error) {
					chosen := attempt.Replica
					time.AfterFunc(100*time.Millisecond, func() { forwarder.Replicas.Remove(chosen.ID, clock.Now()) })
					time.AfterFunc(100*time.Millisecond+pause, func() { forwarder.Replicas.Put(chosen) })
					return paused.answer(ctx, attempt, number)
				}}
				_, result, err := do(t, forwarder, silentRoute(route.Stream))
				expectUndisturbed(t, forwarder, guard, result, err)
				time.Sleep(pause)
				if listed := forwarder.Replicas.Listed(); listed != 2 {
					t.Errorf("%d replicas are listed, want 2", listed)
				}
			})
		})
	}
}

// TestDo_PauseOfAReservationIsNoFault guards against requests that fail, and replicas that are ejected,
// because a replica did not answer a reservation for a second or so.
func TestDo_PauseOfAReservationIsNoFault(t *testing.T) {
	for _, pause := range silences {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder, guard := forwarderWithStartTimes(answerAll(), 2), &recordingGuard{}
				forwarder.Quarantine, forwarder.Reserver = guard, pausingReserver{pause}
				// All slots are those of the other node, so the request asks for one.
				forwarder.Replicas.Divide("a", nodesWithoutPlace("a", "b"))
				for _, id := range []string{"r0", "r1"} {
					for range 4 {
						forwarder.Replicas.Begin(id, replica.RequestInfo{}, clock.Now())
					}
				}
				_, result, err := do(t, forwarder, silentRoute(route.Stream))
				expectUndisturbed(t, forwarder, guard, result, err)
			})
		})
	}
}

// pausingReserver answers reservations after a pause.
type pausingReserver struct{ pause time.Duration }

// Reserve implements Reserver.
func (r pausingReserver) Reserve(ctx context.Context, _ replica.Info, _ int, _ time.Duration) (string, error) {
	if !retry.Sleep(ctx, r.pause) {
		return "", ctx.Err()
	}
	return "slot", nil
}

// TestDo_SilentAnswerIsKeptIfNothingElseCanTakeIt guards against an answer that is ended for a silence
// though the request cannot go on elsewhere, so that the caller loses what the replica would have sent.
func TestDo_SilentAnswerIsKeptIfNothingElseCanTakeIt(t *testing.T) {
	const pause = 3 * time.Second
	cases := map[string]func(forwarder *Forwarder){
		"no retry left in the budget": func(forwarder *Forwarder) {
			forwarder.Budget = retry.NewBudget(0)
			for forwarder.Budget.TryRetry() {
			}
		},
		"no other replica": func(forwarder *Forwarder) { forwarder.Replicas.Remove("r1", clock.Now()) },
		"other replicas leave": func(forwarder *Forwarder) {
			other, _ := forwarder.Replicas.Get("r1")
			other.Leaving = true
			forwarder.Replicas.Put(other)
		},
		"others run another software version": func(forwarder *Forwarder) {
			for id, version := range map[string]string{"r0": "1", "r1": "2"} {
				info, _ := forwarder.Replicas.Get(id)
				info.SoftwareVersion = version
				forwarder.Replicas.Put(info)
			}
		},
	}
	for name, limit := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwarder, guard := forwarderWithStartTimes(pausingBackend(route.Stream, pause, false, 2), 2), &recordingGuard{}
				forwarder.Quarantine = guard
				limit(forwarder)
				sink, result, err := do(t, forwarder, silentRoute(route.Stream))
				expectUndisturbed(t, forwarder, guard, result, err)
				if want := events(1, 4); sink.body.String() != want {
					t.Errorf("caller got %q, want %q", sink.body.String(), want)
				}
			})
		})
	}
}

// TestDo_SilentAnswerMovesOnceAnotherReplicaCanTakeIt guards against a stream that stays with a replica
// that is gone, because no other one could take it at the first check.
func TestDo_SilentAnswerMovesOnceAnotherReplicaCanTakeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := forwarderWithStartTimes(pausingBackend(route.Stream, time.Hour, false, 2), 1)
		const listedAfter = 2500 * time.Millisecond
		time.AfterFunc(listedAfter, func() { announceStart(forwarder, "r1", 1000, "r1") })
		began := time.Now()
		sink, result, err := do(t, forwarder, silentRoute(route.Stream))
		if err != nil || result.Attempts != 2 || sink.body.String() != events(1, 4) {
			t.Fatalf("caller got %q after %d attempts, %v", sink.body.String(), result.Attempts, err)
		}
		if took := time.Since(began); took > listedAfter+500*time.Millisecond {
			t.Errorf("moved after %v, the replica was listed after %v", took, listedAfter)
		}
	})
}

// TestDo_LongSilenceOfAMovableStreamIsLeft guards against streams that stay with a replica that is gone
// until their callers give up.
func TestDo_LongSilenceOfAMovableStreamIsLeft(t *testing.T) {
	for _, after := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			forwarder := newForwarder(pausingBackend(route.Stream, time.Hour, false, after), 3)
			began := time.Now()
			sink, result, err := do(t, forwarder, silentRoute(route.Stream))
			if errors.Is(err, ErrSilent) || result.Attempts != 2 || sink.body.String() != events(1, 4) {
				t.Fatalf("caller got %q after %d attempts, %v", sink.body.String(), result.Attempts, err)
			}
			if took := time.Since(began); took >= 2*time.Second {
				t.Errorf("moved after %v, callers give up after 2 s", took)
			}
		})
	}
}

// TestDo_StreamGoesOnThoughItsReplicaWasUnreachableBefore guards against streams that are cut when they
// break off, because their replica did not accept a connection a moment before they began. A replica that
// has no start time does not restart under its ID, so it is known which one sent the events.
func TestDo_StreamGoesOnThoughItsReplicaWasUnreachableBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := newForwarder(nil, 1)
		forwarder.Backend = &scriptedBackend{answer: func(_ context.Context, attempt *Attempt, number int) (*Answer, error) {
			if number == 1 {
				forwarder.Replicas.Put(replica.Info{ID: "r1", Pool: testPool, Address: "r1", Slots: 4})
				return streamAnswer(events(1, 2) + "id: 3"), nil
			}
			return streamAnswer(events(attempt.LastEventID+1, 4)), nil
		}}
		now := clock.Now()
		forwarder.Replicas.Begin("r0", replica.RequestInfo{}, now).End(replica.Unreachable, now)
		time.Sleep(time.Second)
		sink, result, err := do(t, forwarder, silentRoute(route.Stream))
		if err != nil || result.Attempts != 2 || sink.body.String() != events(1, 4) {
			t.Fatalf("caller got %q after %d attempts, %v", sink.body.String(), result.Attempts, err)
		}
	})
}
