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
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/retry"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// pausedBody brings some events, pauses and brings the rest.
type pausedBody struct {
	ctx          context.Context
	before, rest string
	pause        time.Duration
}

// Read implements io.Reader.
func (b *pausedBody) Read(into []byte) (int, error) {
	if b.before == "" && b.pause > 0 {
		if !retry.Sleep(b.ctx, b.pause) {
			return 0, context.Cause(b.ctx)
		}
		b.pause = 0
	}
	text := &b.before
	if *text == "" {
		text = &b.rest
	}
	if *text == "" {
		return 0, io.EOF
	}
	read := copy(into, *text)
	*text = (*text)[read:]
	return read, nil
}

// pausedAnswer returns a whole answer with one pause after the given number of events, or before its head
// if that is negative.
func pausedAnswer(ctx context.Context, attempt *forward.Attempt, after int, pause time.Duration) (*forward.Answer, error) {
	if after < 0 {
		if !retry.Sleep(ctx, pause) {
			return nil, context.Cause(ctx)
		}
		return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
	}
	answer := answerOf(http.StatusOK, "")
	body := &pausedBody{ctx: ctx, rest: events(after+1, 5), pause: pause}
	if after > 0 {
		body.before = events(1, after)
	}
	answer.Body = io.NopCloser(body)
	return answer, nil
}

// TestRunner_PauseOfASoundReplicaIsNoFault guards against items that are sent again, end as undecided or
// have their replica ejected because it sent nothing for a second or so, even if its row is missing from
// the list meanwhile.
func TestRunner_PauseOfASoundReplicaIsNoFault(t *testing.T) {
	for place, after := range map[string]int{"before the head": -1, "before the first event": 0, "between events": 2} {
		for _, pause := range []time.Duration{time.Second, 1500 * time.Millisecond} {
			for _, delisted := range []bool{false, true} {
				for _, once := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%v/delisted=%v/once=%v", place, pause, delisted, once), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { expectOneSend(t, after, pause, delisted, once) })
					})
				}
			}
		}
	}
}

// expectOneSend runs items at replicas that each pause in every answer.
func expectOneSend(t *testing.T, after int, pause time.Duration, delisted, once bool) {
	t.Helper()
	site := &stallSite{node: startNode(t, tabletest.New(), &objecttest.Store{}, "a#1"), sends: map[string]int{}}
	var replicas *replica.Set
	site.runner, replicas = startRunner(t, site.node, sendFunc(func(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
		site.countSend(attempt.Request.ID)
		if delisted {
			chosen := attempt.Replica
			time.AfterFunc(100*time.Millisecond, func() { replicas.Remove(chosen.ID, clock.Now()) })
			time.AfterFunc(100*time.Millisecond+pause, func() { replicas.Put(chosen) })
		}
		return pausedAnswer(ctx, attempt, after, pause)
	}))
	ejected := 0
	replicas.OnEjected = func(replica.Info, replica.Result) { ejected++ }
	site.submitLasting(t, "j", 3, once)
	for _, result := range site.awaitDone(t, "j", 5*time.Second) {
		if want := "piece 1\npiece 2\npiece 3\npiece 4\npiece 5"; result.Dead || result.Text != want || site.sends[result.Item] != 1 {
			t.Errorf("result is %+v after %d sends, want the whole text after one", result, site.sends[result.Item])
		}
	}
	if reports := replicas.FailureReports(clock.Now()); ejected > 0 || len(reports) > 0 {
		t.Errorf("%d ejections, failures reported to other nodes: %+v", ejected, reports)
	}
}
