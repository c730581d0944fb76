package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// answerAfter returns a function that answers attempts after a time, or with the error of their context.
func answerAfter(took time.Duration) func(context.Context, *Attempt, int) (*Answer, error) {
	return func(ctx context.Context, _ *Attempt, _ int) (*Answer, error) {
		select {
		case <-time.After(took):
			return bufferedAnswer(http.StatusOK, "ok"), nil
		case <-ctx.Done():
			return nil, outcome.AsUnknown(ctx.Err())
		}
	}
}

func slowRoute() *route.Route {
	target := routeOf(route.Once, false, 2)
	target.Timeout = 9 * time.Second
	return target
}

func TestDo_StopRefusesWhatCannotEnd(t *testing.T) {
	for name, c := range map[string]struct {
		// earlier is how long an answer took before the stop; 0 if there was none.
		earlier time.Duration
		// left is the time from the request to the end of the stop, whose notice ends 4 s before that.
		left    time.Duration
		timeout time.Duration
		batch   bool
		served  bool
	}{
		"time for the longest answer":       {earlier: time.Second, left: 1100 * time.Millisecond, served: true},
		"less time than the longest answer": {earlier: time.Second, left: 900 * time.Millisecond},
		"unknown, before the notice ended":  {left: 4100 * time.Millisecond, served: true},
		"unknown, after the notice ended":   {left: 3900 * time.Millisecond},
		"long, before the notice ended":     {earlier: 6 * time.Second, left: 4100 * time.Millisecond, served: true},
		"the caller waits less":             {earlier: time.Second, left: 900 * time.Millisecond, timeout: 800 * time.Millisecond, served: true},
		"item":                              {earlier: time.Second, left: 900 * time.Millisecond, batch: true, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &scriptedBackend{answer: answerAfter(c.earlier)}
				forwarder := newForwarder(backend, 1)
				if c.earlier > 0 {
					if _, _, err := do(t, forwarder, slowRoute()); err != nil {
						t.Fatal(err)
					}
				}
				end := clock.Now().Add(c.left)
				forwarder.BeginStop(PlannedStop{NoticeEnd: end.Add(-4 * time.Second), End: end})
				backend.answer = answerAfter(100 * time.Millisecond)
				sentBefore := len(backend.sent)
				request := &Request{ID: "late", Method: http.MethodPost, Target: "/x", Received: clock.Now(), Batch: c.batch}
				if c.timeout > 0 {
					request.Deadline = clock.Now().Add(c.timeout)
				}
				_, err := forwarder.Do(t.Context(), slowRoute(), request, &recordingSink{})
				if c.served && err != nil {
					t.Errorf("not served: %v", err)
				}
				refused := errors.Is(err, ErrStopping) && outcome.Of(err) == outcome.NotDone && len(backend.sent) == sentBefore
				if !c.served && !refused {
					t.Errorf("%v, outcome %v, %d attempts; want a refusal", err, outcome.Of(err), len(backend.sent)-sentBefore)
				}
			})
		})
	}
}

// Guards against a request that waits for a replica, or is sent again, beyond the time that the stop leaves.
func TestDo_StopEndsWaitsAndRetries(t *testing.T) {
	for name, answer := range map[string]func(context.Context, *Attempt, int) (*Answer, error){
		"refused": func(context.Context, *Attempt, int) (*Answer, error) { return nil, outcome.AsNotDone(ErrRefused) },
		"failed": func(context.Context, *Attempt, int) (*Answer, error) {
			time.Sleep(600 * time.Millisecond)
			return nil, outcome.AsUnknown(ErrBroken)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &scriptedBackend{answer: answerAfter(time.Second)}
				forwarder := newForwarder(backend, 2)
				target := slowRoute()
				target.Kind, target.Resumable = route.Stream, true
				if _, _, err := do(t, forwarder, target); err != nil {
					t.Fatal(err)
				}
				end := clock.Now().Add(1500 * time.Millisecond)
				forwarder.BeginStop(PlannedStop{NoticeEnd: end.Add(-4 * time.Second), End: end})
				backend.answer = answer
				_, result, err := do(t, forwarder, target)
				if !errors.Is(err, ErrStopping) || (outcome.Of(err) == outcome.NotDone) != (name == "refused") {
					t.Errorf("%v, outcome %v after %d attempts", err, outcome.Of(err), result.Attempts)
				}
				if left := clock.Until(end); left < 800*time.Millisecond {
					t.Errorf("ended %v before the end of the stop, want as soon as no answer could come", left)
				}
			})
		})
	}
}

func TestDo_StopLeavesTheOutcomeOfAnAttemptUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := newForwarder(&scriptedBackend{answer: answerAfter(time.Hour)}, 1)
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Second, func() { cancel(ErrStopping) })
		request := &Request{ID: "q", Method: http.MethodPost, Target: "/x", Received: clock.Now()}
		_, err := forwarder.Do(ctx, slowRoute(), request, &recordingSink{})
		if !errors.Is(err, ErrStopping) || outcome.Of(err) != outcome.Unknown {
			t.Errorf("%v, outcome %v", err, outcome.Of(err))
		}
		time.Sleep(2 * slotReleaseDelay)
	})
}

func TestAnswerTimes_OldOnesAreForgotten(t *testing.T) {
	var times answerTimes
	now := time.Now()
	times.record("r", 3*time.Second, now)
	times.record("r", time.Second, now)
	for i, want := range []time.Duration{3 * time.Second, 3 * time.Second, 0} {
		after := time.Duration(i) * answerTimesWindow
		if longest := times.longest("r", now.Add(after)); longest != want {
			t.Errorf("%v after %v, want %v", longest, after, want)
		}
	}
	if longest := times.longest("other", now); longest != 0 {
		t.Errorf("%v for a route without answers", longest)
	}
}
