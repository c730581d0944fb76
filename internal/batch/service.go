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
	"strconv"
	"strings"
	"time"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/object"
	"github.com/wheelhoist/wheelhoist/internal/outcome"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Service accepts, describes and cancels batches and reads their results. All its state is in the
// table and the object store, so that any node can serve any batch.
type Service struct {
	Table   table.Service
	Objects object.Store
	Work    *jobs.Service
	// Accepted, if set, is called with each accepted batch. It must not block.
	Accepted func(*Job)
	// Unreadable, if set, receives reports of rows that cannot be decoded.
	Unreadable *table.Unreadable
}

// Submission is a request to create a job. Key is the caller's idempotency key and may be empty.
// Completion is the time from the submission until the results are due.
type Submission struct {
	Tenant     string
	Request    openai.BatchRequest
	Key        string
	Completion time.Duration
}

// fingerprint returns a hash that identifies a submission: of the idempotency key if there is one,
// otherwise of the job's parameters and the file's content. A retried submission has the same
// fingerprint and so finds the job of the first.
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

// File returns the record of a file that a tenant uploaded.
func (s *Service) File(ctx context.Context, tenant, id string) (*FileRecord, error) {
	row, err := s.Table.Get(ctx, fileKey(id))
	if err != nil {
		return nil, wrapNotFound(err)
	}
	record := &FileRecord{}
	if err := row.Decode(record); err != nil {
		return nil, s.reportUnreadable(err)
	}
	if record.Tenant != tenant {
		return nil, Error.Wrap(ErrNotFound)
	}
	return record, nil
}

// Submit creates a job and returns it once it is durable. A submission with the fingerprint of an
// earlier one returns the earlier job. Errors include ErrNotFound for an unknown file,
// ErrNotAccepted and ErrUnknownOutcome.
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
	err = table.CommitSettled(ctx, s.Table, table.NewOperation(), writes...)
	switch {
	case err == nil:
		s.notifyAccepted(ctx, job)
		return job, nil
	case errors.Is(err, table.ErrConflict):
		return s.existingJob(ctx, key)
	case outcome.Of(err) == outcome.NotDone:
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrNotAccepted, err))
	default:
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUnknownOutcome, err))
	}
}

// notifyAccepted sets the version of a durable job's row and calls Accepted, so that its first
// groups are submitted.
func (s *Service) notifyAccepted(ctx context.Context, job *Job) {
	if stored, err := s.getJob(ctx, job.ID); err == nil {
		job.Version = stored.Version
	}
	if s.Accepted != nil {
		s.Accepted(job)
	}
}

// existingJob returns the job that was created under a fingerprint's key.
func (s *Service) existingJob(ctx context.Context, key table.Key) (*Job, error) {
	row, err := s.Table.Get(ctx, key)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUnknownOutcome, err))
	}
	return s.getJob(ctx, string(row.Body))
}

func newJob(submission *Submission, file *FileRecord) *Job {
	window := submission.Completion
	if window <= 0 {
		window = DefaultWindow
	}
	now := time.Now().UTC()
	job := &Job{
		ID: "batch-" + table.NewOperation(), Tenant: submission.Tenant,
		Endpoint: submission.Request.Endpoint, File: file.ID, Model: file.Model,
		Lines: file.Lines, GroupLines: groupLines(file.Lines), State: openai.BatchInProgress,
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

func (s *Service) getJob(ctx context.Context, id string) (*Job, error) {
	row, err := s.Table.Get(ctx, jobKey(id))
	if err != nil {
		return nil, wrapNotFound(err)
	}
	job, err := decodeJob(row)
	return job, s.reportUnreadable(err)
}

// Job returns a job of a tenant with current counts. An empty tenant stands for an operator, who may
// see all jobs.
func (s *Service) Job(ctx context.Context, tenant, id string) (*Job, error) {
	job, err := s.getJob(ctx, id)
	if err != nil {
		return nil, err
	}
	if tenant != "" && job.Tenant != tenant {
		return nil, Error.Wrap(ErrNotFound)
	}
	if job.State == openai.BatchInProgress {
		groups, err := s.doneGroups(ctx, job.ID)
		if err != nil {
			return nil, err
		}
		job.Completed, job.Failed, _ = sumGroups(groups)
		s.addOpenGroups(job, groups)
	}
	return job, nil
}

// sumGroups returns the total counts of completed groups.
func sumGroups(groups map[int]Group) (completed, failed, expired int) {
	for _, group := range groups {
		completed += group.Completed
		failed += group.Failed
		expired += group.Expired
	}
	return completed, failed, expired
}

// addOpenGroups adds the listed results of groups that are not done yet to the job's counts.
func (s *Service) addOpenGroups(job *Job, done map[int]Group) {
	for _, entry := range s.Work.View.All() {
		batch, number, ok := parseGroupID(entry.Job.ID)
		if _, counted := done[number]; !ok || batch != job.ID || counted {
			continue
		}
		for _, listed := range entry.Progress.Listed {
			if listed.Dead {
				job.Failed++
			} else {
				job.Completed++
			}
		}
	}
}

// doneGroups reads the records of the completed groups of a batch, by group number.
func (s *Service) doneGroups(ctx context.Context, batch string) (map[int]Group, error) {
	rows, err := table.ListAll(ctx, s.Table, partitionGroups+batch)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	groups := make(map[int]Group, len(rows))
	for _, row := range rows {
		number, err := strconv.Atoi(row.Sort)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if groups[number], err = decodeGroup(row); err != nil {
			// The result of the group is unknown, so its batch cannot progress.
			return nil, s.reportUnreadable(err)
		}
	}
	return groups, nil
}

// Jobs returns at most limit jobs of a tenant, the newest first. An empty tenant stands for all
// tenants. Unreadable jobs are reported and skipped.
func (s *Service) Jobs(ctx context.Context, tenant string, limit int) ([]*Job, error) {
	rows, err := table.ListAll(ctx, s.Table, partitionJobs)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var jobs []*Job
	for _, row := range rows {
		job, err := decodeJob(row)
		if err != nil {
			// One unreadable row must not hide the others.
			_ = s.reportUnreadable(err)
			continue
		}
		if tenant == "" || job.Tenant == tenant {
			jobs = append(jobs, job)
		}
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].CreatedAt.After(jobs[k].CreatedAt) })
	return jobs[:min(len(jobs), limit)], nil
}

// Active returns the jobs that are not in a final state. Unreadable ones are reported and skipped.
func (s *Service) Active(ctx context.Context) ([]*Job, error) {
	rows, err := table.ListAll(ctx, s.Table, partitionActive)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	jobs := make([]*Job, 0, len(rows))
	for _, row := range rows {
		job, err := decodeJob(row)
		if err != nil {
			// One unreadable row must not hide the others.
			_ = s.reportUnreadable(err)
			continue
		}
		job.activeVersion = row.Version
		jobs = append(jobs, job)
	}
	return jobs, nil
}

// Cancel ends a job and returns it; a job that has ended is returned unchanged. Results committed
// before stay readable, and none are committed afterwards.
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
	err = s.commitFinal(ctx, job)
	if errors.Is(err, table.ErrConflict) {
		return s.Job(ctx, tenant, id)
	}
	if err != nil {
		return nil, err
	}
	s.endLocalGroups(ctx, job.ID)
	return job, nil
}

// endLocalGroups stops the groups of a batch that are in this node's view. The feeder stops those
// that are not.
func (s *Service) endLocalGroups(ctx context.Context, id string) {
	for _, entry := range s.Work.View.Open() {
		if batch, _, ok := parseGroupID(entry.Job.ID); ok && batch == id {
			// The feeder retries what fails here.
			_ = s.Work.End(ctx, entry.Job.ID)
		}
	}
}

// commitFinal writes a job's final state and removes the job from the list of active batches. The
// error is table.ErrConflict if the job has ended or its row has changed.
func (s *Service) commitFinal(ctx context.Context, job *Job) error {
	body, err := encode(job)
	if err != nil {
		return err
	}
	if err := s.loadActiveVersion(ctx, job); err != nil {
		return err
	}
	err = table.CommitSettled(ctx, s.Table, table.NewOperation(),
		table.Write{Key: jobKey(job.ID), Expect: job.Version, Body: body},
		table.Write{Key: activeKey(job.ID), Kind: table.Delete, Expect: job.activeVersion},
	)
	if err != nil {
		return Error.Wrap(err)
	}
	return nil
}

// loadActiveVersion sets the version of a job's row in the list of active batches. The error is
// table.ErrConflict if the job has ended.
func (s *Service) loadActiveVersion(ctx context.Context, job *Job) error {
	row, err := s.Table.Get(ctx, activeKey(job.ID))
	if errors.Is(err, table.ErrNotFound) {
		return Error.Wrap(outcome.AsNotDone(table.ErrConflict))
	}
	job.activeVersion = row.Version
	return Error.Wrap(err)
}

// Content writes the content of a file to output: an uploaded input file, or the answers or errors
// of a job that are committed so far.
func (s *Service) Content(ctx context.Context, tenant, id string, output io.Writer) error {
	switch {
	case strings.HasPrefix(id, outputFilePrefix):
		return s.copyResults(ctx, tenant, strings.TrimPrefix(id, outputFilePrefix), output, false)
	case strings.HasPrefix(id, errorFilePrefix):
		return s.copyResults(ctx, tenant, strings.TrimPrefix(id, errorFilePrefix), output, true)
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

// copyResults writes the committed answers of a job, or its committed errors if errorsOnly is set.
func (s *Service) copyResults(ctx context.Context, tenant, id string, output io.Writer, errorsOnly bool) error {
	job, err := s.Job(ctx, tenant, id)
	if err != nil {
		return err
	}
	groups, err := s.doneGroups(ctx, id)
	if err != nil {
		return err
	}
	for number := range job.Groups() {
		group, done := groups[number]
		if !done {
			continue
		}
		key := resultKey(id, number)
		if errorsOnly {
			if !group.Errors {
				continue
			}
			key = errorKey(id, number)
		}
		if err := s.copyObject(ctx, key, output); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) copyObject(ctx context.Context, key string, output io.Writer) error {
	reader, err := s.Objects.Get(ctx, key)
	if err != nil {
		return Error.Wrap(err)
	}
	_, copyErr := io.Copy(output, reader)
	return Error.Wrap(errors.Join(copyErr, reader.Close()))
}
