// Package batch implements the batch jobs of the OpenAI API over uploaded files. Each accepted item
// completes exactly once, and its result stays readable.
//
// A batch is split into groups of lines. The Feeder submits groups to package jobs a few at a time,
// so that the state that every node follows stays small regardless of the length of a batch. When
// all results of a group are listed, they are stored as one object of answers and one of errors. One
// transaction then records these as the group's result and removes the group's job from the table,
// on the condition that the batch is still active.
package batch

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/jobs"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Error is the class of all errors of this package.
var Error = errs.Class("batch")

var (
	// ErrNotFound reports an unknown job or file.
	ErrNotFound = errors.New("batch object not found")
	// ErrFinal reports that a job is already in another final state.
	ErrFinal = errors.New("batch job has ended already")
	// ErrNotAccepted reports that a submission was not accepted; it did not run.
	ErrNotAccepted = errors.New("batch store unavailable, nothing was accepted")
	// ErrUnknownOutcome reports that a submission may or may not have been accepted.
	// Sending it again is safe: the retry finds the same job.
	ErrUnknownOutcome = errors.New("batch submission undecided, send it again")
)

// Table partitions.
const (
	partitionJobs   = "batch-jobs"
	partitionActive = "batch-active"
	partitionKeys   = "batch-keys"
	partitionFiles  = "batch-files"
	partitionGroups = "batch-groups/"
)

const (
	// SegmentLines is the number of lines in one stored segment of an input file.
	SegmentLines  = 256
	minGroupLines = 16
	maxGroupLines = jobs.MaxItems
	// targetGroups is the number of groups that a small batch is split into, to spread it over nodes.
	targetGroups = 16
	// DefaultWindow is the time to the deadline of a job that specifies none.
	DefaultWindow = 24 * time.Hour
)

// FileRecord is the stored record of an uploaded input file. It is written once.
type FileRecord struct {
	ID        string
	Tenant    string
	Name      string
	Bytes     int64
	Lines     int
	SHA256    []byte
	CreatedAt time.Time
	// Model is the model of the first item.
	Model string
	// Findings lists the invalid lines. A job over a file with findings fails.
	Findings []openai.BatchError
	// NotRepeatable is set if any item may run at most once.
	NotRepeatable bool
}

func (f *FileRecord) segments() int { return (f.Lines + SegmentLines - 1) / SegmentLines }

func segmentKey(file string, segment int) string {
	return fmt.Sprintf("files/%s/%06d.jsonl", file, segment)
}

// Job is the stored record of a batch job. Its row is rewritten only when State changes.
type Job struct {
	ID          string
	Tenant      string
	Endpoint    string
	File        string
	Model       string
	Lines       int
	GroupLines  int
	State       openai.BatchStatus
	Window      string
	CreatedAt   time.Time
	Deadline    time.Time
	EndedAt     time.Time
	Completed   int
	Failed      int
	Errors      []openai.BatchError
	Metadata    map[string]string
	Fingerprint string

	// Version is the version of the row that the record was read from.
	Version uint64 `cbor:"-"`
	// activeVersion is the version of the job's row in the list of active batches.
	activeVersion uint64
}

// Groups returns the number of groups that the job is split into.
func (j *Job) Groups() int { return (j.Lines + j.GroupLines - 1) / j.GroupLines }

// groupRange returns the range [first, end) of a group's lines, counted from 0.
func (j *Job) groupRange(number int) (first, end int) {
	first = number * j.GroupLines
	return first, min(first+j.GroupLines, j.Lines)
}

// groupLines returns the number of lines in each group of a batch. Small groups spread small batches
// over nodes; large groups keep the number of writes of large batches low.
func groupLines(lines int) int {
	size := (lines + targetGroups - 1) / targetGroups
	return min(max(size, minGroupLines), maxGroupLines)
}

// Group is the stored record of a completed group.
type Group struct {
	Completed int
	Failed    int
	Expired   int
	// Errors is set if the group has an error object besides the result object.
	Errors bool
}

// groupSeparator separates a batch's ID from the number of a group.
const groupSeparator = "."

// groupID returns the ID of the job that runs a group.
func groupID(batch string, number int) string {
	return fmt.Sprintf("%s%s%05d", batch, groupSeparator, number)
}

// parseGroupID is the inverse of groupID. ok is false if the ID is not that of a group.
func parseGroupID(id string) (batch string, number int, ok bool) {
	cut := strings.LastIndex(id, groupSeparator)
	if cut < 0 {
		return "", 0, false
	}
	number, err := strconv.Atoi(id[cut+1:])
	return id[:cut], number, err == nil
}

// BatchOf returns the ID of the batch whose group a job runs, or "" if the job runs no group.
func BatchOf(job string) string {
	batch, _, ok := parseGroupID(job)
	if !ok {
		return ""
	}
	return batch
}

func groupKey(batch string, number int) table.Key {
	return table.Key{Partition: partitionGroups + batch, Sort: fmt.Sprintf("%05d", number)}
}

func resultKey(batch string, number int) string {
	return fmt.Sprintf("results/%s/%05d.out.jsonl", batch, number)
}

func errorKey(batch string, number int) string {
	return fmt.Sprintf("results/%s/%05d.err.jsonl", batch, number)
}

func jobKey(id string) table.Key    { return table.Key{Partition: partitionJobs, Sort: id} }
func activeKey(id string) table.Key { return table.Key{Partition: partitionActive, Sort: id} }
func fileKey(id string) table.Key   { return table.Key{Partition: partitionFiles, Sort: id} }

func encode(record any) ([]byte, error) {
	body, err := cbor.Marshal(record)
	return body, Error.Wrap(err)
}

func decodeJob(row table.Row) (*Job, error) {
	job := &Job{}
	if err := row.Decode(job); err != nil {
		return nil, Error.Wrap(err)
	}
	job.Version = row.Version
	return job, nil
}

func decodeGroup(row table.Row) (Group, error) {
	var group Group
	err := row.Decode(&group)
	return group, Error.Wrap(err)
}

// API returns the job as a batch object of the OpenAI API.
func (j *Job) API() *openai.Batch {
	batch := &openai.Batch{
		ID: j.ID, Object: "batch", Endpoint: j.Endpoint, InputFileID: j.File,
		CompletionWindow: j.Window, Status: j.State, CreatedAt: j.CreatedAt.Unix(),
		ExpiresAt:     j.Deadline.Unix(),
		RequestCounts: openai.BatchCounts{Total: j.Lines, Completed: j.Completed, Failed: j.Failed},
		Metadata:      j.Metadata,
	}
	if j.State != openai.BatchFailed {
		batch.OutputFileID = OutputFileID(j.ID)
		batch.ErrorFileID = ErrorFileID(j.ID)
	}
	if len(j.Errors) > 0 {
		batch.Errors = &openai.BatchErrors{Object: "list", Data: j.Errors}
	}
	switch j.State {
	case openai.BatchCompleted:
		batch.CompletedAt = j.EndedAt.Unix()
	case openai.BatchCancelled:
		batch.CancelledAt = j.EndedAt.Unix()
	}
	return batch
}

const (
	outputFilePrefix = "file-out-"
	errorFilePrefix  = "file-err-"
)

// OutputFileID returns the ID of the file with a job's answers.
func OutputFileID(job string) string { return outputFilePrefix + job }

// ErrorFileID returns the ID of the file with the errors of a job's failed items.
func ErrorFileID(job string) string { return errorFilePrefix + job }

// reportUnreadable reports a decoding error to Unreadable and returns it wrapped. err may be nil.
func (s *Service) reportUnreadable(err error) error {
	s.Unreadable.Report(err)
	return Error.Wrap(err)
}

// wrapNotFound wraps an error of the table, replacing table.ErrNotFound by ErrNotFound.
func wrapNotFound(err error) error {
	if errors.Is(err, table.ErrNotFound) {
		return Error.Wrap(ErrNotFound)
	}
	return Error.Wrap(err)
}
