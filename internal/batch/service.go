package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Service accepts, describes and cancels jobs and reads their results. All its
// state is in the platform, so any node answers for any job.
type Service struct {
	table   table.Service
	objects object.Store
	// announce tells other nodes of a new or ended job; it does not block.
	announce func(Notice)
}

// Notice tells nodes of a change to a job, ahead of their next look at the table.
type Notice struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Ended bool
}

// NewService returns a service. announce may be nil.
func NewService(service table.Service, objects object.Store, announce func(Notice)) *Service {
	if announce == nil {
		announce = func(Notice) {}
	}
	return &Service{table: service, objects: objects, announce: announce}
}

// Submission asks for a job.
type Submission struct {
	Tenant   string
	Request  openai.BatchRequest
	Key      string
	Deadline time.Duration
}

// fingerprint identifies a submission: the caller's key if there is one, else
// everything that makes the job what it is. A resent job meets the first one.
func (s *Submission) fingerprint(file *FileRecord) string {
	digest := sha256.New()
	if s.Key != "" {
		_, _ = fmt.Fprintf(digest, "key\x00%s\x00%s", s.Tenant, s.Key)
	} else {
		metadata, _ := json.Marshal(s.Request.Metadata) // keys are sorted by json
		_, _ = fmt.Fprintf(digest, "content\x00%s\x00%s\x00%s\x00%x\x00%s",
			s.Tenant, s.Request.Endpoint, s.Request.CompletionWindow, file.SHA256, metadata)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// File returns the record of an uploaded file of a tenant.
func (s *Service) File(ctx context.Context, tenant, id string) (*FileRecord, error) {
	row, err := s.table.Get(ctx, fileKey(id))
	if err != nil {
		return nil, notFound(err)
	}
	record := &FileRecord{}
	if err := cbor.Unmarshal(row.Body, record); err != nil {
		return nil, Error.Wrap(err)
	}
	if record.Tenant != tenant {
		return nil, Error.Wrap(ErrNotFound)
	}
	return record, nil
}

func notFound(err error) error {
	if errors.Is(err, table.ErrNotFound) {
		return Error.Wrap(ErrNotFound)
	}
	return Error.Wrap(err)
}

// Submit accepts a job. It returns only once the job is durable, or with
// ErrNotAccepted or ErrUndecided.
func (s *Service) Submit(ctx context.Context, submission Submission) (*Job, error) {
	file, err := s.File(ctx, submission.Tenant, submission.Request.InputFileID)
	if err != nil {
		if errors.Is(err, ErrNotFound) {
			return nil, err
		}
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrNotAccepted, err))
	}
	job := newJob(&submission, file)
	key := table.Key{Partition: partitionKeys, Sort: job.Fingerprint}
	body, err := encode(job)
	if err != nil {
		return nil, err
	}
	writes := []table.Write{
		{Key: key, Expect: table.Absent, Body: []byte(job.ID)},
		{Key: jobKey(job.ID), Expect: table.Absent, Body: body},
	}
	if !job.State.Final() {
		writes = append(writes, table.Write{Key: activeKey(job.ID), Expect: table.Absent, Body: body})
	}
	err = table.CommitSettled(ctx, s.table, table.NewOperation(), writes...)
	switch {
	case err == nil:
		job.Version = writes[1].NextVersion()
		s.announce(Notice{Job: job.ID})
		return job, nil
	case errors.Is(err, table.ErrConflict):
		return s.earlier(ctx, key)
	case outcome.Of(err) == outcome.NotDone:
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrNotAccepted, err))
	default:
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUndecided, err))
	}
}

// earlier returns the job that holds a fingerprint.
func (s *Service) earlier(ctx context.Context, key table.Key) (*Job, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUndecided, err))
	}
	return s.job(ctx, string(row.Body))
}

func newJob(submission *Submission, file *FileRecord) *Job {
	window := submission.Deadline
	if window <= 0 {
		window = DefaultWindow
	}
	now := time.Now().UTC()
	job := &Job{
		ID: "batch-" + table.NewOperation(), Tenant: submission.Tenant,
		Endpoint: submission.Request.Endpoint, File: file.ID, Model: file.Model,
		Lines: file.Lines, ChunkLines: chunkLines(file.Lines), State: openai.BatchInProgress,
		Window: submission.Request.CompletionWindow, CreatedAt: now, Deadline: now.Add(window),
		Metadata: submission.Request.Metadata, Fingerprint: submission.fingerprint(file),
	}
	if len(file.Findings) > 0 {
		job.State = openai.BatchFailed
		job.Errors = file.Findings
		job.EndedAt = now
	}
	return job
}

func (s *Service) job(ctx context.Context, id string) (*Job, error) {
	row, err := s.table.Get(ctx, jobKey(id))
	if err != nil {
		return nil, notFound(err)
	}
	return decodeJob(row)
}

// Job returns a job of a tenant with current counts. An empty tenant stands
// for an operator, who sees all jobs.
func (s *Service) Job(ctx context.Context, tenant, id string) (*Job, error) {
	job, err := s.job(ctx, id)
	if err != nil {
		return nil, err
	}
	if tenant != "" && job.Tenant != tenant {
		return nil, Error.Wrap(ErrNotFound)
	}
	if job.State == openai.BatchInProgress {
		chunks, err := s.chunks(ctx, job.ID)
		if err != nil {
			return nil, err
		}
		job.Completed, job.Failed, _ = countDone(chunks)
	}
	return job, nil
}

func countDone(chunks map[int]Chunk) (completed, failed, expired int) {
	for _, chunk := range chunks {
		if chunk.State == ChunkDone {
			completed += chunk.Completed
			failed += chunk.Failed
			expired += chunk.Expired
		}
	}
	return completed, failed, expired
}

// chunks reads all chunk rows of a job.
func (s *Service) chunks(ctx context.Context, job string) (map[int]Chunk, error) {
	rows, err := table.ListAll(ctx, s.table, partitionChunks+job)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	chunks := make(map[int]Chunk, len(rows))
	for _, row := range rows {
		chunk, err := decodeChunk(row)
		if err != nil {
			return nil, err
		}
		var number int
		if _, err := fmt.Sscanf(row.Sort, "%d", &number); err != nil {
			return nil, Error.Wrap(err)
		}
		chunks[number] = chunk
	}
	return chunks, nil
}

// Jobs returns the jobs of a tenant, the newest first; an empty tenant stands
// for all.
func (s *Service) Jobs(ctx context.Context, tenant string, limit int) ([]*Job, error) {
	rows, err := table.ListAll(ctx, s.table, partitionJobs)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var jobs []*Job
	for _, row := range rows {
		job, err := decodeJob(row)
		if err != nil {
			return nil, err
		}
		if tenant == "" || job.Tenant == tenant {
			jobs = append(jobs, job)
		}
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].CreatedAt.After(jobs[k].CreatedAt) })
	return jobs[:min(len(jobs), limit)], nil
}

// Active returns the jobs that are not final.
func (s *Service) Active(ctx context.Context) ([]*Job, error) {
	rows, err := table.ListAll(ctx, s.table, partitionActive)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	jobs := make([]*Job, 0, len(rows))
	for _, row := range rows {
		job, err := decodeJob(row)
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, job)
	}
	return jobs, nil
}

// Cancel ends a job. Results committed before stay readable; none is
// committed afterwards.
func (s *Service) Cancel(ctx context.Context, tenant, id string) (*Job, error) {
	job, err := s.Job(ctx, tenant, id)
	if err != nil {
		return nil, err
	}
	if job.State.Final() {
		return job, nil
	}
	job.State = openai.BatchCancelled
	job.EndedAt = time.Now().UTC()
	err = s.end(ctx, job)
	if errors.Is(err, table.ErrConflict) {
		return s.Job(ctx, tenant, id)
	}
	if err != nil {
		return nil, err
	}
	return job, nil
}

// end writes a job's final state and takes it off the active list.
func (s *Service) end(ctx context.Context, job *Job) error {
	body, err := encode(job)
	if err != nil {
		return err
	}
	err = table.CommitSettled(ctx, s.table, table.NewOperation(),
		table.Write{Key: jobKey(job.ID), Expect: job.Version, Body: body},
		table.Write{Key: activeKey(job.ID), Kind: table.Delete, Expect: activeVersion},
	)
	if err != nil {
		return Error.Wrap(err)
	}
	job.Version++
	s.announce(Notice{Job: job.ID, Ended: true})
	return nil
}

// activeVersion is the only version a row of the active list ever has.
const activeVersion = table.Absent + 1

// Content opens a file: an uploaded input, or the results or errors of a job
// as far as they are committed.
func (s *Service) Content(ctx context.Context, tenant, id string, output io.Writer) error {
	switch {
	case strings.HasPrefix(id, outputFilePrefix):
		return s.results(ctx, tenant, strings.TrimPrefix(id, outputFilePrefix), output, false)
	case strings.HasPrefix(id, errorFilePrefix):
		return s.results(ctx, tenant, strings.TrimPrefix(id, errorFilePrefix), output, true)
	}
	file, err := s.File(ctx, tenant, id)
	if err != nil {
		return err
	}
	for segment := range file.segments() {
		if err := s.copyObject(ctx, segmentKey(id, segment), output); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) results(ctx context.Context, tenant, id string, output io.Writer, errorsOnly bool) error {
	job, err := s.Job(ctx, tenant, id)
	if err != nil {
		return err
	}
	chunks, err := s.chunks(ctx, id)
	if err != nil {
		return err
	}
	for number := range job.Chunks() {
		chunk := chunks[number]
		if chunk.State != ChunkDone {
			continue
		}
		key := resultKey(id, number, chunk.Epoch)
		if errorsOnly {
			if !chunk.Errors {
				continue
			}
			key = errorKey(id, number, chunk.Epoch)
		}
		if err := s.copyObject(ctx, key, output); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) copyObject(ctx context.Context, key string, output io.Writer) error {
	reader, err := s.objects.Get(ctx, key)
	if err != nil {
		return Error.Wrap(err)
	}
	_, copyErr := io.Copy(output, reader)
	return Error.Wrap(errors.Join(copyErr, reader.Close()))
}
