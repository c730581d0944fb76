package jobs

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wheelhoist/wheelhoist/internal/table"
	"github.com/wheelhoist/wheelhoist/internal/table/tabletest"
)

// refusedQuota lets half of the jobs of a day in at the same time.
const (
	refusedJobs     = 24
	refusedJobItems = 2
	refusedQuota    = refusedJobs * refusedJobItems * 100 / 2
	// maxSubmitTries bounds the attempts of a client at one job.
	maxSubmitTries = 4
	// submitTimeout is the longest time that a node spends on an attempt.
	submitTimeout = 2500 * time.Millisecond
)

// refusals counts the refusals of submissions, and those after a transaction without an answer.
type refusals struct {
	noEvents
	all, unanswered atomic.Int32
}

func (r *refusals) Refused(_ string, _, _, _ int64, unanswered int, err error) {
	if !isPromise(err) {
		return
	}
	r.all.Add(1)
	if unanswered > 0 {
		r.unanswered.Add(1)
	}
}

// isPromise reports whether an error of Submit tells the caller that the job never runs.
func isPromise(err error) bool {
	return errors.Is(err, ErrQuota) || errors.Is(err, ErrNotAccepted) || errors.Is(err, ErrUnavailable)
}

// answeredJob is what the client of a job was told.
type answeredJob struct {
	id string
	// accepted is set if an attempt was, onlyRefused if all attempts were refused.
	accepted, onlyRefused bool
	// refused holds the numbers of the attempts that were refused. Bodies have the number of their
	// attempt.
	refused map[string]bool
}

// check compares what the client was told with the table, in the end.
func (a *answeredJob) check(t *testing.T, shared *tabletest.Table) {
	t.Helper()
	row, err := shared.Get(t.Context(), jobKey(a.id))
	if errors.Is(err, table.ErrNotFound) {
		if a.accepted {
			t.Errorf("%s was accepted and does not exist", a.id)
		}
		return
	}
	if a.onlyRefused {
		t.Errorf("%s exists, and all its answers were refusals", a.id)
	}
	var job Job
	if err := row.Decode(&job); err != nil {
		t.Fatal(err)
	}
	items, err := (&Service{Table: shared}).content(t.Context(), &job)
	if err != nil {
		t.Fatal(err)
	}
	if attempt := string(items[0].Body); a.refused[attempt] {
		t.Errorf("%s exists as of attempt %s, which was refused", a.id, attempt)
	}
}

// submitAsClient sends a job to one node after the other until it is accepted or the client gives up.
// Sometimes the client hangs up before it has the answer.
func submitAsClient(site *faultySite, id string) *answeredJob {
	answered := &answeredJob{id: id, onlyRefused: true, refused: map[string]bool{}}
	tries := 1 + site.below(maxSubmitTries)
	for try := 0; try < tries && !answered.accepted && site.ctx.Err() == nil; try++ {
		submitted := submission(id, refusedJobItems)
		submitted.Quota = refusedQuota
		attempt := fmt.Sprint(try)
		submitted.Items[0].Body = []byte(attempt)
		ctx, cancel := context.WithTimeout(site.ctx, submitTimeout)
		hangsUp := site.chance(0.1)
		if hangsUp {
			time.AfterFunc(site.partOf(time.Second), cancel)
		}
		err := site.node().Submit(ctx, submitted)
		hungUp := hangsUp && ctx.Err() != nil || site.ctx.Err() != nil
		cancel()
		answered.accepted = err == nil && !hungUp
		answered.refused[attempt] = isPromise(err)
		answered.onlyRefused = answered.onlyRefused && !hungUp && isPromise(err)
		site.sleep(400 * time.Millisecond)
	}
	return answered
}

// endJobs ends accepted jobs now and then, so that others fit.
func endJobs(site *faultySite) {
	for site.sleep(600 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(site.ctx, submitTimeout)
		// A job that is not accepted has no end.
		_ = site.node().End(ctx, fmt.Sprintf("job-%d", site.below(refusedJobs)))
		cancel()
	}
}

// playRefusals plays a day, and checks that no job exists all of whose answers were refusals, that none
// exists as of a refused attempt, and that all accepted ones do.
func playRefusals(t *testing.T, seed uint64, counts *refusals) {
	ctx, cancel := context.WithTimeout(t.Context(), faultyDayEnd)
	defer cancel()
	random := rand.New(rand.NewPCG(seed, 2))
	site := &faultySite{t: t, ctx: ctx, random: random, start: time.Now(), shared: tabletest.New(), loss: 0.2 + 0.5*random.Float64()}
	for i := range 4 {
		node := site.newNode(fmt.Sprintf("node-%d#1", i))
		node.Events = counts
		site.nodes = append(site.nodes, node)
	}
	answers := make([]*answeredJob, refusedJobs)
	var clients sync.WaitGroup
	for number := range answers {
		clients.Go(func() {
			site.sleep(faultyDayCalm)
			answers[number] = submitAsClient(site, fmt.Sprintf("job-%d", number))
		})
	}
	go endJobs(site)
	go site.dropHistory()
	clients.Wait()
	<-ctx.Done()
	time.Sleep(lateWrite + slowCallTimeout)
	for _, answered := range answers {
		answered.check(t, site.shared)
	}
}

// TestSubmit_RefusedJobsNeverExist guards against a job that runs although each of its client's attempts was
// answered with the promise that it doesn't: the store may apply a write without an answer seconds later,
// and the next attempt reaches a node whose view is older.
func TestSubmit_RefusedJobsNeverExist(t *testing.T) {
	counts := &refusals{}
	for seed := range faultyDays() {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRefusals(t, seed, counts) })
		})
	}
	t.Logf("%d refusals, %d after a transaction without an answer", counts.all.Load(), counts.unanswered.Load())
	if counts.unanswered.Load() == 0 {
		t.Error("no submission was refused after a transaction without an answer")
	}
}
