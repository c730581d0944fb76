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

// answeringBackend completes every item, or fails those whose body says so.
type answeringBackend struct {
	mu   sync.Mutex
	runs map[string]int
	hold chan struct{}
}

func (b *answeringBackend) Send(ctx context.Context, attempt *forward.Attempt) (*forward.Answer, error) {
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

// aliveSessions are the live nodes of a test.
type aliveSessions []string

func (a aliveSessions) RefreshInterval() time.Duration { return 10 * time.Millisecond }
func (a aliveSessions) Live() []string                 { return a }
func (a aliveSessions) Preferred(string) string        { return a[0] }
func (a aliveSessions) Nodes() []string                { return []string{lease.Node(a[0])} }
func (a aliveSessions) Places() []place.Node           { return nil }
func (a aliveSessions) Region(string) string           { return "" }
func (a aliveSessions) Gone(node string) bool          { return node != lease.Node(a[0]) }
func (a aliveSessions) Refresh(context.Context) error  { return nil }
func (a aliveSessions) Expired(session string) bool    { return session != a[0] }

type quiet struct{}

func (quiet) Accepted(*jobs.Job, time.Duration, bool)                        {}
func (quiet) Refused(string, int64, int64, int64, error)                     {}
func (quiet) Ended(string, error)                                            {}
func (quiet) Claimed(*jobs.Entry, string, error)                             {}
func (quiet) ItemSent(*jobs.Job, string, string, int)                        {}
func (quiet) ItemFailed(*jobs.Job, string, string, error)                    {}
func (quiet) ItemQuarantined(*jobs.Job, string, error)                       {}
func (quiet) ItemPreempted(*jobs.Job, string, string, int, replica.Pressure) {}
func (quiet) ItemListed(*jobs.Job, string, int, jobs.Reason, time.Duration)  {}
func (quiet) Removed(*jobs.Job, error)                                       {}
func (quiet) Refreshed(*jobs.Job, time.Duration, error)                      {}
func (quiet) AwaitingRegion(*jobs.Job, place.Regions)                        {}
func (quiet) Resolved(string, int, error)                                    {}

// member is a node that serves, feeds and runs batches until it is stopped.
type member struct {
	*Service
	stop   func()
	feeder *Feeder
}

func startMember(t *testing.T, shared *tabletest.Table, objects object.Store, backend forward.Backend, session string) *member {
	t.Helper()
	view := jobs.NewView()
	watcher := table.NewWatcher(shared.Feed(jobs.Group), view.Apply)
	work := &jobs.Service{
		Table: shared, Objects: objects, View: view, Events: quiet{},
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
		Owners:  aliveSessions{session},
		ViewAge: func() time.Duration { return 0 },
	})
	service := &Service{Table: shared, Objects: objects, Work: work}
	feeder := &Feeder{
		Service: service, Sessions: aliveSessions{session}, Self: session,
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
	return &member{Service: service, stop: stop, feeder: feeder}
}

// submitLines uploads items, each with a body, and submits a batch over them.
func submitLines(t *testing.T, service *Service, bodies []string, window time.Duration) *Job {
	t.Helper()
	var file bytes.Buffer
	for i, body := range bodies {
		line, err := json.Marshal(openai.BatchItem{
			CustomID: fmt.Sprintf("c%d", i), Method: http.MethodPost, URL: openai.PathChatCompletions,
			Body: json.RawMessage(fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, testModel, body)),
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
		Tenant: testTenant, Deadline: window,
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
	t.Fatalf("batch %s does not end", id)
	return nil
}

// resultsOf reads a file and returns its lines by custom id.
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

func TestFeeder_EveryItemHasOneResultAndNoRowStays(t *testing.T) {
	shared := tabletest.New()
	backend := &answeringBackend{runs: map[string]int{}}
	node := startMember(t, shared, &objecttest.Store{}, backend, "a#1")
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

func TestFeeder_AnotherNodeGoesOn(t *testing.T) {
	shared, objects := tabletest.New(), &objecttest.Store{}
	held := &answeringBackend{runs: map[string]int{}, hold: make(chan struct{})}
	first := startMember(t, shared, objects, held, "a#1")
	batch := submitLines(t, first.Service, prompts(300), time.Hour)
	for deadline := time.Now().Add(10 * time.Second); len(first.Work.View.Open()) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no group was begun")
		}
	}
	first.stop()
	second := startMember(t, shared, objects, &answeringBackend{runs: map[string]int{}}, "b#1")
	if ended := awaitFinal(t, second.Service, batch.ID); ended.Completed != 300 {
		t.Fatalf("%d of 300 items completed", ended.Completed)
	}
	if outputs := resultsOf(t, second.Service, OutputFileID(batch.ID)); len(outputs) != 300 {
		t.Fatalf("%d outputs", len(outputs))
	}
}

func TestFeeder_CancelledBatchStopsAndLeavesNothing(t *testing.T) {
	shared := tabletest.New()
	backend := &answeringBackend{runs: map[string]int{}, hold: make(chan struct{})}
	node := startMember(t, shared, &objecttest.Store{}, backend, "a#1")
	batch := submitLines(t, node.Service, prompts(300), time.Hour)
	time.Sleep(200 * time.Millisecond)
	late := *batch
	if err := node.findActive(t.Context(), &late); err != nil {
		t.Fatal(err)
	}
	cancelled, err := node.Cancel(t.Context(), testTenant, batch.ID)
	if err != nil || cancelled.State != openai.BatchCancelled {
		t.Fatalf("batch is %+v, %v", cancelled, err)
	}
	close(backend.hold)
	for deadline := time.Now().Add(10 * time.Second); len(node.Work.View.All()) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d groups of a cancelled batch are left", len(node.Work.View.All()))
		}
	}
	if err := node.Work.Submit(t.Context(), mustSubmission(t, node.Service, &late)); err == nil {
		t.Fatal("a group of a cancelled batch was accepted")
	}
}

func mustSubmission(t *testing.T, service *Service, batch *Job) *jobs.Submission {
	t.Helper()
	submitted, err := service.submission(t.Context(), batch, 0)
	if err != nil {
		t.Fatal(err)
	}
	return submitted
}

func TestFeeder_ItemsPastTheDeadlineExpire(t *testing.T) {
	backend := &answeringBackend{runs: map[string]int{}, hold: make(chan struct{})}
	node := startMember(t, tabletest.New(), &objecttest.Store{}, backend, "a#1")
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

func TestGroupID_IsParsedBack(t *testing.T) {
	batch, number, ok := parseGroupID(groupID("batch-1f.x", 42))
	if batch != "batch-1f.x" || number != 42 || !ok {
		t.Fatalf("parsed %q, %d, %v", batch, number, ok)
	}
	if _, _, ok := parseGroupID("d8247dce020e9319"); ok {
		t.Fatal("another job's id is taken for a group's")
	}
}

// A finding (lab batch-kill-after-ack, seed 51): a group that another feeder had
// finished was neither done nor open for this one, and the batch never ended.
func TestFeeder_GroupsFinishedByAnotherFeederCount(t *testing.T) {
	shared := tabletest.New()
	view := jobs.NewView()
	service := &Service{Table: shared, Objects: &objecttest.Store{}, Work: &jobs.Service{Table: shared, View: view, Events: quiet{}}}
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
		Service: service, Sessions: aliveSessions{"a#1"}, Self: "a#1", Weight: func(string) float64 { return 1 }, Log: zerolog.Nop(),
		fed: map[string]*feeding{batch.ID: {batch: batch, done: map[int]Group{}, next: batch.Groups(), began: time.Now()}},
	}
	feeder.step(t.Context())
	feeder.step(t.Context())
	if ended := awaitFinal(t, service, batch.ID); ended.Completed != 40 {
		t.Fatalf("%d of 40 items completed", ended.Completed)
	}
}
