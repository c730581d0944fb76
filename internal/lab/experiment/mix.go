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
	// completionWindow is the completion window of all jobs, longer than any run.
	completionWindow = time.Hour
	// onlineRetries is the maximum number of retries of a request that was refused as not run.
	onlineRetries = 20
)

func (r *run) replayOnline(ctx context.Context) {
	caller := (&load.Caller{
		Model: r.options.Profile.Model, Key: site.TenantKey, Version: r.options.Profile.Version,
		Recorder: r.recorder, Stats: r.stats, URLs: r.site.ReadyURLs, Delay: r.options.Profile.ClientDelay,
		Retries: onlineRetries,
	}).Open()
	defer caller.Close()
	mix := r.scenario.Mix
	arrivals := load.Schedule(r.options.Profile.Online, r.options.Seed, r.options.Duration, mix.Online)
	for i := range arrivals {
		if r.random.Float64() < mix.NotRepeatableShare {
			arrivals[i].NotRepeatable = true
			if i%2 == 0 {
				arrivals[i].IdempotencyKey = arrivals[i].ID
			}
		}
	}
	// The schedule ends with ctx, but answers that are still open must be able to complete.
	caller.Replay(context.WithoutCancel(ctx), arrivals)
}

func (r *run) newSubmitter() *load.Submitter {
	return &load.Submitter{
		Model: r.options.Profile.Model, Key: site.TenantKey, Recorder: r.recorder, URLs: r.site.ReadyURLs,
	}
}

// submitWaves submits waves of concurrent jobs until ctx is done. The profile sets the pause between
// waves.
func (r *run) submitWaves(ctx context.Context) {
	for wave := 0; ; wave++ {
		var group sync.WaitGroup
		for job := range r.scenario.Mix.Jobs {
			group.Add(1)
			go func() {
				defer group.Done()
				r.submitJob(ctx, wave*r.scenario.Mix.Jobs+job)
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
	items := load.Items(r.options.Profile.Batch, r.options.Seed+uint64(number), name, count, mix.NotRepeatableItems && number%3 == 2)
	submissions := 1
	if mix.Resend {
		submissions = 2
	}
	jobs := make([]*load.Job, submissions)
	var group sync.WaitGroup
	for i := range submissions {
		group.Add(1)
		go func() {
			defer group.Done()
			job, err := r.newSubmitter().Submit(ctx, items, completionWindow, "")
			if err != nil && ctx.Err() == nil {
				r.addError(err)
			}
			jobs[i] = job
		}()
	}
	group.Wait()
	r.addAcceptedJob(ctx, jobs, number)
}

// addAcceptedJob checks that all submissions of a job returned the same ID, adds the job to r.jobs and
// cancels it if the mix requires it.
func (r *run) addAcceptedJob(ctx context.Context, jobs []*load.Job, number int) {
	var accepted *load.Job
	for _, job := range jobs {
		switch {
		case job == nil:
		case accepted == nil:
			accepted = job
		case accepted.ID != job.ID:
			r.addError(fmt.Errorf("resent job met %s and %s", accepted.ID, job.ID))
		}
	}
	if accepted == nil {
		return
	}
	r.mu.Lock()
	r.jobs = append(r.jobs, accepted)
	r.mu.Unlock()
	if r.scenario.Mix.Cancel && number%4 == 3 {
		const cancelAfter = time.Second
		time.Sleep(cancelAfter)
		if err := r.newSubmitter().Cancel(context.WithoutCancel(ctx), accepted); err != nil {
			r.addError(err)
		}
	}
}

// verifyJobs waits until all jobs are final and verifies the results of those not cancelled.
func (r *run) verifyJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, jobsTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, job := range r.jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			submitter := r.newSubmitter()
			batch, err := submitter.Await(ctx, job)
			if err != nil {
				r.addError(fmt.Errorf("job %s: %w", job.ID, err))
				return
			}
			if batch.Status == openai.BatchCancelled {
				return
			}
			if _, err := submitter.Verify(ctx, job); err != nil {
				r.addError(fmt.Errorf("job %s results: %w", job.ID, err))
			}
		}()
	}
	group.Wait()
}

// runOperator races with other operators until ctx is done: it reads a policy through a random node
// and writes it through another one, conditional on the version it read.
func (r *run) runOperator(ctx context.Context, operator int) {
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

func (r *run) randomClient() (*client.Client, bool) {
	urls := r.site.URLs()
	if len(urls) == 0 {
		return nil, false
	}
	return client.New(urls[r.random.IntN(len(urls))], site.OperatorKey), true
}

func (r *run) readPolicy(ctx context.Context, source, name string, round int) (uint64, bool) {
	nodeClient, ok := r.randomClient()
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
	resource, err := nodeClient.Get(callCtx, v1.KindSitePolicy, name)
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
	nodeClient, ok := r.randomClient()
	if !ok {
		return
	}
	event := history.Event{
		Source: source, Type: history.ConfigInvoke, Detail: "write", Key: string(v1.KindSitePolicy) + "/" + name,
		Operation: fmt.Sprintf("%s/write/%d", source, round), Expect: expect,
	}
	spec, err := json.Marshal(v1.SitePolicySpec{Note: event.Operation})
	if err != nil {
		r.addError(err)
		return
	}
	r.recorder.Record(event)
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 15*time.Second)
	defer cancel()
	written, err := nodeClient.Put(callCtx, &v1.Resource{
		APIVersion: v1.APIVersion, Kind: v1.KindSitePolicy, Metadata: v1.Metadata{Name: name}, Spec: spec,
	}, &expect)
	event.Type = history.ConfigReturn
	event.Outcome, event.Revision = writeOutcome(written, err)
	r.recorder.Record(event)
}

func writeOutcome(written *v1.Resource, err error) (string, uint64) {
	var status *client.StatusError
	switch {
	case err == nil && written.Status.Accepted():
		return history.OutcomeAccepted, written.Metadata.ResourceVersion
	case err == nil:
		return history.OutcomePending, written.Metadata.ResourceVersion
	case errors.As(err, &status) && status.Status == http.StatusPreconditionFailed:
		return history.OutcomeConflict, 0
	case errors.As(err, &status) && status.Executed == "no":
		return history.OutcomeRefused, 0
	default:
		return history.OutcomeUnknown, 0
	}
}

// rollOutVersion changes the model version of the pool after a third of the run, retrying until it is
// accepted.
func (r *run) rollOutVersion(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(r.options.Duration / 3):
	}
	for ctx.Err() == nil {
		nodeClient, ok := r.randomClient()
		if ok {
			if _, err := nodeClient.Put(ctx, r.site.Pool("v2"), nil); err == nil {
				return
			}
		}
		time.Sleep(retryDelay)
	}
}

const retryDelay = 200 * time.Millisecond

// smallJob returns the items of a small job that a fault submits itself.
func (r *run) smallJob(number int) []load.Item {
	const items = 40
	return load.Items(r.options.Profile.Batch, r.options.Seed+7000+uint64(number), fmt.Sprintf("small%d", number), items, false)
}
