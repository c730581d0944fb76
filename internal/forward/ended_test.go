package forward

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
)

const (
	// endedCallers is the number of callers that send one request after the other.
	endedCallers = 50
	// endedTime is how long connections are refused. No data arrives for longer than a node takes to
	// count as without contact.
	endedTime = 5 * time.Second
)

// refuseUntil refuses connections until a time.
func refuseUntil(back time.Time) *scriptedBackend {
	return &scriptedBackend{answer: func(context.Context, *Attempt, int) (*Answer, error) {
		time.Sleep(time.Millisecond)
		if time.Now().Before(back) {
			return nil, outcome.AsNotDone(ErrUnreachable)
		}
		return streamAnswer(events(1, 2)), nil
	}}
}

// count returns the number of attempts so far.
func (b *scriptedBackend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sent)
}

// callUntil makes callers send requests, one after the other, until a time. It returns the errors.
func callUntil(t *testing.T, forwarder *Forwarder, end time.Time) []error {
	var (
		group  sync.WaitGroup
		mu     sync.Mutex
		failed []error
	)
	for range endedCallers {
		group.Go(func() {
			for time.Now().Before(end) {
				if _, _, err := do(t, forwarder, routeOf(route.Stream, true, 2)); err != nil {
					mu.Lock()
					failed = append(failed, err)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return failed
}

// Guards against callers' requests that are all sent again and again to the replicas of an ended pool,
// and reach the one that is back all at once. Refused callers learn when to come back.
func TestDo_EndedPoolGetsRequestsAtColdRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		back := time.Now().Add(endedTime)
		backend := refuseUntil(back)
		forwarder := coldForwarder(backend, []string{"a"}, 0)
		// The list shows a restart only after this test.
		forwarder.Replicas.Put(replica.Info{ID: "cold", Pool: testPool, Address: "cold", Slots: 4, StartedUnixMs: 1})
		sent := 0
		time.AfterFunc(endedTime+time.Second, func() { sent = backend.count() })
		failed := callUntil(t, forwarder, back.Add(time.Second))
		for _, err := range failed {
			busy := (*BusyError)(nil)
			if outcome.Of(err) != outcome.NotDone || !errors.As(err, &busy) || busy.PredictedWait <= 0 {
				t.Fatalf("a request ended with %v, want a refusal with a predicted wait", err)
			}
		}
		if len(failed) == 0 {
			t.Error("no request was refused")
		}
		// Each caller's first request, and this node's part of a rate of 15: 6.5 a second.
		if most := endedCallers + 7*int((endedTime+time.Second)/time.Second); sent > most || sent <= endedCallers {
			t.Errorf("%d requests were sent, want %d to %d", sent, endedCallers+1, most)
		}
	})
}

// Guards against all waiting requests of all nodes asking the few senders of a replica again and again,
// and against requests that wait on although grants are given.
func TestDo_OneRequestAsksWhileGrantsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		back := time.Now().Add(endedTime)
		backend := refuseUntil(back)
		forwarder := coldForwarder(backend, []string{"b", "c"}, 0)
		var mu sync.Mutex
		asked := 0
		forwarder.ColdGranter = grantFunc(func(replica.ColdSender) bool {
			mu.Lock()
			asked++
			mu.Unlock()
			time.Sleep(time.Millisecond)
			return !time.Now().Before(back)
		})
		callUntil(t, forwarder, back.Add(-time.Second))
		// The requests that wait when the first one is refused, and one for each pause.
		if most := endedCallers + int(endedTime/capacityRetryInterval); asked > most || asked == 0 {
			t.Errorf("%d grants were requested in %v, want 1 to %d", asked, endedTime, most)
		}
		time.Sleep(time.Until(back))
		began := time.Now()
		if failed := callUntil(t, forwarder, began.Add(time.Millisecond)); len(failed) > 0 {
			t.Fatalf("%d requests failed although grants are given, the first with %v", len(failed), failed[0])
		}
		if took := time.Since(began); took > 4*capacityRetryInterval {
			t.Errorf("requests took %v although grants are given", took)
		}
	})
}

// grantFunc answers requests for grants.
type grantFunc func(sender replica.ColdSender) bool

func (f grantFunc) RequestGrant(_ context.Context, sender replica.ColdSender) bool { return f(sender) }
