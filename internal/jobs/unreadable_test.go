package jobs

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/forward"
	"github.com/wheelhoist/wheelhoist/internal/object/objecttest"
	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// unreadableReports counts the reports of rows that cannot be read.
type unreadableReports struct {
	mu     sync.Mutex
	counts map[table.Key]int
}

func (r *unreadableReports) count(key table.Key) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[key]
}

// attach makes a view report to r.
func (r *unreadableReports) attach(view *View) {
	r.counts = map[table.Key]int{}
	view.Unreadable = &table.Unreadable{OnUnreadable: func(found *table.UnreadableError) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.counts[found.Key]++
	}}
}

// startReportingNode starts a node whose reports are counted.
func startReportingNode(t *testing.T, shared *tabletest.Table, session string) (*testNode, *unreadableReports) {
	t.Helper()
	reports := &unreadableReports{}
	view := NewView()
	reports.attach(view)
	service := &Service{
		Table: shared, Objects: &objecttest.Store{}, View: view, Events: noEvents{},
		Session: func(context.Context) (string, error) { return session, nil },
	}
	tabletest.Follow(t, table.NewWatcher(shared.Feed(Group), view.Apply))
	return &testNode{Service: service, session: session}, reports
}

// overwrite writes the body of a row as another writer would, and returns the previous row.
func overwrite(t *testing.T, shared *tabletest.Table, key table.Key, body []byte) table.Row {
	t.Helper()
	for {
		before, err := shared.Get(t.Context(), key)
		if err != nil && !errors.Is(err, table.ErrNotFound) {
			t.Fatal(err)
		}
		_, err = shared.Commit(t.Context(), "other", table.Write{Key: key, Expect: before.Version, Body: body})
		if err == nil {
			return before
		}
	}
}

var damage = []byte("\xff not a row of ours")

// TestUpdate_DamagedProgressRowFailsAtOnce guards against endless retries of a writer that meets an
// unreadable row. What was known before must stay.
func TestUpdate_DamagedProgressRowFailsAtOnce(t *testing.T) {
	shared := tabletest.New()
	node, reports := startReportingNode(t, shared, "a#1")
	if err := node.Submit(t.Context(), submission("j", 2)); err != nil {
		t.Fatal(err)
	}
	before := overwrite(t, shared, progressKey("j"), damage)
	var commits atomic.Int64
	shared.CommitFault = func([]table.Write) tabletest.Fault {
		commits.Add(1)
		return tabletest.None
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for range 3 {
		if err := node.End(ctx, "j"); !errors.Is(err, ErrUnreadable) || ctx.Err() != nil {
			t.Fatalf("end: %v", err)
		}
	}
	if commits.Load() > 1 || reports.count(progressKey("j")) != 1 {
		t.Errorf("%d commits, %d reports", commits.Load(), reports.count(progressKey("j")))
	}
	if reading, err := node.Read(t.Context(), "j", 0, 0); err != nil || reading.Total != 2 {
		t.Errorf("reading is %+v, %v", reading, err)
	}
	overwrite(t, shared, progressKey("j"), before.Body)
	eventually(t, func() bool { return !node.View.ProgressUnreadable("j") })
	if err := node.End(t.Context(), "j"); err != nil {
		t.Errorf("end of a readable job: %v", err)
	}
}

// TestRunner_JobPausesWhileItsProgressIsUnreadable damages the progress row of one of two jobs: the
// other must complete, and the first once its row is readable again.
func TestRunner_JobPausesWhileItsProgressIsUnreadable(t *testing.T) {
	shared := tabletest.New()
	node, reports := startReportingNode(t, shared, "a#1")
	// damaged is closed once the row is damaged; no attempt ends before.
	damaged := make(chan struct{})
	backend := &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		<-damaged
		return answerOf(http.StatusOK, events(1, 3)), nil
	}}
	for _, id := range []string{"spoilt", "sound"} {
		if err := node.Submit(t.Context(), submission(id, 3)); err != nil {
			t.Fatal(err)
		}
	}
	startRunner(t, node, backend)
	eventually(t, func() bool { return backend.attempts() == 6 })
	before := overwrite(t, shared, progressKey("spoilt"), damage)
	close(damaged)
	readAll(t, node, "sound")
	time.Sleep(5 * dispatchInterval)
	sent := backend.attempts()
	time.Sleep(5 * dispatchInterval)
	if backend.attempts() != sent {
		t.Errorf("items of the damaged job are sent: %d, then %d", sent, backend.attempts())
	}
	if reports.count(progressKey("spoilt")) != 1 {
		t.Errorf("%d reports, want 1", reports.count(progressKey("spoilt")))
	}
	overwrite(t, shared, progressKey("spoilt"), before.Body)
	if results := readAll(t, node, "spoilt"); len(results) != 3 {
		t.Errorf("%d results", len(results))
	}
}

// TestSubmit_DamagedJobRowIsUndecided submits a job whose row exists and cannot be read. It must be
// undecided rather than refused, and the caller must be answered before its context ends.
func TestSubmit_DamagedJobRowIsUndecided(t *testing.T) {
	shared := tabletest.New()
	overwrite(t, shared, jobKey("j"), damage)
	node, reports := startReportingNode(t, shared, "a#1")
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for range 2 {
		if err := node.Submit(ctx, submission("j", 1)); !errors.Is(err, ErrUnknownOutcome) || ctx.Err() != nil {
			t.Fatalf("submitted: %v", err)
		}
		if _, err := node.Read(ctx, "j", 0, 0); err == nil || errors.Is(err, ErrNotFound) {
			t.Fatalf("read: %v", err)
		}
	}
	if reports.count(jobKey("j")) != 1 {
		t.Errorf("%d reports, want 1", reports.count(jobKey("j")))
	}
	if err := node.Submit(t.Context(), submission("other", 1)); err != nil {
		t.Errorf("another job: %v", err)
	}
}

// TestSubmit_DamagedCounterIsOverwritten damages the counters of all shards of an account: jobs
// must still be accepted, up to the quota.
func TestSubmit_DamagedCounterIsOverwritten(t *testing.T) {
	shared := tabletest.New()
	node, _ := startReportingNode(t, shared, "a#1")
	submit := func(id string) error {
		submitted := submission(id, 1)
		submitted.Quota = 500
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		return node.Submit(ctx, submitted)
	}
	for _, id := range []string{"a", "b"} {
		if err := submit(id); err != nil {
			t.Fatal(err)
		}
	}
	acct := account{route: "batch"}
	for shard := range shards {
		overwrite(t, shared, counterKey(acct, shardName(shard)), damage)
	}
	for _, id := range []string{"c", "d", "e"} {
		if err := submit(id); err != nil {
			t.Fatalf("job %s: %v", id, err)
		}
	}
	if used := node.View.used(acct); used != 500 {
		t.Errorf("%d tokens are in use, want 500", used)
	}
	if err := submit("f"); !errors.Is(err, ErrQuota) {
		t.Errorf("one more: %v", err)
	}
}

// TestRunner_ItemsWithDamagedContentExpire damages the content of a job: its items cannot run and
// must expire.
func TestRunner_ItemsWithDamagedContentExpire(t *testing.T) {
	shared := tabletest.New()
	node, reports := startReportingNode(t, shared, "a#1")
	submitted := submission("j", 2)
	submitted.Retention = time.Second
	if err := node.Submit(t.Context(), submitted); err != nil {
		t.Fatal(err)
	}
	node.dropContent("j")
	overwrite(t, shared, chunkKey("j", 0), damage)
	backend := &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		return answerOf(http.StatusOK, events(1, 3)), nil
	}}
	if _, err := node.Body(t.Context(), "j", "j-0"); err == nil || errors.Is(err, ErrNotFound) {
		t.Errorf("body: %v", err)
	}
	startRunner(t, node, backend)
	for _, result := range readAll(t, node, "j") {
		if !result.Dead || result.Reason != Expired {
			t.Errorf("result is %+v", result)
		}
	}
	if backend.attempts() != 0 || reports.count(chunkKey("j", 0)) != 1 {
		t.Errorf("%d attempts, %d reports", backend.attempts(), reports.count(chunkKey("j", 0)))
	}
}

// TestRead_DamagedResultKeepsOthersReadable damages the second of three results.
func TestRead_DamagedResultKeepsOthersReadable(t *testing.T) {
	shared := tabletest.New()
	node, reports := startReportingNode(t, shared, "a#1")
	if err := node.Submit(t.Context(), submission("j", 3)); err != nil {
		t.Fatal(err)
	}
	entry := node.View.Get("j")
	var done []*task
	for index := range 3 {
		done = append(done, &task{owned: &ownedJob{job: entry.Job}, index: index, text: []byte("text")})
	}
	if err := node.listResults(t.Context(), entry.Job, done); err != nil {
		t.Fatal(err)
	}
	overwrite(t, shared, resultKey("j", 1), damage)
	for range 3 {
		if reading, err := node.Read(t.Context(), "j", 0, 0); err != nil || len(reading.Results) != 1 {
			t.Fatalf("from the start: %+v, %v", reading, err)
		}
		if _, err := node.Read(t.Context(), "j", 1, 0); !errors.Is(err, ErrUnavailable) {
			t.Fatalf("at the damaged one: %v", err)
		}
	}
	if reading, err := node.Read(t.Context(), "j", 2, 0); err != nil || len(reading.Results) != 1 {
		t.Fatalf("after the damaged one: %+v, %v", reading, err)
	}
	if reports.count(resultKey("j", 1)) != 1 {
		t.Errorf("%d reports, want 1", reports.count(resultKey("j", 1)))
	}
}

// TestListResults_OverwritesAnUnreadableForeignRow writes rows of another writer where results are
// to go. They are not listed, so they are not the job's.
func TestListResults_OverwritesAnUnreadableForeignRow(t *testing.T) {
	shared := tabletest.New()
	node, reports := startReportingNode(t, shared, "a#1")
	if err := node.Submit(t.Context(), submission("j", 2)); err != nil {
		t.Fatal(err)
	}
	for position := range 2 {
		overwrite(t, shared, resultKey("j", position), damage)
	}
	startRunner(t, node, &scriptedBackend{answer: func(*forward.Attempt, int) (*forward.Answer, error) {
		return answerOf(http.StatusOK, events(1, 2)), nil
	}})
	for _, result := range readAll(t, node, "j") {
		if result.Dead || result.Text == "" {
			t.Errorf("result is %+v", result)
		}
	}
	if reports.count(resultKey("j", 0)) != 1 || reports.count(resultKey("j", 1)) != 1 {
		t.Errorf("reports are %v", reports.counts)
	}
}

// TestListResults_KeepsAReadableForeignRow writes a result that the progress row does not include,
// as if that had been reset. Callers may have read the result, so it must not be overwritten.
func TestListResults_KeepsAReadableForeignRow(t *testing.T) {
	shared := tabletest.New()
	node, reports := startReportingNode(t, shared, "a#1")
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	overwrite(t, shared, resultKey("j", 0), encode(storedResult{Text: "read before"}))
	entry := node.View.Get("j")
	var commits atomic.Int64
	shared.CommitFault = func([]table.Write) tabletest.Fault {
		commits.Add(1)
		return tabletest.None
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := node.listResults(ctx, entry.Job, []*task{{owned: &ownedJob{job: entry.Job}, text: []byte("other")}})
	if err == nil || commits.Load() > 20 || reports.count(resultKey("j", 0)) != 1 {
		t.Errorf("%v after %d commits, %d reports", err, commits.Load(), reports.count(resultKey("j", 0)))
	}
	row, err := shared.Get(t.Context(), resultKey("j", 0))
	var stored storedResult
	if err != nil || row.Decode(&stored) != nil || stored.Text != "read before" {
		t.Errorf("the row is %+v, %v", stored, err)
	}
}

// TestLoadCheckpoints_DamagedOneIsOverwritten guards that an item with an unreadable checkpoint
// starts over, and that its next checkpoint replaces that one.
func TestLoadCheckpoints_DamagedOneIsOverwritten(t *testing.T) {
	shared := tabletest.New()
	node, reports := startReportingNode(t, shared, "a#1")
	if err := node.Submit(t.Context(), submission("j", 2)); err != nil {
		t.Fatal(err)
	}
	overwrite(t, shared, checkpointKey("j", 0), damage)
	overwrite(t, shared, checkpointKey("j", 1), encode(storedResult{Text: "piece", LastEvent: 1}))
	entry := node.View.Get("j")
	for range 2 {
		checkpoints := node.loadCheckpoints(t.Context(), entry)
		if checkpoints[0].Text != "" || checkpoints[0].LastEvent != 0 || checkpoints[0].version == 0 || checkpoints[1].Text != "piece" {
			t.Fatalf("checkpoints are %+v", checkpoints)
		}
	}
	if reports.count(checkpointKey("j", 0)) != 1 {
		t.Errorf("%d reports, want 1", reports.count(checkpointKey("j", 0)))
	}
	runner := NewRunner(RunnerOptions{Service: node.Service})
	owned := &ownedJob{job: entry.Job}
	version := node.loadCheckpoints(t.Context(), entry)[0].version
	owned.tasks = []*task{{owned: owned, text: []byte("anew"), lastEvent: minCheckpointEvents, checkpointVersion: version}}
	if !runner.checkpoint(t.Context(), owned, minCheckpointEvents) || node.loadCheckpoints(t.Context(), entry)[0].Text != "anew" {
		t.Error("its next checkpoint was not saved")
	}
}

// TestRelease_UnreadableJobNeedsNoRelease guards that a node with such a job can stop.
func TestRelease_UnreadableJobNeedsNoRelease(t *testing.T) {
	shared := tabletest.New()
	node, _ := startReportingNode(t, shared, "a#1")
	if err := node.Submit(t.Context(), submission("j", 1)); err != nil {
		t.Fatal(err)
	}
	overwrite(t, shared, progressKey("j"), damage)
	eventually(t, func() bool { return node.View.ProgressUnreadable("j") })
	runner := NewRunner(RunnerOptions{Service: node.Service})
	if !runner.tryRelease(t.Context(), &ownedJob{job: node.View.Get("j").Job}) {
		t.Error("the job is to be released again")
	}
}
