package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/wheelhoist/wheelhoist/api/client"
	"github.com/wheelhoist/wheelhoist/api/openai"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/lab/history"
	"github.com/wheelhoist/wheelhoist/internal/lab/load"
	"github.com/wheelhoist/wheelhoist/internal/lab/site"
)

const (
	// jobWindow is the deadline of jobs that must finish.
	jobWindow = time.Hour
	// onlineRetries is how often callers send a "not run" request again.
	onlineRetries = 20
)

func (r *run) online(ctx context.Context) {
	caller := (&load.Caller{
		Model: r.options.Profile.Model, Key: site.TenantKey, Version: r.options.Profile.Version,
		Recorder: r.recorder, Stats: r.stats, URLs: r.site.ReadyURLs, Delay: r.options.Profile.ClientDelay,
		Retries: onlineRetries,
	}).Open()
	defer caller.Close()
	mix := r.scenario.Mix
	arrivals := load.Schedule(r.options.Profile.Online, r.options.Seed, r.options.Duration, mix.Online)
	for i := range arrivals {
		if r.random.Float64() < mix.OnceShare {
			arrivals[i].NotRepeatable = true
			if i%2 == 0 {
				arrivals[i].IdempotencyKey = arrivals[i].ID
			}
		}
	}
	// The schedule ends with the run; its last answers may take longer.
	caller.Replay(context.WithoutCancel(ctx), arrivals)
}

func (r *run) submitter() *load.Submitter {
	return &load.Submitter{
		Model: r.options.Profile.Model, Key: site.TenantKey, Recorder: r.recorder, URLs: r.site.ReadyURLs,
	}
}

// submitHeaps submits a heap of jobs at once, and again every HeapEvery.
func (r *run) submitHeaps(ctx context.Context) {
	for heap := 0; ; heap++ {
		var group sync.WaitGroup
		for job := range r.scenario.Mix.Jobs {
			group.Add(1)
			go func() {
				defer group.Done()
				r.submitJob(ctx, heap*r.scenario.Mix.Jobs+job)
			}()
		}
		group.Wait()
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.options.Profile.Batch.BurstInterval):
		}
	}
}

func (r *run) submitJob(ctx context.Context, number int) {
	mix := r.scenario.Mix
	count := mix.Items
	if count == 0 {
		count = r.options.Profile.Batch.Items
	}
	name := fmt.Sprintf("job%d", number)
	items := load.Items(r.options.Profile.Batch, r.options.Seed+uint64(number), name, count, mix.OnceItems && number%3 == 2)
	sendings := 1
	if mix.Resend {
		sendings = 2
	}
	jobs := make([]*load.Job, sendings)
	var group sync.WaitGroup
	for i := range sendings {
		group.Add(1)
		go func() {
			defer group.Done()
			job, err := r.submitter().Submit(ctx, items, jobWindow, "")
			if err != nil && ctx.Err() == nil {
				r.fail(err)
			}
			jobs[i] = job
		}()
	}
	group.Wait()
	r.accepted(ctx, jobs, number)
}

// accepted checks that all sendings met one job and keeps it.
func (r *run) accepted(ctx context.Context, jobs []*load.Job, number int) {
	var kept *load.Job
	for _, job := range jobs {
		switch {
		case job == nil:
		case kept == nil:
			kept = job
		case kept.ID != job.ID:
			r.fail(fmt.Errorf("resent job met %s and %s", kept.ID, job.ID))
		}
	}
	if kept == nil {
		return
	}
	r.mu.Lock()
	r.jobs = append(r.jobs, kept)
	r.mu.Unlock()
	if r.scenario.Mix.Cancel && number%4 == 3 {
		const cancelAfter = time.Second
		time.Sleep(cancelAfter)
		if err := r.submitter().Cancel(context.WithoutCancel(ctx), kept); err != nil {
			r.fail(err)
		}
	}
}

// finishJobs waits for all jobs and reads their results.
func (r *run) finishJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishLimit)
	defer cancel()
	var group sync.WaitGroup
	for _, job := range r.jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			submitter := r.submitter()
			batch, err := submitter.Await(ctx, job)
			if err != nil {
				r.fail(fmt.Errorf("job %s: %w", job.ID, err))
				return
			}
			if batch.Status == openai.BatchCancelled {
				return
			}
			if _, err := submitter.Verify(ctx, job); err != nil {
				r.fail(fmt.Errorf("job %s results: %w", job.ID, err))
			}
		}()
	}
	group.Wait()
}

// operate races with other operators: it reads a resource through one node and
// writes it through another, naming the version it read.
func (r *run) operate(ctx context.Context, operator int) {
	source := fmt.Sprintf("operator/%d", operator)
	for round := 0; ctx.Err() == nil; round++ {
		name := fmt.Sprintf("policy-%d", r.random.IntN(2))
		version, known := r.readPolicy(ctx, source, name, round)
		if known {
			r.writePolicy(ctx, source, name, version, round)
		}
		pause := time.Duration(20+r.random.IntN(200)) * time.Millisecond
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (r *run) anyNode() (*client.Client, bool) {
	urls := r.site.URLs()
	if len(urls) == 0 {
		return nil, false
	}
	return client.New(urls[r.random.IntN(len(urls))], site.OperatorKey), true
}

func (r *run) readPolicy(ctx context.Context, source, name string, round int) (uint64, bool) {
	caller, ok := r.anyNode()
	if !ok {
		return 0, false
	}
	event := history.Event{
		Source: source, Type: history.ConfigInvoke, Detail: "read", Key: string(v1.KindSitePolicy) + "/" + name,
		Operation: fmt.Sprintf("%s/read/%d", source, round),
	}
	r.recorder.Record(event)
	callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	resource, err := caller.Get(callCtx, v1.KindSitePolicy, name)
	event.Type = history.ConfigReturn
	var status *client.StatusError
	switch {
	case err == nil:
		event.Outcome, event.Revision = "ok", resource.Metadata.ResourceVersion
	case errors.As(err, &status) && status.Status == http.StatusNotFound:
		event.Outcome = "ok"
	default:
		event.Outcome = history.OutcomeUnknown
	}
	r.recorder.Record(event)
	return event.Revision, event.Outcome == "ok"
}

func (r *run) writePolicy(ctx context.Context, source, name string, expect uint64, round int) {
	caller, ok := r.anyNode()
	if !ok {
		return
	}
	event := history.Event{
		Source: source, Type: history.ConfigInvoke, Detail: "write", Key: string(v1.KindSitePolicy) + "/" + name,
		Operation: fmt.Sprintf("%s/write/%d", source, round), Expect: expect,
	}
	spec, err := json.Marshal(v1.SitePolicySpec{Note: event.Operation})
	if err != nil {
		r.fail(err)
		return
	}
	r.recorder.Record(event)
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 15*time.Second)
	defer cancel()
	answer, err := caller.Put(callCtx, &v1.Resource{
		APIVersion: v1.APIVersion, Kind: v1.KindSitePolicy, Metadata: v1.Metadata{Name: name}, Spec: spec,
	}, &expect)
	event.Type = history.ConfigReturn
	event.Outcome, event.Revision = writeOutcome(answer, err)
	r.recorder.Record(event)
}

func writeOutcome(answer *v1.Resource, err error) (string, uint64) {
	var status *client.StatusError
	switch {
	case err == nil && answer.Status.Accepted():
		return history.OutcomeAccepted, answer.Metadata.ResourceVersion
	case err == nil:
		return history.OutcomePending, answer.Metadata.ResourceVersion
	case errors.As(err, &status) && status.Status == http.StatusPreconditionFailed:
		return history.OutcomeConflict, 0
	case errors.As(err, &status) && status.Executed == "no":
		return history.OutcomeRefused, 0
	default:
		return history.OutcomeUnknown, 0
	}
}

// rollout changes the pool's version after a third of the run.
func (r *run) rollout(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(r.options.Duration / 3):
	}
	for ctx.Err() == nil {
		caller, ok := r.anyNode()
		if ok {
			if _, err := caller.Put(ctx, r.site.Pool("v2"), nil); err == nil {
				return
			}
		}
		time.Sleep(retryPause)
	}
}

const retryPause = 200 * time.Millisecond

// smallJob makes the items of a job for a fault's own use.
func (r *run) smallJob(number int) []load.Item {
	const items = 40
	return load.Items(r.options.Profile.Batch, r.options.Seed+7000+uint64(number), fmt.Sprintf("small%d", number), items, false)
}
