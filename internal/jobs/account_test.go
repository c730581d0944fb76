package jobs

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// hangingAnswer is an answer whose connection has gone silent: it brings some events and then
// nothing until the attempt is given up.
func hangingAnswer(ctx context.Context, text string) *forward.Answer {
	answer := answerOf(http.StatusOK, "")
	answer.Body = &silentBody{ctx: ctx, text: []byte(text)}
	return answer
}

// silentBody has a text, and says nothing after it until its context ends.
type silentBody struct {
	ctx  context.Context
	text []byte
}

func (b *silentBody) Read(into []byte) (int, error) {
	if len(b.text) > 0 {
		count := copy(into, b.text)
		b.text = b.text[count:]
		return count, nil
	}
	<-b.ctx.Done()
	return 0, context.Cause(b.ctx)
}

func (b *silentBody) Close() error { return nil }

// sendFunc is a backend of one function.
type sendFunc func(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error)

// Send implements forward.Backend.
func (f sendFunc) Send(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	return f(ctx, attempt)
}

func TestAccount_TellsWhatItemsWaitFor(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	runner, replicas := startRunner(t, node, sendFunc(func(ctx context.Context, _ *forward.Attempt) (*forward.Answer, error) {
		return hangingAnswer(ctx, events(1, 3)), nil
	}))
	for _, id := range []string{"r1", "r2"} {
		replicas.Remove(id, clock.Now())
	}
	if err := node.Submit(t.Context(), submission("j", 10)); err != nil {
		t.Fatal(err)
	}
	counted := func(what Wait) int { return runner.Account(clock.Now())[what].Count }
	for deadline := time.Now().Add(5 * time.Second); counted(WaitAnswer) < 8 || counted(WaitRoom) < 2; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("account is %+v, want 8 items of 10 that run on 8 slots and 2 that wait for room", runner.Account(clock.Now()))
		}
	}
	if overdue := runner.Overdue(clock.Now()); len(overdue) > 0 {
		t.Fatalf("%d items are overdue at once", len(overdue))
	}
	overdue := runner.Overdue(clock.Now().Add(overdueAfter))
	if len(overdue) != 10 || overdue[0].Job != "j" {
		t.Fatalf("overdue are %+v, want all 10", overdue)
	}
}
