package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/lease"
	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/place"
	"github.com/wheelhoist/wheelhoist/internal/replica"
	"github.com/wheelhoist/wheelhoist/internal/route"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

const (
	testTenant = "tenant"
	testModel  = "model"
)

// fakeBackend completes every item, except those whose body contains "invalid". It counts the runs of
// each item and, if hold is set, answers only once hold is closed.
type fakeBackend struct {
	mu   sync.Mutex
	runs map[string]int
	hold chan struct{}
}

func (b *fakeBackend) Send(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
	b.mu.Lock()
	b.runs[attempt.Request.ID]++
	b.mu.Unlock()
	if b.hold != nil {
		select {
		case <-b.hold:
		case <-ctx.Done():
		}
	}
	if strings.Contains(string(attempt.Request.Body), "invalid") {
		return &forward.Answer{Status: http.StatusUnprocessableEntity, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	text := "id: 1\ndata: \"yes \"\n\nid: 2\ndata: {\"model\":\"model\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
	return &forward.Answer{Status: http.StatusOK, EventStream: true, Body: io.NopCloser(strings.NewReader(text))}, nil
}

// fakeSessions lists the live sessions. The first is preferred for all work.
type fakeSessions []string

func (s fakeSessions) RefreshInterval() time.Duration { return 10 * time.Millisecond }
func (s fakeSessions) Live() []string                 { return s }
func (s fakeSessions) Preferred(string) string        { return s[0] }
func (s fakeSessions) Nodes() []string                { return []string{lease.Node(s[0])} }
func (s fakeSessions) Places() []place.Node           { return nil }
func (s fakeSessions) Region(string) string           { return "" }
func (s fakeSessions) Gone(node string) bool          { return node != lease.Node(s[0]) }
func (s fakeSessions) Refresh(context.Context) error  { return nil }
func (s fakeSessions) Expired(session string) bool    { return session != s[0] }

type discardEvents struct{}

func (discardEvents) Accepted(*jobs.Job, time.Duration, bool)                        {}
func (discardEvents) Refused(string, int64, int64, int64, int, error)                {}
func (discardEvents) Ended(string, error)                                            {}
func (discardEvents) Claimed(*jobs.Entry, string, error)                             {}
func (discardEvents) ItemSent(*jobs.Job, string, string, int)                        {}
func (discardEvents) ItemFailed(*jobs.Job, string, string, error)                    {}
func (discardEvents) ItemPreempted(*jobs.Job, string, string, int, replica.Pressure) {}
func (discardEvents) ContentUnused(string, string, int, error)                       {}
func (discardEvents) TextNotListed(*jobs.Job, string, int, string, int, error)       {}
func (discardEvents) ItemListed(*jobs.Job, string, int, jobs.Reason, string, int, time.Duration) {
}
func (discardEvents) Removed(*jobs.Job, error)                   {}
func (discardEvents) NoResult(*jobs.Entry, int, time.Duration)   {}
func (discardEvents) EndChecked(*jobs.Job, time.Duration, error) {}
func (discardEvents) Refreshed(*jobs.Job, time.Duration, error)  {}
func (discardEvents) AwaitingRegion(*jobs.Job, place.Regions)    {}
func (discardEvents) Resolved(string, int, error)                {}
func (discardEvents) CheckpointFailed(*jobs.Job, int, error)     {}
func (discardEvents) Unresolved(string, string, int, int, error) {}

// testNode is a node that serves, feeds and runs batches until stop is called.
type testNode struct {
	*Service
	stop   func()
	feeder *Feeder
}

func startNode(t *testing.T, shared *tabletest.Table, objects object.Store, backend forward.Backend, session string) *testNode {
	t.Helper()
	view := jobs.NewView()
	watcher := table.NewWatcher(shared.Feed(jobs.Group), view.Apply)
	work := &jobs.Service{
		Table: shared, Objects: objects, View: view, Events: discardEvents{},
		Session: func(context.Context) (string, error) { return session, nil },
	}
	replicas := replica.NewSet()
	replicas.Put(replica.Info{ID: "r", Pool: "pool", Address: "r", Slots: 64})
	routes := route.NewTable(&route.Config{Version: 1, Routes: []*route.Route{{
		Name: RouteOf(testModel), Host: RouteOf(testModel), Prefix: "/", Kind: route.Batch, MaxAttempts: 3,
		Shares: []route.Share{{Pool: "pool", Weight: 1}},
	}}})
	runner := jobs.NewRunner(jobs.RunnerOptions{
		Service: work, Replicas: replicas, Backend: backend, Routes: func() *route.Table { return routes },
		Owners:  fakeSessions{session},
		ViewAge: func() time.Duration { return 0 },
	})
	service := &Service{Table: shared, Objects: objects, Work: work}
	feeder := &Feeder{
		Service: service, Sessions: fakeSessions{session}, Self: session,
		Weight: func(string) float64 { return 1 }, Log: zerolog.Nop(),
	}
	service.Accepted = feeder.Accept
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){watcher.Run, runner.Run, runner.RunClaims, feeder.Run} {
		running.Add(1)
		go func() {
			defer running.Done()
			loop(ctx)
		}()
	}
	stop := sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	t.Cleanup(stop)
	return &testNode{Service: service, stop: stop, feeder: feeder}
}

// submitLines uploads an input file with one item for each text, and submits a batch over it.
func submitLines(t *testing.T, service *Service, texts []string, window time.Duration) *Job {
	t.Helper()
	var file bytes.Buffer
	for i, text := range texts {
		line, err := json.Marshal(openai.BatchItem{
			CustomID: fmt.Sprintf("c%d", i), Method: http.MethodPost, URL: openai.PathChatCompletions,
			Body: json.RawMessage(fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, testModel, text)),
		})
		if err != nil {
			t.Fatal(err)
		}
		file.Write(line)
		file.WriteByte('\n')
	}
	record, err := service.Upload(t.Context(), testTenant, "items.jsonl", &file)
	if err != nil {
		t.Fatal(err)
	}
	batch, err := service.Submit(t.Context(), Submission{
		Tenant: testTenant, Completion: window,
		Request: openai.BatchRequest{InputFileID: record.ID, Endpoint: openai.PathChatCompletions},
	})
	if err != nil {
		t.Fatal(err)
	}
	return batch
}

func prompts(count int) []string {
	bodies := make([]string, count)
	for i := range bodies {
		bodies[i] = fmt.Sprintf("prompt %d", i)
	}
	return bodies
}

func awaitFinal(t *testing.T, service *Service, id string) *Job {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if job, err := service.Job(t.Context(), testTenant, id); err == nil && job.State.Final() {
			return job
		}
	}
	t.Fatalf("batch %s did not end", id)
	return nil
}

// resultsOf returns the results in a file by custom ID.
func resultsOf(t *testing.T, service *Service, file string) map[string]openai.BatchResult {
	t.Helper()
	var content bytes.Buffer
	if err := service.Content(t.Context(), testTenant, file, &content); err != nil {
		t.Fatal(err)
	}
	results := map[string]openai.BatchResult{}
	for line := range strings.SplitSeq(strings.TrimSpace(content.String()), "\n") {
		if line == "" {
			continue
		}
		var result openai.BatchResult
		if err := json.Unmarshal([]byte(line), &result); err != nil {
			t.Fatal(err)
		}
		if _, twice := results[result.CustomID]; twice {
			t.Fatalf("item %s has two results", result.CustomID)
		}
		results[result.CustomID] = result
	}
	return results
}

func TestFeeder_EveryItemHasOneResultAndNoRowsRemain(t *testing.T) {
	shared := tabletest.New()
	backend := &fakeBackend{runs: map[string]int{}}
	node := startNode(t, shared, &objecttest.Store{}, backend, "a#1")
	bodies := prompts(500)
	bodies[7] = "invalid"
	batch := submitLines(t, node.Service, bodies, time.Hour)
	ended := awaitFinal(t, node.Service, batch.ID)
	if ended.State != openai.BatchCompleted || ended.Completed != 499 || ended.Failed != 1 {
		t.Fatalf("batch ended as %s, %d completed, %d failed", ended.State, ended.Completed, ended.Failed)
	}
	outputs := resultsOf(t, node.Service, OutputFileID(batch.ID))
	failures := resultsOf(t, node.Service, ErrorFileID(batch.ID))
	if len(outputs) != 499 || failures["c7"].Error == nil || failures["c7"].Error.Code != openai.CodeItemFailed {
		t.Fatalf("%d outputs, failures %+v", len(outputs), failures)
	}
	if open := node.Work.View.All(); len(open) != 0 {
		t.Fatalf("%d groups are still in the table", len(open))
	}
}

func TestFeeder_AnotherNodeContinuesBatch(t *testing.T) {
	shared, objects := tabletest.New(), &objecttest.Store{}
	held := &fakeBackend{runs: map[string]int{}, hold: make(chan struct{})}
	first := startNode(t, shared, objects, held, "a#1")
	batch := submitLines(t, first.Service, prompts(300), time.Hour)
	for deadline := time.Now().Add(10 * time.Second); len(first.Work.View.Open()) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no group was submitted")
		}
	}
	first.stop()
	second := startNode(t, shared, objects, &fakeBackend{runs: map[string]int{}}, "b#1")
	if ended := awaitFinal(t, second.Service, batch.ID); ended.Completed != 300 {
		t.Fatalf("%d of 300 items completed", ended.Completed)
	}
	if outputs := resultsOf(t, second.Service, OutputFileID(batch.ID)); len(outputs) != 300 {
		t.Fatalf("%d outputs, want 300", len(outputs))
	}
}

func TestFeeder_CancelledBatchLeavesNoGroups(t *testing.T) {
	shared := tabletest.New()
	backend := &fakeBackend{runs: map[string]int{}, hold: make(chan struct{})}
	node := startNode(t, shared, &objecttest.Store{}, backend, "a#1")
	batch := submitLines(t, node.Service, prompts(300), time.Hour)
	time.Sleep(200 * time.Millisecond)
	late := *batch
	if err := node.loadActiveVersion(t.Context(), &late); err != nil {
		t.Fatal(err)
	}
	cancelled, err := node.Cancel(t.Context(), testTenant, batch.ID)
	if err != nil || cancelled.State != openai.BatchCancelled {
		t.Fatalf("batch is %+v, %v", cancelled, err)
	}
	close(backend.hold)
	for deadline := time.Now().Add(10 * time.Second); len(node.Work.View.All()) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d groups of a cancelled batch remain", len(node.Work.View.All()))
		}
	}
	if err := node.Work.Submit(t.Context(), testSubmission(t, node.Service, &late)); err == nil {
		t.Fatal("a group of a cancelled batch was accepted")
	}
}

func testSubmission(t *testing.T, service *Service, batch *Job) *jobs.Submission {
	t.Helper()
	submission, err := service.newSubmission(t.Context(), batch, 0)
	if err != nil {
		t.Fatal(err)
	}
	return submission
}

func TestFeeder_ItemsPastTheDeadlineExpire(t *testing.T) {
	backend := &fakeBackend{runs: map[string]int{}, hold: make(chan struct{})}
	node := startNode(t, tabletest.New(), &objecttest.Store{}, backend, "a#1")
	batch := submitLines(t, node.Service, prompts(200), 600*time.Millisecond)
	time.AfterFunc(time.Second, func() { close(backend.hold) })
	ended := awaitFinal(t, node.Service, batch.ID)
	if ended.State != openai.BatchExpired || ended.Completed+ended.Failed != 200 {
		t.Fatalf("batch ended as %s, %d completed, %d failed", ended.State, ended.Completed, ended.Failed)
	}
	for id, result := range resultsOf(t, node.Service, ErrorFileID(batch.ID)) {
		if result.Error.Code != openai.CodeBatchExpired {
			t.Fatalf("item %s failed as %s", id, result.Error.Code)
		}
	}
}

func TestGroupID_RoundTrip(t *testing.T) {
	batch, number, ok := parseGroupID(groupID("batch-1f.x", 42))
	if batch != "batch-1f.x" || number != 42 || !ok {
		t.Fatalf("parsed %q, %d, %v", batch, number, ok)
	}
	if _, _, ok := parseGroupID("d8247dce020e9319"); ok {
		t.Fatal("the ID of another job was parsed as that of a group")
	}
}

// TestFeeder_GroupsFinishedByAnotherFeederCount guards against a batch that never ends because its
// feeder sees a group that another feeder finished as neither done nor open (lab scenario
// batch-kill-after-ack, seed 51).
func TestFeeder_GroupsFinishedByAnotherFeederCount(t *testing.T) {
	shared := tabletest.New()
	view := jobs.NewView()
	service := &Service{Table: shared, Objects: &objecttest.Store{}, Work: &jobs.Service{Table: shared, View: view, Events: discardEvents{}}}
	batch := submitLines(t, service, prompts(40), time.Hour)
	for number := range batch.Groups() {
		first, end := batch.groupRange(number)
		body, err := encode(Group{Completed: end - first})
		if err != nil {
			t.Fatal(err)
		}
		write := table.Write{Key: groupKey(batch.ID, number), Expect: table.Absent, Body: body}
		if _, err := shared.Commit(t.Context(), table.NewOperation(), write); err != nil {
			t.Fatal(err)
		}
	}
	feeder := &Feeder{
		Service: service, Sessions: fakeSessions{"a#1"}, Self: "a#1", Weight: func(string) float64 { return 1 }, Log: zerolog.Nop(),
		batches: map[string]*fedBatch{batch.ID: {batch: batch, done: map[int]Group{}, next: batch.Groups(), startedAt: time.Now()}},
	}
	feeder.step(t.Context())
	feeder.step(t.Context())
	if ended := awaitFinal(t, service, batch.ID); ended.Completed != 40 {
		t.Fatalf("%d of 40 items completed", ended.Completed)
	}
}
