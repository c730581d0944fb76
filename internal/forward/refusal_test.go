package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// afterDelay waits; it returns false if the attempt ended first.
func afterDelay(ctx context.Context, delay time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(delay):
		return true
	}
}

// slowRefuser refuses each attempt after a delay. lost counts the attempts that ended before their
// refusal.
func slowRefuser(delay time.Duration, lost *int) *scriptedBackend {
	return &scriptedBackend{answer: func(ctx context.Context, _ *Attempt, _ int) (*Answer, error) {
		if !afterDelay(ctx, delay) {
			*lost++
			return nil, outcome.AsUnknown(ErrBroken)
		}
		return nil, outcome.AsNotDone(ErrRefused)
	}}
}

// TestDo_AlwaysRefusedRequestIsNotDone guards against attempts whose refusal can only arrive after
// the deadline, which would make a certain "not run" unknown.
func TestDo_AlwaysRefusedRequestIsNotDone(t *testing.T) {
	for delay := time.Millisecond; delay <= 120*time.Millisecond; delay += 7 * time.Millisecond {
		for replicas := 1; replicas <= 4; replicas++ {
			synctest.Test(t, func(t *testing.T) {
				lost := 0
				began := time.Now()
				_, _, err := do(t, newForwarder(slowRefuser(delay, &lost), replicas), routeOf(route.Stream, true, 2))
				if !errors.Is(err, ErrBusy) || outcome.Of(err) != outcome.NotDone || lost > 0 {
					t.Errorf("%d replicas that refuse after %v: %v, ran: %v, %d refusals too late", replicas, delay, err, outcome.Of(err), lost)
				}
				if took := time.Since(began); took < 1700*time.Millisecond {
					t.Errorf("%d replicas that refuse after %v: refused after %v of 2 s", replicas, delay, took)
				}
			})
		}
	}
}

// slowStream sends its events after a delay.
func slowStream(delay time.Duration) *scriptedBackend {
	return &scriptedBackend{answer: func(ctx context.Context, _ *Attempt, _ int) (*Answer, error) {
		if !afterDelay(ctx, delay) {
			return nil, outcome.AsUnknown(ErrBroken)
		}
		return streamAnswer(events(1, 3)), nil
	}}
}

// doWithin forwards a request with the given time until its deadline.
func doWithin(t *testing.T, forwarder *Forwarder, left time.Duration) error {
	t.Helper()
	request := &Request{ID: "q", Method: http.MethodPost, Target: "/x", Received: time.Now(), Deadline: time.Now().Add(left)}
	_, err := forwarder.Do(t.Context(), routeOf(route.Stream, true, 2), request, &recordingSink{})
	return err
}

func TestDo_AttemptThatCannotBeginInTimeIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := slowStream(300 * time.Millisecond)
		forwarder := newForwarder(backend, 2)
		for range 40 {
			if err := doWithin(t, forwarder, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		sent := len(backend.sent)
		began := time.Now()
		err := doWithin(t, forwarder, 200*time.Millisecond)
		if !errors.Is(err, ErrBusy) || outcome.Of(err) != outcome.NotDone || len(backend.sent) != sent {
			t.Errorf("200 ms for an event that takes 300: %v, sent %d times", err, len(backend.sent)-sent)
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("held for %v", took)
		}
		if err := doWithin(t, forwarder, 320*time.Millisecond); err != nil {
			t.Errorf("320 ms for an event that takes 300: %v", err)
		}
	})
}

// TestDo_UnknownLatencyDoesNotBlockAttempt checks that requests are sent when no latency has been
// observed yet.
func TestDo_UnknownLatencyDoesNotBlockAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if err := doWithin(t, newForwarder(slowStream(20*time.Millisecond), 1), 60*time.Millisecond); err != nil {
			t.Error(err)
		}
	})
}

// TestDo_MixedLatencyDoesNotBlockAttempt checks that an attempt is sent if a fast answer would
// still be in time, even if others are slow.
func TestDo_MixedLatencyDoesNotBlockAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &scriptedBackend{answer: func(ctx context.Context, _ *Attempt, number int) (*Answer, error) {
			delay := 20 * time.Millisecond
			if number%2 == 0 {
				delay = 500 * time.Millisecond
			}
			if !afterDelay(ctx, delay) {
				return nil, outcome.AsUnknown(ErrBroken)
			}
			return streamAnswer(events(1, 3)), nil
		}}
		forwarder := newForwarder(backend, 1)
		for range 40 {
			if err := doWithin(t, forwarder, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		if err := doWithin(t, forwarder, 60*time.Millisecond); err != nil {
			t.Errorf("request 41, which takes 20 ms: %v", err)
		}
	})
}

// routeWithoutObjective returns a route whose attempts are never canceled for silence.
func routeWithoutObjective() *route.Route {
	target := routeOf(route.Repeatable, true, 3)
	target.Objective = 0
	return target
}

// TestDo_DeadlineDuringRunIsTimeout checks that a request that may have run is never reported as
// refused.
func TestDo_DeadlineDuringRunIsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, _ int) (*Answer, error) {
			afterDelay(ctx, time.Until(attempt.Deadline))
			return bufferedAnswer(http.StatusGatewayTimeout, ""), nil
		}}
		_, _, err := do(t, newForwarder(backend, 2), routeWithoutObjective())
		if !errors.Is(err, ErrTimeout) || outcome.Of(err) != outcome.Unknown {
			t.Errorf("%v, ran: %v", err, outcome.Of(err))
		}
	})
}

// TestDo_QueuedRequestPastDeadlineIsNotDone checks that a replica's report that the deadline passed
// in its queue arrives before the caller's own deadline.
func TestDo_QueuedRequestPastDeadlineIsNotDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const oneWayDelay = 2 * time.Millisecond
		backend := &scriptedBackend{answer: func(ctx context.Context, attempt *Attempt, _ int) (*Answer, error) {
			if !afterDelay(ctx, time.Until(attempt.Deadline)+2*oneWayDelay) {
				return nil, outcome.AsUnknown(ErrBroken)
			}
			return nil, outcome.AsNotDone(ErrRefused)
		}}
		_, _, err := do(t, newForwarder(backend, 1), routeWithoutObjective())
		if !errors.Is(err, ErrBusy) || outcome.Of(err) != outcome.NotDone {
			t.Errorf("%v, ran: %v", err, outcome.Of(err))
		}
	})
}
