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

// Service accepts, describes and cancels batches and reads their results. All
// its state is in the platform, so any node answers for any batch.
type Service struct {
	Table   table.Service
	Objects object.Store
	Work    *jobs.Service
	// Accepted is told of each accepted batch; it does not block. It may be nil.
	Accepted func(*Job)
	// Unreadable, if set, is told of rows that cannot be read.
	Unreadable *table.Unreadable
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
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUndecided, err))
	}
}

// notifyAccepted completes a batch that is durable with the version of its row, and
// has its first groups begun.
func (s *Service) notifyAccepted(ctx context.Context, job *Job) {
	if stored, err := s.getJob(ctx, job.ID); err == nil {
		job.Version = stored.Version
	}
	if s.Accepted != nil {
		s.Accepted(job)
	}
}

// existingJob returns the job that holds a fingerprint.
func (s *Service) existingJob(ctx context.Context, key table.Key) (*Job, error) {
	row, err := s.Table.Get(ctx, key)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUndecided, err))
	}
	return s.getJob(ctx, string(row.Body))
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

// Job returns a job of a tenant with current counts. An empty tenant stands
// for an operator, who sees all jobs.
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

func sumGroups(groups map[int]Group) (completed, failed, expired int) {
	for _, group := range groups {
		completed += group.Completed
		failed += group.Failed
		expired += group.Expired
	}
	return completed, failed, expired
}

// addOpenGroups adds the results of groups that are not done yet.
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

// doneGroups reads the rows of all doneGroups of a batch that are done.
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
			// Nobody can tell what became of the group, so its batch rests.
			return nil, s.reportUnreadable(err)
		}
	}
	return groups, nil
}

// Jobs returns the jobs of a tenant, the newest first; an empty tenant stands
// for all.
func (s *Service) Jobs(ctx context.Context, tenant string, limit int) ([]*Job, error) {
	rows, err := table.ListAll(ctx, s.Table, partitionJobs)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var jobs []*Job
	for _, row := range rows {
		job, err := decodeJob(row)
		if err != nil {
			// The others hold.
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

// Active returns the jobs that are not final.
func (s *Service) Active(ctx context.Context) ([]*Job, error) {
	rows, err := table.ListAll(ctx, s.Table, partitionActive)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	jobs := make([]*Job, 0, len(rows))
	for _, row := range rows {
		job, err := decodeJob(row)
		if err != nil {
			// The others hold.
			_ = s.reportUnreadable(err)
			continue
		}
		job.activeVersion = row.Version
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

// endLocalGroups stops the groups of a batch that this node knows. The feeders stop
// those it does not know.
func (s *Service) endLocalGroups(ctx context.Context, id string) {
	for _, entry := range s.Work.View.Open() {
		if batch, _, ok := parseGroupID(entry.Job.ID); ok && batch == id {
			// A feeder makes up for a failure.
			_ = s.Work.End(ctx, entry.Job.ID)
		}
	}
}

// commitFinal writes a job's final state and takes it off the active list.
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

// loadActiveVersion reads the version of a batch's row on the list of active ones. It
// returns table.ErrConflict if the batch has ended.
func (s *Service) loadActiveVersion(ctx context.Context, job *Job) error {
	row, err := s.Table.Get(ctx, activeKey(job.ID))
	if errors.Is(err, table.ErrNotFound) {
		return Error.Wrap(outcome.Failed(table.ErrConflict))
	}
	job.activeVersion = row.Version
	return Error.Wrap(err)
}

// Content opens a file: an uploaded input, or the results or errors of a job
// as far as they are committed.
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
