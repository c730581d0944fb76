package server

import (
	"encoding/json"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/wheelhoist/wheelhoist/api/openai"
	v1 "github.com/wheelhoist/wheelhoist/api/v1"
	"github.com/wheelhoist/wheelhoist/internal/batch"
)

// Batch jobs are resources of the API but are stored by the batch service, not as configuration,
// because they are far more numerous and change more often.

// allTenants is passed as the tenant for operators, who may see all jobs.
const allTenants = ""

// jobResource returns a batch job as a resource.
func jobResource(job *batch.Job) v1.Resource {
	spec, err := json.Marshal(v1.BatchJobSpec{
		Tenant: job.Tenant, InputFileID: job.File, Endpoint: job.Endpoint,
		Window: v1.Duration(job.Deadline.Sub(job.CreatedAt)),
	})
	if err != nil {
		spec = json.RawMessage("{}")
	}
	return v1.Resource{
		APIVersion: v1.APIVersion, Kind: v1.KindBatchJob, Spec: spec,
		Metadata: v1.Metadata{Name: job.ID, ResourceVersion: job.Version},
		Status: &v1.Status{Batch: &v1.BatchJobStatus{
			State: string(job.State), Total: job.Lines, Completed: job.Completed, Failed: job.Failed,
		}},
	}
}

func (s *Server) listBatchJobs(ctx iris.Context) {
	jobs, err := s.options.Batch.Jobs(ctx.Request().Context(), allTenants, maxListed)
	if err != nil {
		failBatch(ctx, err)
		return
	}
	list := v1.List{APIVersion: v1.APIVersion, Items: []v1.Resource{}}
	for _, job := range jobs {
		list.Items = append(list.Items, jobResource(job))
	}
	_ = ctx.JSON(list)
}

func (s *Server) getBatchJob(ctx iris.Context) {
	job, err := s.options.Batch.Job(ctx.Request().Context(), allTenants, ctx.Params().Get("name"))
	if err != nil {
		failBatch(ctx, err)
		return
	}
	resource := jobResource(job)
	if s.options.BatchWaits != nil && !job.State.Final() {
		resource.Status.Batch.Waiting = s.options.BatchWaits(job.ID)
	}
	_ = ctx.JSON(resource)
}

// putBatchJob submits a job. The resource's name is the idempotency key, so that applying the same
// manifest again returns the same job.
func (s *Server) putBatchJob(ctx iris.Context, declared *v1.Resource, spec *v1.BatchJobSpec) {
	window := time.Duration(spec.Window)
	if window == 0 {
		window = batch.DefaultWindow
	}
	job, err := s.options.Batch.Submit(ctx.Request().Context(), batch.Submission{
		Tenant: spec.Tenant, Key: "resource/" + declared.Metadata.Name, Completion: window,
		Request: openai.BatchRequest{
			InputFileID: spec.InputFileID, Endpoint: spec.Endpoint, CompletionWindow: window.String(),
		},
	})
	if err != nil {
		failBatch(ctx, err)
		return
	}
	_ = ctx.JSON(jobResource(job))
}

func (s *Server) deleteBatchJob(ctx iris.Context, name string) {
	job, err := s.options.Batch.Cancel(ctx.Request().Context(), allTenants, name)
	if err != nil {
		failBatch(ctx, err)
		return
	}
	_ = ctx.JSON(jobResource(job))
}
