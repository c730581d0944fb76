package jobs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// answerFunc answers an attempt at an item. Attempts are numbered from 1.
type answerFunc func(attempt *forward.Attempt, number int) (*forward.Answer, error)

// scriptedBackend answers with a function and records the event that each attempt resumed after.
type scriptedBackend struct {
	mu           sync.Mutex
	answer       answerFunc
	resumedAfter []int
}

func (b *scriptedBackend) Send(_ context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	b.mu.Lock()
	b.resumedAfter = append(b.resumedAfter, attempt.LastEventID)
	number := len(b.resumedAfter)
	b.mu.Unlock()
	return b.answer(attempt, number)
}

func (b *scriptedBackend) attempts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.resumedAfter)
}

func answerOf(status int, body string) *forward.Answer {
	return &forward.Answer{
		Status: status, Header: http.Header{}, EventStream: status == http.StatusOK,
		Body: io.NopCloser(strings.NewReader(body)),
	}
}

func events(first, last int) string {
	var text strings.Builder
	for id := first; id <= last; id++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}

// noEvents discards all events.
type noEvents struct{}

func (noEvents) Accepted(*Job, time.Duration, bool)                        {}
func (noEvents) Refused(string, int64, int64, int64, int, error)           {}
func (noEvents) Ended(string, error)                                       {}
func (noEvents) Claimed(*Entry, string, error)                             {}
func (noEvents) ItemSent(*Job, string, string, int)                        {}
func (noEvents) ItemFailed(*Job, string, string, error)                    {}
func (noEvents) ItemPreempted(*Job, string, string, int, replica.Pressure) {}
func (noEvents) TextNotListed(*Job, string, int, string, int, error)       {}
func (noEvents) Removed(*Job, error)                                       {}
func (noEvents) NoResult(*Entry, int, time.Duration)                       {}
func (noEvents) EndChecked(*Job, time.Duration, error)                     {}
func (noEvents) Refreshed(*Job, time.Duration, error)                      {}
func (noEvents) AwaitingRegion(*Job, place.Regions)                        {}
func (noEvents) Resolved(operation string, attempts int, err error)        {}
func (noEvents) ItemListed(*Job, string, int, Reason, string, int, time.Duration) {
}
func (noEvents) ContentUnused(string, string, int, error)   {}
func (noEvents) CheckpointFailed(*Job, int, error)          {}
func (noEvents) Unresolved(string, string, int, int, error) {}

// testNode is a service with a view that follows a shared table.
type testNode struct {
	*Service
	session string
}

func startNode(t *testing.T, shared *tabletest.Table, objects object.Store, session string) *testNode {
	t.Helper()
	view := NewView()
	watcher := table.NewWatcher(shared.Feed(Group), view.Apply)
	service := &Service{
		Table: shared, Objects: objects, View: view, Events: noEvents{},
		Session: func(context.Context) (string, error) { return session, nil },
	}
	tabletest.Follow(t, watcher)
	return &testNode{Service: service, session: session}
}

// noOwners regards every other session as live.
type noOwners struct{}

func (noOwners) Refresh(context.Context) error  { return nil }
func (noOwners) RefreshInterval() time.Duration { return 10 * time.Millisecond }
func (noOwners) Expired(string) bool            { return false }
func (noOwners) Live() []string                 { return nil }
func (noOwners) Preferred(string) string        { return "a#1" }
func (noOwners) Nodes() []string                { return nil }
func (noOwners) Places() []place.Node           { return nil }
func (noOwners) Region(string) string           { return "" }
func (noOwners) Gone(string) bool               { return false }

const (
	testHost = "jobs.example"
	testPool = "pool"
)

func batchTable() *route.Table {
	return route.NewTable(&route.Config{Version: 1, Routes: []*route.Route{{
		Name: "batch", Host: testHost, Prefix: "/batch/", Kind: route.Batch, MaxAttempts: 3,
		Shares: []route.Share{{Pool: testPool, Weight: 1}},
	}}})
}

func startRunner(t *testing.T, node *testNode, backend forward.Backend) (*Runner, *replica.Set) {
	t.Helper()
	replicas := replica.NewSet()
	for i := range 3 {
		id := fmt.Sprintf("r%d", i)
		replicas.Put(replica.Info{ID: id, Pool: testPool, Address: id, Slots: 8})
	}
	runner := NewRunner(RunnerOptions{
		Service: node.Service, Replicas: replicas, Backend: backend, Routes: batchTable, Owners: noOwners{},
		ViewAge: func() time.Duration { return 0 },
	})
	replicas.OnPressure = runner.Preempt
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		runner.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return runner, replicas
}

func submission(id string, items int) *Submission {
	submitted := &Submission{
		ID: id, Route: "batch", Host: testHost, Completion: 20 * time.Second, Retention: time.Minute,
	}
	for i := range items {
		submitted.Items = append(submitted.Items, Item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: "/batch/x", Body: []byte("prompt"), Tokens: 100,
		})
	}
	return submitted
}

// readAll reads a job until all items are listed.
func readAll(t *testing.T, node *testNode, id string) []Result {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		reading, err := node.Read(t.Context(), id, 0, 100*time.Millisecond)
		if err == nil && len(reading.Results) == reading.Total {
			return reading.Results
		}
	}
	t.Fatalf("job %s is not done in time", id)
	return nil
}

func TestRunner_InvalidItemIsDeadThoughItsReplicaIsOverloaded(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	backend := &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		answer := answerOf(http.StatusUnprocessableEntity, "never")
		answer.Load = &replica.Load{Running: 8, Waiting: 9, Slots: 8}
		return answer, nil
	}}
	startRunner(t, node, backend)
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	results := readAll(t, node, "j")
	if !results[0].Dead {
		t.Fatalf("result is %+v, want a dead one", results[0])
	}
	if backend.attempts() != 1 {
		t.Fatalf("item was sent %d times, want once", backend.attempts())
	}
}

func TestRunner_InterruptedItemResumesAfterItsText(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	backend := &scriptedBackend{answer: func(attempt *forward.Attempt, number int) (*forward.Answer, error) {
		if number == 1 {
			return answerOf(http.StatusOK, events(1, 3)+"id: 4\ndata: half"), nil
		}
		return answerOf(http.StatusOK, events(attempt.LastEventID+1, 5)), nil
	}}
	startRunner(t, node, backend)
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	results := readAll(t, node, "j")
	want := "piece 1\npiece 2\npiece 3\npiece 4\npiece 5"
	if results[0].Text != want || results[0].Dead {
		t.Fatalf("text is %q, want %q", results[0].Text, want)
	}
	if backend.resumedAfter[1] != 3 {
		t.Fatalf("second attempt resumed after event %d, want 3", backend.resumedAfter[1])
	}
}

func TestRunner_FailedItemIsDeadAfterMaxAttempts(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	backend := &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		return answerOf(http.StatusInternalServerError, ""), nil
	}}
	startRunner(t, node, backend)
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	if results := readAll(t, node, "j"); !results[0].Dead {
		t.Fatalf("result is %+v, want a dead one", results[0])
	}
	if backend.attempts() != 3 {
		t.Fatalf("item was sent %d times, want maxAttempts, 3", backend.attempts())
	}
}

func TestRunner_RefusalIsNoFailure(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	backend := &scriptedBackend{answer: func(_ *forward.Attempt, number int) (*forward.Answer, error) {
		if number <= 6 {
			return nil, outcome.AsNotDone(forward.ErrRefused)
		}
		return answerOf(http.StatusOK, events(1, 2)), nil
	}}
	startRunner(t, node, backend)
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	if results := readAll(t, node, "j"); results[0].Dead {
		t.Fatal("a refused item is dead")
	}
}

func TestRunner_EndedJobStopsItsItems(t *testing.T) {
	node := startNode(t, tabletest.New(), &objecttest.Store{}, "a#1")
	closed := make(chan struct{})
	backend := &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		answer := answerOf(http.StatusOK, "")
		answer.Body = &hangingBody{closed: closed}
		return answer, nil
	}}
	runner, _ := startRunner(t, node, backend)
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	for backend.attempts() == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	if err := node.End(t.Context(), "j"); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		runner.mu.Lock()
		owned := len(runner.owned)
		runner.mu.Unlock()
		if owned == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the ended job is still owned")
}

// hangingBody blocks reads until it is closed.
type hangingBody struct {
	once   sync.Once
	closed chan struct{}
}

func (b *hangingBody) Read([]byte) (int, error) {
	<-b.closed
	return 0, errors.New("closed")
}

func (b *hangingBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}
