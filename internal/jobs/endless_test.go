package jobs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/retry"
)

// wholeText is the text of events 1 to 5.
const wholeText = "piece 1\npiece 2\npiece 3\npiece 4\npiece 5"

// trickle brings a text, and then a piece again and again after a pause each time.
type trickle struct {
	ctx         context.Context
	first, next string
	pause       time.Duration
}

// Read implements io.Reader.
func (s *trickle) Read(into []byte) (int, error) {
	if s.first == "" {
		if !retry.Sleep(s.ctx, s.pause) {
			return 0, context.Cause(s.ctx)
		}
		s.first = s.next
	}
	read := copy(into, s.first)
	s.first = s.first[read:]
	return read, nil
}

// Guards against an item that never completes because its answer goes on without bringing anything new, at a
// replica that answers other requests.
func TestRunner_EndlessLinesAreNoProgress(t *testing.T) {
	for name, next := range map[string]string{
		"blank lines": "\n", "comments": ": c\n\n", "the same event": "id: 3\ndata: piece 3\n\n", "events without an id": "data: x\n\n",
	} {
		for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
			for _, first := range []string{events(1, 3), ""} {
				if first == "" && name == "the same event" {
					continue
				}
				t.Run(fmt.Sprintf("%s/%v/%d bytes before", name, pause, len(first)), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						site := newStallSite(t, func(ctx context.Context, attempt *forward.Attempt, number int) (*forward.Answer, error) {
							if number > 1 {
								return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
							}
							answer := answerOf(http.StatusOK, "")
							answer.Body = io.NopCloser(&trickle{ctx: ctx, first: first, next: next, pause: pause})
							return answer, nil
						})
						if err := site.node.Submit(t.Context(), submission("j", 1)); err != nil {
							t.Fatal(err)
						}
						if results := site.awaitDone(t, "j", stallBound); results[0].Dead || results[0].Text != wholeText {
							t.Errorf("result is %+v", results[0])
						}
					})
				})
			}
		}
	}
}

// Guards against an item that never completes because the head of its answer comes without end.
func TestRunner_EndlessHeadIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newStallSite(t, func(ctx context.Context, attempt *forward.Attempt, number int) (*forward.Answer, error) {
			if number > 1 {
				return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
			}
			<-ctx.Done()
			return nil, outcome.AsUnknown(forward.ErrBroken)
		})
		if err := site.node.Submit(t.Context(), submission("j", 1)); err != nil {
			t.Fatal(err)
		}
		if results := site.awaitDone(t, "j", stallBound); results[0].Dead || results[0].Text != wholeText {
			t.Errorf("result is %+v", results[0])
		}
	})
}

// Guards against an item that may run once, and holds its slot as long as its answer goes on without bringing
// anything new.
func TestRunner_EndlessLinesEndAnItemThatMayRunOnce(t *testing.T) {
	for _, next := range []string{"\n", ": c\n\n", "id: 3\ndata: piece 3\n\n"} {
		synctest.Test(t, func(t *testing.T) {
			site := newStallSite(t, func(ctx context.Context, _ *forward.Attempt, _ int) (*forward.Answer, error) {
				answer := answerOf(http.StatusOK, "")
				answer.Body = io.NopCloser(&trickle{ctx: ctx, first: events(1, 3), next: next, pause: 50 * time.Millisecond})
				return answer, nil
			})
			site.submitLasting(t, "j", 1, true)
			results := site.awaitDone(t, "j", atMostOnceEventTimeout+stallBound)
			if !results[0].Dead || results[0].Reason != Undecided || site.sends["j-0"] != 1 {
				t.Errorf("result is %+v after %d sends", results[0], site.sends["j-0"])
			}
			if open := site.runner.Replicas.PoolStats(clock.Now())[testPool].Items; open > 0 {
				t.Errorf("%d slots are still taken", open)
			}
		})
	}
}
