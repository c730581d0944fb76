// Package batch runs batch jobs: each accepted item completes exactly once,
// with a result that stays readable.
//
// A job is cut into chunks of lines. A node claims a chunk by a conditional
// write, runs its items at the replicas it feeds, stores the results as one
// object and makes that object the chunk's result by a second conditional
// write, which also requires that the job is still active. The first commit
// wins; so the store's load grows with chunks, not with items.
package batch

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/wheelhoist/wheelhoist/api/openai"
	"github.com/wheelhoist/wheelhoist/internal/table"
)

// Error is the class of all errors of this package.
var Error = errs.Class("batch")

var (
	// ErrNotFound reports an unknown job or file.
	ErrNotFound = errors.New("batch object not found")
	// ErrFinal reports that a job has reached another final state before.
	ErrFinal = errors.New("batch job has ended already")
	// ErrNotAccepted reports that a submission was not accepted; it did not run.
	ErrNotAccepted = errors.New("batch store unavailable, nothing was accepted")
	// ErrUndecided reports that a submission may or may not have been accepted.
	// Sending it again is safe: it meets the same job.
	ErrUndecided = errors.New("batch submission undecided, send it again")
)

// Table partitions.
const (
	partitionJobs   = "batch-jobs"
	partitionActive = "batch-active"
	partitionKeys   = "batch-keys"
	partitionFiles  = "batch-files"
	partitionChunks = "batch-chunks/"
)

const (
	// SegmentLines is the number of lines in one stored part of an input file.
	SegmentLines = 256
	minChunk     = 16
	maxChunk     = 512
	// chunksWanted spreads small jobs over nodes.
	chunksWanted = 32
	// DefaultWindow is the time to the deadline when a job names none.
	DefaultWindow = 24 * time.Hour
)

// FileRecord describes an uploaded input file. It is written once.
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
	// Findings are what is wrong with the lines; a job over them is refused.
	Findings []openai.BatchError
	// NotRepeatable tells whether any item may run at most once.
	NotRepeatable bool
}

func (f *FileRecord) segments() int { return (f.Lines + SegmentLines - 1) / SegmentLines }

func segmentKey(file string, segment int) string {
	return fmt.Sprintf("files/%s/%06d.jsonl", file, segment)
}

// Job is the record of a batch job. Its row changes only when its state does.
type Job struct {
	ID          string
	Tenant      string
	Endpoint    string
	File        string
	Model       string
	Lines       int
	ChunkLines  int
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

	// Version is the version of the row this record was read from.
	Version uint64 `cbor:"-"`
}

// Chunks returns the number of chunks.
func (j *Job) Chunks() int { return (j.Lines + j.ChunkLines - 1) / j.ChunkLines }

// chunkRange returns the first line of a chunk and the line after its last.
func (j *Job) chunkRange(chunk int) (first, end int) {
	first = chunk * j.ChunkLines
	return first, min(first+j.ChunkLines, j.Lines)
}

// chunkLines chooses the chunk size of a job: small jobs are spread over
// nodes, large ones cost few writes.
func chunkLines(lines int) int {
	size := (lines + chunksWanted - 1) / chunksWanted
	return min(max(size, minChunk), maxChunk)
}

// ChunkState is the state of a chunk row. A chunk without a row is open.
type ChunkState uint8

// Chunk states.
const (
	// ChunkHeld chunks are run by the holder.
	ChunkHeld ChunkState = iota + 1
	// ChunkDone chunks have their result.
	ChunkDone
)

// Chunk is the record of a chunk.
type Chunk struct {
	State  ChunkState
	Holder string
	// Epoch rises with each claim; it is part of the result's key.
	Epoch uint64
	// Started marks items that may run at most once and were about to be sent.
	Started   []byte
	Completed int
	Failed    int
	Expired   int
	// Errors tells whether there is an error object beside the result object.
	Errors bool

	// Version is the version of the row this record was read from.
	Version uint64 `cbor:"-"`
}

func (c *Chunk) started(item int) bool {
	return item/8 < len(c.Started) && c.Started[item/8]&(1<<(item%8)) != 0
}

func chunkKey(job string, chunk int) table.Key {
	return table.Key{Partition: partitionChunks + job, Sort: fmt.Sprintf("%06d", chunk)}
}

func resultKey(job string, chunk int, epoch uint64) string {
	return fmt.Sprintf("results/%s/%06d-%d.out.jsonl", job, chunk, epoch)
}

func errorKey(job string, chunk int, epoch uint64) string {
	return fmt.Sprintf("results/%s/%06d-%d.err.jsonl", job, chunk, epoch)
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
	if err := cbor.Unmarshal(row.Body, job); err != nil {
		return nil, Error.Wrap(err)
	}
	job.Version = row.Version
	return job, nil
}

func decodeChunk(row table.Row) (Chunk, error) {
	var chunk Chunk
	if err := cbor.Unmarshal(row.Body, &chunk); err != nil {
		return chunk, Error.Wrap(err)
	}
	chunk.Version = row.Version
	return chunk, nil
}

// API returns the job in the form of the OpenAI API.
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

// OutputFileID names the file of a job's answers.
func OutputFileID(job string) string { return outputFilePrefix + job }

// ErrorFileID names the file of a job's failed items.
func ErrorFileID(job string) string { return errorFilePrefix + job }
