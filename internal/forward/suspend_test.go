package forward

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/clock/clocktest"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

// TestDo_EndsAtOnceWhenSuspendedPastDeadline guards against a request that continues after a
// suspension of the machine in which its deadline passed.
func TestDo_EndsAtOnceWhenSuspendedPastDeadline(t *testing.T) {
	machine := clocktest.New(t)
	sent := make(chan struct{})
	backend := &scriptedBackend{answer: func(ctx context.Context, _ *Attempt, _ int) (*Answer, error) {
		close(sent)
		<-ctx.Done()
		return nil, outcome.AsUnknown(ctx.Err())
	}}
	target := routeOf(route.Stream, false, 1)
	target.Timeout = time.Minute
	go func() {
		<-sent
		machine.Suspend(2 * time.Minute)
	}()
	began := time.Now()
	_, _, err := do(t, newForwarder(backend, 2), target)
	if took := time.Since(began); !errors.Is(err, ErrTimeout) || took > 10*time.Second {
		t.Fatalf("ended with %v after %v", err, took)
	}
}

// TestDo_GrantReceivedBeforeSuspensionIsNotUsed covers a node suspended while it waits for a grant:
// the grant it then reads is for a second that has passed.
func TestDo_GrantReceivedBeforeSuspensionIsNotUsed(t *testing.T) {
	machine := clocktest.New(t)
	backend := answerAll()
	forwarder := coldForwarder(backend, []string{"b"}, time.Minute)
	forwarder.ColdGranter = &scriptedGranter{grant: func(number int) bool {
		if number == 1 {
			machine.Suspend(time.Second)
		}
		return number <= 2
	}}
	target := routeOf(route.Stream, true, 2)
	target.Timeout = 20 * time.Second
	if _, _, err := do(t, forwarder, target); err != nil {
		t.Fatal(err)
	}
	if granter := forwarder.ColdGranter.(*scriptedGranter); len(granter.asked) != 2 || len(backend.sent) != 1 {
		t.Errorf("asked %d times, sent %d times", len(granter.asked), len(backend.sent))
	}
}
